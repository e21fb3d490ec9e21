"""Tickets of the advice service, which a start on some queues needs."""

from collections.abc import Iterable
from typing import NamedTuple

# Most workers of one question.
MAX_WORKERS_PER_REQUEST = 100

# A ticket is used until this much before its end, in seconds: an order takes
# some milliseconds, and waits for those before it.
EXPIRY_MARGIN_S = 0.3

# An unanswered question is asked again after this time, in seconds.
REQUEST_RETRY_S = 2.0

StepKey = tuple[str, int, int]


class Ticket(NamedTuple):
    """Allows the subtasks of a step on a worker for some time."""

    text: str
    until: float


class TicketBook:
    """Tickets by step and worker, and what was asked."""

    def __init__(self) -> None:
        """Starts empty."""
        self._tickets: dict[StepKey, dict[str, Ticket]] = {}
        self._refused: dict[StepKey, set[str]] = {}
        self._requested: dict[StepKey, tuple[frozenset[str], float]] = {}

    def ticket(self, step: StepKey, worker: str, now: float) -> str | None:
        """Returns a ticket that holds for long enough, or None."""
        found = self._tickets.get(step, {}).get(worker)
        if found is None or found.until - EXPIRY_MARGIN_S < now:
            return None
        return found.text

    def next_request(
        self, step: StepKey, workers: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Returns workers to ask about; empty while an answer is awaited."""
        requested, until = self._requested.get(step, (frozenset(), 0.0))
        if requested and now < until:
            return ()
        refused = self._refused.get(step, set())
        unknown = [
            w
            for w in sorted(workers)
            if w not in refused and self.ticket(step, w, now) is None
        ][:MAX_WORKERS_PER_REQUEST]
        if unknown:
            self._requested[step] = (frozenset(unknown), now + REQUEST_RETRY_S)
        return tuple(unknown)

    def answer(
        self, step: StepKey, granted: dict[str, str], until: float
    ) -> None:
        """Takes an answer; workers that were asked and not named are refused.

        Args:
            step: The step.
            granted: Tickets by worker.
            until: When they end, in seconds.
        """
        requested, _ = self._requested.pop(step, (frozenset(), 0.0))
        tickets = self._tickets.setdefault(step, {})
        for worker, text in granted.items():
            tickets[worker] = Ticket(text, until)
        self._refused.setdefault(step, set()).update(requested - granted.keys())

    def drop(self, step: StepKey, worker: str) -> None:
        """Forgets a ticket that a worker has refused."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget(self, job: str) -> None:
        """Forgets all of a job."""
        for known in (self._tickets, self._refused, self._requested):
            for step in [s for s in known if s[0] == job]:
                del known[step]
