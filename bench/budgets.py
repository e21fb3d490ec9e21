"""Overspent budget under concurrent requests, and the cost of a gate decision.

Three control instances request budget from outdated snapshots, while failures
occur in bursts and are counted up to ten seconds late.
"""

import random
import time
from dataclasses import dataclass, replace

from immutables import Map

from acaciawing.budgets import (
    UNPLANNED_BUDGET_SHARE,
    Action,
    BudgetReserved,
    BudgetSnapshot,
    DisruptionRequest,
    Granted,
    Ledger,
    PlanAmount,
    PlanCount,
    PlanCounts,
    Reservation,
    authorize_disruption,
    budget,
    ledger,
)
from acaciawing.configuration import Plan
from acaciawing.leases import Fence
from acaciawing.measures import Summary, summarise
from acaciawing.outcomes import Accepted
from acaciawing.records import LogPosition

# ``gate-without-share`` reserves no share of the budget for unplanned failures.
# ``no-epoch`` omits only the epoch check. ``naive`` omits the share, the epoch
# check and the held-back amount.
POLICIES = ("gate", "gate-without-share", "no-epoch", "naive")
SEEDS = tuple(range(1, 21))

# Actions start only after a full window of counts.
_WINDOW_S = 3600
_DURATION_S = 2 * _WINDOW_S
_REQUESTS_PER_S = 200
_COUNT_INTERVAL_S = 10
_INSTANCES = 3
_MAX_LAG_S = 3
_ACTION_FAILURES = 15.0
_ACTION_DURATION_S = 30
_FENCE = Fence("pool:p0", 0)


@dataclass(frozen=True)
class BudgetFigures:
    """Figures of one run.

    Attributes:
        policy: One of `POLICIES`.
        seed: Seed of the failures and of the snapshot lags.
        granted: Actions that were granted in the hour after the first window.
        overspent_s: Time in which the failures of the window exceeded the
            budget only because of the actions, in seconds.
        max_overspend: Highest excess in that time, in failed requests.
    """

    policy: str
    seed: int
    granted: int
    overspent_s: int
    max_overspend: float


@dataclass(frozen=True)
class GateCost:
    """Duration of one gate decision, in microseconds.

    Attributes:
        plans: Number of plans that the action affects.
        instances: Number of entry instances that report counts.
        time_us: Distribution of the durations.
    """

    plans: int
    instances: int
    time_us: Summary


