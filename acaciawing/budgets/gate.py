"""Gate that must authorize every disruptive action.

The availability budget of a plan (the error budget, Beyer et al. 2016) is
(1 - promised rate) x requests in the window. The remaining budget is this less
the counted failures, the reservations, and an estimate of the failures that
the lagging counts do not include yet.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from acaciawing.budgets.ledger import Ledger, PlanAmount, reserved_failures
from acaciawing.budgets.series import COUNTS_INTERVAL_S, Series, window_totals
from acaciawing.configuration import Plan
from acaciawing.measures import achieved_rate

# Entry instances append counts every interval, so the gate assumes counts to be
# at least this old.
COUNTS_LAG_S = COUNTS_INTERVAL_S

# After three missed intervals an instance is assumed to be paused, partitioned
# or ended; the failures of its requests are then unknown.
COUNTS_STALE_S = 3 * COUNTS_INTERVAL_S

# The burn rate is the highest rate over these spans. Two intervals include a
# record of every instance; a minute averages out single failures.
_BURN_RATE_SPANS_S = (2 * COUNTS_INTERVAL_S, 60.0)

# Share of the budget that deferrable actions leave for unplanned failures. The
# failures that they cause stay in the window and add to all later ones. In
# `bench.budgets` a share of 0.25 overspends the budget, 0.4 does not.
UNPLANNED_BUDGET_SHARE = 0.4

# Tolerance for rounding errors of a budget, in failures.
_ROUNDING_TOLERANCE = 1e-9


class Action(Enum):
    """Disruptive actions, by name and whether they need a reservation."""

    MOVE = ("move", True)
    REBOOT = ("reboot", True)
    THROTTLE = ("throttle", False)
    HEDGE = ("hedge", False)
    REFUSE = ("refuse", False)

    @property
    def needs_reservation(self) -> bool:
        """Whether the action needs a reservation in the log."""
        return self.value[1]


@dataclass(frozen=True)
class BudgetSnapshot:
    """Input of the gate.

    Attributes:
        ledger: Ledger of the folded state.
        plans: Plans in force, by name.
        reporters: Entry instances on the roster; each must report counts.
        unreported: Failures that this instance has observed and not yet
            appended, by plan.
    """

    ledger: Ledger
    plans: Mapping[str, Plan]
    reporters: frozenset[str]
    unreported: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class DisruptionRequest:
    """Request for an action that may fail requests.

    Attributes:
        action: Kind of action.
        failures: Requests that it may fail, by plan; zero for a plan whose
            requests it may affect without failing them.
    """

    action: Action
    failures: Mapping[str, float]


@dataclass(frozen=True)
class Granted:
    """The action may go ahead.

    Attributes:
        amounts: Amounts to reserve before the action; empty if it needs no
            reservation.
    """

    amounts: tuple[PlanAmount, ...] = ()


@dataclass(frozen=True)
class DenialReason:
    """One reason for the denial of an action.

    Attributes:
        code: ``unknown-plan``, ``counts-missing``, ``counts-stale`` or
            ``budget-spent``.
        plan: Name of the plan, or an empty string for all plans.
        detail: Text for the operator.
    """

    code: str
    plan: str
    detail: str


@dataclass(frozen=True)
class Denied:
    """The action must not go ahead.

    Attributes:
        reasons: All reasons; those for all plans first, then by plan name.
    """

    reasons: tuple[DenialReason, ...]


GateDecision: TypeAlias = Granted | Denied


@dataclass(frozen=True)
class Budget:
    """Availability budget of one plan, in requests.

    Attributes:
        plan: Name of the plan.
        promised: Promised success rate.
        achieved: Achieved success rate over the window.
        requests: Requests counted in the window.
        allowed: Failures that the promised rate allows for them.
        failed: Failures counted in the window.
        reserved: Failures held by reservations.
        burn_rate: Current rate of failures, per second.
        held_back: Estimated failures that the lagging counts do not include.
        remaining: Budget that is left, in failures; negative if overspent.
    """

    plan: str
    promised: float
    achieved: float
    requests: int
    allowed: float
    failed: int
    reserved: float
    burn_rate: float
    held_back: float
    remaining: float


def counts_age_s(snapshot: BudgetSnapshot, now: float) -> float | None:
    """Age of the counts that the budget relies on, in seconds.

    This is the time since the last report of the roster member that has not
    reported for the longest time.

    Returns:
        The age, or None when a roster member has never reported.
    """
    oldest = now
    for instance in snapshot.reporters:
        incarnations = snapshot.ledger.sources.get(instance)
        if not incarnations:
            return None
        newest = incarnations[max(incarnations)].appended_at
        oldest = min(oldest, newest)
    return now - oldest


def burn_rate(series: Series, now: float) -> float:
    """Current rate of failures, per second.

    >>> from acaciawing.budgets.series import add_counts
    >>> burn_rate(add_counts(Series(), 100.0, 50, 20), 109.0)
    1.0
    """
    return max(
        window_totals(series, now, span)[1] / span
        for span in _BURN_RATE_SPANS_S
    )


def budget(snapshot: BudgetSnapshot, plan: Plan, now: float) -> Budget:
    """Computes the availability budget of a plan.

    Args:
        snapshot: Ledger and roster.
        plan: The plan, from the configuration in force.
        now: Time on the log's clock, in seconds.

    Returns:
        The budget with its components.
    """
    return _budget_at_age(snapshot, plan, counts_age_s(snapshot, now), now)


def _budget_at_age(
    snapshot: BudgetSnapshot, plan: Plan, age: float | None, now: float
) -> Budget:
    ledger = snapshot.ledger
    series = ledger.series.get(plan.name, Series())
    requests, failed = window_totals(series, now, plan.window_s)
    reserved = reserved_failures(ledger, plan.name, now)
    # The rate is also computed for the time up to which every roster member has
    # reported: while the log is unavailable no failure is counted, which must
    # not yield a rate of zero.
    as_of = now if age is None else now - age
    rate = burn_rate(series, as_of)
    if as_of < now:
        rate = max(rate, burn_rate(series, now))
    lag = COUNTS_LAG_S if age is None else max(COUNTS_LAG_S, age)
    held_back = rate * lag + snapshot.unreported.get(plan.name, 0)
    allowed = (1.0 - plan.success_rate) * requests
    return Budget(
        plan.name,
        plan.success_rate,
        achieved_rate(requests, failed),
        requests,
        allowed,
        failed,
        reserved,
        rate,
        held_back,
        allowed - failed - reserved - held_back,
    )


def success_rates(
    snapshot: BudgetSnapshot, now: float
) -> tuple[tuple[str, float, float], ...]:
    """Promised and achieved success rate of every plan.

    Returns:
        Triples of plan, promised rate and achieved rate, by name.
    """
    budgets = (budget(snapshot, p, now) for p in snapshot.plans.values())
    return tuple(sorted((b.plan, b.promised, b.achieved) for b in budgets))


def authorize_disruption(
    snapshot: BudgetSnapshot, request: DisruptionRequest, now: float
) -> GateDecision:
    """Decides whether a disruptive action may go ahead.

    Actions that need a reservation also need recent counts of every roster
    member. The others stay possible while the log is unavailable, with an
    estimate of uncounted failures that grows with the age of the counts.

    Args:
        snapshot: Ledger, plans, roster and unreported failures.
        request: The action and the failures that it may cause.
        now: Time on the log's clock, in seconds.

    Returns:
        `Granted` with the amounts to reserve, or `Denied` with all reasons.
    """
    age = counts_age_s(snapshot, now)
    reasons = list(_staleness_reasons(request, age))
    amounts = []
    for name in sorted(request.failures):
        plan = snapshot.plans.get(name)
        if plan is None:
            reasons.append(DenialReason("unknown-plan", name, "not in force"))
            continue
        plan_budget = _budget_at_age(snapshot, plan, age, now)
        failures = request.failures[name]
        kept = (
            UNPLANNED_BUDGET_SHARE * plan_budget.allowed
            if request.action.needs_reservation
            else 0.0
        )
        if failures > plan_budget.remaining - kept + _ROUNDING_TOLERANCE:
            detail = (
                f"requested {failures:.1f}, "
                f"remaining {plan_budget.remaining:.1f} "
                f"(failed {plan_budget.failed}, "
                f"reserved {plan_budget.reserved:.1f}, "
                f"uncounted {plan_budget.held_back:.1f}), "
                f"kept for unplanned failures {kept:.1f}"
            )
            reasons.append(DenialReason("budget-spent", name, detail))
        amounts.append(_plan_amount(snapshot.ledger, plan_budget, failures))
    if reasons:
        return Denied(tuple(reasons))
    return Granted(tuple(amounts) if request.action.needs_reservation else ())


def _staleness_reasons(
    request: DisruptionRequest, age: float | None
) -> tuple[DenialReason, ...]:
    if not request.action.needs_reservation:
        return ()
    if age is None:
        detail = "an entry instance on the roster has never reported counts"
        return (DenialReason("counts-missing", "", detail),)
    if age > COUNTS_STALE_S:
        detail = f"the oldest counts are {age:.0f} s old"
        return (DenialReason("counts-stale", "", detail),)
    return ()


def _plan_amount(
    ledger: Ledger, plan_budget: Budget, failures: float
) -> PlanAmount:
    series = ledger.series.get(plan_budget.plan, Series())
    epoch = ledger.epochs.get(plan_budget.plan, -1)
    return PlanAmount(
        plan_budget.plan,
        failures,
        epoch,
        series.failed_total,
        plan_budget.held_back,
    )
