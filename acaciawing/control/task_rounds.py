"""Placement of tasks in the control rounds.

The holder of the placement lease decides everything. What it calls follows from
the state alone, with operation ids that name the task and its attempt, so
whoever takes over repeats a call without harm. What workers report becomes a
record before anything else is decided on it.
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
    Call,
    ControlView,
)
from acaciawing.control.wave_rounds import budget_snapshot
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
    build,
    lost,
    place,
    preempt,
    protected_teams,
    refresh,
    renewals,
    waiting_order,
)
from acaciawing.placement.table import apply
from acaciawing.platform import Listing, ReportedTask, TaskStart
from acaciawing.records import LogPosition

# A worker with tasks is asked this often. A report that is older renews no
# lease.
_ASK_S = 5.0
_REPORT_AGE_S = 10.0

# A worker that did not answer is left alone for this time: a call to one that is
# cut off may hold up all others for its whole timeout of 2 s.
_RETRY_S = 2.0

# Calls are made one after another, so a round begins only so many.
_CALLS = 20

# Decisions on waiting tasks in a round. The records of a round are bounded
# below that; the rest is for tasks that find no room.
_DECISIONS = 32

# A worker may keep a task for `TASK_CONTACT_TIMEOUT_S` after a call that was made just
# before the holder lost its lease; this is longer than that takes.
_LAPSED_S = 60.0

# Records that change what the next decision of this process must see.
_DECIDED = TaskPlaced | TaskPreempted | TaskRefused


def place_tasks(
    state: FleetState, view: ControlView, now: float, random: Random
) -> Proposal:
    """Decides placements, renewals and calls under the placement lease."""
    fence = view.fence(PLACEMENT_SUBJECT, now)
    if fence is None or view.listing is None:
        return Proposal(subjects=(PLACEMENT_SUBJECT,))
    reported = tuple(_reported(state.tasks, view))
    records: list[object] = [
        *reported,
        *_lost(state, view, view.listing),
        *renewals(state.tasks, _running(view, now), fence, view.log_now),
    ]
    # Room that these records free is used in the same round; with one round
    # more an urgent task would miss its 2 s.
    table = state.tasks
    for record in reported:
        table = _applied(table, record, view)
    table = _with_unread(table, view)
    if any(table.waiting.values()):
        records += _decisions(state, view, table, fence, random)
    calls = _calls(state.tasks, view, fence, now)
    return Proposal((PLACEMENT_SUBJECT,), tuple(records), tuple(calls))


def _reported(
    table: TaskTable, view: ControlView
) -> Iterator[TaskStarted | TaskStopped | TaskFinished | TaskFailed]:
    """Yields records of what workers report and the state does not show."""
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


def _lost(
    state: FleetState, view: ControlView, listing: Listing
) -> tuple[TaskFailed, ...]:
    """Failures of tasks whose worker was retired or whose lease lapsed.

    An instance is retired only after the platform said that it doesn't know
    it, and a task is placed only on an instance that is owned.
    """
    listed = {i.instance for i in listing.instances}
    owned = state.ownership.instances
    ended = {
        worker
        for worker, load in state.tasks.loads.items()
        if load.tasks and worker not in owned and worker not in listed
    }
    return lost(state.tasks, ended, view.log_now - _LAPSED_S)


def _running(view: ControlView, now: float) -> Iterator[TaskAttempt]:
    for worker, reports in sorted(view.tasks.items()):
        if now - view.tasks_at[worker] > _REPORT_AGE_S:
            continue
        for report in reports:
            if report.state == "running":
                yield TaskAttempt(report.task, report.attempt)


def _with_unread(table: TaskTable, view: ControlView) -> TaskTable:
    """Applies this process's records that are on their way to the log."""
    sent = [r for r in view.unread if isinstance(r, _DECIDED)]
    # Placements on one worker have to follow its epochs.
    sent.sort(key=lambda r: (getattr(r, "worker_epoch", 0), r.task))
    for record in sent:
        table = _applied(table, record, view)
    return table


def _applied(table: TaskTable, record: object, view: ControlView) -> TaskTable:
    return apply(record, table, LogPosition(0, view.log_now))[0]


def _decisions(
    state: FleetState,
    view: ControlView,
    table: TaskTable,
    fence: Fence,
    random: Random,
) -> list[object]:
    """Places, refuses or makes room for waiting tasks, the first first."""
    workers, unavailable = _workers(state, view)
    index = build(workers, table)
    snapshot = PlacementSnapshot(table, index, unavailable=unavailable)
    protected = protected_teams(budget_snapshot(state), view.log_now)
    records: list[object] = []
    hopeless: set[object] = set()
    kept: set[str] = set()
    # A team without a quota always borrows; the lists name no quotas yet.
    tried = 0
    for candidate in waiting_order(table, {}):
        task = candidate.task
        alike = (task.submitted.size, task.submitted.zones, task.failed_domains)
        urgent = task.submitted.urgent
        if alike in hopeless and not urgent:
            continue
        tried += 1
        if tried > _DECISIONS:
            break
        seen = snapshot
        if not urgent:
            seen = replace(snapshot, unavailable=unavailable | kept)
        request = PlacementRequest(task)
        decision = place(seen, request, view.log_now, random)
        made: list[object] = []
        match decision:
            case Placed():
                made = [_placement(candidate, decision, fence)]
            case Unplaceable(reasons):
                made = [TaskRefused(task.submitted.task, _texts(reasons))]
            case NoRoom() if urgent:
                made = _make_room(
                    seen, task, decision, protected, kept, view, fence, random
                )
            case NoRoom():
                hopeless.add(alike)
        records += made
        snapshot = _after(snapshot, made, view)
    return records