class _BudgetSimulation:
    """Simulation of one policy in steps of one second."""

    def __init__(self, policy: str, seed: int) -> None:
        self._policy = policy
        self._random = random.Random(seed)
        self._plan = Plan("gold", 0.998, 3600.0, 5.0, 1.0, 1, 1, ())
        self._ledger = Ledger()
        self._ledger_history = [self._ledger]
        self._offset = 0
        self._actions: list[tuple[int, float]] = []
        self._unplanned_failures: list[int] = []
        self._action_failures: list[float] = []
        self._granted = 0

    def run(self) -> tuple[int, int, float]:
        """Runs the whole simulation.

        Returns:
            Granted actions, seconds in which they overspent the budget, highest
            excess.
        """
        burst_until = -1
        allowed = (1 - self._plan.success_rate) * _REQUESTS_PER_S * _WINDOW_S
        overspent_s, max_excess = 0, 0.0
        for now in range(_DURATION_S):
            if self._random.random() < 1 / 300:
                burst_until = now + self._random.randint(10, 60)
            failure_rate = 1.5 if now < burst_until else 0.05
            # All policies draw the same random numbers to be comparable.
            self._unplanned_failures.append(
                int(failure_rate + self._random.random())
            )
            self._action_failures.append(
                sum(
                    f / _ACTION_DURATION_S
                    for end, f in self._actions
                    if now < end
                )
            )
            if now % _COUNT_INTERVAL_S == 0:
                self._report_counts(now)
            lags = [
                self._random.randint(0, _MAX_LAG_S) for _ in range(_INSTANCES)
            ]
            if now >= _WINDOW_S:
                for instance, lag in enumerate(lags):
                    self._request_action(f"{now}/{instance}", lag, now)
                unplanned = sum(self._unplanned_failures[-_WINDOW_S:])
                excess = (
                    unplanned
                    + sum(self._action_failures[-_WINDOW_S:])
                    - allowed
                )
                # An excess below 0.001 requests is a rounding error.
                if unplanned <= allowed and excess > 0.001:
                    overspent_s += 1
                    max_excess = max(max_excess, excess)
            self._ledger_history.append(self._ledger)
        return self._granted, overspent_s, max_excess

    def _report_counts(self, now: int) -> None:
        failed = sum(self._unplanned_failures) + int(sum(self._action_failures))
        requests = _REQUESTS_PER_S * len(self._unplanned_failures)
        count = PlanCount("gold", requests, failed)
        self._apply_record(PlanCounts("entry-1", 1, now, (count,)), now)

    def _apply_record(self, record: object, now: int) -> bool:
        position = LogPosition(self._offset, float(now))
        self._offset += 1
        self._ledger, outcome = ledger.apply(record, self._ledger, position)
        return outcome == Accepted()

    def _request_action(self, name: str, lag: int, now: int) -> None:
        observed_ledger = self._ledger_history[
            -1 - min(lag, len(self._ledger_history) - 1)
        ]
        snapshot = BudgetSnapshot(
            observed_ledger, {"gold": self._plan}, frozenset({"entry-1"})
        )
        amounts = self._granted_amounts(snapshot, now)
        if amounts is None:
            return
        if self._policy in ("gate", "gate-without-share"):
            record = BudgetReserved(
                name, amounts, 2.0 * _ACTION_DURATION_S, _FENCE
            )
            if not self._apply_record(record, now):
                return
        else:
            reserved = Map({"gold": _ACTION_FAILURES})
            reservation = Reservation(reserved, now + 2.0 * _ACTION_DURATION_S)
            self._ledger = replace(
                self._ledger,
                reservations=self._ledger.reservations.set(name, reservation),
            )
        self._granted += 1
        self._actions.append((now + _ACTION_DURATION_S, _ACTION_FAILURES))

    def _granted_amounts(
        self, snapshot: BudgetSnapshot, now: int
    ) -> tuple[PlanAmount, ...] | None:
        state = budget(snapshot, self._plan, float(now))
        failures = _ACTION_FAILURES
        if self._policy == "gate-without-share":
            failures -= UNPLANNED_BUDGET_SHARE * state.allowed
        elif self._policy == "naive":
            failures -= UNPLANNED_BUDGET_SHARE * state.allowed + state.held_back
        request = DisruptionRequest(Action.REBOOT, {"gold": failures})
        decision = authorize_disruption(snapshot, request, float(now))
        if not isinstance(decision, Granted):
            return None
        return tuple(
            replace(a, failures=_ACTION_FAILURES) for a in decision.amounts
        )


def simulate(policy: str, seed: int) -> BudgetFigures:
    """Simulates one policy on random failures.

    Args:
        policy: One of `POLICIES`.
        seed: Seed.

    Returns:
        The figures.
    """
    return BudgetFigures(policy, seed, *_BudgetSimulation(policy, seed).run())


def run(seeds: tuple[int, ...] = SEEDS) -> tuple[BudgetFigures, ...]:
    """Simulates all policies with all seeds."""
    return tuple(simulate(p, s) for p in POLICIES for s in seeds)


def gate_cost(plans: int, instances: int, rounds: int = 300) -> GateCost:
    """Measures gate decisions on a ledger that holds a day of counts.

    Args:
        plans: Number of plans; the action affects all of them.
        instances: Number of entry instances.
        rounds: Number of decisions.

    Returns:
        The figures.
    """
    names = [f"plan-{number}" for number in range(plans)]
    current_ledger = Ledger()
    offset = 0
    # One count every five minutes fills the coarse buckets of a day.
    for number in range(288):
        for instance in range(instances):
            counts = tuple(
                PlanCount(n, 10_000 * (number + 1), number) for n in names
            )
            record = PlanCounts(f"entry-{instance}", 1, number, counts)
            position = LogPosition(offset, 300.0 * number)
            current_ledger, _ = ledger.apply(record, current_ledger, position)
            offset += 1
    plans_by_name = {n: Plan(n, 0.99, 86_400.0, 5, 1, 1, 1, ()) for n in names}
    reporters = frozenset(f"entry-{i}" for i in range(instances))
    snapshot = BudgetSnapshot(current_ledger, plans_by_name, reporters)
    request = DisruptionRequest(Action.REBOOT, dict.fromkeys(names, 1.0))
    times_us = []
    for _ in range(rounds):
        start = time.perf_counter()
        authorize_disruption(snapshot, request, 300.0 * 287)
        times_us.append((time.perf_counter() - start) * 1e6)
    return GateCost(plans, instances, summarise((t, 1) for t in times_us))
