"""Choice of a worker for one task: filter, then score sampled candidates.

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
    level,
)
from acaciawing.placement.records import Resources
from acaciawing.placement.sizes import Corrections, corrected
from acaciawing.placement.tasks import (
    Load,
    Task,
    TaskTable,
    accepts_task,
)

# Best of 16: beyond this the expected rank of the best gains little, and the
# cost of a decision grows with it.
_SAMPLE = 16

# Looks at most this many times its sample into one bucket before it moves on;
# only if nothing was found anywhere does it look at every worker left.
_TRIES = 2


@dataclass(frozen=True)
class PlacementSnapshot:
    """What a decision looks at.

    Attributes:
        table: The fold's tasks.
        index: Workers by free capacity.
        corrections: What tasks of each kind really used.
        unavailable: Workers that drain, move or are in a maintenance wave.
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
    """Why workers were ruled out.

    Attributes:
        code: ``processors``, ``memory``, ``accelerators``, ``zone``,
            ``failed-domain``, ``quarantined``, ``on-trial`` or
            ``unavailable``.
        workers: Workers that it rules out; one may count for several.
    """

    code: str
    workers: int


@dataclass(frozen=True)
class Placed:
    """The worker for the task.

    Attributes:
        worker: The worker.
        worker_epoch: Epoch of its load, for the record.
        size: Size to reckon with.
        score: Score of the worker; lower is better.
        considered: Candidates that were scored.
    """

    worker: Worker
    worker_epoch: int
    size: Resources
    score: float
    considered: int


@dataclass(frozen=True)
class NoRoom:
    """The task waits; an empty worker could run it."""

    size: Resources
    reasons: tuple[Reason, ...]


@dataclass(frozen=True)
class Unplaceable:
    """No worker could run the task, even if it were empty."""

    reasons: tuple[Reason, ...]


PlacementDecision: TypeAlias = Placed | NoRoom | Unplaceable


def place(
    snapshot: PlacementSnapshot,
    request: PlacementRequest,
    now: float,
    generator: random.Random,
) -> PlacementDecision:
    """Chooses a worker.

    It finds a worker whenever one fits; the sample only decides which.

    Args:
        snapshot: Tasks and workers.
        request: The task.
        now: Time on the log's clock, in seconds.
        generator: Source of the sample.

    Returns:
        The worker, or why there is none.
    """
    task = request.task
    size = effective_size(snapshot, task)
    best: tuple[float, Worker] | None = None
    considered = 0
    for worker in _candidates(snapshot, task, size, now, generator):
        considered += 1
        score = _score(snapshot, worker, size)
        if best is None or score < best[0]:
            best = (score, worker)
        if considered >= _SAMPLE:
            break
    if best is None:
        return _explained(snapshot, task, size, now)
    worker = best[1]
    load = snapshot.table.loads.get(worker.worker, Load())
    return Placed(worker, load.epoch, size, best[0], considered)


def effective_size(snapshot: PlacementSnapshot, task: Task) -> Resources:
    """Size of a task, corrected by what its kind used.

    A correction never makes a task unplaceable that fits as declared.
    """
    declared = task.submitted.size
    size = corrected(
        snapshot.corrections, task.submitted.kind, declared, task.grown
    )
    if size == declared or _fits_empty(snapshot, task, size):
        return size
    # The largest worker that takes it as declared, if there is one.
    capped = [
        replace(
            size,
            processors=min(size.processors, shape.total.processors),
            memory_mb=min(size.memory_mb, shape.total.memory_mb),
        )
        for shape in snapshot.index.shapes
        if shape.total.covers(declared)
    ]
    return max(capped, key=lambda s: s.memory_mb, default=declared)


def _fits_empty(
    snapshot: PlacementSnapshot, task: Task, size: Resources
) -> bool:
    zones = task.submitted.zones
    return any(
        shape.total.covers(size)
        and (not zones or shape.zone in zones)
        and (shape.zone, shape.rack) not in task.failed_domains
        for shape in snapshot.index.shapes
    )


def _candidates(
    snapshot: PlacementSnapshot,
    task: Task,
    size: Resources,
    now: float,
    generator: random.Random,
) -> Iterator[Worker]:
    """Feasible workers, tightest buckets first."""
    left: list[tuple[str, ...]] = []
    found = False
    for key in _eligible(snapshot.index, task, size, generator):
        names = snapshot.index.buckets[key]
        if len(names) <= _TRIES * _SAMPLE:
            drawn: tuple[str, ...] | list[str] = names
        else:
            drawn = generator.sample(names, _TRIES * _SAMPLE)
            left.append(names)
        for name in drawn:
            if _feasible(snapshot, task, size, name, now):
                found = True
                yield snapshot.index.workers[name]
    if found:
        return
    for names in left:
        for name in names:
            if _feasible(snapshot, task, size, name, now):
                yield snapshot.index.workers[name]


