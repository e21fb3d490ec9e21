"""Reasons for which an instance or a task gets no work now.

All functions are pure; their inputs are the scheduler's view, which contains
the fold's state, and the time.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from acaciawing.entry.engine_view import EngineView
from acaciawing.leases import is_held
from acaciawing.ownership import SERVING
from acaciawing.placement import PLACEMENT_SUBJECT, TaskState


@dataclass(frozen=True)
class NoWorkReason:
    """One reason for which a subject gets no work.

    Attributes:
        code: Code in kebab case.
        detail: Explanation for the operator.
    """

    code: str
    detail: str


def no_work_reasons(
    kind: str, subject: str, view: EngineView, now: float
) -> tuple[NoWorkReason, ...] | None:
    """Finds all reasons for which a subject gets no work now.

    Args:
        kind: ``instance`` or ``task``.
        subject: Its id.
        view: View of the scheduler.
        now: Time on the log's clock, in seconds.

    Returns:
        The reasons, empty if it gets work; None if the subject is unknown or
        of another kind.
    """
    if kind == "instance":
        return _instance_reasons(subject, view)
    if kind == "task":
        return _task_reasons(subject, view, now)
    return None


def _instance_reasons(
    name: str, view: EngineView
) -> tuple[NoWorkReason, ...] | None:
    state = view.state
    known = name in view.statuses or name in state.ownership.instances
    if not known and name not in state.waves.outages:
        return None
    found = [*_endpoint_reasons(name, view), *_ownership_reasons(name, view)]
    for wave in state.waves.active.values():
        member = wave.members.get(name)
        if member is not None and member.stage.in_progress:
            detail = f"wave of {wave.pool}: {member.stage.value}"
            found.append(NoWorkReason("in-wave", detail))
    if name in state.waves.outages:
        found.append(NoWorkReason("outage", "out of service since a failure"))
    return tuple(found)


def _endpoint_reasons(name: str, view: EngineView) -> Iterator[NoWorkReason]:
    pool_and_status = view.statuses.get(name)
    if pool_and_status is None:
        yield NoWorkReason(
            "not-listed", "the list read here has no endpoint of it"
        )
        return
    pool, status = pool_and_status
    if status != "open":
        # A leaving endpoint may have been removed from its pool already.
        place = f" of pool {pool}" if pool else ""
        yield NoWorkReason(status, f"endpoint{place} as seen here")


def _ownership_reasons(name: str, view: EngineView) -> Iterator[NoWorkReason]:
    owned = view.state.ownership.instances.get(name)
    if owned is None:
        yield NoWorkReason("not-owned", "no accepted record adopts it")
    elif owned.phase != SERVING:
        target = f" to {owned.to_pool}" if owned.to_pool else ""
        yield NoWorkReason("moving", f"{owned.phase} in {owned.pool}{target}")


def _task_reasons(
    name: str, view: EngineView, now: float
) -> tuple[NoWorkReason, ...] | None:
    table = view.state.tasks
    task = table.tasks.get(name)
    if task is None:
        ended = name in table.ended or name in table.ended_before
        return (NoWorkReason("ended", "the task has ended"),) if ended else None
    if task.state is not TaskState.WAITING:
        return ()
    found = [NoWorkReason("waiting", f"team {task.submitted.team}")]
    if not is_held(view.state.leases, PLACEMENT_SUBJECT, now):
        detail = "no entry instance holds the lease of placement"
        found.append(NoWorkReason("no-lease", detail))
    return tuple(found)
