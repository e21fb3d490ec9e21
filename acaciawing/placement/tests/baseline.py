"""Naive placement: first fit by a scan over all workers, on free capacity."""

from collections import Counter

from acaciawing.placement import (
    PlacementSnapshot,
    Task,
    Worker,
    accepts_task,
    effective_size,
)


def first_fit(
    snapshot: PlacementSnapshot, task: Task, now: float
) -> Worker | None:
    """First worker that can take the task now."""
    size = effective_size(snapshot, task)
    for name, worker in snapshot.index.workers.items():
        used_p = used_m = used_a = 0.0
        load = snapshot.table.loads.get(name)
        for held in load.tasks if load else ():
            used_p += snapshot.table.tasks[held].size.processors
            used_m += snapshot.table.tasks[held].size.memory_mb
            used_a += snapshot.table.tasks[held].size.accelerators
        zones = task.submitted.zones
        if (
            worker.total.processors - used_p >= size.processors
            and worker.total.memory_mb - used_m >= size.memory_mb
            and worker.total.accelerators - used_a >= size.accelerators
            and (not zones or worker.zone in zones)
            and (worker.zone, worker.rack) not in task.failed_domains
            and name not in snapshot.unavailable
            and accepts_task(snapshot.table, name, now) is None
        ):
            return worker
    return None


def reasons_by_scan(
    snapshot: PlacementSnapshot, task: Task, now: float
) -> dict[str, int]:
    """Counts for each reason the workers that it rules out, one by one."""
    size = effective_size(snapshot, task)
    zones = task.submitted.zones
    counts: Counter[str] = Counter()
    for name, worker in snapshot.index.workers.items():
        free = snapshot.index.free[name]
        ruled_out = {
            "processors": free.processors < size.processors,
            "memory": free.memory_mb < size.memory_mb,
            "accelerators": free.accelerators < size.accelerators,
            "zone": bool(zones) and worker.zone not in zones,
            "failed-domain": (worker.zone, worker.rack) in task.failed_domains,
            "unavailable": name in snapshot.unavailable,
            accepts_task(snapshot.table, name, now) or "": True,
        }
        counts.update(code for code, holds in ruled_out.items() if holds)
    del counts[""]
    return dict(counts)


def naive_cancel(order: list[str], cancelled: list[str]) -> int:
    """Removes one cancelled task after the other from a queue.

    Returns:
        Entries looked at.
    """
    looked = 0
    for name in cancelled:
        looked += order.index(name) + 1
        order.remove(name)
    return looked