def _eligible(
    index: CapacityIndex,
    task: Task,
    size: Resources,
    generator: random.Random,
) -> list[BucketKey]:
    zones = task.submitted.zones
    processors, memory = level(size.processors), level(size.memory_mb)
    keys = [
        key
        for key in index.buckets
        if key.accelerators >= size.accelerators
        and key.processors >= processors
        and key.memory >= memory
        and (not zones or key.zone in zones)
    ]
    # The order of a `Map` differs between processes; the choice must not.
    keys.sort()
    # Zones of equally free buckets in random order, to spread the tasks.
    ranks = {key: generator.random() for key in keys}
    keys.sort(key=lambda k: (k[:3], ranks[k]))
    return keys


def _feasible(
    snapshot: PlacementSnapshot,
    task: Task,
    size: Resources,
    name: str,
    now: float,
) -> bool:
    if name in snapshot.unavailable:
        return False
    if not snapshot.index.free[name].covers(size):
        return False
    if task.failed_domains:
        worker = snapshot.index.workers[name]
        if (worker.zone, worker.rack) in task.failed_domains:
            return False
    return accepts_task(snapshot.table, name, now) is None


def _score(
    snapshot: PlacementSnapshot, worker: Worker, size: Resources
) -> float:
    """Tight fit, with processors and memory used evenly.

    Accelerators left over weigh most, since a worker that keeps many free
    ones can still take a large task (best fit).
    """
    left = snapshot.index.free[worker.worker] - size
    total = worker.total
    processors = left.processors / max(1.0, total.processors)
    memory = left.memory_mb / max(1, total.memory_mb)
    unbalanced = abs(processors - memory)
    return 4.0 * left.accelerators + processors + memory + unbalanced


def _explained(
    snapshot: PlacementSnapshot, task: Task, size: Resources, now: float
) -> NoRoom | Unplaceable:
    declared = task.submitted.size
    if not _fits_empty(snapshot, task, declared):
        return Unplaceable(_reasons_when_empty(snapshot, task, declared))
    return NoRoom(size, _reasons_now(snapshot, task, size, now))


def _lacking(have: Resources, size: Resources) -> Iterator[str]:
    if have.processors < size.processors:
        yield "processors"
    if have.memory_mb < size.memory_mb:
        yield "memory"
    if have.accelerators < size.accelerators:
        yield "accelerators"


def _reasons_when_empty(
    snapshot: PlacementSnapshot, task: Task, size: Resources
) -> tuple[Reason, ...]:
    counts: Counter[str] = Counter()
    zones = task.submitted.zones
    for shape, workers in snapshot.index.shapes.items():
        for code in _lacking(shape.total, size):
            counts[code] += workers
        if zones and shape.zone not in zones:
            counts["zone"] += workers
        if (shape.zone, shape.rack) in task.failed_domains:
            counts["failed-domain"] += workers
    return _sorted(counts)


def _reasons_now(
    snapshot: PlacementSnapshot, task: Task, size: Resources, now: float
) -> tuple[Reason, ...]:
    """Counts what rules out each worker."""
    index = snapshot.index
    counts = _lacking_now(index, size)
    zones = task.submitted.zones
    for shape, workers in index.shapes.items():
        if zones and shape.zone not in zones:
            counts["zone"] += workers
        if (shape.zone, shape.rack) in task.failed_domains:
            counts["failed-domain"] += workers
    for name in snapshot.unavailable:
        counts["unavailable"] += name in index.workers
    for name in snapshot.table.health:
        obstacle = accepts_task(snapshot.table, name, now)
        if obstacle is not None and name in index.workers:
            counts[obstacle] += 1
    return _sorted(counts)


def _lacking_now(index: CapacityIndex, size: Resources) -> Counter[str]:
    """Counts workers that lack a resource, whole buckets at a time.

    Only workers of the size's own order of magnitude are looked at one by
    one.
    """
    counts: Counter[str] = Counter()
    processors, memory = level(size.processors), level(size.memory_mb)
    for key, names in index.buckets.items():
        if key.accelerators < size.accelerators:
            counts["accelerators"] += len(names)
        if key.processors < processors:
            counts["processors"] += len(names)
        elif key.processors == processors:
            counts["processors"] += sum(
                index.free[n].processors < size.processors for n in names
            )
        if key.memory < memory:
            counts["memory"] += len(names)
        elif key.memory == memory:
            counts["memory"] += sum(
                index.free[n].memory_mb < size.memory_mb for n in names
            )
    return counts


def _sorted(counts: Counter[str]) -> tuple[Reason, ...]:
    return tuple(
        Reason(code, counts[code]) for code in sorted(counts) if counts[code]
    )
