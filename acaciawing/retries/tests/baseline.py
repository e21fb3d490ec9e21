"""Baseline for retries: decides by the last attempt, without a budget."""

from acaciawing.exchange.outcomes import (
    Answer,
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
from acaciawing.retries.decisions import RetryRequest


def retries_without_budget(request: RetryRequest) -> bool:
    """Returns whether to retry, without regard to the budget."""
    if isinstance(request.outcome, Answer):
        return False
    if request.outcome == BadAnswer("", "response-too-large"):
        return False
    not_run = isinstance(request.outcome, NotSent | EndpointNotRun)
    if not not_run and not request.idempotent:
        return False
    if len(request.tried) >= 3:
        return False
    if request.deadline_left_s <= request.expected_s:
        return False
    return any(d not in request.tried for d in request.available)


def refusal_by_last(outcomes: tuple[ExchangeOutcome, ...]) -> Refusal:
    """Derives the refusal from the last attempt only."""
    last = outcomes[-1]
    if isinstance(last, NotSent | EndpointNotRun):
        return NotRun("not-run", "")
    if isinstance(last, BadAnswer):
        return RanAndFailed("failed", "")
    return OutcomeUnknown("unknown", "")
