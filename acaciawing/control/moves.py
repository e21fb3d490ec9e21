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

# An older status is not used, because it no longer shows which requests run.
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
    drain_s = drain_duration_s(state.configuration.configuration)
    for _, owned in sorted(state.ownership.instances.items()):
        if owned.phase == SERVING or owned.instance in view.unknown_instances:
            continue
        fence = view.fence(pool_subject(owned.pool), now)
        if fence is None:
            continue
        if owned.phase == LEAVING:
            yield from _leave_steps(owned, view, fence, drain_s, now)
        else:
            yield from _return_steps(owned, view, fence, drain_s)


def _leave_steps(
    owned: OwnedInstance,
    view: ControlView,
    fence: Fence,
    drain_s: float,
    now: float,
) -> Iterator[MoveFinished | MoveCancelled | WorkerCall]:
    elapsed_s = view.log_now - owned.changed_at
    drain = _make_call(owned, DRAIN, fence)
    if drain.operation_id in view.finished:
        status = view.fresh_status(owned.instance, now, MAX_STATUS_AGE_S)
        idle = status is not None and status.in_flight == 0
        if elapsed_s >= drain_s or (
            idle and elapsed_s >= LEAVE_GRACE_S + MAX_STATUS_AGE_S
        ):
            yield MoveFinished(owned.instance, owned.epoch, fence)
        else:
            yield _make_call(owned, STATUS, fence)
    elif elapsed_s >= DRAIN_TIMEOUT_S:
        reason = "drain-not-confirmed"
        yield MoveCancelled(owned.instance, owned.epoch, reason, fence)
    else:
        yield drain


def _return_steps(
    owned: OwnedInstance, view: ControlView, fence: Fence, drain_s: float
) -> Iterator[InstanceReturned | WorkerCall]:
    """Yields the next step after a move was finished or cancelled."""
    if not owned.drained:
        drain = _make_call(owned, DRAIN, fence)
        has_drained = view.log_now - owned.changed_at >= drain_s
        if drain.operation_id not in view.finished or not has_drained:
            yield drain
            return
    reboot = _make_call(owned, REBOOT, fence)
    if reboot.operation_id not in view.finished:
        yield reboot
        return
    status = view.statuses.get(owned.instance)
    if status is None or status.incarnation <= owned.incarnation:
        yield _make_call(owned, STATUS, fence)
        return
    return_call = _make_call(owned, RETURN, fence)
    if return_call.operation_id in view.finished:
        incarnation = status.incarnation
        yield InstanceReturned(owned.instance, owned.epoch, incarnation, fence)
    else:
        yield return_call


def _make_call(
    owned: OwnedInstance, operation: str, fence: Fence
) -> WorkerCall:
    operation_id = f"{owned.instance}/{owned.epoch}/{operation}"
    return WorkerCall(
        operation, owned.instance, operation_id, fence, owned.pool
    )
