"""Tickets of the advice service, which starts from some queues need."""

from collections.abc import Iterable
from typing import NamedTuple

# Maximum number of workers in one request.
MAX_WORKERS_PER_REQUEST = 100

# A ticket is not used within this time of its expiry: an order takes some
# milliseconds, and is queued behind earlier ones.
EXPIRY_MARGIN_S = 0.3

# An unanswered request is repeated after this time.
REQUEST_RETRY_S = 2.0

StepKey = tuple[str, int, int]


class Ticket(NamedTuple):
    """Permission to start subtasks of a step on a worker.

    Attributes:
        text: Passed to the worker with a start.
        until: When it expires, in seconds.
    """

    text: str
    until: float


class TicketBook:
    """Tickets by step and worker, and the pending requests for them."""

    def __init__(self) -> None:
        """Creates a book without tickets."""
        self._tickets: dict[StepKey, dict[str, Ticket]] = {}
        self._refused: dict[StepKey, set[str]] = {}
        self._requested: dict[StepKey, tuple[frozenset[str], float]] = {}

    def ticket(self, step: StepKey, worker: str, now: float) -> str | None:
        """Returns a ticket that is valid for long enough, or None."""
        found = self._tickets.get(step, {}).get(worker)
        if found is None or found.until - EXPIRY_MARGIN_S < now:
            return None
        return found.text

    def next_request(
        self, step: StepKey, workers: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Returns workers to request tickets for; none during a request."""
        requested, retry_at = self._requested.get(step, (frozenset(), 0.0))
        if requested and now < retry_at:
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

    def store_answer(
        self, step: StepKey, granted: dict[str, str], until: float
    ) -> frozenset[str]:
        """Stores the answer to a request; workers without a ticket are refused.

        Args:
            step: The step.
            granted: Tickets by worker.
            until: When they expire, in seconds.

        Returns:
            The workers that are refused.
        """
        requested, _ = self._requested.pop(step, (frozenset(), 0.0))
        tickets = self._tickets.setdefault(step, {})
        for worker, text in granted.items():
            tickets[worker] = Ticket(text, until)
        refused = requested - granted.keys()
        self._refused.setdefault(step, set()).update(refused)
        return refused

    def drop(self, step: StepKey, worker: str) -> None:
        """Removes a ticket that a worker has rejected."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget(self, job: str) -> None:
        """Removes everything about a job."""
        for by_step in (self._tickets, self._refused, self._requested):
            for step in [s for s in by_step if s[0] == job]:
                del by_step[step]
