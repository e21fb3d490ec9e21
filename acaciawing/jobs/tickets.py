"""Tickets of the advice service, which starts from some queues need."""

from collections.abc import Iterable
from typing import NamedTuple

from acaciawing.jobs.actions import (
    AdviceFailure,
    AdviceRequest,
    AdviceResponse,
)
from acaciawing.jobs.model import Incarnation

# Maximum number of workers in one request.
MAX_WORKERS_PER_REQUEST = 100

# A ticket is not used within this time of its expiry: an order takes some
# milliseconds, and is queued behind earlier ones.
EXPIRY_MARGIN_S = 0.3

# While a request for a step is unanswered, other workers are asked about only
# this long after it: the service takes most of its time for the call itself.
REQUEST_INTERVAL_S = 2.0

StepKey = tuple[str, int, int]


class Ticket(NamedTuple):
    """Permission to start subtasks of a step on a worker.

    Attributes:
        text: Passed to the worker with a start.
        until: When it expires, in seconds.
    """

    text: str
    until: float


class _Pending(NamedTuple):
    request: AdviceRequest
    requested_at: float


class TicketBook:
    """Tickets by step and worker, and the pending requests for them.

    A ticket is for one incarnation of a worker. Each is asked about at most once
    at a time.
    """

    def __init__(self) -> None:
        """Creates a book without tickets."""
        self._tickets: dict[StepKey, dict[Incarnation, Ticket]] = {}
        self._refused: dict[StepKey, set[Incarnation]] = {}
        # Unanswered requests by number, newest last.
        self._pending: dict[StepKey, dict[int, _Pending]] = {}
        self._last_number = 0

    def ticket(
        self, step: StepKey, worker: Incarnation, now: float
    ) -> str | None:
        """Returns a ticket that is valid for long enough, or None."""
        found = self._tickets.get(step, {}).get(worker)
        if found is None or found.until - EXPIRY_MARGIN_S < now:
            return None
        return found.text

    def next_request(
        self, step: StepKey, workers: Iterable[Incarnation], now: float
    ) -> AdviceRequest | None:
        """Returns a request for missing tickets; None if there is none now."""
        pending = list(self._pending.get(step, {}).values())
        if pending and now - pending[-1].requested_at < REQUEST_INTERVAL_S:
            return None
        settled = self._refused.get(step, set()).union(
            *(p.request.workers for p in pending)
        )
        unknown = [
            w
            for w in sorted(workers)
            if w not in settled and self.ticket(step, w, now) is None
        ][:MAX_WORKERS_PER_REQUEST]
        if not unknown:
            return None
        self._last_number += 1
        request = AdviceRequest(self._last_number, step, tuple(unknown))
        self._pending.setdefault(step, {})[request.number] = _Pending(
            request, now
        )
        return request

    def store_answer(self, answer: AdviceResponse) -> frozenset[Incarnation]:
        """Stores an answer; the workers of its request without a ticket are refused.

        Returns:
            The workers that are refused.
        """
        request = answer.request
        if not self._end_request(request):
            return frozenset()
        tickets = self._tickets.setdefault(request.step, {})
        refused = set()
        for worker in request.workers:
            text = answer.tickets.get(worker.worker)
            if text is None:
                refused.add(worker)
            else:
                tickets[worker] = Ticket(text, answer.until)
        self._refused.setdefault(request.step, set()).update(refused)
        return frozenset(refused)

    def store_failure(self, failure: AdviceFailure) -> None:
        """Allows the workers of a failed request to be asked about again."""
        self._end_request(failure.request)

    def _end_request(self, request: AdviceRequest) -> bool:
        """Ends a request; returns whether it was pending."""
        pending = self._pending.get(request.step, {})
        return pending.pop(request.number, None) is not None

    def drop(self, step: StepKey, worker: Incarnation) -> None:
        """Removes a ticket that a worker has rejected."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget(self, job: str) -> None:
        """Removes everything about a job."""
        for by_step in (self._tickets, self._refused, self._pending):
            for step in [s for s in by_step if s[0] == job]:
                del by_step[step]
