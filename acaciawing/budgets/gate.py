"""The one gate that every disruptive action asks.

The availability budget of a plan (the error budget, Beyer et al. 2016) is
(1 - promised rate) x requests in the window. What remains is the budget less
the counted failures, the reservations, and the failures that the counts do not
show yet.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from acaciawing.budgets.ledger import Ledger, PlanAmount, reserved
from acaciawing.budgets.series import INTERVAL_S, Series, sums
from acaciawing.configuration import Plan
from acaciawing.measures import achieved_rate

# Entry instances append counts every interval, so counts are at least this old.
COUNTS_LAG_S = INTERVAL_S

# Three missed intervals: the instance is paused, cut off or gone, and the
# failures of its requests are unknown.
COUNTS_STALE_S = 3 * INTERVAL_S

# Two intervals hold a record of every instance; a minute smooths single
# failures. The gate uses the higher of both rates.
_BURN_SPANS_S = (2 * INTERVAL_S, 60.0)

# Share of the budget that actions which can wait leave for unplanned failures.
# What they cause stays in the window and adds to every failure that follows. In
# `bench.budgets` a share of 0.25 still broke the budget, 0.4 did not.
UNPLANNED_FAILURE_SHARE = 0.4

_ROUNDING = 1e-9


class Action(Enum):
    """Disruptive actions; the value tells whether they need a reservation."""

    MOVE = ("move", True)
    REBOOT = ("reboot", True)
    THROTTLE = ("throttle", False)
    HEDGE = ("hedge", False)
    REFUSE = ("refuse", False)

    @property
    def reserves(self) -> bool:
        """Whether the action needs a reservation in the log."""
        return self.value[1]


@dataclass(frozen=True)
class BudgetSnapshot:
    """What the gate looks at.

    Attributes:
        ledger: The fold's ledger.
        plans: Plans in force, by name.
        reporters: Entry instances on the roster; each must report counts.
        unreported: Failures that this instance has seen and not yet
            appended, by plan.
    """

    ledger: Ledger
    plans: Mapping[str, Plan]
    reporters: frozenset[str]
    unreported: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class DisruptionRequest:
    """An action that may fail requests.

    Attributes:
        action: Kind of action.
        failures: Requests that it may fail, by plan; zero for a plan whose
            requests it merely may touch.
    """

    action: Action
    failures: Mapping[str, float]


@dataclass(frozen=True)
class Granted:
    """The action may go ahead.

    Attributes:
        amounts: What to reserve first; empty when nothing need be reserved.
    """

    amounts: tuple[PlanAmount, ...] = ()


@dataclass(frozen=True)
class DenialReason:
    """Why a plan does not permit an action.

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
        reasons: All reasons, in order of plan.
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
        burn_rate: Failures a second at present.
        held_back: Failures that the lagging counts may not show yet.
        remaining: Failures that may still be caused; negative if overspent.
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
    """Age of the oldest last report of the roster, in seconds.

    Returns:
        The age, or None when a roster member never reported.
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
    """Failures a second at present.

    >>> from acaciawing.budgets.series import add
    >>> burn_rate(add(Series(), 100.0, 50, 20), 109.0)
    1.0
    """
    return max(sums(series, now, span)[1] / span for span in _BURN_SPANS_S)


def budget(snapshot: BudgetSnapshot, plan: Plan, now: float) -> Budget:
    """Computes the availability budget of a plan.

    Args:
        snapshot: Ledger and roster.
        plan: The plan as configured.
        now: Time on the log's clock, in seconds.

    Returns:
        The budget and its parts.
    """
    return _budget(snapshot, plan, counts_age_s(snapshot, now), now)


def _budget(
    snapshot: BudgetSnapshot, plan: Plan, age: float | None, now: float
) -> Budget:
    ledger = snapshot.ledger
    series = ledger.series.get(plan.name, Series())
    requests, failed = sums(series, now, plan.window_s)
    held = reserved(ledger, plan.name, now)
    # The rate is taken at the time of the newest counts: while the log is
    # away no failure is counted, which must not look like a rate of zero.
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
        held,
        rate,
        held_back,
        allowed - failed - held - held_back,
    )


def achieved(
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

    Actions that need a reservation also need fresh counts of every roster
    member. The others go on while the log is away, on an ever larger amount
    held back.

    Args:
        snapshot: Ledger, plans, roster and unreported failures.
        request: The action and what it may fail.
        now: Time on the log's clock, in seconds.

    Returns:
        `Granted` with the amounts to reserve, or `Denied` with all reasons.
    """
    age = counts_age_s(snapshot, now)
    reasons = list(_staleness(request, age))
    amounts = []
    for name in sorted(request.failures):
        plan = snapshot.plans.get(name)
        if plan is None:
            reasons.append(DenialReason("unknown-plan", name, "not in force"))
            continue
        state = _budget(snapshot, plan, age, now)
        failures = request.failures[name]
        kept = (
            UNPLANNED_FAILURE_SHARE * state.allowed
            if request.action.reserves
            else 0.0
        )
        if failures > state.remaining - kept + _ROUNDING:
            detail = (
                f"asks {failures:.1f}, remaining {state.remaining:.1f} "
                f"(failed {state.failed}, reserved {state.reserved:.1f}, "
                f"held back {state.held_back:.1f}), kept {kept:.1f}"
            )
            reasons.append(DenialReason("budget-spent", name, detail))
        amounts.append(_amount(snapshot.ledger, state, failures))
    if reasons:
        return Denied(tuple(reasons))
    return Granted(tuple(amounts) if request.action.reserves else ())


def _staleness(
    request: DisruptionRequest, age: float | None
) -> tuple[DenialReason, ...]:
    if not request.action.reserves:
        return ()
    if age is None:
        detail = "an entry instance on the roster has not reported"
        return (DenialReason("counts-missing", "", detail),)
    if age > COUNTS_STALE_S:
        detail = f"oldest report is {age:.0f} s old"
        return (DenialReason("counts-stale", "", detail),)
    return ()


def _amount(ledger: Ledger, state: Budget, failures: float) -> PlanAmount:
    series = ledger.series.get(state.plan, Series())
    epoch = ledger.epochs.get(state.plan, -1)
    return PlanAmount(
        state.plan, failures, epoch, series.failed_total, state.held_back
    )
