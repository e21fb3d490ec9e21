"""Runs requests with an idempotency key at most once and answers repeats."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from functools import singledispatch
from typing import Protocol

from acaciawing.entry.requests import CallerRequest
from acaciawing.exchange import Answer
from acaciawing.idempotency import (
    Claim,
    ClaimDecision,
    Finished,
    InProgress,
    KeyReused,
    MayHaveRun,
    Run,
    request_fingerprint,
)
from acaciawing.outcomes import AlreadyRan, NotRun, OutcomeUnknown, Refusal
from acaciawing.telemetry import LabelledCounter

# Bounds of the cache of complete answers. It serves the repeats that reach the
# same entry instance as the first copy of a request.
_MAX_CACHED_ANSWERS = 2000
_MAX_CACHED_BYTES = 8 * 1024 * 1024
# A repeat occupies a request thread while it waits for the first copy.
_MAX_REPEAT_WAIT_S = 1.0

Forward = Callable[[CallerRequest, float, str], Answer | Refusal | None]
RunRequest = Callable[[CallerRequest, float], Answer | Refusal]


class ClaimDecider(Protocol):
    """The used part of `acaciawing.idempotency.task.ClaimTask`."""

    def claim(
        self, customer: str, key: str, fingerprint: str, deadline: float
    ) -> ClaimDecision:
        """Decides whether this copy may run."""
        ...

    def finish(self, claim: Claim, status: int) -> None:
        """Records the end of a claimed request."""
        ...

    def release(self, claim: Claim) -> None:
        """Releases the claim of a request that has not run."""
        ...


class AnswerCache:
    """Cache of answers by customer and key, bounded in count and bytes."""

    def __init__(
        self,
        max_answers: int = _MAX_CACHED_ANSWERS,
        max_bytes: int = _MAX_CACHED_BYTES,
    ) -> None:
        """Starts empty."""
        self._max_answers = max_answers
        self._max_bytes = max_bytes
        self._bytes = 0
        self._changed = threading.Condition()
        self._running: set[tuple[str, str]] = set()
        self._answers: OrderedDict[tuple[str, str], Answer] = OrderedDict()

    def begin(self, key: tuple[str, str]) -> None:
        """Records that the request of a key runs here."""
        with self._changed:
            self._running.add(key)

    def end(self, key: tuple[str, str]) -> None:
        """Records that the request has ended; wakes the waiting repeats."""
        with self._changed:
            self._running.discard(key)
            self._changed.notify_all()

    def wait(self, key: tuple[str, str], timeout_s: float) -> Answer | None:
        """Waits while the request of a key runs; returns its cached answer."""
        with self._changed:
            self._changed.wait_for(lambda: key not in self._running, timeout_s)
            return self._answers.get(key)

    def put(self, key: tuple[str, str], answer: Answer) -> None:
        """Stores an answer and evicts the oldest beyond the bounds."""
        with self._changed:
            self._answers[key] = answer
            self._bytes += len(answer.body)
            while (
                len(self._answers) > self._max_answers
                or self._bytes > self._max_bytes
            ):
                _, old = self._answers.popitem(last=False)
                self._bytes -= len(old.body)


class KeyedRequests:
    """Runs keyed requests at most once; called by the request threads.

    Args:
        decider: Decides which copy of a request runs.
        forward: Sends a request to a member of the roster; returns None if
            none could be reached.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        decider: ClaimDecider,
        forward: Forward,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Stores the arguments."""
        self._decider = decider
        self._forward = forward
        self._clock = clock
        self._answers = AnswerCache()
        self._decision_counts = LabelledCounter()

    @property
    def decision_counts(self) -> Mapping[tuple[str, str], int]:
        """Number of claims decided, by ``(kind, "")``; for any thread."""
        return self._decision_counts.read()

    def run(
        self, request: CallerRequest, deadline: float, run: RunRequest
    ) -> Answer | Refusal:
        """Claims the key of a request and runs the request if granted.

        Args:
            request: A request with a key.
            deadline: Time by which it must end, monotonic seconds.
            run: Runs the request.

        Returns:
            The answer, or a refusal. If ``run`` returns `NotRun`, the claim is
            released first; no other copy has run while this one held it.
        """
        assert request.key is not None
        fingerprint = request_fingerprint(
            request.method, request.target, request.body
        )
        decision = self._decider.claim(
            request.customer.name, request.key, fingerprint, deadline
        )
        self._decision_counts.add((_decision_kind(decision), ""))
        key = _answer_key(request)
        if not isinstance(decision, Run):
            return self._answer_repeat(request, decision, deadline)
        self._answers.begin(key)
        try:
            return self._run_claimed(request, decision, deadline, run)
        finally:
            self._answers.end(key)

    def _run_claimed(
        self,
        request: CallerRequest,
        decision: Run,
        deadline: float,
        run: RunRequest,
    ) -> Answer | Refusal:
        outcome = run(request, deadline)
        if isinstance(outcome, NotRun):
            self._decider.release(decision.claim)
            return outcome
        if isinstance(outcome, Answer):
            self._answers.put(_answer_key(request), outcome)
        self._decider.finish(decision.claim, outcome.status)
        return outcome

    def _answer_repeat(
        self, request: CallerRequest, decision: ClaimDecision, deadline: float
    ) -> Answer | Refusal:
        """Answers a repeat from the first copy, here or at its owner."""
        remaining_s = deadline - self._clock()
        if isinstance(decision, InProgress | Finished):
            wait_s = min(remaining_s, _MAX_REPEAT_WAIT_S)
            answer = self._answers.wait(_answer_key(request), wait_s)
            if answer is not None:
                return answer
        if isinstance(decision, MayHaveRun) and not request.forwarded:
            forwardable = (
                decision.reason in _FORWARDED_REASONS or decision.owner
            )
            outcome = None
            if forwardable:
                outcome = self._forward(request, remaining_s, decision.owner)
            if outcome is not None:
                return outcome
        return refusal_of(decision)


# Reasons for which this instance can't decide, but a member of the roster can.
_FORWARDED_REASONS = frozenset({"not-on-roster", "memory-incomplete"})


_DECISION_KINDS = {
    Run: "run",
    Finished: "finished",
    InProgress: "in-progress",
    KeyReused: "key-reused",
    MayHaveRun: "unknown",
}


def _decision_kind(decision: ClaimDecision) -> str:
    return _DECISION_KINDS[type(decision)]


def _answer_key(request: CallerRequest) -> tuple[str, str]:
    assert request.key is not None
    return request.customer.name, request.key


@singledispatch
def refusal_of(decision: ClaimDecision) -> Refusal:
    """Returns the refusal of a copy that may not run.

    >>> refusal_of(Finished(201)).ran_status
    201
    """
    raise TypeError(type(decision).__name__)


@refusal_of.register
def _(decision: Finished) -> Refusal:
    return AlreadyRan(decision.status)


@refusal_of.register
def _(decision: InProgress) -> Refusal:
    detail = "another copy of the request is in progress"
    return OutcomeUnknown("claim-in-progress", detail, 409)


@refusal_of.register
def _(decision: KeyReused) -> Refusal:
    detail = "the key belongs to a different request; this one has not run"
    return NotRun("idempotency-key-reused", detail, 422)


@refusal_of.register
def _(decision: MayHaveRun) -> Refusal:
    if decision.reason in ("claimed", "granted"):
        detail = "another copy has run, runs or may run"
        return OutcomeUnknown("already-claimed", detail, 409)
    return OutcomeUnknown("claim-undecided", decision.reason)
