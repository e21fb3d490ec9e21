"""Whether to send a request again, and where to."""

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
# Server errors that say nothing about the request itself.
RETRIED_STATUSES = frozenset({500, 502, 503, 504})


@dataclass(frozen=True, order=True)
class FailureDomain:
    """A rack, which fails as one.

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
    """An attempt that is still under way.

    Attributes:
        plan: Plan of the customer.
        idempotent: Whether the request may run more than once.
        short: Whether the work is of the short run-time class.
        waited_s: Seconds since the attempt was sent.
        hedge_after_s: Wait that only few requests of the operation exceed.
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
    """Send the request once more, to an endpoint of this domain."""

    domain: FailureDomain


@dataclass(frozen=True)
class NoAttempt:
    """Send nothing.

    Attributes:
        reason: Code in kebab case.
    """

    reason: str


Decision: TypeAlias = Attempt | NoAttempt


def decide_retry(
    budgets: RetryBudgets, request: RetryRequest
) -> tuple[RetryBudgets, Decision]:
    """Decides about another attempt.

    Args:
        budgets: Retry budgets of this entry instance.
        request: The failed attempt.

    Returns:
        The budgets after the decision, and the decision.
    """
    reason = _why_final(request.outcome, request.idempotent)
    return _spend(budgets, request, reason)


def decide_hedge(
    budgets: RetryBudgets, request: HedgeRequest
) -> tuple[RetryBudgets, Decision]:
    """Decides about a second attempt beside one that is under way.

    Hedges follow Dean and Barroso, "The Tail at Scale" (2013).

    Args:
        budgets: Retry budgets of this entry instance.
        request: The attempt under way.

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
    return _spend(budgets, request, reason)


def _spend(
    budgets: RetryBudgets, request: RetryRequest | HedgeRequest, reason: str
) -> tuple[RetryBudgets, Decision]:
    domain = next_domain(request.tried, request.available)
    checks = (
        (bool(reason), reason),
        (len(request.tried) >= MAX_ATTEMPTS, "attempts"),
        (request.deadline_left_s <= request.expected_s, "deadline"),
        (domain is None, "no-other-domain"),
        (budgets.of(request.plan).whole < 1, "budget"),
    )
    final = next((code for failed, code in checks if failed), "")
    if final or domain is None:
        return budgets, NoAttempt(final)
    return budgets.spent(request.plan), Attempt(domain)


def next_domain(
    tried: tuple[FailureDomain, ...], available: frozenset[FailureDomain]
) -> FailureDomain | None:
    """Finds the domain of the next attempt: other rack, then other zone.

    The second attempt stays in the zone, which costs the least time. If it
    fails as well, the zone is suspected.

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
    order = (same, other) if len(tried) <= 1 else (other, same)
    return next(domain for part in order for domain in part)


@singledispatch
def _why_final(outcome: object, idempotent: bool) -> str:
    """Why the outcome ends the request, or an empty string.

    An interrupted exchange or a timeout may have run the request.
    """
    return "" if idempotent else "may-have-run"


@_why_final.register
def _(outcome: Answer, idempotent: bool) -> str:
    # A worker that fails everything it starts answers at once; another worker
    # may well succeed (RFC 9110 section 9.2.2 allows to repeat the request).
    if outcome.status in RETRIED_STATUSES:
        return "" if idempotent else "may-have-run"
    return "answered"


@_why_final.register(NotSent)
@_why_final.register(EndpointNotRun)
def _(outcome: NotSent | EndpointNotRun, idempotent: bool) -> str:
    return ""


@_why_final.register
def _(outcome: BadAnswer, idempotent: bool) -> str:
    if outcome.code == "response-too-large":
        return "answer-too-large-again"
    return "" if idempotent else "may-have-run"
