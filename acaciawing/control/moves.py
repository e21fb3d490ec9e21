"""Next step of each move.

A move is begun by a record of another decision, for example a loan. From then
on the steps follow from the state: drain, `MoveFinished`, reboot, return to
service, `InstanceReturned`. Whoever holds the lease of the pool takes the next
step, so any instance can continue a move.
"""

from collections.abc import Iterator

from acaciawing.configuration import Configuration
from acaciawing.control.view import (
    DRAIN,
    REBOOT,
    RETURN,
    STATUS,
    Call,
    ControlView,
)
from acaciawing.fold import FleetState
from acaciawing.leases import Fence, pool_subject
from acaciawing.ownership import (
    LEAVING,
    SERVING,
    InstanceReturned,
    MoveCancelled,
    MoveFinished,
    OwnedInstance,
)

# A leaving endpoint may get new work for 3 s.
LEAVE_S = 3.0

# A status that is older tells nothing of the requests that run.
STATUS_AGE_S = 2.0

# A drain that has not been confirmed by then is given up, so that an instance
# whose interface doesn't answer goes back to its pool.
DRAIN_LIMIT_S = 600.0


def drained_after_s(configuration: Configuration) -> float:
    """Returns how long after the drain the last request has ended, in seconds.

    Nothing runs past the longest deadline of a plan.

    >>> drained_after_s(Configuration())
    3.0
    """
    deadlines = (plan.deadline_s for plan in configuration.plans)
    return LEAVE_S + max(deadlines, default=0.0)


def move_steps(
    state: FleetState, view: ControlView, now: float
) -> Iterator[MoveFinished | MoveCancelled | InstanceReturned | Call]:
    """Yields the next record or call of each move under a held lease."""
    wait = drained_after_s(state.configuration.configuration)
    for _, known in sorted(state.ownership.instances.items()):
        if known.phase == SERVING or known.instance in view.gone:
            continue
        fence = view.fence(pool_subject(known.pool), now)
        if fence is None:
            continue
        if known.phase == LEAVING:
            yield from _leave(known, view, fence, wait, now)
        else:
            yield from _return(known, view, fence, wait)


def _leave(
    known: OwnedInstance,
    view: ControlView,
    fence: Fence,
    wait: float,
    now: float,
) -> Iterator[MoveFinished | MoveCancelled | Call]:
    since = view.log_now - known.changed_at
    drain = _call(known, DRAIN, fence)
    if drain.operation_id in view.finished:
        status = view.fresh_status(known.instance, now, STATUS_AGE_S)
        idle = status is not None and status.in_flight == 0
        if since >= wait or (idle and since >= LEAVE_S + STATUS_AGE_S):
            yield MoveFinished(known.instance, known.epoch, fence)
        else:
            yield _call(known, STATUS, fence)
    elif since >= DRAIN_LIMIT_S:
        reason = "drain-not-confirmed"
        yield MoveCancelled(known.instance, known.epoch, reason, fence)
    else:
        yield drain


def _return(
    known: OwnedInstance, view: ControlView, fence: Fence, wait: float
) -> Iterator[InstanceReturned | Call]:
    """Yields the next step after the move has finished or was cancelled."""
    if not known.drained:
        drain = _call(known, DRAIN, fence)
        waited = view.log_now - known.changed_at >= wait
        if drain.operation_id not in view.finished or not waited:
            yield drain
            return
    reboot = _call(known, REBOOT, fence)
    if reboot.operation_id not in view.finished:
        yield reboot
        return
    status = view.statuses.get(known.instance)
    if status is None or status.incarnation <= known.incarnation:
        yield _call(known, STATUS, fence)
        return
    back = _call(known, RETURN, fence)
    if back.operation_id in view.finished:
        incarnation = status.incarnation
        yield InstanceReturned(known.instance, known.epoch, incarnation, fence)
    else:
        yield back


def _call(known: OwnedInstance, operation: str, fence: Fence) -> Call:
    operation_id = f"{known.instance}/{known.epoch}/{operation}"
    return Call(operation, known.instance, operation_id, fence, known.pool)
