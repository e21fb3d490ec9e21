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
    """A worker, its failure domain and its resources.

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
    """Key of a bucket; sorts from the least to the most free capacity.

    Attributes:
        accelerators: Number of free accelerators.
        processors: `binary_magnitude` of the free processors.
        memory: `binary_magnitude` of the free memory in MB.
        zone: Availability zone.
    """

    accelerators: int
    processors: int
    memory: int
    zone: str


class Shape(NamedTuple):
    """Total resources and failure domain, shared by many workers."""

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
        worker_ids: Worker ids in ascending order.
        free: Free resources by worker.
        buckets: Ids of the workers in each bucket.
        shapes: Number of workers of each shape.
    """

    workers: Map[str, Worker]
    worker_ids: tuple[str, ...]
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
        workers: Workers that accept tasks, without those that drain.
        table: The fold's tasks.
        sizes: Sizes corrected by usage, by task; other tasks have the size
            of their placement.

    Returns:
        The index.
    """
    workers_by_id = {w.worker: w for w in workers}
    free = {}
    buckets: dict[BucketKey, list[str]] = {}
    shapes: dict[Shape, int] = {}
    for worker_id, worker in workers_by_id.items():
        free[worker_id] = _free_resources(worker, table, sizes or {})
        key = _bucket_key(worker, free[worker_id])
        buckets.setdefault(key, []).append(worker_id)
        shape = Shape(worker.total, worker.zone, worker.rack)
        shapes[shape] = shapes.get(shape, 0) + 1
    return CapacityIndex(
        Map(workers_by_id),
        tuple(sorted(workers_by_id)),
        Map(free),
        Map({key: tuple(worker_ids) for key, worker_ids in buckets.items()}),
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
    for worker_id in workers:
        worker = index.workers.get(worker_id)
        if worker is None:
            continue
        now_free = _free_resources(worker, table, sizes or {})
        old, new = (
            _bucket_key(worker, free[worker_id]),
            _bucket_key(worker, now_free),
        )
        free = free.set(worker_id, now_free)
        if old == new:
            continue
        remaining = tuple(n for n in buckets[old] if n != worker_id)
        buckets = (
            buckets.set(old, remaining) if remaining else buckets.delete(old)
        )
        buckets = buckets.set(new, (*buckets.get(new, ()), worker_id))
    return replace(index, free=free, buckets=buckets)


def without_worker(index: CapacityIndex, worker_id: str) -> CapacityIndex:
    """Removes a worker that drains or has ended."""
    worker = index.workers[worker_id]
    key = _bucket_key(worker, index.free[worker_id])
    remaining = tuple(n for n in index.buckets[key] if n != worker_id)
    shape = Shape(worker.total, worker.zone, worker.rack)
    count = index.shapes[shape] - 1
    buckets, shapes = index.buckets, index.shapes
    return CapacityIndex(
        index.workers.delete(worker_id),
        tuple(n for n in index.worker_ids if n != worker_id),
        index.free.delete(worker_id),
        buckets.set(key, remaining) if remaining else buckets.delete(key),
        shapes.set(shape, count) if count else shapes.delete(shape),
    )


def _free_resources(
    worker: Worker, table: TaskTable, sizes: Mapping[str, Resources]
) -> Resources:
    processors = worker.total.processors
    memory_mb = worker.total.memory_mb
    accelerators = worker.total.accelerators
    for task_id in table.loads.get(worker.worker, Load()).tasks:
        size = sizes.get(task_id) or table.tasks[task_id].size
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