def _workers(
    state: FleetState, view: ControlView
) -> tuple[list[Worker], frozenset[str]]:
    """Workers on the list, and those of them that take no task now."""
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


def _texts(reasons: tuple[Reason, ...]) -> tuple[str, ...]:
    if not reasons:
        return ("no-worker: the list holds no worker for tasks",)
    return tuple(f"{r.code}: {r.workers} workers" for r in reasons)


def _make_room(
    snapshot: PlacementSnapshot,
    task: Task,
    lacking: NoRoom,
    protected: frozenset[str],
    kept: set[str],
    view: ControlView,
    fence: Fence,
    random: Random,
) -> list[object]:
    """Preempts for an urgent task, unless room for it is being made.

    The worker is kept from other tasks, which would otherwise take what the
    first of several victims frees.
    """
    making = _being_cleared(snapshot, task, lacking.size, kept)
    if making is not None:
        kept.add(making)
        return []
    seen = replace(snapshot, unavailable=snapshot.unavailable | kept)
    request = PreemptionRequest(task, protected=protected)
    decision = preempt(seen, request, view.log_now, random)
    if not isinstance(decision, Preemption):
        return []
    kept.add(decision.worker.worker)
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


def _being_cleared(
    snapshot: PlacementSnapshot, task: Task, size: Resources, kept: set[str]
) -> str | None:
    """A worker with room for the task once its stopping tasks have ended."""
    table, index = snapshot.table, snapshot.index
    freed: dict[str, Resources] = {}
    for held in table.tasks.values():
        if held.state is TaskState.STOPPING:
            before = freed.get(held.worker, Resources())
            freed[held.worker] = before + held.size
    zones = task.submitted.zones
    for name in sorted(freed):
        worker = index.workers.get(name)
        if worker is None or name in kept or name in snapshot.unavailable:
            continue
        if zones and worker.zone not in zones:
            continue
        if (worker.zone, worker.rack) in task.failed_domains:
            continue
        if (index.free[name] + freed[name]).covers(size):
            return name
    return None


def _after(
    snapshot: PlacementSnapshot, records: list[object], view: ControlView
) -> PlacementSnapshot:
    """The snapshot as it is once the records are accepted."""
    table, changed = snapshot.table, set()
    for record in records:
        table = _applied(table, record, view)
        if isinstance(record, TaskPlaced):
            changed.add(record.worker)
        elif isinstance(record, TaskPreempted):
            changed.add(table.tasks[record.task].worker)
    index = refresh(snapshot.index, table, sorted(changed))
    return replace(snapshot, table=table, index=index)


@dataclass(frozen=True)
class _Wanted:
    """What a worker has to do, and by when it was last asked."""

    worker: str
    asked_at: float
    calls: tuple[Call, ...]


def _calls(
    table: TaskTable, view: ControlView, fence: Fence, now: float
) -> list[Call]:
    """Calls to workers with tasks; those not asked for longest go first."""
    wanted = []
    for worker, load in table.loads.items():
        if not load.tasks:
            continue
        asked_at = view.tasks_at.get(worker, float("-inf"))
        if worker not in view.tasks and now - asked_at < _RETRY_S:
            continue
        calls = tuple(_worker_calls(table, view, worker, load, fence))
        if not calls and now - asked_at >= _ASK_S:
            operation_id = f"task-reports/{worker}"
            calls = (Call(TASKS, worker, operation_id, fence),)
        if calls:
            wanted.append(_Wanted(worker, asked_at, calls))
    wanted.sort(key=lambda w: (w.asked_at, w.worker))
    return [c for w in wanted for c in w.calls][:_CALLS]


def _worker_calls(
    table: TaskTable,
    view: ControlView,
    worker: str,
    load: Load,
    fence: Fence,
) -> Iterator[Call]:
    """Yields the calls that the accepted state asks for.

    Stops go first, one call for all; a task starts only in room that the
    worker has confirmed as free, since its victims hold it until then.
    """
    reports = {(t.task, t.attempt): t for t in view.tasks.get(worker, ())}
    by_operation: dict[str, list[tuple[str, int]]] = {}
    starts = []
    for name in sorted(load.tasks):
        task = table.tasks[name]
        key = name, task.attempt
        operation = _operation(task, reports.get(key))
        if operation == START_TASK:
            starts.append(task)
        elif operation:
            by_operation.setdefault(operation, []).append(key)
    for operation, attempts in sorted(by_operation.items()):
        # The id covers the whole set, since later stops may join it.
        digest = hashlib.sha256(repr(attempts).encode()).hexdigest()[:16]
        operation_id = f"task-{operation}/{worker}/{digest}"
        yield Call(
            operation,
            worker,
            operation_id,
            fence,
            attempts=tuple(attempts),
        )
    for task in starts:
        start = _start(task)
        operation_id = f"task/{start.task}/{start.attempt}/start"
        yield Call(START_TASK, worker, operation_id, fence, start=start)


def _operation(task: Task, report: ReportedTask | None) -> str:
    """The call that a task needs, or an empty string."""
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


def _start(task: Task) -> TaskStart:
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
