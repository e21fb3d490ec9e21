"""Choice of a worker for a task: scores a sample of the feasible workers.

Scoring a sample instead of all workers keeps the cost of a decision flat
(the relaxed randomisation of Borg, Verma et al. 2015).
"""

import random
from collections import Counter
from collections.abc import Iterator, Set
from dataclasses import dataclass, replace
from typing import TypeAlias

from acaciawing.placement.capacity import (
    BucketKey,
    CapacityIndex,
    Worker,
    binary_magnitude,
)
from acaciawing.placement.records import Resources
from acaciawing.placement.sizes import Corrections, corrected_size
from acaciawing.placement.tasks import (
    Load,
    Task,
    TaskTable,
    health_obstacle,
)

# A larger sample hardly improves the expected rank of the best worker, but
# makes a decision slower.
_SAMPLE_SIZE = 16

# Weight of a free accelerator in a score; the other parts are at most 3 in sum.
_ACCELERATOR_WEIGHT = 4.0

# Up to this multiple of `_SAMPLE_SIZE` workers are sampled from one bucket. The
# others are checked only if no sampled worker was feasible.
_BUCKET_SAMPLE_FACTOR = 2


@dataclass(frozen=True)
class PlacementSnapshot:
    """Input of a decision.

    Attributes:
        table: The fold's tasks.
        index: Workers by free capacity.
        corrections: Measured usage of each kind of task.
        unavailable: Ids of workers that drain, move or are in a maintenance
            wave.
    """

    table: TaskTable
    index: CapacityIndex
    corrections: Corrections = Corrections()
    unavailable: Set[str] = frozenset()


@dataclass(frozen=True)
class PlacementRequest:
    """The task to place.

    Attributes:
        task: A waiting task.
    """

    task: Task


@dataclass(frozen=True)
class Reason:
    """A reason for which workers were ruled out.

    Attributes:
        code: ``processors``, ``memory``, ``accelerators``, ``zone``,
            ``failed-domain``, ``quarantined``, ``on-trial`` or
            ``unavailable``.
        workers: Number of workers that it rules out; several reasons may
            apply to one worker.
    """

    code: str
    workers: int


@dataclass(frozen=True)
class Placed:
    """The worker chosen for the task.

    Attributes:
        worker: The worker.
        worker_epoch: Epoch of its load, for the placement record.
        size: Size to reserve.
        score: Score of the worker; lower is better.
        considered: Number of workers that were scored.
    """

    worker: Worker
    worker_epoch: int
    size: Resources
    score: float
    considered: int


@dataclass(frozen=True)
class NoRoom:
    """No worker has room now, but an idle one could run the task."""

    size: Resources
    reasons: tuple[Reason, ...]


@dataclass(frozen=True)
class Unplaceable:
    """No worker could run the task, even an idle one."""

    reasons: tuple[Reason, ...]


PlacementDecision: TypeAlias = Placed | NoRoom | Unplaceable


def place(
    snapshot: PlacementSnapshot,
    request: PlacementRequest,
    now: float,
    generator: random.Random,
) -> PlacementDecision:
    """Chooses a worker.

    Finds a worker whenever one is feasible; the sample only decides which.

    Args:
        snapshot: Tasks and workers.
        request: The task.
        now: Time on the log's clock, in seconds.
        generator: Random generator for the sample.

    Returns:
        The worker, or the reasons why there is none.
    """
    task = request.task
    size = effective_size(snapshot, task)
    best: tuple[float, Worker] | None = None
    considered = 0
    for worker in _feasible_workers(snapshot, task, size, now, generator):
        considered += 1
        score = _score(snapshot, worker, size)
        if best is None or score < best[0]:
            best = (score, worker)
        if considered >= _SAMPLE_SIZE:
            break
    if best is None:
        return _explain(snapshot, task, size, now)
    worker = best[1]
    load = snapshot.table.loads.get(worker.worker, Load())
    return Placed(worker, load.epoch, size, best[0], considered)


def effective_size(snapshot: PlacementSnapshot, task: Task) -> Resources:
    """Returns the size of a task, corrected by the usage of its kind.

    A correction never makes a task unplaceable that fits with its declared
    size.
    """
    declared = task.submitted.size
    size = corrected_size(
        snapshot.corrections, task.submitted.kind, declared, task.grown
    )
    if size == declared or _fits_idle_worker(snapshot, task, size):
        return size
    # Caps the size at the total of each worker that can hold the declared size
    # and chooses the result with the most memory.
    zones = task.submitted.zones
    capped = [
        replace(
            size,
            processors=min(size.processors, shape.total.processors),
            memory_mb=min(size.memory_mb, shape.total.memory_mb),
        )
        for shape in snapshot.index.shapes
        if shape.total.covers(declared) and (not zones or shape.zone in zones)
    ]
    return max(capped, key=lambda s: s.memory_mb, default=declared)


def _fits_idle_worker(
    snapshot: PlacementSnapshot, task: Task, size: Resources
) -> bool:
    zones = task.submitted.zones
    return any(
        shape.total.covers(size)
        and (not zones or shape.zone in zones)
        and (shape.zone, shape.rack) not in task.failed_domains
        for shape in snapshot.index.shapes
    )


