"""Replay of bursts by turns over five pools, for lending and naive versions.

Arrivals are drawn before a run, so that every policy gets the same requests.
Slots are modelled for each pool; a moving instance serves nobody.
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
# also offers those to tasks that the current load does not need; ``none``
# neither moves nor offers.
POLICIES = ("lending", "naive", "naive-offering", "none")
SCENARIOS = ("alternating", "lasting")

_TICK_S = 0.1
_ROUND_S = 1.0
_DEADLINE_S = 2.0
_MOVE_S = (6.0, 14.0)
# Tasks on an offered worker are stopped or throttled within this time.
_RECALL_S = 2.0


@dataclass(frozen=True)
class LendingFigures:
    """Figures of one run.

    Attributes:
        workers: Workers of each pool.
        scenario: ``alternating`` or ``lasting``.
        policy: One of `POLICIES`.
        seed: Seed of the arrivals and move times.
        moves: Moves a minute.
        moves_total: Moves in the whole run.
        buffer: Spare slots held.
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
    """Lending against one naive version, summed over the seeds.

    Attributes:
        workers: Workers of each pool.
        scenario: The scenario.
        naive: The naive version.
        moves_ratio: Moves over the naive version's; None if it made none.
        buffer_ratio: Mean buffer over the naive version's.
        success_rate: Success rate of lending.
        naive_success_rate: Success rate of the naive version.
    """

    workers: int
    scenario: str
    naive: str
    moves_ratio: float | None
    buffer_ratio: float
    success_rate: float
    naive_success_rate: float


@dataclass
class _Pool:
    name: str
    queue: deque[tuple[float, float]] = field(default_factory=deque)
    running: int = 0  # on its instances, whoever's requests
    own_running: int = 0  # its own requests, wherever they run
    held: int = 0  # instances that serve requests now
    recalled: list[tuple[float, int]] = field(default_factory=list)
    spill: tuple[tuple[str, int], ...] = ()


