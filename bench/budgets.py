"""Overspent budget under racing instances, and the cost of asking the gate.

Three control instances ask for budget from snapshots that lag, while failures
come in bursts and are counted ten seconds late.
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

# ``gate-without-share`` keeps nothing for unplanned failures; ``naive`` has
# neither that nor epoch nor hold-back.
POLICIES = ("gate", "gate-without-share", "no-epoch", "naive")
SEEDS = tuple(range(1, 21))

# The window is full of counts before the first action.
_WINDOW_S = 3600
_DURATION_S = 2 * _WINDOW_S
_REQUESTS_PER_S = 200
_INTERVAL_S = 10
_INSTANCES = 3
_LONGEST_LAG_S = 3
_ACTION_FAILURES = 15.0
_ACTION_S = 30
_FENCE = Fence("pool:p0", 0)


@dataclass(frozen=True)
class BudgetFigures:
    """Figures of one run.

    Attributes:
        policy: One of `POLICIES`; ``naive`` has neither epoch nor hold-back.
        seed: Seed of the failures and lags.
        granted: Actions that went ahead in an hour.
        broken_s: Time in which the failures of the window exceeded the budget
            and would not have without the actions, in seconds.
        overspent: Highest excess in that time, in requests.
    """

    policy: str
    seed: int
    granted: int
    broken_s: int
    overspent: float


@dataclass(frozen=True)
class GateCost:
    """Time of one decision of the gate, in microseconds.

    Attributes:
        plans: Plans that the action touches.
        instances: Entry instances that report counts.
        time_us: Distribution.
    """

    plans: int
    instances: int
    time_us: Summary


class _Run:
    """One run; a second is one step."""

    def __init__(self, policy: str, seed: int) -> None:
        self._policy = policy
        self._random = random.Random(seed)
        self._plan = Plan("gold", 0.998, 3600.0, 5.0, 1.0, 1, 1, ())
        self._ledger = Ledger()
        self._seen = [self._ledger]
        self._offset = 0
        self._actions: list[tuple[int, float]] = []
        self._natural: list[int] = []
        self._caused: list[float] = []
        self._granted = 0

    def run(self) -> tuple[int, int, float]:
        """Runs to the end.

        Returns:
            Actions, seconds in which they broke the budget, highest excess.
        """
        burst_until = -1
        allowed = (1 - self._plan.success_rate) * _REQUESTS_PER_S * _WINDOW_S
        broken, highest = 0, 0.0
        for now in range(_DURATION_S):
            if self._random.random() < 1 / 300:
                burst_until = now + self._random.randint(10, 60)
            rate = 1.5 if now < burst_until else 0.05
            # The same draws whatever the policy, so that the runs are alike.
            self._natural.append(int(rate + self._random.random()))
            self._caused.append(
                sum(f / _ACTION_S for end, f in self._actions if now < end)
            )
            if now % _INTERVAL_S == 0:
                self._count(now)
            lags = [
                self._random.randint(0, _LONGEST_LAG_S)
                for _ in range(_INSTANCES)
            ]
            if now >= _WINDOW_S:
                for instance, lag in enumerate(lags):
                    self._ask(f"{now}/{instance}", lag, now)
                natural = sum(self._natural[-_WINDOW_S:])
                excess = natural + sum(self._caused[-_WINDOW_S:]) - allowed
                # A thousandth of a request is rounding.
                if natural <= allowed and excess > 0.001:
                    broken += 1
                    highest = max(highest, excess)
            self._seen.append(self._ledger)
        return self._granted, broken, highest

    def _count(self, now: int) -> None:
        failed = sum(self._natural) + int(sum(self._caused))
        requests = _REQUESTS_PER_S * len(self._natural)
        count = PlanCount("gold", requests, failed)
        self._fold(PlanCounts("entry-1", 1, now, (count,)), now)

    def _fold(self, record: object, now: int) -> bool:
        position = LogPosition(self._offset, float(now))
        self._offset += 1
        self._ledger, verdict = ledger.apply(record, self._ledger, position)
        return verdict == Accepted()

    def _ask(self, name: str, lag: int, now: int) -> None:
        seen = self._seen[-1 - min(lag, len(self._seen) - 1)]
        snapshot = BudgetSnapshot(
            seen, {"gold": self._plan}, frozenset({"entry-1"})
        )
        amounts = self._granted_amounts(snapshot, now)
        if amounts is None:
            return
        if self._policy in ("gate", "gate-without-share"):
            record = BudgetReserved(name, amounts, 2.0 * _ACTION_S, _FENCE)
            if not self._fold(record, now):
                return
        else:
            held = Map({"gold": _ACTION_FAILURES})
            made = Reservation(held, now + 2.0 * _ACTION_S)
            self._ledger = replace(
                self._ledger,
                reservations=self._ledger.reservations.set(name, made),
            )
        self._granted += 1
        self._actions.append((now + _ACTION_S, _ACTION_FAILURES))

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


def replay(policy: str, seed: int) -> BudgetFigures:
    """Runs one policy on drawn failures.

    Args:
        policy: One of `POLICIES`.
        seed: Seed.

    Returns:
        The figures.
    """
    return BudgetFigures(policy, seed, *_Run(policy, seed).run())


def run(seeds: tuple[int, ...] = SEEDS) -> tuple[BudgetFigures, ...]:
    """Runs all policies on all seeds."""
    return tuple(replay(p, s) for p in POLICIES for s in seeds)


def gate_cost(plans: int, instances: int, rounds: int = 300) -> GateCost:
    """Measures a decision on a ledger with a day of counts.

    Args:
        plans: Plans, all touched by the action.
        instances: Entry instances.
        rounds: Decisions.

    Returns:
        The figures.
    """
    names = [f"plan-{number}" for number in range(plans)]
    table = Ledger()
    offset = 0
    # A count each five minutes fills the coarse buckets of a day.
    for number in range(288):
        for instance in range(instances):
            counts = tuple(
                PlanCount(n, 10_000 * (number + 1), number) for n in names
            )
            record = PlanCounts(f"entry-{instance}", 1, number, counts)
            position = LogPosition(offset, 300.0 * number)
            table, _ = ledger.apply(record, table, position)
            offset += 1
    by_name = {n: Plan(n, 0.99, 86_400.0, 5, 1, 1, 1, ()) for n in names}
    reporters = frozenset(f"entry-{i}" for i in range(instances))
    snapshot = BudgetSnapshot(table, by_name, reporters)
    request = DisruptionRequest(Action.REBOOT, dict.fromkeys(names, 1.0))
    times = []
    for _ in range(rounds):
        start = time.perf_counter()
        authorize_disruption(snapshot, request, 300.0 * 287)
        times.append((time.perf_counter() - start) * 1e6)
    return GateCost(plans, instances, summarise((t, 1) for t in times))
