"""Upkeep of running tasks: leases, stragglers and bursts of cancellations."""

from collections.abc import Collection, Iterable, Mapping, Set
from dataclasses import dataclass, field

from acaciawing.leases import Fence
from acaciawing.placement.records import (
    LEASE_EXPIRED,
    Method,
    TaskAttempt,
    TaskFailed,
    TaskLeasesRenewed,
    TasksCancelled,
)
from acaciawing.placement.tasks import TaskState, TaskTable

# Leases outlive log outages of ten minutes, in which none can be renewed. A
# worker that the platform reports as ended is not waited for.
LEASE_S = 900.0
_RENEW_BEFORE_S = 600.0

# One record of this many ids stays well below 64 KiB.
_IDS_PER_RECORD = 1000

# A task is a straggler from this multiple of its kind's median run time.
_STRAGGLER_MULTIPLE = 4.0

# A worker whose tasks take twice their usual time is taken as slow.
_SLOW_WORKER = 2.0


def renew_task_leases(
    table: TaskTable,
    reported: Iterable[TaskAttempt],
    fence: Fence,
    now: float,
) -> tuple[TaskLeasesRenewed, ...]:
    """Renews leases of tasks that their workers report, grouped.

    Args:
        table: The fold's tasks.
        reported: Placements that workers reported as running just now.
        fence: Lease of `PLACEMENT_SUBJECT`, held by this process.
        now: Time on the log's clock, in seconds.

    Returns:
        Records; none while every lease is long enough.
    """
    due = []
    for attempt in reported:
        task = table.tasks.get(attempt.task)
        if task is None or task.attempt != attempt.attempt or not task.worker:
            continue
        if task.lease_until - now < _RENEW_BEFORE_S:
            due.append(attempt)
    return tuple(
        TaskLeasesRenewed(tuple(due[i : i + _IDS_PER_RECORD]), LEASE_S, fence)
        for i in range(0, len(due), _IDS_PER_RECORD)
    )


def find_lost_tasks(
    table: TaskTable, ended_workers: Collection[str], now: float
) -> tuple[TaskFailed, ...]:
    """Placements that can run no more.

    Args:
        table: The fold's tasks.
        ended_workers: Workers that the platform lists as ended.
        now: Time on the log's clock, in seconds.

    Returns:
        A failure for each task of an ended worker or with a lapsed lease.
    """
    failures = []
    for name, task in table.tasks.items():
        if not task.worker:
            continue
        if task.worker in ended_workers:
            failures.append(TaskFailed(name, task.attempt, "worker-ended"))
        elif now > task.lease_until:
            failures.append(TaskFailed(name, task.attempt, LEASE_EXPIRED))
    return tuple(sorted(failures, key=lambda f: f.task))


@dataclass(frozen=True)
class Cancellation:
    """What a burst of cancellations takes.

    Attributes:
        records: Records to append.
        stops: Placements to stop, by worker; one call to each worker.
    """

    records: tuple[TasksCancelled, ...]
    stops: Mapping[str, tuple[TaskAttempt, ...]]


def cancel(table: TaskTable, tasks: Iterable[str]) -> Cancellation:
    """Handles a burst of cancellations in one pass over its ids.

    Args:
        table: The fold's tasks.
        tasks: Ids; unknown and repeated ones are left out.

    Returns:
        The records and the stops.
    """
    known = []
    stops: dict[str, list[TaskAttempt]] = {}
    for name in dict.fromkeys(tasks):
        task = table.tasks.get(name)
        if task is None or task.cancelled:
            continue
        known.append(name)
        if task.worker:
            attempt = TaskAttempt(name, task.attempt)
            stops.setdefault(task.worker, []).append(attempt)
    records = tuple(
        TasksCancelled(tuple(known[i : i + _IDS_PER_RECORD]))
        for i in range(0, len(known), _IDS_PER_RECORD)
    )
    return Cancellation(records, {w: tuple(s) for w, s in stops.items()})


@dataclass(frozen=True)
class StragglerView:
    """What is measured about run times.

    Attributes:
        medians: Median run time of each kind, in seconds.
        slowdowns: Run times on a worker over the usual ones, by worker.
        wanted: Workers on which shorter work waits for resources.
    """

    medians: Mapping[str, float] = field(default_factory=dict)
    slowdowns: Mapping[str, float] = field(default_factory=dict)
    wanted: Set[str] = frozenset()


@dataclass(frozen=True)
class StragglerAction:
    """What to do about a straggler.

    Attributes:
        task: Id of the task.
        attempt: Number of its placement.
        method: `Method.CHECKPOINT` to move it, `Method.THROTTLE`, or None to
            let it run.
        reason: ``slow-worker``, ``others-wait``, ``throttled-already``,
            ``no-checkpoint`` or ``nobody-waits``.
    """

    task: str
    attempt: int
    method: Method | None
    reason: str


def stragglers(
    table: TaskTable, view: StragglerView, now: float
) -> tuple[StragglerAction, ...]:
    """Finds stragglers and what to do about each.

    Args:
        table: The fold's tasks.
        view: Measured run times.
        now: Time on the log's clock, in seconds.

    Returns:
        One action for each straggler, by task id.
    """
    actions = []
    for name, task in sorted(table.tasks.items()):
        if task.state is not TaskState.RUNNING:
            continue
        usual = view.medians.get(task.submitted.kind, task.submitted.expected_s)
        if now - task.started_at < _STRAGGLER_MULTIPLE * usual:
            continue
        slow = view.slowdowns.get(task.worker, 1.0) >= _SLOW_WORKER
        method, reason = _against_straggler(
            slow,
            task.worker in view.wanted,
            task.submitted.checkpointable,
            task.throttled,
        )
        actions.append(StragglerAction(name, task.attempt, method, reason))
    return tuple(actions)


def _against_straggler(
    slow: bool, wanted: bool, checkpointable: bool, throttled: bool
) -> tuple[Method | None, str]:
    if slow and checkpointable:
        return Method.CHECKPOINT, "slow-worker"
    if not wanted:
        return None, "no-checkpoint" if slow else "nobody-waits"
    if checkpointable:
        return Method.CHECKPOINT, "others-wait"
    if throttled:
        return None, "throttled-already"
    return Method.THROTTLE, "others-wait"