class _Replay:
    """One run of one policy."""

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
        self._move_times: list[float] = []
        self._begun: list[float] = []
        self._samples: list[CapacitySample] = []
        self._failed = 0
        self._offset = 0
        self._loans = LoanTable()
        self._ledger = Ledger()
        self._history = DemandHistory()

    def run(self) -> tuple[list[float], list[CapacitySample], float, int]:
        """Runs to the end.

        Returns:
            Times of the moves, capacity samples, success rate, requests.
        """
        ticks = round(DURATION_S / _TICK_S)
        for tick in range(ticks):
            now = tick * _TICK_S
            if tick % round(_ROUND_S / _TICK_S) == 0:
                self._round(now)
            self._settle(now)
            self._arrive(now)
            self._dispatch(now)
            self._sample()
        rate = achieved_rate(self._total, self._failed)
        return self._begun, self._samples, rate, self._total

    def _settle(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, service, host = heapq.heappop(self._ends)
            self._pools[service].own_running -= 1
            self._pools[host].running -= 1
        for instance, (at, target) in list(self._moving.items()):
            if at <= now:
                del self._moving[instance]
                self._owner[instance] = target
                self._epoch[instance] += 1
                self._pools[target].held += 1
        for pool in self._pools.values():
            done = sum(count for at, count in pool.recalled if at <= now)
            pool.recalled = [r for r in pool.recalled if r[0] > now]
            pool.held += done

    def _arrive(self, now: float) -> None:
        while self._requests and self._requests[0][0] <= now:
            at, service, run = self._requests.popleft()
            self._pools[self._names[service]].queue.append((at, run))
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
            _, run = pool.queue.popleft()
            heapq.heappush(self._ends, (now + run, pool.name, host.name))
            pool.own_running += 1
            host.running += 1
            free -= 1

    def _sample(self) -> None:
        held = len(self._home) * SLOTS
        busy = sum(p.running for p in self._pools.values())
        offered = 0
        for pool in self._pools.values():
            kept = pool.held + sum(count for _, count in pool.recalled)
            overhang = max(0, pool.running - kept * SLOTS)
            offered += (self._size(pool.name) - kept) * SLOTS - overhang
        self._samples.append(
            CapacitySample(_TICK_S, held, busy, max(0, offered))
        )

    def _size(self, pool: str) -> int:
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
        coming = Counter(target for _, target in self._moving.values())
        for move in baseline_moves(views, self._home, coming):
            self._move(move, now)
        if self._policy == "naive-offering":
            views = self._views()
            self._hold(
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
        cost = sum(_MOVE_S) / 2
        if self._move_times:
            cost = sum(self._move_times) / len(self._move_times)
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
        self._hold(decision.held, now)

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
        lasts = self._random.uniform(*_MOVE_S)
        self._move_times.append(lasts)
        self._moving[move.instance] = (now + lasts, move.target)
        self._begun.append(now)
        source = self._pools[move.source]
        # An offered instance moves first; else one that serves.
        kept = source.held + sum(count for _, count in source.recalled)
        if kept > self._size(move.source):
            source.held -= 1

    def _hold(self, wanted: Mapping[str, int], now: float) -> None:
        for name, count in wanted.items():
            pool = self._pools[name]
            count = min(count, self._size(name))
            coming = sum(c for _, c in pool.recalled)
            if count > pool.held + coming:
                more = count - pool.held - coming
                pool.recalled.append((now + _RECALL_S, more))
            elif count < pool.held:
                pool.held = max(count, 0)


def replay(
    workers: int, scenario: str, policy: str, seed: int
) -> LendingFigures:
    """Runs one policy on one drawn workload.

    Args:
        workers: Workers of each of the five pools.
        scenario: One of `SCENARIOS`.
        policy: One of `POLICIES`.
        seed: Seed of the arrivals and move times.

    Returns:
        The figures.
    """
    begun, samples, rate, total = _Replay(workers, scenario, policy, seed).run()
    return LendingFigures(
        workers,
        scenario,
        policy,
        seed,
        moves(begun, 0.0, DURATION_S),
        len(begun),
        buffer_cost(samples),
        rate,
        total,
    )


def run(
    sizes: tuple[int, ...] = (6, 8),
    seeds: tuple[int, ...] = SEEDS,
    scenarios: tuple[str, ...] = SCENARIOS,
) -> tuple[LendingFigures, ...]:
    """Runs all policies at both sizes of the present users."""
    return tuple(
        replay(workers, scenario, policy, seed)
        for workers in sizes
        for scenario in scenarios
        for policy in POLICIES
        for seed in seeds
    )


def compare(
    figures: tuple[LendingFigures, ...],
) -> tuple[LendingComparison, ...]:
    """Compares lending with each naive version."""
    return tuple(_comparisons(figures))


def _comparisons(
    figures: tuple[LendingFigures, ...],
) -> Iterator[LendingComparison]:
    keys = sorted({(f.workers, f.scenario) for f in figures})
    for workers, scenario in keys:
        here = [
            f for f in figures if (f.workers, f.scenario) == (workers, scenario)
        ]
        real = [f for f in here if f.policy == "lending"]
        for policy in POLICIES[1:]:
            naive = [f for f in here if f.policy == policy]
            made = sum(f.moves_total for f in naive)
            ratio = sum(f.moves_total for f in real) / made if made else None
            yield LendingComparison(
                workers,
                scenario,
                policy,
                ratio,
                sum(f.buffer.mean for f in real)
                / sum(f.buffer.mean for f in naive),
                _rate(real),
                _rate(naive),
            )


def _rate(figures: list[LendingFigures]) -> float:
    requests = sum(f.requests for f in figures)
    failed = sum(round(f.requests * (1 - f.success_rate)) for f in figures)
    return achieved_rate(requests, failed)
