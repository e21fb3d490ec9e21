"""Baseline algorithms: linear scans over all workers or queue entries."""

from collections import Counter

from acaciawing.placement import (
    PlacementSnapshot,
    Task,
    Worker,
    effective_size,
    health_obstacle,
)


def first_fit(
    snapshot: PlacementSnapshot, task: Task, now: float
) -> Worker | None:
    """Returns the first worker that can run the task now."""
    size = effective_size(snapshot, task)
    for name, worker in snapshot.index.workers.items():
        used_processors = used_memory_mb = used_accelerators = 0.0
        load = snapshot.table.loads.get(name)
        for task_id in load.tasks if load else ():
            used_processors += snapshot.table.tasks[task_id].size.processors
            used_memory_mb += snapshot.table.tasks[task_id].size.memory_mb
            used_accelerators += snapshot.table.tasks[task_id].size.accelerators
        zones = task.submitted.zones
        if (
            worker.total.processors - used_processors >= size.processors
            and worker.total.memory_mb - used_memory_mb >= size.memory_mb
            and worker.total.accelerators - used_accelerators
            >= size.accelerators
            and (not zones or worker.zone in zones)
            and (worker.zone, worker.rack) not in task.failed_domains
            and name not in snapshot.unavailable
            and health_obstacle(snapshot.table, name, now) is None
        ):
            return worker
    return None


def reasons_by_scan(
    snapshot: PlacementSnapshot, task: Task, now: float
) -> dict[str, int]:
    """Counts for each reason the workers that it rules out, by a scan."""
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
            health_obstacle(snapshot.table, name, now) or "": True,
        }
        counts.update(code for code, applies in ruled_out.items() if applies)
    del counts[""]
    return dict(counts)


def baseline_cancel(order: list[str], cancelled: list[str]) -> int:
    """Removes cancelled tasks one by one from a queue.

    Returns:
        Number of entries inspected.
    """
    inspected = 0
    for name in cancelled:
        inspected += order.index(name) + 1
        order.remove(name)
    return inspected
