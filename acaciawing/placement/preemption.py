"""Which tasks give way to an urgent task, or to a team below its quota.

Victims are chosen on one worker, by the work that is lost; the cheapest of the
sampled workers is taken. Victims stop before the new task starts on the worker.
"""

import random
from collections.abc import Iterator, Mapping, Set
from dataclasses import dataclass, field
from typing import TypeAlias

from acaciawing.budgets import (
    Action,
    BudgetSnapshot,
    Denied,
    DisruptionRequest,
    ask,
)
from acaciawing.placement.capacity import Worker
from acaciawing.placement.choice import (
    PlacementSnapshot,
    Reason,
    effective_size,
)
from acaciawing.placement.quotas import over_quota
from acaciawing.placement.records import Method, Resources
from acaciawing.placement.table import (
    THROTTLED_SHARE,
    Load,
    Task,
    TaskState,
    TaskTable,
    accepts_task,
)

# Workers of which the victims are reckoned; all are tried if none will do.
_SAMPLE = 48

# Work lost by a checkpoint, in seconds of the task.
_CHECKPOINT_S = 5.0

# A throttled task is reckoned to be delayed for this time, in seconds.
_THROTTLE_S = 60.0

# Borrowed tasks give way before others at up to this ratio of lost work.
_BORROWED_WEIGHT = 0.25


@dataclass(frozen=True)
class PreemptionRequest:
    """A task that may make others give way.

    Attributes:
        task: A waiting task; urgent, or of a team below its quota.
        quotas: Quota of each team.
        protected: Teams whose tasks must not give way, see
            `protected_teams`.
    """

    task: Task
    quotas: Mapping[str, Resources] = field(default_factory=dict)
    protected: Set[str] = frozenset()


@dataclass(frozen=True)
class Victim:
    """A task that gives way.

    Attributes:
        task: The task.
        method: How.
        cost: Processor seconds of work lost or delayed.
    """

    task: Task
    method: Method
    cost: float


@dataclass(frozen=True)
class Preemption:
    """Who gives way, and where the task then runs.

    Attributes:
        worker: The worker.
        worker_epoch: Epoch of its load, for the record.
        size: Size to reckon with.
        victims: Tasks that give way, cheapest first.
        cost: Sum of their costs.
    """

    worker: Worker
    worker_epoch: int
    size: Resources
    victims: tuple[Victim, ...]
    cost: float


@dataclass(frozen=True)
class NoVictims:
    """No worker can be cleared for the task."""

    reasons: tuple[Reason, ...]


PreemptionDecision: TypeAlias = Preemption | NoVictims


def protected_teams(budgets: BudgetSnapshot, now: float) -> frozenset[str]:
    """Teams of plans whose budget permits no throttling or stop now."""
    protected = set()
    for plan in budgets.plans.values():
        request = DisruptionRequest(Action.THROTTLE, {plan.name: 1.0})
        denied = isinstance(ask(budgets, request, now), Denied)
        if plan.team is not None and denied:
            protected.add(plan.team)
    return frozenset(protected)


def preempt(
    snapshot: PlacementSnapshot,
    request: PreemptionRequest,
    now: float,
    generator: random.Random,
) -> PreemptionDecision:
    """Chooses the cheapest tasks that give way to a task.

    An urgent task may displace every task that is not urgent. Any other task
    may displace only borrowed tasks of teams above their quota.

    Args:
        snapshot: Tasks and workers.
        request: The task, quotas and protected teams.
        now: Time on the log's clock, in seconds.
        generator: Source of the sample.

    Returns:
        The worker and the victims, or why there are none.
    """
    size = effective_size(snapshot, request.task)
    over = over_quota(snapshot.table, request.quotas)
    names = list(snapshot.index.workers)
    drawn = generator.sample(names, min(len(names), _SAMPLE))
    best = _cheapest(snapshot, request, size, drawn, over, now)
    if best is None and len(drawn) < len(names):
        best = _cheapest(snapshot, request, size, names, over, now)
    if best is not None:
        return best
    return NoVictims((Reason("no-lower-class", len(names)),))


def _cheapest(
    snapshot: PlacementSnapshot,
    request: PreemptionRequest,
    size: Resources,
    names: list[str],
    over: Mapping[str, float],
    now: float,
) -> Preemption | None:
    best: Preemption | None = None
    for name in names:
        if not _able(snapshot, request.task, size, name, now):
            continue
        found = _cleared(snapshot, request, size, name, over, now)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _able(
    snapshot: PlacementSnapshot,
    task: Task,
    size: Resources,
    name: str,
    now: float,
) -> bool:
    """Whether a worker could run the task if it were empty."""
    worker = snapshot.index.workers[name]
    zones = task.submitted.zones
    return (
        worker.total.covers(size)
        and (not zones or worker.zone in zones)
        and (worker.zone, worker.rack) not in task.failed_domains
        and name not in snapshot.unavailable
        and accepts_task(snapshot.table, name, now) is None
    )


