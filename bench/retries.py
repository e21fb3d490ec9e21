"""Figures of retries: load under total failure, and cost of a decision."""

import time
from dataclasses import dataclass

from acaciawing.exchange.outcomes import NotSent
from acaciawing.retries import (
    MAX_ATTEMPTS,
    Attempt,
    FailureDomain,
    RetryBudgets,
    RetryRequest,
    decide_retry,
)

_DOMAINS = tuple(FailureDomain(zone, rack) for zone in "xyz" for rack in "12")


@dataclass(frozen=True)
class LoadAmplification:
    """Load of a pool that fails totally.

    Attributes:
        requests: Requests offered.
        attempts: Attempts sent with the retry budget.
        amplification: Attempts per request.
        worst_250: Highest attempts per request over 250 requests in a row.
        naive_amplification: Attempts per request with retries up to the limit
            of attempts and no budget.
    """

    requests: int
    attempts: int
    amplification: float
    worst_250: float
    naive_amplification: float


@dataclass(frozen=True)
class RetryCost:
    """Processor time of one retry decision, in microseconds."""

    decisions: int
    microseconds: float


def load_amplification(requests: int = 10_000) -> LoadAmplification:
    """Fails every attempt of a row of requests."""
    budgets = RetryBudgets()
    per_request: list[int] = []
    for _ in range(requests):
        budgets = budgets.add_request("plan")
        attempts = 1
        while True:
            budgets, decision = decide_retry(budgets, _failed(attempts))
            if not isinstance(decision, Attempt):
                break
            attempts += 1
        per_request.append(attempts)
    windows = range(max(1, requests - 249))
    worst = max(sum(per_request[w : w + 250]) / 250 for w in windows)
    total = sum(per_request)
    return LoadAmplification(
        requests, total, total / requests, worst, float(MAX_ATTEMPTS)
    )


def retry_cost(decisions: int = 20_000) -> RetryCost:
    """Measures retry decisions."""
    budgets = RetryBudgets()
    begin = time.process_time()
    for _ in range(decisions):
        budgets = budgets.add_request("plan")
        budgets, _decision = decide_retry(budgets, _failed(1))
    spent = time.process_time() - begin
    return RetryCost(decisions, spent / decisions * 1e6)


def _failed(attempts: int) -> RetryRequest:
    return RetryRequest(
        "plan",
        True,
        NotSent("refused"),
        5.0,
        0.1,
        _DOMAINS[:attempts],
        frozenset(_DOMAINS),
    )
