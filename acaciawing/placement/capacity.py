"""Index of the workers by free capacity.

Workers are grouped into buckets by zone, free accelerators and the binary order
of magnitude of free processors and memory. A decision inspects only buckets
that can hold the task, so its cost does not grow with the number of full
workers.
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
    """A worker that runs tasks.

    Attributes:
        worker: Its id.
        zone: Availability zone.
        rack: Rack within the zone.
        total: Its resources when it runs no task.
    """

    worker: str
    zone: str
    rack: str
    total: Resources


class BucketKey(NamedTuple):
    """Key of a bucket; sorts from the least to the most free capacity."""

    accelerators: int
    processors: int
    memory: int
    zone: str


class Shape(NamedTuple):
    """Properties shared by workers of equal total size and failure domain."""

    total: Resources
    zone: str
    rack: str


def binary_magnitude(amount: float) -> int:
    """Returns the binary order of magnitude; 0 for less than one unit.

    >>> [binary_magnitude(x) for x in (0.5, 1, 7, 8)]
    [0, 1, 3, 4]
    """
    return 0 if amount < 1 else math.frexp(amount)[1]


@dataclass(frozen=True)
class CapacityIndex:
    """Workers by free capacity.

    Attributes:
        workers: Workers by id.
        names: Worker ids in ascending order.
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
    """Builds the index; `refresh_index` then keeps it up to date.

    Args:
        workers: Workers that accept tasks, so none that drains.
        table: The fold's tasks.
        sizes: Sizes corrected by usage, by task; other tasks have the size
            of their placement.

    Returns:
        The index.
    """
    known = {w.worker: w for w in workers}
    free = {}
    buckets: dict[BucketKey, list[str]] = {}
    shapes: dict[Shape, int] = {}
    for name, worker in known.items():
        free[name] = _free_resources(worker, table, sizes or {})
        key = _bucket_key(worker, free[name])
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
    """Updates the free capacity of some workers.

    Args:
        index: The index.
        table: The fold's tasks.
        workers: Ids of workers whose load has changed; unknown ids are
            ignored.
        sizes: Sizes corrected by usage, by task.

    Returns:
        The updated index.
    """
    free, buckets = index.free, index.buckets
    for name in workers:
        worker = index.workers.get(name)
        if worker is None:
            continue
        now_free = _free_resources(worker, table, sizes or {})
        old, new = (
            _bucket_key(worker, free[name]),
            _bucket_key(worker, now_free),
        )
        free = free.set(name, now_free)
        if old == new:
            continue
        remaining = tuple(n for n in buckets[old] if n != name)
        buckets = (
            buckets.set(old, remaining) if remaining else buckets.delete(old)
        )
        buckets = buckets.set(new, (*buckets.get(new, ()), name))
    return replace(index, free=free, buckets=buckets)


def without_worker(index: CapacityIndex, name: str) -> CapacityIndex:
    """Removes a worker that drains or has ended."""
    worker = index.workers[name]
    key = _bucket_key(worker, index.free[name])
    remaining = tuple(n for n in index.buckets[key] if n != name)
    shape = Shape(worker.total, worker.zone, worker.rack)
    count = index.shapes[shape] - 1
    buckets, shapes = index.buckets, index.shapes
    return CapacityIndex(
        index.workers.delete(name),
        tuple(n for n in index.names if n != name),
        index.free.delete(name),
        buckets.set(key, remaining) if remaining else buckets.delete(key),
        shapes.set(shape, count) if count else shapes.delete(shape),
    )


def _free_resources(
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


def _bucket_key(worker: Worker, free: Resources) -> BucketKey:
    return BucketKey(
        free.accelerators,
        binary_magnitude(free.processors),
        binary_magnitude(free.memory_mb),
        worker.zone,
    )
