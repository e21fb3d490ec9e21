"""Retries and hedges out of one budget, and truthful refusals."""

from acaciawing.retries.budget import RetryBudget, RetryBudgets
from acaciawing.retries.decisions import (
    MAX_ATTEMPTS,
    Attempt,
    Decision,
    FailureDomain,
    HedgeRequest,
    NoAttempt,
    RetryRequest,
    decide_hedge,
    decide_retry,
    next_domain,
)
from acaciawing.retries.refusals import ClaimUse, final_result, refusal

__all__ = [
    "MAX_ATTEMPTS",
    "Attempt",
    "ClaimUse",
    "Decision",
    "FailureDomain",
    "HedgeRequest",
    "NoAttempt",
    "RetryBudget",
    "RetryBudgets",
    "RetryRequest",
    "decide_hedge",
    "decide_retry",
    "final_result",
    "next_domain",
    "refusal",
]
