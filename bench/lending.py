"""Simulation of alternating bursts over five pools, with lending and baselines.

Arrivals are drawn before a run, so that every policy gets the same requests.
Slots are modelled for each pool; a moving instance serves no requests.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from acaciawing.budgets import BudgetSnapshot, Ledger, PlanCounts, ledger
from acaciawing.leases import Fence
from acaciawing.lending import (
    LENDING_SUBJECT,
    DemandHistory,
    LendingRequest,
    LendingSnapshot,
    LoanTable,
    MoveIntent,
    PoolInstance,
    PoolView,
    decide,
    loans,
)
from acaciawing.lending.tests.baseline import BORROW_ABOVE_SHARE, baseline_moves
from acaciawing.measures import (
    CapacitySample,
    Summary,
    achieved_rate,
    buffer_cost,
    moves,
)
from acaciawing.records import LogPosition
from bench.bursts import DURATION_S, POOLS, SLOTS, arrivals

SEEDS = (1, 2, 3, 4, 5)
# ``naive`` keeps all instances of a pool for its requests; ``naive-offering``
# also offers tasks the instances that the current load does not need; ``none``
# neither moves nor offers.
POLICIES = ("lending", "naive", "naive-offering", "none")
SCENARIOS = ("alternating", "lasting")

_TICK_S = 0.1
_ROUND_S = 1.0
_DEADLINE_S = 2.0
_MOVE_DURATION_RANGE_S = (6.0, 14.0)
# Tasks on an offered worker are stopped or throttled within this time.
_RECALL_DELAY_S = 2.0


@dataclass(frozen=True)
class LendingFigures:
    """Figures of one run.

    Attributes:
        workers: Number of workers of each pool.
        scenario: ``alternating`` or ``lasting``.
        policy: One of `POLICIES`.
        seed: Seed of the arrivals and move times.
        moves: Moves per minute.
        moves_total: Moves in the whole run.
        buffer: Number of spare slots that are held.
        success_rate: Share of requests that started before their deadline.
        requests: Requests in the run.
    """

    workers: int
    scenario: str
    policy: str
    seed: int
    moves: Summary
    moves_total: int
    buffer: Summary
    success_rate: float
    requests: int


@dataclass(frozen=True)
class LendingComparison:
    """Lending compared with one baseline policy, summed over the seeds.

    Attributes:
        workers: Number of workers of each pool.
        scenario: The scenario.
        baseline: Name of the baseline policy.
        moves_ratio: Ratio of moves to those of the baseline; None if the
            baseline made none.
        buffer_ratio: Ratio of the mean buffer to that of the baseline.
        success_rate: Success rate of lending.
        baseline_success_rate: Success rate of the baseline.
    """

    workers: int
    scenario: str
    baseline: str
    moves_ratio: float | None
    buffer_ratio: float
    success_rate: float
    baseline_success_rate: float


@dataclass
class _Pool:
    name: str
    queue: deque[tuple[float, float]] = field(default_factory=deque)
    running: int = 0  # requests of all pools on its instances
    own_running: int = 0  # its own requests on all instances
    held: int = 0  # instances that serve requests
    recalled: list[tuple[float, int]] = field(default_factory=list)
    spill: tuple[tuple[str, int], ...] = ()


class _LendingSimulation:
    """Simulation of one policy."""

    def __init__(
        self, workers: int, scenario: str, policy: str, seed: int
    ) -> None:
        self._policy = policy
        self._random = random.Random(f"moves/{seed}")
        self._requests = deque(arrivals(workers, scenario, seed))
        self._total = len(self._requests)
        names = [f"p{number}" for number in range(POOLS)]
        self._names = names
        self._spare = names[-1]
        self._pools = {n: _Pool(n, held=workers) for n in names}
        self._home = {f"{n}-w{i}": n for n in names for i in range(workers)}
        self._owner = dict(self._home)
        self._zone = {
            f"{n}-w{i}": f"z{i % 3}" for n in names for i in range(workers)
        }
        self._epoch = dict.fromkeys(self._home, 0)
        self._moving: dict[str, tuple[float, str]] = {}
        self._ends: list[tuple[float, str, str]] = []
        self._move_durations: list[float] = []
        self._move_starts: list[float] = []
        self._samples: list[CapacitySample] = []
        self._failed = 0
        self._offset = 0
        self._loans = LoanTable()
        self._ledger = Ledger()
        self._history = DemandHistory()

    def run(self) -> tuple[list[float], list[CapacitySample], float, int]:
        """Runs the whole simulation.

        Returns:
            Start times of the moves, capacity samples, success rate, requests.
        """
        ticks = round(DURATION_S / _TICK_S)
        for tick in range(ticks):
            now = tick * _TICK_S
            if tick % round(_ROUND_S / _TICK_S) == 0:
                self._round(now)
            self._complete(now)
            self._arrive(now)
            self._dispatch(now)
            self._sample()
        rate = achieved_rate(self._total, self._failed)
        return self._move_starts, self._samples, rate, self._total

    def _complete(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, service, host = heapq.heappop(self._ends)
            self._pools[service].own_running -= 1
            self._pools[host].running -= 1
        for instance, (move_end_s, target) in list(self._moving.items()):
            if move_end_s <= now:
                del self._moving[instance]
                self._owner[instance] = target
                self._epoch[instance] += 1
                self._pools[target].held += 1
        for pool in self._pools.values():
            returned = sum(
                count for due_s, count in pool.recalled if due_s <= now
            )
            pool.recalled = [r for r in pool.recalled if r[0] > now]
            pool.held += returned

    def _arrive(self, now: float) -> None:
        while self._requests and self._requests[0][0] <= now:
            arrival_s, service, run_s = self._requests.popleft()
            self._pools[self._names[service]].queue.append((arrival_s, run_s))
        for pool in self._pools.values():
            while pool.queue and pool.queue[0][0] < now - _DEADLINE_S:
                pool.queue.popleft()
                self._failed += 1

    def _dispatch(self, now: float) -> None:
        for pool in self._pools.values():
            self._start(pool, pool, pool.held * SLOTS - pool.running, now)
        for pool in self._pools.values():
            for name, slots in pool.spill:
                host = self._pools[name]
                free = host.held * SLOTS - host.running
                self._start(pool, host, min(free, slots), now)

    def _start(self, pool: _Pool, host: _Pool, free: int, now: float) -> None:
        while pool.queue and free > 0:
            _, run_s = pool.queue.popleft()
            heapq.heappush(self._ends, (now + run_s, pool.name, host.name))
            pool.own_running += 1
            host.running += 1
            free -= 1

    def _sample(self) -> None:
        total_slots = len(self._home) * SLOTS
        busy = sum(p.running for p in self._pools.values())
        offered = 0
        for pool in self._pools.values():
            held_or_recalled = pool.held + sum(
                count for _, count in pool.recalled
            )
            excess = max(0, pool.running - held_or_recalled * SLOTS)
            offered += (
                self._available_count(pool.name) - held_or_recalled
            ) * SLOTS - excess
        self._samples.append(
            CapacitySample(_TICK_S, total_slots, busy, max(0, offered))
        )

    def _available_count(self, pool: str) -> int:
        return sum(
            owner == pool and instance not in self._moving
            for instance, owner in self._owner.items()
        )

    def _views(self) -> Mapping[str, PoolView]:
        owned: dict[str, list[PoolInstance]] = {n: [] for n in self._names}
        for name, owner in self._owner.items():
            owned[owner].append(
                PoolInstance(
                    name,
                    self._zone[name],
                    self._epoch[name],
                    name not in self._moving,
                )
            )
        return {
            pool.name: PoolView(
                pool.name,
                tuple(owned[pool.name]),
                SLOTS,
                pool.own_running + len(pool.queue),
                pool.running,
                pool.name == self._spare,
            )
            for pool in self._pools.values()
        }

    def _round(self, now: float) -> None:
        views = self._views()
        if self._policy == "lending":
            self._lending_round(views, now)
            return
        if self._policy == "none":
            return
        incoming = Counter(target for _, target in self._moving.values())
        for move in baseline_moves(views, self._home, incoming):
            self._move(move, now)
        if self._policy == "naive-offering":
            views = self._views()
            self._set_held_counts(
                {
                    name: min(
                        len(v.available),
                        max(1, -int(-v.demand // (BORROW_ABOVE_SHARE * SLOTS))),
                    )
                    for name, v in views.items()
                },
                now,
            )

    def _lending_round(self, views: Mapping[str, PoolView], now: float) -> None:
        self._fold(PlanCounts("entry-1", 1, int(now), ()), now)
        cost = sum(_MOVE_DURATION_RANGE_S) / 2
        if self._move_durations:
            cost = sum(self._move_durations) / len(self._move_durations)
        budgets = BudgetSnapshot(self._ledger, {}, frozenset({"entry-1"}))
        decision = decide(
            LendingSnapshot(self._loans, views, self._history, cost, budgets),
            LendingRequest(Fence(LENDING_SUBJECT, 0)),
            now,
        )
        self._history = decision.history
        for record in decision.records:
            self._fold(record, now)
        for move in decision.moves:
            self._move(move, now)
        for spill in decision.spills:
            self._pools[spill.pool].spill = spill.targets
        self._set_held_counts(decision.held, now)

    def _fold(self, record: object, now: float) -> None:
        position = LogPosition(self._offset, now)
        self._offset += 1
        if type(record) in loans.apply.registry:
            self._loans, _ = loans.apply(record, self._loans, position)
        else:
            self._ledger, _ = ledger.apply(record, self._ledger, position)

    def _move(self, move: MoveIntent, now: float) -> None:
        if move.instance in self._moving:
            return
        duration_s = self._random.uniform(*_MOVE_DURATION_RANGE_S)
        self._move_durations.append(duration_s)
        self._moving[move.instance] = (now + duration_s, move.target)
        self._move_starts.append(now)
        source = self._pools[move.source]
        # Moves an offered instance if there is one, else a serving one.
        held_or_recalled = source.held + sum(
            count for _, count in source.recalled
        )
        if held_or_recalled > self._available_count(move.source):
            source.held -= 1

    def _set_held_counts(
        self, requested: Mapping[str, int], now: float
    ) -> None:
        for name, count in requested.items():
            pool = self._pools[name]
            count = min(count, self._available_count(name))
            recalled = sum(c for _, c in pool.recalled)
            if count > pool.held + recalled:
                missing = count - pool.held - recalled
                pool.recalled.append((now + _RECALL_DELAY_S, missing))
            elif count < pool.held:
                pool.held = max(count, 0)


def simulate(
    workers: int, scenario: str, policy: str, seed: int
) -> LendingFigures:
    """Simulates one policy on one random workload.

    Args:
        workers: Workers of each of the five pools.
        scenario: One of `SCENARIOS`.
        policy: One of `POLICIES`.
        seed: Seed of the arrivals and move times.

    Returns:
        The figures.
    """
    move_starts, samples, rate, request_count = _LendingSimulation(
        workers, scenario, policy, seed
    ).run()
    return LendingFigures(
        workers,
        scenario,
        policy,
        seed,
        moves(move_starts, 0.0, DURATION_S),
        len(move_starts),
        buffer_cost(samples),
        rate,
        request_count,
    )


def run(
    sizes: tuple[int, ...] = (6, 8),
    seeds: tuple[int, ...] = SEEDS,
    scenarios: tuple[str, ...] = SCENARIOS,
) -> tuple[LendingFigures, ...]:
    """Simulates all policies at both pool sizes of the present users."""
    return tuple(
        simulate(workers, scenario, policy, seed)
        for workers in sizes
        for scenario in scenarios
        for policy in POLICIES
        for seed in seeds
    )


def compare(
    figures: tuple[LendingFigures, ...],
) -> tuple[LendingComparison, ...]:
    """Compares lending with each baseline policy."""
    return tuple(_comparisons(figures))


def _comparisons(
    figures: tuple[LendingFigures, ...],
) -> Iterator[LendingComparison]:
    keys = sorted({(f.workers, f.scenario) for f in figures})
    for workers, scenario in keys:
        group = [
            f for f in figures if (f.workers, f.scenario) == (workers, scenario)
        ]
        lending_figures = [f for f in group if f.policy == "lending"]
        for policy in POLICIES[1:]:
            baseline = [f for f in group if f.policy == policy]
            baseline_move_count = sum(f.moves_total for f in baseline)
            ratio = (
                sum(f.moves_total for f in lending_figures)
                / baseline_move_count
                if baseline_move_count
                else None
            )
            yield LendingComparison(
                workers,
                scenario,
                policy,
                ratio,
                sum(f.buffer.mean for f in lending_figures)
                / sum(f.buffer.mean for f in baseline),
                _success_rate(lending_figures),
                _success_rate(baseline),
            )


def _success_rate(figures: list[LendingFigures]) -> float:
    requests = sum(f.requests for f in figures)
    failed = sum(round(f.requests * (1 - f.success_rate)) for f in figures)
    return achieved_rate(requests, failed)
