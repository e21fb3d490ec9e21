"""Placement decisions of a control round.

The holder of the placement lease makes all decisions on tasks. Its calls follow
from the accepted state, and their operation ids identify the task and its
attempt, so a new holder can safely repeat them. A worker's report is recorded
before any other decision relies on it.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from acaciawing.control.proposals import Proposal
from acaciawing.control.view import (
    CHECKPOINT_TASK,
    START_TASK,
    STOP_TASK,
    TASKS,
    THROTTLE_TASK,
    ControlView,
    WorkerCall,
)
from acaciawing.control.wave_decisions import make_budget_snapshot
from acaciawing.fold import FleetState
from acaciawing.leases import Fence
from acaciawing.ownership import SERVING
from acaciawing.placement import (
    LEASE_S,
    PLACEMENT_SUBJECT,
    Candidate,
    Load,
    NoRoom,
    Placed,
    PlacementRequest,
    PlacementSnapshot,
    Preemption,
    PreemptionRequest,
    Reason,
    Resources,
    Task,
    TaskAttempt,
    TaskFailed,
    TaskFinished,
    TaskPlaced,
    TaskPreempted,
    TaskRefused,
    TaskStarted,
    TaskState,
    TaskStopped,
    TaskTable,
    Unplaceable,
    Worker,
    build_index,
    find_lost_tasks,
    place,
    preempt,
    protected_teams,
    refresh_index,
    renew_task_leases,
    waiting_order,
)
from acaciawing.placement.table import apply
from acaciawing.platform import Listing, ReportedTask, TaskStart
from acaciawing.records import LogPosition

# Interval at which the reports of a worker with tasks are requested.
_REPORT_INTERVAL_S = 5.0

# An older report renews no task lease.
_MAX_REPORT_AGE_S = 10.0

# A worker that did not answer is not called again for this time. A call to an
# unreachable worker may delay all others for its whole timeout of 2 s.
_RETRY_S = 2.0

# Limit of the calls of a round, since they are made one after another.
_MAX_CALLS = 20

# Limit of the decisions on waiting tasks in a round. A round appends fewer
# records than that; the rest is for tasks without room, which produce none.
_MAX_DECISIONS = 32

# A task is treated as lost only this long after its lease expired. Renewals keep
# the lease at `TASK_CONTACT_TIMEOUT_S` or more, the time for which a worker runs
# a task after the last call. That call may be made later than the last possible
# renewal, just before the holder loses its own lease; this time covers the
# difference.
_LAPSED_LEASE_GRACE_S = 60.0

# Records that the next decision of this process must take into account.
_DECISION_RECORDS = TaskPlaced | TaskPreempted | TaskRefused


def place_tasks(
    state: FleetState, view: ControlView, now: float, random: Random
) -> Proposal:
    """Decides placements, renewals and calls under the placement lease."""
    fence = view.fence(PLACEMENT_SUBJECT, now)
    if fence is None or view.listing is None:
        return Proposal(subjects=(PLACEMENT_SUBJECT,))
    reported = tuple(_reported_changes(state.tasks, view))
    records: list[object] = [
        *reported,
        *_lost_tasks(state, view, view.listing),
        *renew_task_leases(
            state.tasks, _running_attempts(view, now), fence, view.log_now
        ),
    ]
    # Room that these records free is used in the same round. An urgent task
    # that waited for the next round would miss its limit of 2 s.
    table = state.tasks
    for record in reported:
        table = _apply_record(table, record, view)
    table = _apply_pending(table, view)
    if any(table.waiting.values()):
        records += _decide_waiting(state, view, table, fence, random)
    calls = _calls(state.tasks, view, fence, now)
    return Proposal((PLACEMENT_SUBJECT,), tuple(records), tuple(calls))


def _reported_changes(
    table: TaskTable, view: ControlView
) -> Iterator[TaskStarted | TaskStopped | TaskFinished | TaskFailed]:
    """Yields records for reports of workers that the state doesn't reflect."""
    for worker, reports in sorted(view.tasks.items()):
        for report in reports:
            task = table.tasks.get(report.task)
            if task is None or task.worker != worker:
                continue
            if task.attempt != report.attempt:
                continue
            key = report.task, report.attempt
            if report.state == "running":
                if task.state is TaskState.PLACED:
                    yield TaskStarted(*key)
            elif report.state == "finished":
                yield TaskFinished(*key)
            elif report.state == "failed":
                yield TaskFailed(*key, report.reason or "failed")
            elif task.state is TaskState.STOPPING:
                yield TaskStopped(*key)
            else:
                yield TaskFailed(*key, "stopped-by-worker")


def _lost_tasks(
    state: FleetState, view: ControlView, listing: Listing
) -> tuple[TaskFailed, ...]:
    """Returns failures of tasks whose worker was retired or lease expired.

    An instance is retired only after the platform reported it as unknown, and
    tasks are placed only on owned instances.
    """
    listed = {i.instance for i in listing.instances}
    owned = state.ownership.instances
    ended = {
        worker
        for worker, load in state.tasks.loads.items()
        if load.tasks and worker not in owned and worker not in listed
    }
    return find_lost_tasks(
        state.tasks, ended, view.log_now - _LAPSED_LEASE_GRACE_S
    )


