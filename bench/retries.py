"""Load that retries cause under total failure, and cost of a retry decision."""

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
    """Load of a pool whose attempts all fail.

    Attributes:
        requests: Number of offered requests.
        attempts: Number of attempts sent with the retry budget.
        amplification: Attempts per request.
        max_amplification_250: Highest number of attempts per request over 250
            consecutive requests.
        baseline_amplification: Attempts per request with retries up to the
            attempt limit and no budget.
    """

    requests: int
    attempts: int
    amplification: float
    max_amplification_250: float
    baseline_amplification: float


@dataclass(frozen=True)
class RetryCost:
    """Processor time of one retry decision, in microseconds."""

    decisions: int
    time_us: float


def load_amplification(requests: int = 10_000) -> LoadAmplification:
    """Simulates consecutive requests whose attempts all fail."""
    budgets = RetryBudgets()
    per_request: list[int] = []
    for _ in range(requests):
        budgets = budgets.add_request("plan")
        attempts = 1
        while True:
            budgets, decision = decide_retry(budgets, _failed_request(attempts))
            if not isinstance(decision, Attempt):
                break
            attempts += 1
        per_request.append(attempts)
    windows = range(max(1, requests - 249))
    max_amplification = max(
        sum(per_request[w : w + 250]) / 250 for w in windows
    )
    total = sum(per_request)
    return LoadAmplification(
        requests,
        total,
        total / requests,
        max_amplification,
        float(MAX_ATTEMPTS),
    )


def retry_cost(decisions: int = 20_000) -> RetryCost:
    """Measures the processor time of retry decisions."""
    budgets = RetryBudgets()
    started = time.process_time()
    for _ in range(decisions):
        budgets = budgets.add_request("plan")
        budgets, _decision = decide_retry(budgets, _failed_request(1))
    spent_s = time.process_time() - started
    return RetryCost(decisions, spent_s / decisions * 1e6)


def _failed_request(attempts: int) -> RetryRequest:
    return RetryRequest(
        "plan",
        True,
        NotSent("refused"),
        5.0,
        0.1,
        _DOMAINS[:attempts],
        frozenset(_DOMAINS),
    )
