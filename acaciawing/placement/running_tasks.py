"""Decisions on placed tasks: leases, stragglers and cancellations."""

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

# No lease can be renewed while the log is down, so leases outlast an outage of
# ten minutes: a lease with less time left than that is renewed. The tasks of a
# worker that the platform reports as ended fail at once, without waiting for
# their leases.
LEASE_S = 900.0
_MIN_LEASE_LEFT_S = 600.0

# A record with this many ids stays well below 64 KiB.
_MAX_IDS_PER_RECORD = 1000

# A task is a straggler from this multiple of the median run time of its kind.
_STRAGGLER_FACTOR = 4.0

# A worker is treated as slow from this multiple of the usual run times.
_SLOW_WORKER_FACTOR = 2.0


def renew_task_leases(
    table: TaskTable,
    reported: Iterable[TaskAttempt],
    fence: Fence,
    now: float,
) -> tuple[TaskLeasesRenewed, ...]:
    """Returns records that renew the leases of reported tasks.

    Args:
        table: The fold's tasks.
        reported: Placements that workers have just reported as running.
        fence: Lease of `PLACEMENT_SUBJECT`, held by this process.
        now: Time on the log's clock, in seconds.

    Returns:
        Records of up to `_MAX_IDS_PER_RECORD` placements each, for the leases
        that end soon; none if no lease does.
    """
    expiring = []
    for attempt in reported:
        task = table.tasks.get(attempt.task)
        if task is None or task.attempt != attempt.attempt or not task.worker:
            continue
        if task.lease_until - now < _MIN_LEASE_LEFT_S:
            expiring.append(attempt)
    return tuple(
        TaskLeasesRenewed(
            tuple(expiring[i : i + _MAX_IDS_PER_RECORD]), LEASE_S, fence
        )
        for i in range(0, len(expiring), _MAX_IDS_PER_RECORD)
    )


def find_lost_tasks(
    table: TaskTable, ended_workers: Collection[str], now: float
) -> tuple[TaskFailed, ...]:
    """Finds placements whose worker has ended or whose lease has lapsed.

    Args:
        table: The fold's tasks.
        ended_workers: Workers that have ended according to the platform.
        now: Time on the log's clock, in seconds.

    Returns:
        A failure for each such placement, in order of task id.
    """
    failures = []
    for task_id, task in table.tasks.items():
        if not task.worker:
            continue
        if task.worker in ended_workers:
            failures.append(TaskFailed(task_id, task.attempt, "worker-ended"))
        elif now > task.lease_until:
            failures.append(TaskFailed(task_id, task.attempt, LEASE_EXPIRED))
    return tuple(sorted(failures, key=lambda f: f.task))


@dataclass(frozen=True)
class Cancellation:
    """Actions that carry out a batch of cancellations.

    Attributes:
        records: Records to append.
        stops: Placements to stop, by worker; each worker needs one call.
    """

    records: tuple[TasksCancelled, ...]
    stops: Mapping[str, tuple[TaskAttempt, ...]]


def cancel(table: TaskTable, tasks: Iterable[str]) -> Cancellation:
    """Plans a batch of cancellations in one pass over its ids.

    Args:
        table: The fold's tasks.
        tasks: Task ids; unknown and repeated ids are ignored.

    Returns:
        The records to append and the placements to stop.
    """
    cancelled = []
    stops: dict[str, list[TaskAttempt]] = {}
    for task_id in dict.fromkeys(tasks):
        task = table.tasks.get(task_id)
        if task is None or task.cancelled:
            continue
        cancelled.append(task_id)
        if task.worker:
            attempt = TaskAttempt(task_id, task.attempt)
            stops.setdefault(task.worker, []).append(attempt)
    records = tuple(
        TasksCancelled(tuple(cancelled[i : i + _MAX_IDS_PER_RECORD]))
        for i in range(0, len(cancelled), _MAX_IDS_PER_RECORD)
    )
    return Cancellation(records, {w: tuple(s) for w, s in stops.items()})


@dataclass(frozen=True)
class RunTimeStatistics:
    """Measured run times, and the workers on which a straggler delays others.

    Attributes:
        medians: Median run time of each kind, in seconds.
        slowdowns: Ratio of the run times on a worker to the usual ones, by
            worker.
        contended: Workers for whose resources shorter tasks wait.
    """

    medians: Mapping[str, float] = field(default_factory=dict)
    slowdowns: Mapping[str, float] = field(default_factory=dict)
    contended: Set[str] = frozenset()


@dataclass(frozen=True)
class StragglerAction:
    """The action on a straggler.

    Attributes:
        task: Id of the task.
        attempt: Number of its placement.
        method: `Method.CHECKPOINT` to move it to another worker,
            `Method.THROTTLE`, or None for no action.
        reason: ``slow-worker``, ``others-wait``, ``throttled-already``,
            ``no-checkpoint`` or ``nobody-waits``.
    """

    task: str
    attempt: int
    method: Method | None
    reason: str


def straggler_actions(
    table: TaskTable, run_times: RunTimeStatistics, now: float
) -> tuple[StragglerAction, ...]:
    """Finds stragglers and chooses an action on each.

    Args:
        table: The fold's tasks.
        run_times: Measured run times and contended workers.
        now: Time on the log's clock, in seconds.

    Returns:
        One action for each straggler, in order of task id.
    """
    actions = []
    for task_id, task in sorted(table.tasks.items()):
        if task.state is not TaskState.RUNNING:
            continue
        usual = run_times.medians.get(
            task.submitted.kind, task.submitted.expected_s
        )
        if now - task.started_at < _STRAGGLER_FACTOR * usual:
            continue
        slow = run_times.slowdowns.get(task.worker, 1.0) >= _SLOW_WORKER_FACTOR
        method, reason = _choose_action(
            slow,
            task.worker in run_times.contended,
            task.submitted.checkpointable,
            task.throttled,
        )
        actions.append(StragglerAction(task_id, task.attempt, method, reason))
    return tuple(actions)


def _choose_action(
    slow: bool, contended: bool, checkpointable: bool, throttled: bool
) -> tuple[Method | None, str]:
    if slow and checkpointable:
        return Method.CHECKPOINT, "slow-worker"
    if not contended:
        return None, "no-checkpoint" if slow else "nobody-waits"
    if checkpointable:
        return Method.CHECKPOINT, "others-wait"
    if throttled:
        return None, "throttled-already"
    return Method.THROTTLE, "others-wait"
