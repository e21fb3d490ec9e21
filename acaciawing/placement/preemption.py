"""Which tasks give way to an urgent task, or to a team below its quota.

Victims are chosen on one worker, by the work that is lost; the cheapest of the
sampled workers is taken. Victims stop before the new task starts on the worker.
"""

import random
from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from operator import itemgetter
from typing import NamedTuple, TypeAlias

from acaciawing.budgets import (
    Action,
    BudgetSnapshot,
    Denied,
    DisruptionRequest,
    authorize_disruption,
)
from acaciawing.placement.capacity import Worker
from acaciawing.placement.choice import (
    PlacementSnapshot,
    Reason,
    effective_size,
)
from acaciawing.placement.quotas import over_quota
from acaciawing.placement.records import Method, Resources
from acaciawing.placement.tasks import (
    THROTTLED_SHARE,
    Load,
    Task,
    TaskState,
    accepts_task,
)

# Workers drawn, and of these the workers whose victims are reckoned: one takes
# about 0.1 ms, a decision at most 2 ms. All are tried if none of them will do.
_DRAWN = 96
_SAMPLE = 12

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
        denied = isinstance(authorize_disruption(budgets, request, now), Denied)
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
    names = snapshot.index.names
    drawn = generator.sample(names, min(len(names), _DRAWN))
    best = _cheapest(snapshot, request, size, drawn, over, now)
    if best is None:
        best = _cheapest(snapshot, request, size, names, over, now)
    if best is not None:
        return best
    return NoVictims((Reason("no-lower-class", len(names)),))


def _cheapest(
    snapshot: PlacementSnapshot,
    request: PreemptionRequest,
    size: Resources,
    names: Sequence[str],
    over: Mapping[str, float],
    now: float,
) -> Preemption | None:
    """The cheapest on the first workers that can be cleared."""
    best: tuple[float, str, list[_Option]] | None = None
    cleared = 0
    for name in names:
        if not _able(snapshot, request.task, size, name, now):
            continue
        found = _cleared(snapshot, request, size, name, over, now)
        if found is None:
            continue
        cleared += 1
        cost = sum(o.cost for o in found)
        if best is None or cost < best[0]:
            best = (cost, name, found)
        if cleared == _SAMPLE:
            break
    return None if best is None else _decided(snapshot, size, *best)


def _decided(
    snapshot: PlacementSnapshot,
    size: Resources,
    cost: float,
    name: str,
    chosen: "list[_Option]",
) -> Preemption:
    chosen.sort(key=_BY_COST)
    victims = tuple(Victim(o.task, _method(o), o.cost) for o in chosen)
    load = snapshot.table.loads.get(name, Load())
    worker = snapshot.index.workers[name]
    return Preemption(worker, load.epoch, size, victims, cost)


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


class _Option(NamedTuple):
    """A way in which one task can give way, and what it frees."""

    cost: float
    offset: int
    stops: bool
    processors: float
    memory_mb: int
    accelerators: int
    task: Task


_BY_COST = itemgetter(0, 1)  # cost, then order of arrival


def _cleared(
    snapshot: PlacementSnapshot,
    request: PreemptionRequest,
    size: Resources,
    name: str,
    over: Mapping[str, float],
    now: float,
) -> list[_Option] | None:
    """The cheapest victims on one worker; greedy, then pruned."""
    load = snapshot.table.loads.get(name, Load())
    free = snapshot.index.free[name]
    options: list[_Option] = []
    for held in load.tasks:
        task = snapshot.table.tasks[held]
        if task.state is TaskState.STOPPING:
            free = free + task.size
        elif _may_give_way(request, task, over):
            weight = _weight(task, over)
            if not task.throttled:
                options.append(_throttle(task, weight))
            options.append(_stop(task, weight, now))
    options.sort(key=_BY_COST)
    return _greedy(options, free, size)


def _greedy(
    options: list[_Option], free: Resources, size: Resources
) -> list[_Option] | None:
    """Takes the cheapest until the size fits, then drops needless ones.

    Works on what still lacks of each resource, since sums of `Resources` took
    most of the time of a decision.
    """
    processors = size.processors - free.processors
    memory_mb = size.memory_mb - free.memory_mb
    accelerators = size.accelerators - free.accelerators
    chosen: dict[str, _Option] = {}
    for option in options:
        if processors <= 0 and memory_mb <= 0 and accelerators <= 0:
            break
        name = option.task.submitted.task
        before = chosen.get(name)
        if before is not None:
            # A stop replaces a throttle of the same task, not the reverse.
            if before.stops:
                continue
            processors += before.processors
        chosen[name] = option
        processors -= option.processors
        memory_mb -= option.memory_mb
        accelerators -= option.accelerators
    if processors > 0 or memory_mb > 0 or accelerators > 0:
        return None
    for option in sorted(chosen.values(), key=_BY_COST, reverse=True):
        if (
            processors + option.processors <= 0
            and memory_mb + option.memory_mb <= 0
            and accelerators + option.accelerators <= 0
        ):
            processors += option.processors
            memory_mb += option.memory_mb
            accelerators += option.accelerators
            del chosen[option.task.submitted.task]
    return list(chosen.values())


def _may_give_way(
    request: PreemptionRequest, task: Task, over: Mapping[str, float]
) -> bool:
    if task.submitted.urgent or task.submitted.team in request.protected:
        return False
    return request.task.submitted.urgent or _lent(task, over)


def _lent(task: Task, over: Mapping[str, float]) -> bool:
    return task.borrowed and task.submitted.team in over


def _weight(task: Task, over: Mapping[str, float]) -> float:
    return _BORROWED_WEIGHT if _lent(task, over) else 1.0


def _throttle(task: Task, weight: float) -> _Option:
    freed = task.size.processors * (1 - THROTTLED_SHARE)
    cost = weight * freed * _THROTTLE_S
    return _Option(cost, task.offset, False, freed, 0, 0, task)


def _stop(task: Task, weight: float, now: float) -> _Option:
    ran = max(0.0, now - task.started_at)
    if task.submitted.checkpointable:
        ran = min(ran, _CHECKPOINT_S)
    size = task.size
    # Starting again costs about as much as a checkpoint, so that stopping a
    # task that has just started is not free.
    cost = weight * max(1.0, size.processors) * (ran + _CHECKPOINT_S)
    return _Option(
        cost,
        task.offset,
        True,
        size.processors,
        size.memory_mb,
        size.accelerators,
        task,
    )


def _method(option: _Option) -> Method:
    if not option.stops:
        return Method.THROTTLE
    if option.task.submitted.checkpointable:
        return Method.CHECKPOINT
    return Method.STOP


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
