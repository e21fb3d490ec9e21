"""Retries and hedges within a shared budget, and refusals to callers."""

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
from acaciawing.retries.refusals import ClaimState, final_result, refusal

__all__ = [
    "MAX_ATTEMPTS",
    "Attempt",
    "ClaimState",
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
