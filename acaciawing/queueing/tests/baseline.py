"""Baseline implementations that the queue tests compare with."""

from dataclasses import dataclass, field

from acaciawing.queueing import WaitingRequest


@dataclass
class ListQueue:
    """Queue that finds the next request by scanning a list."""

    waiting: list[WaitingRequest] = field(default_factory=list)

    def remove(self, request: str) -> None:
        self.waiting = [w for w in self.waiting if w.request != request]

    def next(
        self, now: float, long_free: bool, blocked: frozenset[str]
    ) -> WaitingRequest | None:
        unblocked = [w for w in self.waiting if w.plan not in blocked]
        short = [w for w in unblocked if not w.run.long]
        long = [w for w in unblocked if w.run.long and long_free]
        first = min(
            long, key=lambda w: (w.priority_from, w.request), default=None
        )
        if first is not None and first.priority_from <= now:
            return first
        by_arrival = min(
            short, key=lambda w: (w.enqueued, w.request), default=None
        )
        return by_arrival or first

    def expire(self, now: float) -> set[str]:
        late = {w.request for w in self.waiting if w.latest_start < now}
        self.waiting = [w for w in self.waiting if w.request not in late]
        return late


def declared_is_long(declared_s: float, service_median_s: float) -> bool:
    """Classifies by the run time that the customer declares."""
    return declared_s >= 4.0 * service_median_s
