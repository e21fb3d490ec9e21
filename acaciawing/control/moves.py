"""Next step of each move.

A record of another decision, for example a loan, begins a move. The further
steps follow from the state: drain, `MoveFinished`, reboot, return to service,
`InstanceReturned`. The holder of the pool's lease performs the next step, so
any entry instance can continue a move.
"""

from collections.abc import Iterator

from acaciawing.configuration import Configuration
from acaciawing.control.view import (
    DRAIN,
    REBOOT,
    RETURN,
    STATUS,
    ControlView,
    WorkerCall,
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

# A leaving endpoint may receive new requests for this time.
LEAVE_GRACE_S = 3.0

# An older status is not used for the number of running requests.
MAX_STATUS_AGE_S = 2.0

# A drain that is not confirmed within this time is cancelled, so that an
# instance whose worker interface doesn't answer returns to its pool.
DRAIN_TIMEOUT_S = 600.0


def drain_duration_s(configuration: Configuration) -> float:
    """Returns the time in seconds from a drain to the end of the last request.

    No request runs past the longest deadline of a plan.

    >>> drain_duration_s(Configuration())
    3.0
    """
    deadlines = (plan.deadline_s for plan in configuration.plans)
    return LEAVE_GRACE_S + max(deadlines, default=0.0)


def move_steps(
    state: FleetState, view: ControlView, now: float
) -> Iterator[MoveFinished | MoveCancelled | InstanceReturned | WorkerCall]:
    """Yields the next record or call of each move under a held lease."""
    wait = drain_duration_s(state.configuration.configuration)
    for _, known in sorted(state.ownership.instances.items()):
        if known.phase == SERVING or known.instance in view.unknown_instances:
            continue
        fence = view.fence(pool_subject(known.pool), now)
        if fence is None:
            continue
        if known.phase == LEAVING:
            yield from _leave_steps(known, view, fence, wait, now)
        else:
            yield from _return_steps(known, view, fence, wait)


def _leave_steps(
    known: OwnedInstance,
    view: ControlView,
    fence: Fence,
    wait: float,
    now: float,
) -> Iterator[MoveFinished | MoveCancelled | WorkerCall]:
    since = view.log_now - known.changed_at
    drain = _call(known, DRAIN, fence)
    if drain.operation_id in view.finished:
        status = view.fresh_status(known.instance, now, MAX_STATUS_AGE_S)
        idle = status is not None and status.in_flight == 0
        if since >= wait or (
            idle and since >= LEAVE_GRACE_S + MAX_STATUS_AGE_S
        ):
            yield MoveFinished(known.instance, known.epoch, fence)
        else:
            yield _call(known, STATUS, fence)
    elif since >= DRAIN_TIMEOUT_S:
        reason = "drain-not-confirmed"
        yield MoveCancelled(known.instance, known.epoch, reason, fence)
    else:
        yield drain


def _return_steps(
    known: OwnedInstance, view: ControlView, fence: Fence, wait: float
) -> Iterator[InstanceReturned | WorkerCall]:
    """Yields the next step after a move was finished or cancelled."""
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
    return_call = _call(known, RETURN, fence)
    if return_call.operation_id in view.finished:
        incarnation = status.incarnation
        yield InstanceReturned(known.instance, known.epoch, incarnation, fence)
    else:
        yield return_call


def _call(known: OwnedInstance, operation: str, fence: Fence) -> WorkerCall:
    operation_id = f"{known.instance}/{known.epoch}/{operation}"
    return WorkerCall(
        operation, known.instance, operation_id, fence, known.pool
    )
