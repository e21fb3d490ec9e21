"""Index of the workers by free capacity.

Workers are kept in buckets by zone, free accelerators and the binary order of
magnitude of free processors and memory. A decision looks only at buckets that
can hold the task, so its cost does not grow with the number of full workers.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from immutables import Map

from acaciawing.placement.records import Resources
from acaciawing.placement.tasks import Load, TaskTable


@dataclass(frozen=True)
class Worker:
    """A machine that runs tasks.

    Attributes:
        worker: Its id.
        zone: Availability zone.
        rack: Rack within the zone.
        total: Its resources when empty.
    """

    worker: str
    zone: str
    rack: str
    total: Resources


class BucketKey(NamedTuple):
    """Bucket of a worker; sorts from the tightest to the most free."""

    accelerators: int
    processors: int
    memory: int
    zone: str


class Shape(NamedTuple):
    """Workers that are alike when empty and share a failure domain."""

    total: Resources
    zone: str
    rack: str


def level(amount: float) -> int:
    """Binary order of magnitude; 0 for less than one unit.

    >>> [level(x) for x in (0.5, 1, 7, 8)]
    [0, 1, 3, 4]
    """
    return 0 if amount < 1 else math.frexp(amount)[1]


@dataclass(frozen=True)
class CapacityIndex:
    """Workers by free capacity.

    Attributes:
        workers: Workers by id.
        names: Their ids, ordered.
        free: Free resources by worker.
        buckets: Ids of the workers in each bucket.
        shapes: Number of workers of each shape.
    """

    workers: Map[str, Worker]
    names: tuple[str, ...]
    free: Map[str, Resources]
    buckets: Map[BucketKey, tuple[str, ...]]
    shapes: Map[Shape, int]


def build_index(
    workers: Iterable[Worker],
    table: TaskTable,
    sizes: Mapping[str, Resources] | None = None,
) -> CapacityIndex:
    """Builds the index of all workers; done once, then kept by `refresh_index`.

    Args:
        workers: Workers that take tasks; those that drain are left out.
        table: The fold's tasks.
        sizes: Sizes corrected by usage, by task; others count as placed.

    Returns:
        The index.
    """
    known = {w.worker: w for w in workers}
    free = {}
    buckets: dict[BucketKey, list[str]] = {}
    shapes: dict[Shape, int] = {}
    for name, worker in known.items():
        free[name] = _free(worker, table, sizes or {})
        key = _key(worker, free[name])
        buckets.setdefault(key, []).append(name)
        shape = Shape(worker.total, worker.zone, worker.rack)
        shapes[shape] = shapes.get(shape, 0) + 1
    return CapacityIndex(
        Map(known),
        tuple(sorted(known)),
        Map(free),
        Map({key: tuple(names) for key, names in buckets.items()}),
        Map(shapes),
    )


def refresh_index(
    index: CapacityIndex,
    table: TaskTable,
    workers: Iterable[str],
    sizes: Mapping[str, Resources] | None = None,
) -> CapacityIndex:
    """Brings some workers up to date.

    Args:
        index: The index.
        table: The fold's tasks.
        workers: Ids whose load has changed; unknown ones are left out.
        sizes: Sizes corrected by usage, by task.

    Returns:
        The index with their present free capacity.
    """
    free, buckets = index.free, index.buckets
    for name in workers:
        worker = index.workers.get(name)
        if worker is None:
            continue
        now_free = _free(worker, table, sizes or {})
        old, new = _key(worker, free[name]), _key(worker, now_free)
        free = free.set(name, now_free)
        if old == new:
            continue
        left = tuple(n for n in buckets[old] if n != name)
        buckets = buckets.set(old, left) if left else buckets.delete(old)
        buckets = buckets.set(new, (*buckets.get(new, ()), name))
    return replace(index, free=free, buckets=buckets)


def without(index: CapacityIndex, name: str) -> CapacityIndex:
    """Takes a worker out of the index, since it drains or is gone."""
    worker = index.workers[name]
    key = _key(worker, index.free[name])
    left = tuple(n for n in index.buckets[key] if n != name)
    shape = Shape(worker.total, worker.zone, worker.rack)
    count = index.shapes[shape] - 1
    buckets, shapes = index.buckets, index.shapes
    return CapacityIndex(
        index.workers.delete(name),
        tuple(n for n in index.names if n != name),
        index.free.delete(name),
        buckets.set(key, left) if left else buckets.delete(key),
        shapes.set(shape, count) if count else shapes.delete(shape),
    )


def _free(
    worker: Worker, table: TaskTable, sizes: Mapping[str, Resources]
) -> Resources:
    processors = worker.total.processors
    memory_mb = worker.total.memory_mb
    accelerators = worker.total.accelerators
    for name in table.loads.get(worker.worker, Load()).tasks:
        size = sizes.get(name) or table.tasks[name].size
        processors -= size.processors
        memory_mb -= size.memory_mb
        accelerators -= size.accelerators
    return Resources(processors, memory_mb, accelerators)


def _key(worker: Worker, free: Resources) -> BucketKey:
    return BucketKey(
        free.accelerators,
        level(free.processors),
        level(free.memory_mb),
        worker.zone,
    )
