"""Refusals to the caller when no attempt returned an answer."""

from enum import Enum

from acaciawing.exchange.outcomes import (
    Answer,
    AnswerTimeout,
    BadAnswer,
    EndpointNotRun,
    ExchangeOutcome,
    NotSent,
)
from acaciawing.outcomes import (
    NotRun,
    OutcomeUnknown,
    RanAndFailed,
    Refusal,
)

# A failing endpoint is ejected for at least 5 s, but another endpoint can take over
# within a second, so callers need not wait for longer.
_RETRY_AFTER_S = 1.0


class ClaimState(Enum):
    """State of the claim of the request's idempotency key."""

    NONE = "none"
    RELEASED = "released"
    HELD = "held"


def final_result(outcomes: tuple[ExchangeOutcome, ...]) -> Answer | Refusal:
    """Combines the outcomes of all attempts into the result for the caller.

    Args:
        outcomes: Outcome of each attempt, at least one.

    Returns:
        The last complete answer of an endpoint, or a refusal if there is none.
        This function does not release a claim; its caller does.
    """
    answers = [o for o in outcomes if isinstance(o, Answer)]
    return answers[-1] if answers else refusal(outcomes, ClaimState.NONE)


def refusal(
    outcomes: tuple[ExchangeOutcome, ...], claim: ClaimState
) -> Refusal:
    """Derives the refusal from the outcomes of all attempts of a request.

    The refusal depends on all attempts, including hedges, and not only on the last
    one: if the first attempt was interrupted, the request may have run, even if
    the second attempt could not be sent.

    Args:
        outcomes: Outcome of each attempt; none of them is an `Answer`.
        claim: State of the claim of the request's key.

    Returns:
        The refusal. It is `NotRun` only if no attempt can have run the request
        and the claim, if any, is released.

    >>> refusal((NotSent("refused"),), ClaimState.HELD).code
    'claim-held'
    """
    bad_answers = [o for o in outcomes if isinstance(o, BadAnswer)]
    if bad_answers:
        detail = "the endpoint ran the request; its answer was not usable"
        return RanAndFailed(bad_answers[0].code, detail)
    certainly_not_run = all(
        isinstance(o, NotSent | EndpointNotRun) for o in outcomes
    )
    if not certainly_not_run:
        timed_out = any(isinstance(o, AnswerTimeout) for o in outcomes)
        code = "answer-timeout" if timed_out else "exchange-interrupted"
        return OutcomeUnknown(code, "the request may have run")
    if claim is ClaimState.HELD:
        return OutcomeUnknown("claim-held", "the key is still claimed")
    waits = [
        o.retry_after_s
        for o in outcomes
        if isinstance(o, EndpointNotRun) and o.retry_after_s is not None
    ]
    refused = any(isinstance(o, EndpointNotRun) for o in outcomes)
    code = "endpoint-refused" if refused else "endpoint-unreachable"
    detail = "no endpoint ran the request"
    return NotRun(code, detail, 503, max(waits, default=_RETRY_AFTER_S))
