"""Maintenance decisions of a control round.

`maintain` passes the observations of the pools whose leases this process holds
to `acaciawing.maintenance.decide`. Drains, reboots and returns are calls with
the id of the member's step, so a new holder can safely repeat them.
"""

from collections.abc import Iterator, Mapping
from random import Random

from acaciawing.budgets import BudgetSnapshot
from acaciawing.configuration import Configuration
from acaciawing.control.moves import MAX_STATUS_AGE_S, drain_duration_s
from acaciawing.control.proposals import Proposal
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
from acaciawing.maintenance import (
    Bounds,
    MaintenanceRecord,
    MaintenanceSnapshot,
    Member,
    ObservedInstance,
    Place,
    PlatformCall,
    RoundRequest,
    Stage,
    WaveStep,
    WaveTable,
    decide,
)
from acaciawing.ownership import SERVING, MoveBegun, OwnedInstance

WAVE_PREFIX = "wave/"

# Minimum number of instances of a pool that a wave leaves in service.
_MIN_SERVING_COUNT = 2

# One in eight instances of a pool and one in a hundred of a zone may be out of
# service at a time; see docs/decisions/control-decisions.md.
_POOL_DIVISOR = 8
_ZONE_DIVISOR = 100

# The list is read every second and lags, so an instance that is off the list
# for less than this time is not treated as failed.
_OUTAGE_ABSENCE_S = 3.0

# Interval at which a pool without pending work is inspected. Most pools have
# none, and inspecting 349 pools in each round would exceed the share of a node
# that control may use.
_IDLE_POOL_INTERVAL_S = 30

_OPERATIONS = {
    "drain": DRAIN,
    "reboot": REBOOT,
    "undrain": RETURN,
    "return": RETURN,
}