def _feasible_workers(
    snapshot: PlacementSnapshot,
    task: Task,
    size: Resources,
    now: float,
    generator: random.Random,
) -> Iterator[Worker]:
    """Yields feasible workers, those with the least free capacity first."""
    partly_sampled: list[tuple[str, ...]] = []
    found = False
    for key in _eligible_buckets(snapshot.index, task, size, generator):
        worker_ids = snapshot.index.buckets[key]
        if len(worker_ids) <= _BUCKET_SAMPLE_FACTOR * _SAMPLE_SIZE:
            sampled: tuple[str, ...] | list[str] = worker_ids
        else:
            sampled = generator.sample(
                worker_ids, _BUCKET_SAMPLE_FACTOR * _SAMPLE_SIZE
            )
            partly_sampled.append(worker_ids)
        for worker_id in sampled:
            if _is_feasible(snapshot, task, size, worker_id, now):
                found = True
                yield snapshot.index.workers[worker_id]
    if found:
        return
    for worker_ids in partly_sampled:
        for worker_id in worker_ids:
            if _is_feasible(snapshot, task, size, worker_id, now):
                yield snapshot.index.workers[worker_id]


def _eligible_buckets(
    index: CapacityIndex,
    task: Task,
    size: Resources,
    generator: random.Random,
) -> list[BucketKey]:
    zones = task.submitted.zones
    processors, memory = (
        binary_magnitude(size.processors),
        binary_magnitude(size.memory_mb),
    )
    keys = [
        key
        for key in index.buckets
        if key.accelerators >= size.accelerators
        and key.processors >= processors
        and key.memory >= memory
        and (not zones or key.zone in zones)
    ]
    # The order of a `Map` differs between processes; sorting keeps the choice
    # independent of it.
    keys.sort()
    # Shuffles the zones of equally free buckets, to spread the tasks.
    ranks = {key: generator.random() for key in keys}
    keys.sort(key=lambda k: (k[:3], ranks[k]))
    return keys


def _is_feasible(
    snapshot: PlacementSnapshot,
    task: Task,
    size: Resources,
    worker_id: str,
    now: float,
) -> bool:
    if worker_id in snapshot.unavailable:
        return False
    if not snapshot.index.free[worker_id].covers(size):
        return False
    if task.failed_domains:
        worker = snapshot.index.workers[worker_id]
        if (worker.zone, worker.rack) in task.failed_domains:
            return False
    return health_obstacle(snapshot.table, worker_id, now) is None


def _score(
    snapshot: PlacementSnapshot, worker: Worker, size: Resources
) -> float:
    """Scores a worker; a tight fit with balanced usage gets a low score.

    Free accelerators have the largest weight: best fit on them keeps workers
    with many free accelerators available for large tasks.
    """
    remaining = snapshot.index.free[worker.worker] - size
    total = worker.total
    processors = remaining.processors / max(1.0, total.processors)
    memory = remaining.memory_mb / max(1, total.memory_mb)
    imbalance = abs(processors - memory)
    return (
        _ACCELERATOR_WEIGHT * remaining.accelerators
        + processors
        + memory
        + imbalance
    )


def _explain(
    snapshot: PlacementSnapshot, task: Task, size: Resources, now: float
) -> NoRoom | Unplaceable:
    declared = task.submitted.size
    if not _fits_idle_worker(snapshot, task, declared):
        return Unplaceable(_reasons_when_idle(snapshot, task, declared))
    return NoRoom(size, _reasons_now(snapshot, task, size, now))


def _missing_resources(available: Resources, size: Resources) -> Iterator[str]:
    if available.processors < size.processors:
        yield "processors"
    if available.memory_mb < size.memory_mb:
        yield "memory"
    if available.accelerators < size.accelerators:
        yield "accelerators"


def _reasons_when_idle(
    snapshot: PlacementSnapshot, task: Task, size: Resources
) -> tuple[Reason, ...]:
    """Counts for each reason the workers that it rules out even when idle."""
    counts: Counter[str] = Counter()
    zones = task.submitted.zones
    for shape, workers in snapshot.index.shapes.items():
        for code in _missing_resources(shape.total, size):
            counts[code] += workers
        if zones and shape.zone not in zones:
            counts["zone"] += workers
        if (shape.zone, shape.rack) in task.failed_domains:
            counts["failed-domain"] += workers
    return _sorted_reasons(counts)


def _reasons_now(
    snapshot: PlacementSnapshot, task: Task, size: Resources, now: float
) -> tuple[Reason, ...]:
    """Counts for each reason the workers that it rules out now."""
    index = snapshot.index
    counts = _count_missing_resources(index, size)
    zones = task.submitted.zones
    for shape, workers in index.shapes.items():
        if zones and shape.zone not in zones:
            counts["zone"] += workers
        if (shape.zone, shape.rack) in task.failed_domains:
            counts["failed-domain"] += workers
    for worker_id in snapshot.unavailable:
        counts["unavailable"] += worker_id in index.workers
    for worker_id in snapshot.table.health:
        obstacle = health_obstacle(snapshot.table, worker_id, now)
        if obstacle is not None and worker_id in index.workers:
            counts[obstacle] += 1
    return _sorted_reasons(counts)


def _count_missing_resources(
    index: CapacityIndex, size: Resources
) -> Counter[str]:
    """Counts workers that lack a resource, whole buckets at a time.

    Only workers in buckets of the same order of magnitude as the size are
    checked one by one.
    """
    counts: Counter[str] = Counter()
    processors, memory = (
        binary_magnitude(size.processors),
        binary_magnitude(size.memory_mb),
    )
    for key, worker_ids in index.buckets.items():
        if key.accelerators < size.accelerators:
            counts["accelerators"] += len(worker_ids)
        if key.processors < processors:
            counts["processors"] += len(worker_ids)
        elif key.processors == processors:
            counts["processors"] += sum(
                index.free[n].processors < size.processors for n in worker_ids
            )
        if key.memory < memory:
            counts["memory"] += len(worker_ids)
        elif key.memory == memory:
            counts["memory"] += sum(
                index.free[n].memory_mb < size.memory_mb for n in worker_ids
            )
    return counts


def _sorted_reasons(counts: Counter[str]) -> tuple[Reason, ...]:
    return tuple(
        Reason(code, counts[code]) for code in sorted(counts) if counts[code]
    )
