"""Preemption of tasks for an urgent task, or for a team below its quota.

Victims are chosen on one worker so that the least work is lost; of the sampled
workers the one with the lowest cost is chosen. Victims stop before the new task
starts on the worker.
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
from acaciawing.placement.quotas import teams_over_quota
from acaciawing.placement.records import Method, Resources
from acaciawing.placement.tasks import (
    THROTTLED_SHARE,
    Load,
    Task,
    TaskState,
    health_obstacle,
)

# Number of workers sampled, and the maximum number of those with enough victims
# whose costs are compared. Choosing the victims of one worker takes about
# 0.1 ms and a decision may take 2 ms. If no sampled worker has enough victims,
# all workers are tried.
_SAMPLED_WORKERS = 96
_MAX_COMPARED_WORKERS = 12

# Run time that a task loses by a checkpoint.
_CHECKPOINT_LOSS_S = 5.0

# Assumed delay of a throttled task.
_THROTTLE_DELAY_S = 60.0

# Borrowed tasks are preempted before others unless that loses more than four
# times (1 / this factor) as much work.
_BORROWED_COST_FACTOR = 0.25


@dataclass(frozen=True)
class PreemptionRequest:
    """A task that may preempt others.

    Attributes:
        task: A waiting task; urgent, or of a team below its quota.
        quotas: Quota of each team.
        protected: Teams whose tasks must not be preempted, see
            `protected_teams`.
    """

    task: Task
    quotas: Mapping[str, Resources] = field(default_factory=dict)
    protected: Set[str] = frozenset()


@dataclass(frozen=True)
class Victim:
    """A task to preempt.

    Attributes:
        task: The task.
        method: How it releases resources.
        cost: Processor seconds of work lost or delayed.
    """

    task: Task
    method: Method
    cost: float


@dataclass(frozen=True)
class Preemption:
    """The victims, and the worker on which the task then runs.

    Attributes:
        worker: The worker.
        worker_epoch: Epoch of its load, for the placement record.
        size: Size to reserve.
        victims: Tasks to preempt, in order of cost.
        cost: Sum of their costs.
    """

    worker: Worker
    worker_epoch: int
    size: Resources
    victims: tuple[Victim, ...]
    cost: float


@dataclass(frozen=True)
class NoVictims:
    """Preemption cannot free enough resources on any worker."""

    reasons: tuple[Reason, ...]


PreemptionDecision: TypeAlias = Preemption | NoVictims


def protected_teams(budgets: BudgetSnapshot, now: float) -> frozenset[str]:
    """Returns teams whose plan budget permits no throttling or stop now."""
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
    """Chooses the cheapest tasks to preempt for a task.

    An urgent task may preempt every task that is not urgent. Any other task may
    preempt only borrowed tasks of teams above their quota.

    Args:
        snapshot: Tasks and workers.
        request: The task, quotas and protected teams.
        now: Time on the log's clock, in seconds.
        generator: Random generator for the sample.

    Returns:
        The worker and the victims, or the reasons why there are none.
    """
    size = effective_size(snapshot, request.task)
    over_quota = teams_over_quota(snapshot.table, request.quotas)
    worker_ids = snapshot.index.worker_ids
    sampled = generator.sample(
        worker_ids, min(len(worker_ids), _SAMPLED_WORKERS)
    )
    best = _cheapest_preemption(
        snapshot, request, size, sampled, over_quota, now
    )
    if best is None:
        best = _cheapest_preemption(
            snapshot, request, size, worker_ids, over_quota, now
        )
    if best is not None:
        return best
    return NoVictims((Reason("no-lower-class", len(worker_ids)),))


def _cheapest_preemption(
    snapshot: PlacementSnapshot,
    request: PreemptionRequest,
    size: Resources,
    worker_ids: Sequence[str],
    over_quota: Mapping[str, float],
    now: float,
) -> Preemption | None:
    """Compares the first workers with enough victims by their cost.

    Returns:
        The cheapest preemption, or None if no worker has enough victims.
    """
    best: tuple[float, str, list[_Option]] | None = None
    compared = 0
    for worker_id in worker_ids:
        if not _could_run(snapshot, request.task, size, worker_id, now):
            continue
        found = _cheapest_victims(
            snapshot, request, size, worker_id, over_quota, now
        )
        if found is None:
            continue
        compared += 1
        cost = sum(o.cost for o in found)
        if best is None or cost < best[0]:
            best = (cost, worker_id, found)
        if compared == _MAX_COMPARED_WORKERS:
            break
    return None if best is None else _make_preemption(snapshot, size, *best)


def _make_preemption(
    snapshot: PlacementSnapshot,
    size: Resources,
    cost: float,
    worker_id: str,
    chosen: "list[_Option]",
) -> Preemption:
    chosen.sort(key=_BY_COST)
    victims = tuple(Victim(o.task, _method(o), o.cost) for o in chosen)
    load = snapshot.table.loads.get(worker_id, Load())
    worker = snapshot.index.workers[worker_id]
    return Preemption(worker, load.epoch, size, victims, cost)


def _could_run(
    snapshot: PlacementSnapshot,
    task: Task,
    size: Resources,
    worker_id: str,
    now: float,
) -> bool:
    """Returns whether a worker could run the task if it were idle."""
    worker = snapshot.index.workers[worker_id]
    zones = task.submitted.zones
    return (
        worker.total.covers(size)
        and (not zones or worker.zone in zones)
        and (worker.zone, worker.rack) not in task.failed_domains
        and worker_id not in snapshot.unavailable
        and health_obstacle(snapshot.table, worker_id, now) is None
    )


class _Option(NamedTuple):
    """A way to preempt one task, its cost, and the resources it frees."""

    cost: float
    offset: int
    stops: bool
    processors: float
    memory_mb: int
    accelerators: int
    task: Task


_BY_COST = itemgetter(0, 1)  # cost, then order of arrival


def _cheapest_victims(
    snapshot: PlacementSnapshot,
    request: PreemptionRequest,
    size: Resources,
    worker_id: str,
    over_quota: Mapping[str, float],
    now: float,
) -> list[_Option] | None:
    """Chooses victims on one worker greedily, in order of cost.

    Returns:
        The victims, or None if preemption can't free enough.
    """
    load = snapshot.table.loads.get(worker_id, Load())
    free = snapshot.index.free[worker_id]
    options: list[_Option] = []
    for task_id in load.tasks:
        task = snapshot.table.tasks[task_id]
        if task.state is TaskState.STOPPING:
            free = free + task.size
        elif _is_preemptible(request, task, over_quota):
            factor = _cost_factor(task, over_quota)
            if not task.throttled:
                options.append(_throttle_option(task, factor))
            options.append(_stop_option(task, factor, now))
    options.sort(key=_BY_COST)
    return _choose_greedily(options, free, size)


def _choose_greedily(
    options: list[_Option], free: Resources, size: Resources
) -> list[_Option] | None:
    """Chooses the cheapest until the size fits, then drops superfluous ones.

    Tracks the missing amount of each resource in local variables, since sums of
    `Resources` would account for most of the time of a decision.
    """
    missing_processors = size.processors - free.processors
    missing_memory_mb = size.memory_mb - free.memory_mb
    missing_accelerators = size.accelerators - free.accelerators
    chosen: dict[str, _Option] = {}
    for option in options:
        if (
            missing_processors <= 0
            and missing_memory_mb <= 0
            and missing_accelerators <= 0
        ):
            break
        task_id = option.task.submitted.task
        previous = chosen.get(task_id)
        if previous is not None:
            # A stop replaces a throttling of the same task, but not vice versa.
            if previous.stops:
                continue
            missing_processors += previous.processors
        chosen[task_id] = option
        missing_processors -= option.processors
        missing_memory_mb -= option.memory_mb
        missing_accelerators -= option.accelerators
    if (
        missing_processors > 0
        or missing_memory_mb > 0
        or missing_accelerators > 0
    ):
        return None
    for option in sorted(chosen.values(), key=_BY_COST, reverse=True):
        if (
            missing_processors + option.processors <= 0
            and missing_memory_mb + option.memory_mb <= 0
            and missing_accelerators + option.accelerators <= 0
        ):
            missing_processors += option.processors
            missing_memory_mb += option.memory_mb
            missing_accelerators += option.accelerators
            del chosen[option.task.submitted.task]
    return list(chosen.values())


def _is_preemptible(
    request: PreemptionRequest, task: Task, over_quota: Mapping[str, float]
) -> bool:
    if task.submitted.urgent or task.submitted.team in request.protected:
        return False
    return request.task.submitted.urgent or _is_reclaimable(task, over_quota)


def _is_reclaimable(task: Task, over_quota: Mapping[str, float]) -> bool:
    return task.borrowed and task.submitted.team in over_quota


def _cost_factor(task: Task, over_quota: Mapping[str, float]) -> float:
    return _BORROWED_COST_FACTOR if _is_reclaimable(task, over_quota) else 1.0


def _throttle_option(task: Task, factor: float) -> _Option:
    freed = task.size.processors * (1 - THROTTLED_SHARE)
    cost = factor * freed * _THROTTLE_DELAY_S
    return _Option(cost, task.offset, False, freed, 0, 0, task)


def _stop_option(task: Task, factor: float, now: float) -> _Option:
    lost_s = max(0.0, now - task.started_at)
    if task.submitted.checkpointable:
        lost_s = min(lost_s, _CHECKPOINT_LOSS_S)
    size = task.size
    # A restart costs about as much as a checkpoint, so stopping a task that has
    # just started is not free.
    cost = factor * max(1.0, size.processors) * (lost_s + _CHECKPOINT_LOSS_S)
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
class UrgentLatencyBudget:
    """Maximum time of each step until an urgent task runs, in seconds.

    Attributes:
        read_s: Until a control instance reads the submission (poll
            interval).
        decide_s: Decision.
        append_s: Append of the preemptions and the placement.
        confirm_s: Reading back the appended records.
        stop_s: Stop or throttle call, until the worker confirms it.
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
        """Sum of all steps; the limit is 2 s.

        >>> UrgentLatencyBudget().total_s <= 2.0
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
