"""State of the tasks that have not ended."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from acaciawing.placement.records import Resources, TaskSubmitted

# Share of the processors that a throttled task keeps.
THROTTLED_SHARE = 0.5


class TaskState(Enum):
    """Where a task is; a task that has ended is no longer in the table."""

    WAITING = "waiting"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True)
class Task:
    """A task that has not ended.

    Attributes:
        submitted: Its submission.
        offset: Log offset of the submission; the order of arrival.
        state: Its state.
        attempt: Number of its last placement.
        failures: Placements that failed.
        failed_domains: Zone and rack of each failed placement.
        worker: Worker that holds it, or an empty string.
        domain: Zone and rack of that worker.
        size: Size that it was placed with.
        started_at: Start of the present placement, in seconds.
        lease_until: End of its lease on the log's clock, in seconds.
        borrowed: Whether it runs above its team's quota.
        throttled: Whether it runs with fewer processors.
        cancelled: Whether it ends once it has stopped.
        grown: Whether it ran out of memory before.
    """

    submitted: TaskSubmitted
    offset: int
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    failures: int = 0
    failed_domains: tuple[tuple[str, str], ...] = ()
    worker: str = ""
    domain: tuple[str, str] = ("", "")
    size: Resources = Resources()
    started_at: float = 0.0
    lease_until: float = 0.0
    borrowed: bool = False
    throttled: bool = False
    cancelled: bool = False
    grown: bool = False


@dataclass(frozen=True)
class Load:
    """What a worker holds.

    Attributes:
        epoch: Placements accepted so far.
        tasks: Ids of its tasks.
    """

    epoch: int = 0
    tasks: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Health:
    """Failures of a worker since its last success.

    Attributes:
        failed: Different tasks that failed in a row.
        quarantined_until: End of the quarantine, in seconds.
        quarantines: Quarantines since the last success.
    """

    failed: frozenset[str] = frozenset()
    quarantined_until: float = 0.0
    quarantines: int = 0


@dataclass(frozen=True)
class TaskTable:
    """All tasks that have not ended, and what they use.

    Attributes:
        tasks: Tasks by id.
        waiting: Waiting tasks, by team and then id.
        loads: What each worker holds.
        health: Workers with a failure since their last success.
        used: Resources that each team's tasks hold.
        ended: Ids that ended lately.
        ended_before: Ids of the generation before.
        generation_at: Start of the generation, in seconds.
    """

    tasks: Map[str, Task] = field(default_factory=Map)
    waiting: Map[str, Map[str, int]] = field(default_factory=Map)
    loads: Map[str, Load] = field(default_factory=Map)
    health: Map[str, Health] = field(default_factory=Map)
    used: Map[str, Resources] = field(default_factory=Map)
    ended: Map[str, str] = field(default_factory=Map)
    ended_before: Map[str, str] = field(default_factory=Map)
    generation_at: float = 0.0


def accepts_task(table: TaskTable, worker: str, now: float) -> str | None:
    """Why a worker's health rules out a new task.

    Returns:
        ``quarantined``, ``on-trial`` (it has its one trial task), or None.
    """
    health = table.health.get(worker)
    if health is None or not health.quarantines:
        return None
    if now < health.quarantined_until:
        return "quarantined"
    load = table.loads.get(worker, Load())
    return "on-trial" if load.tasks else None