def _cleared(
    snapshot: PlacementSnapshot,
    request: PreemptionRequest,
    size: Resources,
    name: str,
    over: Mapping[str, float],
    now: float,
) -> Preemption | None:
    """The cheapest victims on one worker; greedy, then pruned."""
    load = snapshot.table.loads.get(name, Load())
    free = snapshot.index.free[name]
    for held in load.tasks:
        task = snapshot.table.tasks[held]
        if task.state is TaskState.STOPPING:
            free = free + task.size
    victims: list[Victim] = []
    for victim in sorted(
        _options(snapshot.table, request, load, over, now),
        key=lambda v: (v.cost, v.task.offset),
    ):
        if free.covers(size):
            break
        # A stop replaces a throttle of the same task, and not the reverse.
        chosen = [v for v in victims if v.task is victim.task]
        if chosen and victim.method is Method.THROTTLE:
            continue
        for other in chosen:
            victims.remove(other)
            free = free - _freed_by(other)
        victims.append(victim)
        free = free + _freed_by(victim)
    if not free.covers(size):
        return None
    victims = _pruned(victims, free, size)
    worker = snapshot.index.workers[name]
    cost = sum(v.cost for v in victims)
    return Preemption(worker, load.epoch, size, tuple(victims), cost)


def _options(
    table: TaskTable,
    request: PreemptionRequest,
    load: Load,
    over: Mapping[str, float],
    now: float,
) -> Iterator[Victim]:
    urgent = request.task.submitted.urgent
    for name in load.tasks:
        task = table.tasks[name]
        team = task.submitted.team
        lent = task.borrowed and team in over
        if task.submitted.urgent or team in request.protected:
            continue
        if task.state is TaskState.STOPPING or not (urgent or lent):
            continue
        weight = _BORROWED_WEIGHT if lent else 1.0
        if not task.throttled:
            yield _throttle(task, weight)
        yield _stop(task, weight, now)


def _throttle(task: Task, weight: float = 1.0) -> Victim:
    lost = task.size.processors * (1 - THROTTLED_SHARE)
    return Victim(task, Method.THROTTLE, weight * lost * _THROTTLE_S)


def _stop(task: Task, weight: float, now: float) -> Victim:
    ran = max(0.0, now - task.started_at)
    method = Method.STOP
    if task.submitted.checkpointable:
        method, ran = Method.CHECKPOINT, min(ran, _CHECKPOINT_S)
    processors = max(1.0, task.size.processors)
    # Starting again costs about as much as a checkpoint, so that stopping a
    # task that has just started is not free.
    return Victim(task, method, weight * processors * (ran + _CHECKPOINT_S))


def _freed_by(victim: Victim) -> Resources:
    size = victim.task.size
    if victim.method is Method.THROTTLE:
        return Resources(size.processors * (1 - THROTTLED_SHARE))
    return size


def _pruned(
    victims: list[Victim], free: Resources, size: Resources
) -> list[Victim]:
    """Drops victims that turned out not to be needed, dearest first."""
    kept = list(victims)
    for victim in sorted(victims, key=lambda v: -v.cost):
        without = free - _freed_by(victim)
        if without.covers(size):
            kept.remove(victim)
            free = without
    return kept


@dataclass(frozen=True)
class UrgentTimes:
    """Longest times on the way of an urgent task, in seconds.

    Attributes:
        read_s: Until a control instance reads the submission (poll interval).
        decide_s: Decision.
        append_s: Append of the preemptions and the placement.
        confirm_s: Read-back of its own records.
        stop_s: Stop or throttle call until the worker confirms.
        start_s: Start call.
    """

    read_s: float = 0.5
    decide_s: float = 0.01
    append_s: float = 0.1
    confirm_s: float = 0.1
    stop_s: float = 0.75
    start_s: float = 0.25

    @property
    def total_s(self) -> float:
        """Sum; the limit is 2 s.

        >>> UrgentTimes().total_s <= 2.0
        True
        """
        return (
            self.read_s
            + self.decide_s
            + self.append_s
            + self.confirm_s
            + self.stop_s
            + self.start_s
        )
