"""Serves a checked request: endpoint, exchange, retries and final answer."""

import time
from collections.abc import Callable
from queue import SimpleQueue

from acaciawing.entry.decision_recorder import Decision, DecisionRecorder
from acaciawing.entry.keyed_requests import KeyedRequests
from acaciawing.entry.messages import Completed, Finished, Granted, Submit
from acaciawing.entry.requests import CallerRequest
from acaciawing.entry.scheduler import Scheduler
from acaciawing.exchange import (
    Answer,
    EndpointNotRun,
    EndpointRequest,
    ExchangeOutcome,
    Exchanger,
)
from acaciawing.outcomes import Refusal
from acaciawing.retries import NoAttempt, final_result
from acaciawing.routing import Endpoint, Result
from acaciawing.telemetry import Event

# Header fields that only an entry instance may set.
_ENTRY_ONLY_FIELDS = frozenset({"Authorization", "X-Request-Id", "X-Customer"})


class Dispatcher:
    """Serves checked requests; called by the request threads.

    Args:
        scheduler: Task that grants endpoints.
        recorder: Task that logs decisions.
        keyed_requests: Runs requests with an idempotency key at most once.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        recorder: DecisionRecorder,
        keyed_requests: KeyedRequests,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Stores the arguments."""
        self._keyed_requests = keyed_requests
        self._scheduler = scheduler
        self._recorder = recorder
        self._clock = clock
        self._exchanger = Exchanger(clock)

    def serve(self, request: CallerRequest) -> Answer | Refusal:
        """Serves one request.

        Args:
            request: The request.

        Returns:
            The endpoint's complete answer, or a refusal whose class states
            whether the request has run.
        """
        deadline = self._clock() + request.timeout_s
        if request.key is None:
            outcome = self._run(request, deadline)
        else:
            outcome = self._keyed_requests.run(request, deadline, self._run)
        if isinstance(outcome, Answer):
            counted_as, code = "succeeded", ""
            if outcome.status >= 500:
                counted_as = "failed"
        else:
            counted_as = "refused" if _is_caller_caused(outcome) else "failed"
            code = outcome.code
            self._record(request, code, outcome.detail)
        if request.forwarded:
            # The instance that the caller reached counts the answer.
            counted_as = "forwarded"
        self._scheduler.post_deferred(
            Finished(request.request_id, request.plan.name, counted_as, code)
        )
        return outcome

    def _run(self, request: CallerRequest, deadline: float) -> Answer | Refusal:
        tried: tuple[Endpoint, ...] = ()
        outcomes: tuple[ExchangeOutcome, ...] = ()
        while True:
            granted = self._submit(request, tried, outcomes, deadline)
            if not isinstance(granted, Granted):
                if outcomes or isinstance(granted, NoAttempt):
                    return final_result(outcomes)
                return granted
            outcomes = (*outcomes, self._exchange(request, granted))
            tried = (*tried, granted.endpoint)
            if is_success(outcomes[-1]):
                return final_result(outcomes)

    def _submit(
        self,
        request: CallerRequest,
        tried: tuple[Endpoint, ...],
        outcomes: tuple[ExchangeOutcome, ...],
        deadline: float,
    ) -> Granted | Refusal | NoAttempt:
        return self._scheduler.submit(
            Submit(
                request.request_id,
                request.customer.name,
                request.plan.name,
                request.service.name,
                request.operation,
                request.idempotent,
                deadline,
                tried,
                outcomes[-1] if outcomes else None,
                SimpleQueue(),
            )
        )

    def _exchange(
        self, request: CallerRequest, granted: Granted
    ) -> ExchangeOutcome:
        started_at = self._clock()
        outcome = self._exchanger.send(
            granted.endpoint.address,
            EndpointRequest(
                request.method,
                request.target,
                _endpoint_headers(request),
                request.body,
            ),
            granted.deadline - started_at,
        )
        leaving = isinstance(outcome, Answer | EndpointNotRun) and (
            outcome.leaving
        )
        self._scheduler.post_deferred(
            Completed(
                granted.ticket,
                result_of(outcome),
                self._clock() - started_at,
                leaving,
            )
        )
        return outcome

    def _record(self, request: CallerRequest, code: str, detail: str) -> None:
        self._recorder.post(
            Decision(
                "request",
                request.request_id,
                time.time(),
                Event.REQUEST_REFUSED,
                {
                    "service": request.service.name,
                    "plan": request.plan.name,
                    "code": code,
                    "detail": detail,
                },
            )
        )


# Codes of refusals that the caller causes, by exceeding the plan's allowance or
# repeating a request. All others count against the promised rate.
_CALLER_CAUSED_CODES = frozenset(
    {
        "rate-limit",
        "queue-limit",
        "overload",
        "shed",
        "already-ran",
        "idempotency-key-reused",
        "claim-in-progress",
        "already-claimed",
    }
)


def _is_caller_caused(refusal: Refusal) -> bool:
    return refusal.code in _CALLER_CAUSED_CODES


def _endpoint_headers(request: CallerRequest) -> tuple[tuple[str, str], ...]:
    caller_fields = (
        f for f in request.headers if f[0] not in _ENTRY_ONLY_FIELDS
    )
    return (
        *caller_fields,
        ("X-Request-Id", request.request_id),
        ("X-Customer", request.customer.name),
    )


def is_success(outcome: ExchangeOutcome) -> bool:
    """Whether the endpoint answered without a server error."""
    return isinstance(outcome, Answer) and outcome.status < 500


def result_of(outcome: ExchangeOutcome) -> Result:
    """Returns the result that the routing decision counts."""
    if isinstance(outcome, Answer):
        return Result.SUCCESS if is_success(outcome) else Result.FAILURE
    if isinstance(outcome, EndpointNotRun):
        return Result.NOT_RUN
    return Result.FAILURE
