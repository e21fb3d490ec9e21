"""Decisions whether and where to retry or hedge a request."""

from dataclasses import dataclass
from functools import singledispatch
from typing import TypeAlias

from acaciawing.exchange.outcomes import (
    Answer,
    BadAnswer,
    EndpointNotRun,
    ExchangeOutcome,
    NotSent,
)
from acaciawing.retries.budget import RetryBudgets

MAX_ATTEMPTS = 3
# Server errors that are not caused by the request itself.
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


@dataclass(frozen=True, order=True)
class FailureDomain:
    """A rack, whose endpoints can fail together.

    Attributes:
        zone: Availability zone of the rack.
        rack: Rack within the zone.
    """

    zone: str
    rack: str


@dataclass(frozen=True)
class RetryRequest:
    """A failed attempt.

    Attributes:
        plan: Plan of the customer.
        idempotent: Whether the request may run more than once.
        outcome: Outcome of the last attempt.
        deadline_left_s: Seconds until the caller's deadline.
        expected_s: Usual run time of the operation, in seconds.
        tried: Domains of all attempts, the first one first.
        available: Domains with an endpoint that may be chosen.
    """

    plan: str
    idempotent: bool
    outcome: ExchangeOutcome
    deadline_left_s: float
    expected_s: float
    tried: tuple[FailureDomain, ...]
    available: frozenset[FailureDomain]


@dataclass(frozen=True)
class HedgeRequest:
    """A running attempt that may be hedged.

    Attributes:
        plan: Plan of the customer.
        idempotent: Whether the request may run more than once.
        short: Whether the work is of the short run-time class.
        waited_s: Seconds since the attempt was sent.
        hedge_after_s: Wait in seconds that only few requests of the operation
            exceed.
        deadline_left_s: Seconds until the caller's deadline.
        expected_s: Usual run time of the operation, in seconds.
        tried: Domains of all attempts, the first one first.
        available: Domains with an endpoint that may be chosen.
    """

    plan: str
    idempotent: bool
    short: bool
    waited_s: float
    hedge_after_s: float
    deadline_left_s: float
    expected_s: float
    tried: tuple[FailureDomain, ...]
    available: frozenset[FailureDomain]


@dataclass(frozen=True)
class Attempt:
    """Decision to send the request to an endpoint of this domain."""

    domain: FailureDomain


@dataclass(frozen=True)
class NoAttempt:
    """Decision not to send another attempt.

    Attributes:
        reason: Code in kebab case.
    """

    reason: str


Decision: TypeAlias = Attempt | NoAttempt


def decide_retry(
    budgets: RetryBudgets, request: RetryRequest
) -> tuple[RetryBudgets, Decision]:
    """Decides whether to retry a failed attempt.

    Args:
        budgets: Retry budgets of this entry instance.
        request: The failed attempt.

    Returns:
        The budgets after the decision, and the decision.
    """
    reason = _final_reason(request.outcome, request.idempotent)
    return _try_attempt(budgets, request, reason)


def decide_hedge(
    budgets: RetryBudgets, request: HedgeRequest
) -> tuple[RetryBudgets, Decision]:
    """Decides whether to send a second attempt while the first one is running.

    Hedges follow Dean and Barroso, "The Tail at Scale" (2013).

    Args:
        budgets: Retry budgets of this entry instance.
        request: The running attempt.

    Returns:
        The budgets after the decision, and the decision.
    """
    checks = (
        (not request.idempotent, "not-idempotent"),
        (not request.short, "long-work"),
        (request.waited_s < request.hedge_after_s, "too-early"),
        (len(request.tried) > 1, "hedged-before"),
    )
    reason = next((code for failed, code in checks if failed), "")
    return _try_attempt(budgets, request, reason)


def _try_attempt(
    budgets: RetryBudgets, request: RetryRequest | HedgeRequest, reason: str
) -> tuple[RetryBudgets, Decision]:
    domain = next_domain(request.tried, request.available)
    checks = (
        (bool(reason), reason),
        (len(request.tried) >= MAX_ATTEMPTS, "attempts"),
        (request.deadline_left_s <= request.expected_s, "deadline"),
        (domain is None, "no-other-domain"),
        (budgets.budget_of(request.plan).available_retries < 1, "budget"),
    )
    no_attempt_reason = next((code for failed, code in checks if failed), "")
    if no_attempt_reason or domain is None:
        return budgets, NoAttempt(no_attempt_reason)
    return budgets.spend_retry(request.plan), Attempt(domain)


def next_domain(
    tried: tuple[FailureDomain, ...], available: frozenset[FailureDomain]
) -> FailureDomain | None:
    """Finds the domain of the next attempt: another rack, then another zone.

    The second attempt stays in the zone for the lowest latency. If it fails as
    well, the zone itself may have failed, so the third attempt goes to another zone.

    Args:
        tried: Domains of all attempts, the first one first.
        available: Domains that may be chosen.

    Returns:
        The domain, or None if all have been tried.

    >>> racks = frozenset(FailureDomain(z, r) for z in "xy" for r in "12")
    >>> next_domain((FailureDomain("x", "1"),), racks)
    FailureDomain(zone='x', rack='2')
    >>> next_domain((FailureDomain("x", "1"), FailureDomain("x", "2")), racks)
    FailureDomain(zone='y', rack='1')
    """
    untried = sorted(available - frozenset(tried))
    if not untried:
        return None
    zones = frozenset(domain.zone for domain in tried)
    same = [d for d in untried if d.zone in zones]
    other = [d for d in untried if d.zone not in zones]
    groups = (same, other) if len(tried) <= 1 else (other, same)
    return next(domain for group in groups for domain in group)


@singledispatch
def _final_reason(outcome: object, idempotent: bool) -> str:
    """Returns why the outcome rules out a retry, or an empty string.

    This default is for outcomes after which the request may have run, such as an
    interrupted exchange or a timeout.
    """
    return "" if idempotent else "may-have-run"


@_final_reason.register
def _(outcome: Answer, idempotent: bool) -> str:
    # An endpoint that fails all requests answers fast, and another endpoint may
    # succeed. RFC 9110 section 9.2.2 permits a retry of idempotent requests.
    if outcome.status in RETRYABLE_STATUSES:
        return "" if idempotent else "may-have-run"
    return "answered"


@_final_reason.register(NotSent)
@_final_reason.register(EndpointNotRun)
def _(outcome: NotSent | EndpointNotRun, idempotent: bool) -> str:
    return ""


@_final_reason.register
def _(outcome: BadAnswer, idempotent: bool) -> str:
    if outcome.code == "response-too-large":
        return "answer-too-large-again"
    return "" if idempotent else "may-have-run"
