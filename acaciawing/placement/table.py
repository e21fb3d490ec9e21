"""State of the tasks, computed from the log.

The record of a placement contains the worker's epoch. If two placements were
decided on the same free capacity, the fold accepts only the first. A task is
not placed again until its last placement has ended: it has finished or failed,
its worker has confirmed the stop, or its lease has lapsed.
"""

from dataclasses import replace
from functools import singledispatch

from immutables import Map

from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.placement.records import (
    LEASE_EXPIRED,
    PLACEMENT_SUBJECT,
    Method,
    Resources,
    TaskFailed,
    TaskFinished,
    TaskLeasesRenewed,
    TaskPlaced,
    TaskPreempted,
    TaskRefused,
    TasksCancelled,
    TaskStarted,
    TaskStopped,
    TaskSubmitted,
)
from acaciawing.placement.tasks import (
    THROTTLED_SHARE,
    Health,
    Load,
    Task,
    TaskState,
    TaskTable,
    health_obstacle,
)
from acaciawing.records import LogPosition

# Failed placements after which a task ends as failed.
MAX_FAILURES = 3

# Number of different tasks that have to fail on a worker since its last success
# before it is quarantined; one faulty task quarantines no worker.
QUARANTINE_TASK_COUNT = 3

# First quarantine of a worker; doubled each time its trial task fails too.
_QUARANTINE_S = 600.0
_MAX_QUARANTINE_S = 86_400.0

# Ids of ended tasks are retained for one to two of these periods, so that a
# late duplicate of a submission does not run again.
_ENDED_IDS_RETENTION_S = 86_400.0