def maintain(
    state: FleetState, view: ControlView, now: float, random: Random
) -> Proposal:
    """Decides the waves of the pools whose leases this process holds."""
    if view.listing is None:
        return Proposal()
    fences = {
        pool: view.fence(pool_subject(pool), now)
        for pool in _pools_to_inspect(state, view, now)
    }
    held = {pool: fence for pool, fence in fences.items() if fence is not None}
    if not held:
        return Proposal()
    owned_by_pool: dict[str, list[OwnedInstance]] = {pool: [] for pool in held}
    for owned in state.ownership.instances.values():
        if owned.pool in owned_by_pool:
            owned_by_pool[owned.pool].append(owned)
    listed = {i.instance: i.incarnation for i in view.listing.instances}
    # Only active waves start drains.
    impact_by_pool: Mapping[str, Mapping[str, float]] = {}
    if state.waves.active:
        impact_by_pool = failures_by_plan(state.configuration.configuration)
    zones = {i.zone for i in view.listing.instances}
    zone_bound = len(state.ownership.instances) // max(1, len(zones))
    zone_bound = max(1, zone_bound // _ZONE_DIVISOR)
    budgets = make_budget_snapshot(state)
    records: list[object] = []
    calls: list[WorkerCall] = []
    for pool, fence in held.items():
        observed = _observe_pool(
            state, view, pool, owned_by_pool[pool], listed, now
        )
        impact = impact_by_pool.get(pool, {})
        snapshot = MaintenanceSnapshot(
            state.waves, budgets, observed, dict.fromkeys(observed, impact)
        )
        bounds = _wave_bounds(state, pool, len(owned_by_pool[pool]), zone_bound)
        request = RoundRequest(pool, bounds, fence)
        decided = decide(snapshot, request, view.log_now)
        records += _without_blocked_drains(decided.records, observed, view)
        calls += _calls(view, pool, decided.calls, fence)
        calls += _late_returns(state, view, owned_by_pool[pool], fence, now)
    return Proposal(records=tuple(records), calls=tuple(calls))


def is_current_step(waves: WaveTable, operation_id: str) -> bool:
    """Returns whether an operation belongs to the current step of a member."""
    wave_id, instance, epoch = operation_id.rsplit("/", 2)
    pool, _, number = wave_id.removeprefix(WAVE_PREFIX).rpartition("/")
    wave = waves.active.get(pool)
    if wave is None or str(wave.number) != number:
        return False
    member = wave.members.get(instance)
    return member is not None and str(member.epoch) == epoch


def make_budget_snapshot(state: FleetState) -> BudgetSnapshot:
    """Returns the input of the budget check."""
    plans = state.configuration.configuration.plans
    return BudgetSnapshot(
        state.budgets,
        {plan.name: plan for plan in plans},
        frozenset(state.roster.members),
    )


def failures_by_plan(
    configuration: Configuration,
) -> dict[str, dict[str, float]]:
    """Returns requests that fail with an instance's drain, by pool and plan.

    A graceful drain fails none. The plans are listed nevertheless, so that the
    budget check denies the drain while one of them has spent its budget.
    """
    pools = {s.name: s.pool for s in configuration.services}
    found: dict[str, dict[str, float]] = {}
    for plan in configuration.plans:
        for service in plan.services:
            if service in pools:
                found.setdefault(pools[service], {})[plan.name] = 0.0
    return found


def _pools_to_inspect(
    state: FleetState, view: ControlView, now: float
) -> list[str]:
    """Returns the pools to inspect in this round.

    Pools with a wave, an outage or an absent instance are inspected in each
    round, the others once in `_IDLE_POOL_INTERVAL_S`, spread over that time.
    """
    known = state.ownership.instances
    urgent = {known[i].pool for i in view.absent_since if i in known}
    urgent |= set(state.waves.active) | set(state.waves.requested)
    urgent |= {down.pool for down in state.waves.outages.values()}
    current_slot = int(now) % _IDLE_POOL_INTERVAL_S
    return [
        pool
        for position, pool in enumerate(sorted(state.ownership.counts))
        if pool in urgent or position % _IDLE_POOL_INTERVAL_S == current_slot
    ]


def _wave_bounds(
    state: FleetState, pool: str, size: int, zone_bound: int
) -> Bounds:
    requested = state.waves.requested.get(pool)
    max_out = max(1, size - _MIN_SERVING_COUNT)
    usual = max(1, size // _POOL_DIVISOR)
    at_once = requested.at_once if requested is not None else 0
    return Bounds(min(at_once or usual, max_out), 1, zone_bound)


def _observe_pool(
    state: FleetState,
    view: ControlView,
    pool: str,
    owned: list[OwnedInstance],
    listed: Mapping[str, int],
    now: float,
) -> dict[str, ObservedInstance]:
    """Returns observations of a pool's instances, wave members and outages."""
    known = state.ownership.instances
    wave = state.waves.active.get(pool)
    members: Mapping[str, Member] = {} if wave is None else wave.members
    names = {i.instance for i in owned} | set(members)
    names |= {n for n, down in state.waves.outages.items() if down.pool == pool}
    return {
        name: _observe_instance(
            state, view, known[name], members.get(name), listed, now
        )
        for name in sorted(names)
        if name in known
    }


def _observe_instance(
    state: FleetState,
    view: ControlView,
    owned: OwnedInstance,
    member: Member | None,
    listed: Mapping[str, int],
    now: float,
) -> ObservedInstance:
    name = owned.instance
    # An instance that moves is off the list during its reboot, as planned.
    moving = owned.phase != SERVING or _is_move_pending(state, view, owned)
    status = view.fresh_status(name, now, MAX_STATUS_AGE_S)
    incarnation = max(owned.incarnation, listed.get(name, 0))
    serving = (
        name in listed
        or owned.phase != SERVING
        or now - view.absent_since.get(name, now) < _OUTAGE_ABSENCE_S
        or (status is not None and status.state in ("live", "leaving"))
    )
    draining, verified = False, True
    in_flight = None
    if member is not None and member.stage.in_progress:
        step = _step_id(state, owned, member)
        is_done = step in view.finished
        if status is not None:
            incarnation = max(incarnation, status.incarnation)
            is_up = status.state in ("live", "rebooted")
            serving = serving or is_up
        draining = is_done if member.stage is Stage.DRAINING else not is_done
        verified = is_done
        if status is not None and is_done:
            in_flight = status.in_flight
        waited = view.log_now - member.since
        configuration = state.configuration.configuration
        if in_flight is None and waited >= drain_duration_s(configuration):
            in_flight = 0
    place = Place(name, incarnation, owned.zone, owned.rack)
    return ObservedInstance(
        place,
        owned.pool,
        serving,
        draining,
        moving,
        in_flight,
        verified,
        owned.changed_at,
    )


def _is_move_pending(
    state: FleetState, view: ControlView, owned: OwnedInstance
) -> bool:
    """Returns whether a loan requires a move or a sent one is not read back."""
    loan = state.loans.active.get(owned.instance)
    if loan is not None:
        target = loan.home if loan.returning else loan.borrower
        if owned.pool != target:
            return True
    return any(
        isinstance(r, MoveBegun) and r.instance == owned.instance
        for r in view.pending_records
    )


def _step_id(state: FleetState, owned: OwnedInstance, member: Member) -> str:
    for pool in (owned.pool, *state.waves.active):
        wave = state.waves.active.get(pool)
        if wave is not None and wave.members.get(owned.instance) is member:
            return (
                f"{WAVE_PREFIX}{pool}/{wave.number}/"
                f"{owned.instance}/{member.epoch}"
            )
    return ""


def _without_blocked_drains(
    records: tuple[MaintenanceRecord, ...],
    observed: Mapping[str, ObservedInstance],
    view: ControlView,
) -> Iterator[MaintenanceRecord]:
    """Omits new drains while a move takes capacity from the pool."""
    moving = any(instance.moving for instance in observed.values())
    for record in records:
        drains = isinstance(record, WaveStep) and record.stage is Stage.DRAINING
        if not (drains and moving):
            yield record


def _late_returns(
    state: FleetState,
    view: ControlView,
    owned: list[OwnedInstance],
    fence: Fence,
    now: float,
) -> Iterator[WorkerCall]:
    """Yields returns of instances that rebooted after their wave's timeout."""
    for instance in owned:
        name = instance.instance
        if name not in state.waves.outages or name in state.waves.in_progress:
            continue
        status = view.fresh_status(name, now, MAX_STATUS_AGE_S)
        if status is None or status.state != "rebooted":
            continue
        if instance.phase == SERVING:
            operation_id = f"{name}/{instance.epoch}/{RETURN}"
            yield WorkerCall(RETURN, name, operation_id, fence, instance.pool)


def _calls(
    view: ControlView,
    pool: str,
    calls: tuple[PlatformCall, ...],
    fence: Fence,
) -> Iterator[WorkerCall]:
    """Yields each call until it has taken effect, then status calls."""
    for call in calls:
        operation = _OPERATIONS[call.operation]
        if call.request_id not in view.finished:
            yield WorkerCall(
                operation, call.instance, call.request_id, fence, pool
            )
        elif operation != RETURN:
            status = f"{call.instance}/wave/{STATUS}"
            yield WorkerCall(STATUS, call.instance, status, fence)