def _running_attempts(view: ControlView, now: float) -> Iterator[TaskAttempt]:
    for worker, reports in sorted(view.tasks.items()):
        if now - view.tasks_at[worker] > _MAX_REPORT_AGE_S:
            continue
        for report in reports:
            if report.state == "running":
                yield TaskAttempt(report.task, report.attempt)


def _apply_pending(table: TaskTable, view: ControlView) -> TaskTable:
    """Applies records of this process that were not read back yet."""
    sent = [r for r in view.pending_records if isinstance(r, _DECISION_RECORDS)]
    # Placements on one worker have to be applied in the order of its epochs.
    sent.sort(key=lambda r: (getattr(r, "worker_epoch", 0), r.task))
    for record in sent:
        table = _apply_record(table, record, view)
    return table


def _apply_record(
    table: TaskTable, record: object, view: ControlView
) -> TaskTable:
    return apply(record, table, LogPosition(0, view.log_now))[0]


def _decide_waiting(
    state: FleetState,
    view: ControlView,
    table: TaskTable,
    fence: Fence,
    random: Random,
) -> list[object]:
    """Places or refuses waiting tasks, or preempts others, in queue order."""
    workers, unavailable = _list_workers(state, view)
    index = build_index(workers, table)
    snapshot = PlacementSnapshot(table, index, unavailable=unavailable)
    protected = protected_teams(make_budget_snapshot(state), view.log_now)
    records: list[object] = []
    unsatisfiable: set[object] = set()
    reserved: set[str] = set()
    # A team without a quota always borrows; quotas can't be configured yet.
    decision_count = 0
    for candidate in waiting_order(table, {}):
        task = candidate.task
        requirements = (
            task.submitted.size,
            task.submitted.zones,
            task.failed_domains,
        )
        urgent = task.submitted.urgent
        if requirements in unsatisfiable and not urgent:
            continue
        decision_count += 1
        if decision_count > _MAX_DECISIONS:
            break
        usable_snapshot = snapshot
        if not urgent:
            usable_snapshot = replace(
                snapshot, unavailable=unavailable | reserved
            )
        request = PlacementRequest(task)
        decision = place(usable_snapshot, request, view.log_now, random)
        new_records: list[object] = []
        match decision:
            case Placed():
                new_records = [_placement(candidate, decision, fence)]
            case Unplaceable(reasons):
                new_records = [
                    TaskRefused(task.submitted.task, _reason_texts(reasons))
                ]
            case NoRoom() if urgent:
                new_records = _preempt_for(
                    usable_snapshot,
                    task,
                    decision,
                    protected,
                    reserved,
                    view,
                    fence,
                    random,
                )
            case NoRoom():
                unsatisfiable.add(requirements)
        records += new_records
        snapshot = _apply_decisions(snapshot, new_records, view)
    return records


def _list_workers(
    state: FleetState, view: ControlView
) -> tuple[list[Worker], frozenset[str]]:
    """Returns the listed workers, and those that can't accept a task now."""
    assert view.listing is not None
    owned = state.ownership.instances
    workers, unavailable = [], set()
    for listed in view.listing.instances:
        total = Resources(
            listed.processors, listed.memory_mb, listed.accelerators
        )
        if total == Resources():
            continue
        name = listed.instance
        workers.append(Worker(name, listed.zone, listed.rack, total))
        known = owned.get(name)
        if (
            known is None
            or known.phase != SERVING
            or listed.state != "live"
            or name in state.waves.in_progress
            or name in state.waves.outages
        ):
            unavailable.add(name)
    return workers, frozenset(unavailable)


def _placement(
    candidate: Candidate, placed: Placed, fence: Fence
) -> TaskPlaced:
    task = candidate.task
    worker = placed.worker
    return TaskPlaced(
        task.submitted.task,
        task.attempt + 1,
        worker.worker,
        placed.worker_epoch,
        worker.zone,
        worker.rack,
        placed.size,
        LEASE_S,
        candidate.borrowed,
        fence,
    )


def _reason_texts(reasons: tuple[Reason, ...]) -> tuple[str, ...]:
    if not reasons:
        return ("no-worker: the list holds no worker for tasks",)
    return tuple(f"{r.code}: {r.workers} workers" for r in reasons)


def _preempt_for(
    snapshot: PlacementSnapshot,
    task: Task,
    no_room: NoRoom,
    protected: frozenset[str],
    reserved: set[str],
    view: ControlView,
    fence: Fence,
    random: Random,
) -> list[object]:
    """Preempts tasks for an urgent one, unless room is being freed already.

    The worker is reserved for the urgent task. Otherwise other tasks would be
    placed in the room that the first of several victims frees.
    """
    being_freed = _worker_being_freed(snapshot, task, no_room.size, reserved)
    if being_freed is not None:
        reserved.add(being_freed)
        return []
    usable_snapshot = replace(
        snapshot, unavailable=snapshot.unavailable | reserved
    )
    request = PreemptionRequest(task, protected=protected)
    decision = preempt(usable_snapshot, request, view.log_now, random)
    if not isinstance(decision, Preemption):
        return []
    reserved.add(decision.worker.worker)
    return [
        TaskPreempted(
            victim.task.submitted.task,
            victim.task.attempt,
            victim.method,
            "urgent",
            fence,
        )
        for victim in decision.victims
    ]


