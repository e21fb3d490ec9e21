"""State of the tasks that have not ended."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from acaciawing.placement.records import Resources, TaskSubmitted

# Share of its processors that a throttled task retains.
THROTTLED_SHARE = 0.5


class TaskState(Enum):
    """State of a task; a task that has ended is removed from the table."""

    WAITING = "waiting"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True)
class Task:
    """A task that has not ended.

    Attributes:
        submitted: Record of its submission.
        offset: Log offset of the submission; defines the order of arrival.
        state: Its state.
        attempt: Number of its last placement, from 1; 0 before the first.
        failures: Number of placements that failed.
        failed_domains: Zone and rack of each failed placement.
        worker: Worker on which it is placed, or an empty string.
        domain: Zone and rack of that worker.
        size: Size that its placement reserves.
        started_at: Time of the current placement; once the worker has
            reported the start, the time of that report. On the log's clock,
            in seconds.
        lease_until: End of its lease on the log's clock, in seconds.
        borrowed: Whether it runs above its team's quota.
        throttled: Whether its processors have been reduced.
        cancelled: Whether it ends, instead of waiting, once it has stopped.
        grown: Whether an earlier attempt ran out of memory.
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
    """Tasks placed on a worker.

    Attributes:
        epoch: Number of placements accepted so far.
        tasks: Ids of its tasks.
    """

    epoch: int = 0
    tasks: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Health:
    """Failures of a worker since its last success.

    Attributes:
        failed: Ids of the tasks that failed on it since then.
        quarantined_until: End of the quarantine, in seconds.
        quarantines: Number of quarantines since the last success.
    """

    failed: frozenset[str] = frozenset()
    quarantined_until: float = 0.0
    quarantines: int = 0


@dataclass(frozen=True)
class TaskTable:
    """All tasks that have not ended, and the state of their workers.

    Attributes:
        tasks: Tasks by id.
        waiting: Offsets of waiting tasks, by team and then task id.
        loads: Tasks of each worker, by worker id.
        health: Failures by worker id; only workers that have failed since
            their last success.
        used: Resources reserved for the placed tasks of each team.
        ended: Outcomes of tasks that ended in the current generation, by id.
        ended_before: Outcomes of the previous generation, by id.
        generation_at: Start of the current generation, in seconds.
    """

    tasks: Map[str, Task] = field(default_factory=Map)
    waiting: Map[str, Map[str, int]] = field(default_factory=Map)
    loads: Map[str, Load] = field(default_factory=Map)
    health: Map[str, Health] = field(default_factory=Map)
    used: Map[str, Resources] = field(default_factory=Map)
    ended: Map[str, str] = field(default_factory=Map)
    ended_before: Map[str, str] = field(default_factory=Map)
    generation_at: float = 0.0


def health_obstacle(table: TaskTable, worker: str, now: float) -> str | None:
    """Returns why the health of a worker rules out a new task.

    Returns:
        ``quarantined``, ``on-trial`` (after a quarantine it runs one trial
        task at a time), or None.
    """
    health = table.health.get(worker)
    if health is None or not health.quarantines:
        return None
    if now < health.quarantined_until:
        return "quarantined"
    load = table.loads.get(worker, Load())
    return "on-trial" if load.tasks else None
