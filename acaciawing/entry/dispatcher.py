"""Path of one checked request: endpoint, exchange, retry, final answer."""

import time
from collections.abc import Callable
from functools import singledispatch
from queue import SimpleQueue

from acaciawing.entry.keyed import Claims
from acaciawing.entry.messages import Completed, Finished, Granted, Submit
from acaciawing.entry.recorder import Decision, Recorder
from acaciawing.entry.requests import CallerRequest
from acaciawing.entry.scheduler import Scheduler
from acaciawing.exchange import (
    Answer,
    AnswerTimeout,
    BadAnswer,
    EndpointNotRun,
    EndpointRequest,
    ExchangeOutcome,
    Exchanger,
    Interrupted,
    NotSent,
)
from acaciawing.outcomes import NotRun, OutcomeUnknown, RanAndFailed, Refusal
from acaciawing.routing import Avoid, Endpoint, Result
from acaciawing.telemetry import Event

MAX_ATTEMPTS = 3
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
        self._scheduler.post(
            Finished(request.request_id, request.plan.name, verdict, code)
        )
        return outcome

    def _run(self, request: CallerRequest, deadline: float) -> Answer | Refusal:
        avoid = Avoid()
        earlier: Answer | Refusal | None = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            granted = self._submit(request, attempt, avoid, deadline)
            if not isinstance(granted, Granted):
                return truthful(earlier, granted)
            outcome = self._exchange(request, granted)
            earlier = truthful(earlier, final(outcome))
            if not may_retry(outcome, request.idempotent):
                break
            avoid = _wider(avoid, granted.endpoint)
        assert earlier is not None
        return earlier

    def _submit(
        self,
        request: CallerRequest,
        attempt: int,
        avoid: Avoid,
        deadline: float,
    ) -> Granted | Refusal:
        return self._scheduler.submit(
            Submit(
                request.request_id,
                request.customer.name,
                request.plan.name,
                request.service.name,
                request.operation,
                request.idempotent,
                deadline,
                attempt,
                avoid,
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
        self._scheduler.post(
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
    }
)


def _is_own_excess(refusal: Refusal) -> bool:
    return refusal.code in _OWN_EXCESS


def _wider(avoid: Avoid, endpoint: Endpoint) -> Avoid:
    return Avoid(
        avoid.instances | {endpoint.instance},
        avoid.racks | {(endpoint.zone, endpoint.rack)},
    )


def _forwarded(request: CallerRequest) -> tuple[tuple[str, str], ...]:
    kept = (f for f in request.headers if f[0] not in _OWN_FIELDS)
    return (
        *kept,
        ("X-Request-Id", request.request_id),
        ("X-Customer", request.customer.name),
    )


def truthful(
    earlier: Answer | Refusal | None, latest: Answer | Refusal
) -> Answer | Refusal:
    """Joins the outcomes of two attempts of one request.

    "Not run" is true for the request only if it is true for each attempt.

    >>> truthful(OutcomeUnknown("interrupted", ""), NotRun("deadline", "")).code
    'interrupted'
    """
    if isinstance(latest, NotRun) and earlier is not None:
        return latest if isinstance(earlier, NotRun) else earlier
    return latest


def may_retry(outcome: ExchangeOutcome, idempotent: bool) -> bool:
    """Whether a further attempt can do no harm and may help."""
    if isinstance(outcome, NotSent | EndpointNotRun):
        return True
    if isinstance(outcome, Answer) and outcome.status < 500:
        return False
    return idempotent and not isinstance(outcome, AnswerTimeout)


def result_of(outcome: ExchangeOutcome) -> Result:
    """Result as the routing decision counts it."""
    if isinstance(outcome, Answer):
        good = outcome.status < 500
        return Result.SUCCESS if good else Result.FAILURE
    if isinstance(outcome, EndpointNotRun):
        return Result.NOT_RUN
    return Result.FAILURE


@singledispatch
def final(outcome: ExchangeOutcome) -> Answer | Refusal:
    """Answer or refusal that the caller gets for the last attempt."""
    raise TypeError(type(outcome).__name__)


@final.register
def _(outcome: Answer) -> Answer | Refusal:
    return outcome


@final.register
def _(outcome: NotSent) -> Answer | Refusal:
    return NotRun("endpoint-unreachable", outcome.detail, 503, 1.0)


@final.register
def _(outcome: EndpointNotRun) -> Answer | Refusal:
    wait_s = outcome.retry_after_s or 1.0
    return NotRun("endpoint-busy", outcome.detail, 503, wait_s)


@final.register
def _(outcome: Interrupted) -> Answer | Refusal:
    return OutcomeUnknown("interrupted", outcome.detail)


@final.register
def _(outcome: AnswerTimeout) -> Answer | Refusal:
    return OutcomeUnknown("answer-timeout", outcome.detail)


@final.register
def _(outcome: BadAnswer) -> Answer | Refusal:
    return RanAndFailed(outcome.code, outcome.detail)