@singledispatch
def apply(
    record: object, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    """Applies a record to the tasks; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: TaskSubmitted, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    task_id = record.task
    known = task_id in table.tasks or task_id in table.ended
    if known or task_id in table.ended_before:
        return table, Ignored("duplicate", task_id)
    task = Task(record, position.offset)
    return _enqueue(_rotate_ended(table, position), task), Accepted()


@apply.register
def _(
    record: TaskRefused, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    task = table.tasks.get(record.task)
    if task is None or task.state is not TaskState.WAITING:
        return table, Ignored("not-waiting", record.task)
    team = task.submitted.team
    queue = table.waiting[team].delete(record.task)
    remaining = replace(table, waiting=table.waiting.set(team, queue))
    return _end_task(remaining, task, "refused", position), Accepted()


@apply.register
def _(
    record: TaskPlaced, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    task = table.tasks.get(record.task)
    ignored = _check_subject(record.fence)
    ignored = ignored or _check_placement(record, table, task, position)
    if ignored is not None or task is None:
        return table, ignored or Ignored("unknown-task", record.task)
    load = table.loads.get(record.worker, Load())
    placed = replace(
        task,
        state=TaskState.PLACED,
        attempt=record.attempt,
        worker=record.worker,
        domain=(record.zone, record.rack),
        size=record.size,
        started_at=position.appended_at,
        lease_until=position.appended_at + record.lease_s,
        borrowed=record.borrowed,
        throttled=False,
    )
    team = task.submitted.team
    queue = table.waiting[team].delete(record.task)
    used = table.used.get(team, Resources()) + record.size
    changed = replace(
        table,
        tasks=table.tasks.set(record.task, placed),
        waiting=table.waiting.set(team, queue),
        loads=table.loads.set(
            record.worker, Load(load.epoch + 1, load.tasks | {record.task})
        ),
        used=table.used.set(team, used),
    )
    return changed, Accepted()


@apply.register
def _(
    record: TaskLeasesRenewed, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    ignored = _check_subject(record.fence)
    if ignored is not None:
        return table, ignored
    until = position.appended_at + record.lease_s
    tasks = table.tasks
    for renewal in record.attempts:
        task = tasks.get(renewal.task)
        placed = task is not None and task.worker != ""
        if task and placed and task.attempt == renewal.attempt:
            tasks = tasks.set(renewal.task, replace(task, lease_until=until))
    if tasks is table.tasks:
        return table, Ignored("stale-attempt", f"{len(record.attempts)}")
    return replace(table, tasks=tasks), Accepted()


@apply.register
def _(
    record: TaskStarted, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    task = _find_attempt(table, record.task, record.attempt)
    if isinstance(task, Ignored):
        return table, task
    if task.state is not TaskState.PLACED:
        return table, Ignored("duplicate", record.task)
    running = replace(
        task, state=TaskState.RUNNING, started_at=position.appended_at
    )
    tasks = table.tasks.set(record.task, running)
    return replace(table, tasks=tasks), Accepted()


@apply.register
def _(
    record: TaskFinished, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    task = _find_attempt(table, record.task, record.attempt)
    if isinstance(task, Ignored):
        return table, task
    freed = _release_resources(table, task)
    if task.worker in freed.health:
        freed = replace(freed, health=freed.health.delete(task.worker))
    return _end_task(freed, task, "finished", position), Accepted()


@apply.register
def _(
    record: TaskFailed, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    task = _find_attempt(table, record.task, record.attempt)
    if isinstance(task, Ignored):
        return table, task
    lapsed = position.appended_at > task.lease_until
    if record.reason == LEASE_EXPIRED and not lapsed:
        return table, Ignored("lease-held", record.task)
    freed = _add_failure(_release_resources(table, task), task, position)
    if task.cancelled:
        return _end_task(freed, task, "cancelled", position), Accepted()
    if task.failures + 1 >= MAX_FAILURES:
        return _end_task(freed, task, "failed", position), Accepted()
    retried = replace(
        task,
        failures=task.failures + 1,
        failed_domains=(*task.failed_domains, task.domain),
        grown=task.grown or record.reason == "out-of-memory",
    )
    return _enqueue(freed, retried), Accepted()


@apply.register
def _(
    record: TasksCancelled, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    tasks, waiting = table.tasks, table.waiting
    rotated = _rotate_ended(table, position)
    outcomes = rotated.ended
    for task_id in record.tasks:
        task = tasks.get(task_id)
        if task is None or task.cancelled:
            continue
        if task.worker:
            stopping = replace(task, cancelled=True, state=TaskState.STOPPING)
            tasks = tasks.set(task_id, stopping)
            continue
        team = task.submitted.team
        waiting = waiting.set(team, waiting[team].delete(task_id))
        tasks = tasks.delete(task_id)
        outcomes = outcomes.set(task_id, "cancelled")
    if tasks is table.tasks:
        return table, Ignored("unknown-task", f"{len(record.tasks)} tasks")
    changed = replace(rotated, tasks=tasks, waiting=waiting, ended=outcomes)
    return changed, Accepted()


@apply.register
def _(
    record: TaskPreempted, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    ignored = _check_subject(record.fence)
    if ignored is not None:
        return table, ignored
    task = _find_attempt(table, record.task, record.attempt)
    if isinstance(task, Ignored):
        return table, task
    if task.state is TaskState.STOPPING:
        return table, Ignored("duplicate", record.task)
    if record.method is not Method.THROTTLE:
        stopping = replace(task, state=TaskState.STOPPING)
        tasks = table.tasks.set(record.task, stopping)
        return replace(table, tasks=tasks), Accepted()
    if task.throttled:
        return table, Ignored("duplicate", record.task)
    return _throttle(table, task), Accepted()


@apply.register
def _(
    record: TaskStopped, table: TaskTable, position: LogPosition
) -> tuple[TaskTable, RecordOutcome]:
    task = _find_attempt(table, record.task, record.attempt)
    if isinstance(task, Ignored):
        return table, task
    if task.state is not TaskState.STOPPING:
        return table, Ignored("not-stopping", record.task)
    freed = _release_resources(table, task)
    if task.cancelled:
        return _end_task(freed, task, "cancelled", position), Accepted()
    return _enqueue(freed, task), Accepted()


def _check_placement(
    record: TaskPlaced,
    table: TaskTable,
    task: Task | None,
    position: LogPosition,
) -> Ignored | None:
    if task is None or task.state is not TaskState.WAITING:
        return Ignored("not-waiting", record.task)
    if record.attempt != task.attempt + 1:
        return Ignored("stale-attempt", f"{record.attempt}")
    epoch = table.loads.get(record.worker, Load()).epoch
    if record.worker_epoch != epoch:
        return Ignored("stale-epoch", f"{record.worker_epoch}, now {epoch}")
    if (record.zone, record.rack) in task.failed_domains:
        return Ignored("failed-domain", f"{record.zone}/{record.rack}")
    obstacle = health_obstacle(table, record.worker, position.appended_at)
    return Ignored(obstacle, record.worker) if obstacle else None


def _check_subject(fence: Fence) -> Ignored | None:
    if fence.subject == PLACEMENT_SUBJECT:
        return None
    return Ignored("wrong-subject", fence.subject)


def _find_attempt(
    table: TaskTable, task_id: str, attempt: int
) -> Task | Ignored:
    task = table.tasks.get(task_id)
    if task is None:
        return Ignored("unknown-task", task_id)
    if task.attempt != attempt or not task.worker:
        return Ignored("stale-attempt", f"{task_id}: {attempt}")
    return task


def _enqueue(table: TaskTable, task: Task) -> TaskTable:
    task_id, team = task.submitted.task, task.submitted.team
    task = replace(
        task,
        state=TaskState.WAITING,
        worker="",
        size=Resources(),
        borrowed=False,
        throttled=False,
    )
    queue = table.waiting.get(team, Map()).set(task_id, task.offset)
    return replace(
        table,
        tasks=table.tasks.set(task_id, task),
        waiting=table.waiting.set(team, queue),
    )


def _release_resources(table: TaskTable, task: Task) -> TaskTable:
    """Removes the task from its worker and from the usage of its team."""
    load = table.loads[task.worker]
    remaining = replace(load, tasks=load.tasks - {task.submitted.task})
    team = task.submitted.team
    used = table.used.get(team, Resources()) - task.size
    return replace(
        table,
        loads=table.loads.set(task.worker, remaining),
        used=table.used.set(team, used),
    )


def _throttle(table: TaskTable, task: Task) -> TaskTable:
    size = replace(task.size, processors=task.size.processors * THROTTLED_SHARE)
    team = task.submitted.team
    used = table.used.get(team, Resources()) - task.size + size
    throttled = replace(task, size=size, throttled=True)
    return replace(
        table,
        tasks=table.tasks.set(task.submitted.task, throttled),
        used=table.used.set(team, used),
    )


def _add_failure(
    table: TaskTable, task: Task, position: LogPosition
) -> TaskTable:
    health = table.health.get(task.worker, Health())
    failed = health.failed | {task.submitted.task}
    quarantines, until = health.quarantines, health.quarantined_until
    # Only a success clears the set, so a failed trial task starts another
    # quarantine.
    if len(failed) >= QUARANTINE_TASK_COUNT:
        duration_s = min(_QUARANTINE_S * 2**quarantines, _MAX_QUARANTINE_S)
        until = position.appended_at + duration_s
        quarantines += 1
    changed = Health(failed, until, quarantines)
    return replace(table, health=table.health.set(task.worker, changed))


def _end_task(
    table: TaskTable, task: Task, outcome: str, position: LogPosition
) -> TaskTable:
    rotated = _rotate_ended(table, position)
    task_id = task.submitted.task
    return replace(
        rotated,
        tasks=rotated.tasks.delete(task_id),
        ended=rotated.ended.set(task_id, outcome),
    )


def _rotate_ended(table: TaskTable, position: LogPosition) -> TaskTable:
    """Starts a new generation of ended ids if the current one is old enough."""
    if position.appended_at - table.generation_at < _ENDED_IDS_RETENTION_S:
        return table
    return replace(
        table,
        ended=Map(),
        ended_before=table.ended,
        generation_at=position.appended_at,
    )