def _worker_being_freed(
    snapshot: PlacementSnapshot, task: Task, size: Resources, reserved: set[str]
) -> str | None:
    """Returns a worker with room for the task once tasks on it have stopped."""
    table, index = snapshot.table, snapshot.index
    freed: dict[str, Resources] = {}
    for stopping in table.tasks.values():
        if stopping.state is TaskState.STOPPING:
            before = freed.get(stopping.worker, Resources())
            freed[stopping.worker] = before + stopping.size
    zones = task.submitted.zones
    for name in sorted(freed):
        worker = index.workers.get(name)
        if worker is None or name in reserved or name in snapshot.unavailable:
            continue
        if zones and worker.zone not in zones:
            continue
        if (worker.zone, worker.rack) in task.failed_domains:
            continue
        if (index.free[name] + freed[name]).covers(size):
            return name
    return None


def _apply_decisions(
    snapshot: PlacementSnapshot, records: list[object], view: ControlView
) -> PlacementSnapshot:
    """Returns the snapshot as if the records were accepted."""
    table, changed = snapshot.table, set()
    for record in records:
        table = _apply_record(table, record, view)
        if isinstance(record, TaskPlaced):
            changed.add(record.worker)
        elif isinstance(record, TaskPreempted):
            changed.add(table.tasks[record.task].worker)
    index = refresh_index(snapshot.index, table, sorted(changed))
    return replace(snapshot, table=table, index=index)


@dataclass(frozen=True)
class _WorkerCalls:
    """Pending calls to a worker, and the time of the last call to it."""

    worker: str
    requested_at: float
    calls: tuple[WorkerCall, ...]


def _calls(
    table: TaskTable, view: ControlView, fence: Fence, now: float
) -> list[WorkerCall]:
    """Returns calls to workers with tasks, the least recently called first."""
    pending = []
    for worker, load in table.loads.items():
        if not load.tasks:
            continue
        requested_at = view.tasks_at.get(worker, float("-inf"))
        if worker not in view.tasks and now - requested_at < _RETRY_S:
            continue
        calls = tuple(_worker_calls(table, view, worker, load, fence))
        if not calls and now - requested_at >= _REPORT_INTERVAL_S:
            operation_id = f"task-reports/{worker}"
            calls = (WorkerCall(TASKS, worker, operation_id, fence),)
        if calls:
            pending.append(_WorkerCalls(worker, requested_at, calls))
    pending.sort(key=lambda w: (w.requested_at, w.worker))
    return [c for w in pending for c in w.calls][:_MAX_CALLS]


def _worker_calls(
    table: TaskTable,
    view: ControlView,
    worker: str,
    load: Load,
    fence: Fence,
) -> Iterator[WorkerCall]:
    """Yields the calls to a worker that the accepted state requires.

    Stops go first, with one call for all tasks per operation. A task starts
    only in room that the worker has confirmed as free, because preempted tasks
    occupy it until then.
    """
    reports = {(t.task, t.attempt): t for t in view.tasks.get(worker, ())}
    by_operation: dict[str, list[tuple[str, int]]] = {}
    starts = []
    for name in sorted(load.tasks):
        task = table.tasks[name]
        key = name, task.attempt
        operation = _required_operation(task, reports.get(key))
        if operation == START_TASK:
            starts.append(task)
        elif operation:
            by_operation.setdefault(operation, []).append(key)
    for operation, attempts in sorted(by_operation.items()):
        # The id covers the whole set, since later stops may be added to it.
        digest = hashlib.sha256(repr(attempts).encode()).hexdigest()[:16]
        operation_id = f"task-{operation}/{worker}/{digest}"
        yield WorkerCall(
            operation,
            worker,
            operation_id,
            fence,
            attempts=tuple(attempts),
        )
    for task in starts:
        start = _task_start(task)
        operation_id = f"task/{start.task}/{start.attempt}/start"
        yield WorkerCall(START_TASK, worker, operation_id, fence, start=start)


def _required_operation(task: Task, report: ReportedTask | None) -> str:
    """Returns the operation that a task requires, or an empty string."""
    if report is not None and report.state != "running":
        return ""
    if task.state is TaskState.STOPPING:
        resumable = task.submitted.checkpointable and not task.cancelled
        return CHECKPOINT_TASK if resumable else STOP_TASK
    if report is None:
        return START_TASK if task.state is TaskState.PLACED else ""
    if task.throttled and not report.throttled:
        return THROTTLE_TASK
    return ""


def _task_start(task: Task) -> TaskStart:
    submitted, size = task.submitted, task.size
    return TaskStart(
        submitted.task,
        task.attempt,
        submitted.kind,
        size.processors,
        size.memory_mb,
        size.accelerators,
        submitted.expected_s,
    )
