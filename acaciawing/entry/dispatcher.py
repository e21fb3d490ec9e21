"""Path of one checked request: endpoint, exchange, retry, final answer."""

import time
from collections.abc import Callable
from queue import SimpleQueue

from acaciawing.entry.keyed import Claims
from acaciawing.entry.messages import Completed, Finished, Granted, Submit
from acaciawing.entry.recorder import Decision, Recorder
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

# Fields that only an entry instance may set.
_OWN_FIELDS = frozenset({"Authorization", "X-Request-Id", "X-Customer"})


class Dispatcher:
    """Serves checked requests; called by the request threads.

    Args:
        scheduler: Task that grants endpoints.
        recorder: Task that logs decisions.
        claims: Decides keyed requests.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        recorder: Recorder,
        claims: Claims,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keeps the arguments."""
        self._claims = claims
        self._scheduler = scheduler
        self._recorder = recorder
        self._clock = clock
        self._exchanger = Exchanger(clock)

    def serve(self, request: CallerRequest) -> Answer | Refusal:
        """Serves one request.

        Args:
            request: The request.

        Returns:
            The endpoint's whole answer, or a refusal that says truly whether
            the request has run.
        """
        deadline = self._clock() + request.timeout_s
        if request.key is None:
            outcome = self._run(request, deadline)
        else:
            outcome = self._claims.run(request, deadline, self._run)
        if isinstance(outcome, Answer):
            verdict, code = "succeeded", ""
            if outcome.status >= 500:
                verdict = "failed"
        else:
            verdict = "refused" if _is_own_excess(outcome) else "failed"
            code = outcome.code
            self._record(request, code, outcome.detail)
        if request.forwarded:
            # The instance that the caller reached counts the answer.
            verdict = "forwarded"
        self._scheduler.post_deferred(
            Finished(request.request_id, request.plan.name, verdict, code)
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
        begun = self._clock()
        outcome = self._exchanger.send(
            granted.endpoint.address,
            EndpointRequest(
                request.method,
                request.target,
                _forwarded(request),
                request.body,
            ),
            granted.deadline - begun,
        )
        leaving = isinstance(outcome, Answer | EndpointNotRun) and (
            outcome.leaving
        )
        self._scheduler.post_deferred(
            Completed(
                granted.ticket,
                result_of(outcome),
                self._clock() - begun,
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


# Refusals that the caller brings about: a plan above its allowance, or a repeat.
# All others count against the promised rate.
_OWN_EXCESS = frozenset(
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


def _is_own_excess(refusal: Refusal) -> bool:
    return refusal.code in _OWN_EXCESS


def _forwarded(request: CallerRequest) -> tuple[tuple[str, str], ...]:
    kept = (f for f in request.headers if f[0] not in _OWN_FIELDS)
    return (
        *kept,
        ("X-Request-Id", request.request_id),
        ("X-Customer", request.customer.name),
    )


def is_success(outcome: ExchangeOutcome) -> bool:
    """Whether the endpoint answered without a server error."""
    return isinstance(outcome, Answer) and outcome.status < 500


def result_of(outcome: ExchangeOutcome) -> Result:
    """Result as the routing decision counts it."""
    if isinstance(outcome, Answer):
        return Result.SUCCESS if is_success(outcome) else Result.FAILURE
    if isinstance(outcome, EndpointNotRun):
        return Result.NOT_RUN
    return Result.FAILURE
