"""What a caller is told when no attempt brought an answer."""

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

# Ejection of a failing endpoint starts at 5 s; a second lets another endpoint
# or pool member take over without holding callers back for longer.
_RETRY_AFTER_S = 1.0


class ClaimUse(Enum):
    """What became of the claim of the request's idempotency key."""

    NONE = "none"
    RELEASED = "released"
    HELD = "held"


def final_result(outcomes: tuple[ExchangeOutcome, ...]) -> Answer | Refusal:
    """What the caller gets for all attempts of a request.

    Args:
        outcomes: Outcome of each attempt, at least one.

    Returns:
        The last whole answer of an endpoint if there is one; otherwise the
        refusal. A claim is given back by the caller of this function.
    """
    answers = [o for o in outcomes if isinstance(o, Answer)]
    return answers[-1] if answers else refusal(outcomes, ClaimUse.NONE)


def refusal(outcomes: tuple[ExchangeOutcome, ...], claim: ClaimUse) -> Refusal:
    """Finds the truthful refusal for all attempts of a request.

    Every attempt counts, hedges included, and not only the last one: a request
    whose first attempt was interrupted may have run, even if the second one
    could not be sent.

    Args:
        outcomes: Outcome of each attempt; none of them is an `Answer`.
        claim: State of the claim of the request's key.

    Returns:
        The refusal. "Not run" needs every attempt to be proved not run, and
        the claim, if any, to be released.

    >>> refusal((NotSent("refused"),), ClaimUse.HELD).code
    'claim-held'
    """
    bad = [o for o in outcomes if isinstance(o, BadAnswer)]
    if bad:
        detail = "the endpoint ran the request; its answer was not usable"
        return RanAndFailed(bad[0].code, detail)
    proved = all(isinstance(o, NotSent | EndpointNotRun) for o in outcomes)
    if not proved:
        late = any(isinstance(o, AnswerTimeout) for o in outcomes)
        code = "answer-timeout" if late else "exchange-interrupted"
        return OutcomeUnknown(code, "the request may have run")
    if claim is ClaimUse.HELD:
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
