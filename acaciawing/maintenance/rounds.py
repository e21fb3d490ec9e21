"""One control round of maintenance over a pool.

The decision depends only on the folded state and on observations, not on the
decisions of earlier rounds, so any instance can continue a wave at any record.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.budgets import (
    Action,
    BudgetReleased,
    BudgetReserved,
    Denied,
    DisruptionRequest,
    authorize_disruption,
)
from acaciawing.leases import Fence
from acaciawing.maintenance.progress import (
    MaintenanceSnapshot,
    ObservedInstance,
    next_stage,
)
from acaciawing.maintenance.records import (
    Bounds,
    OutageChanged,
    Place,
    Stage,
    WavePlanned,
    WaveStep,
)
from acaciawing.maintenance.waves import Member, Wave, exceeded_bounds

# Each instance is maintained at least once in this period.
MAINTENANCE_PERIOD_S = 21 * 86_400.0

# A wave starts when the last maintenance or restart of an instance is two
# thirds of the period ago. The remaining third is a margin for spent budgets,
# stops and outages.
_WAVE_START_AGE_S = 14 * 86_400.0

# A wave that no operator requested excludes instances whose last maintenance or
# restart is more recent.
_MIN_MEMBER_AGE_S = 7 * 86_400.0

# Pause between two waves of a pool, so that an instance that can't be drained
# is retried only once a day.
_WAVE_PAUSE_S = 86_400.0


@dataclass(frozen=True)
class RoundRequest:
    """Parameters of a maintenance round.

    Attributes:
        pool: Name of the pool.
        bounds: Bounds for a wave that this round may plan.
        fence: Lease of the pool, held by this process.
    """

    pool: str
    bounds: Bounds
    fence: Fence


@dataclass(frozen=True)
class PlatformCall:
    """A call to the worker interface, idempotent by its request id.

    Attributes:
        operation: ``drain``, ``undrain``, ``reboot`` or ``return``.
        instance: Id of the instance.
        request_id: Request id; the same in each round until the next stage.
    """

    operation: str
    instance: str
    request_id: str


@dataclass(frozen=True)
class BlockedInstance:
    """An instance that can't be drained now, with the reasons.

    Attributes:
        instance: Id of the instance.
        reasons: Codes, for example ``zone-bound`` or ``budget-spent:gold``.
    """

    instance: str
    reasons: tuple[str, ...]


MaintenanceRecord: TypeAlias = (
    WavePlanned | WaveStep | OutageChanged | BudgetReserved | BudgetReleased
)


@dataclass(frozen=True)
class RoundDecision:
    """Decision of a maintenance round.

    Attributes:
        records: Records to append, in order. No record depends on the
            acceptance of another one of the round.
        calls: Platform calls for steps that are already accepted.
        blocked: Waiting instances that can't be drained now.
    """

    records: tuple[MaintenanceRecord, ...] = ()
    calls: tuple[PlatformCall, ...] = ()
    blocked: tuple[BlockedInstance, ...] = ()


def reservation_id(wave: Wave, member: Member) -> str:
    """Id of the budget reservation for the member's current or next drain."""
    drain = member.drains + (member.stage is Stage.WAITING)
    prefix = _reservation_prefix(wave.pool)
    return f"{prefix}{wave.number}/{member.place.instance}/{drain}"


def _reservation_prefix(pool: str) -> str:
    return f"wave/{pool}/"


def decide(
    snapshot: MaintenanceSnapshot, request: RoundRequest, now: float
) -> RoundDecision:
    """Decides one round over a pool.

    Args:
        snapshot: Waves, budgets and observed instances.
        request: Parameters of the round.
        now: Time on the log's clock, in seconds.

    Returns:
        Records, calls and blocked instances. With unchanged state and
        observations a repeated round returns the same decision.
    """
    outages = tuple(_outage_changes(snapshot, request))
    wave = snapshot.waves.active.get(request.pool)
    releases = tuple(_releases(snapshot, request, wave))
    if wave is None:
        planned = _plan_wave(snapshot, request, now)
        return RoundDecision((*outages, *releases, *planned))
    steps = tuple(_wave_steps(snapshot, request, wave, now))
    start, blocked = _start_drain(snapshot, request, wave, now)
    calls = tuple(_platform_calls(snapshot, wave))
    # The fold counts an outage once it is recorded; no drain starts before.
    starts = () if outages else start
    return RoundDecision((*outages, *steps, *releases, *starts), calls, blocked)


def _outage_changes(
    snapshot: MaintenanceSnapshot, request: RoundRequest
) -> Iterator[OutageChanged]:
    waves = snapshot.waves
    for observed in snapshot.observed.values():
        instance = observed.place.instance
        if observed.pool != request.pool or instance in waves.in_progress:
            continue
        down = instance in waves.outages
        if not observed.serving and not down:
            yield OutageChanged(
                request.pool, observed.place, True, request.fence
            )
        elif observed.serving and down:
            yield OutageChanged(
                request.pool, observed.place, False, request.fence
            )
    for instance, outage in sorted(waves.outages.items()):
        # No longer listed: the instance was replaced under another id.
        if outage.pool == request.pool and instance not in snapshot.observed:
            yield OutageChanged(
                request.pool, outage.place, False, request.fence
            )


def _plan_wave(
    snapshot: MaintenanceSnapshot, request: RoundRequest, now: float
) -> tuple[WavePlanned, ...]:
    if snapshot.waves.is_stopped(request.pool):
        return ()
    ages = {
        observed.place: now - _last_restart(snapshot, name, observed)
        for name, observed in snapshot.observed.items()
        if observed.pool == request.pool and observed.serving
    }
    if request.pool in snapshot.waves.requested:
        members = list(ages)
    else:
        members = _members_due(snapshot, request.pool, ages, now)
    if not members:
        return ()
    members.sort(key=lambda place: place.instance)
    epoch = snapshot.waves.epochs.get(request.pool, 0)
    wave = WavePlanned(
        request.pool, epoch, tuple(members), request.bounds, request.fence
    )
    return (wave,)


def _members_due(
    snapshot: MaintenanceSnapshot,
    pool: str,
    ages: Mapping[Place, float],
    now: float,
) -> list[Place]:
    """Members of a wave that no operator requested; empty if none is due."""
    if max(ages.values(), default=0.0) < _WAVE_START_AGE_S:
        return []
    ended = snapshot.waves.ended.get(pool)
    if ended is not None and now - ended < _WAVE_PAUSE_S:
        return []
    return [place for place, age in ages.items() if age >= _MIN_MEMBER_AGE_S]


def _last_restart(
    snapshot: MaintenanceSnapshot, name: str, observed: ObservedInstance
) -> float:
    maintained = snapshot.waves.maintained.get(name, -MAINTENANCE_PERIOD_S)
    return max(
        maintained,
        -MAINTENANCE_PERIOD_S
        if observed.started_at is None
        else observed.started_at,
    )


def _wave_steps(
    snapshot: MaintenanceSnapshot,
    request: RoundRequest,
    wave: Wave,
    now: float,
) -> Iterator[WaveStep]:
    for instance, member in sorted(wave.members.items()):
        if member.stage.final:
            continue
        transition = next_stage(snapshot, wave, member, now)
        if transition is not None:
            stage, reason = transition
            yield WaveStep(
                wave.pool,
                wave.number,
                instance,
                member.epoch,
                stage,
                request.fence,
                reason,
            )


def _start_drain(
    snapshot: MaintenanceSnapshot,
    request: RoundRequest,
    wave: Wave,
    now: float,
) -> tuple[tuple[MaintenanceRecord, ...], tuple[BlockedInstance, ...]]:
    """Returns the record that starts a drain, and the blocked instances.

    There is at most one record: the reservation of the budget or, in a later
    round, the start of the drain. Two reservations of one round would have the
    same budget epoch, so that the fold would ignore the second.
    """
    blocked: list[BlockedInstance] = []
    waiting = [m for m in wave.members.values() if m.stage is Stage.WAITING]
    # Members with fewer drains in this wave come first, then those whose last
    # maintenance is longest ago.
    maintained = snapshot.waves.maintained
    waiting.sort(
        key=lambda m: (
            m.drains,
            maintained.get(m.place.instance, -MAINTENANCE_PERIOD_S),
            m.place.instance,
        )
    )
    for member in waiting:
        reasons = _obstacles(snapshot, wave, member)
        if not reasons:
            record = _drain_or_reserve(snapshot, request, wave, member, now)
            if isinstance(record, Denied):
                reasons = tuple(
                    f"{r.code}:{r.plan}" if r.plan else r.code
                    for r in record.reasons
                )
            else:
                return (record,), tuple(blocked)
        blocked.append(BlockedInstance(member.place.instance, reasons))
    return (), tuple(blocked)


def _obstacles(
    snapshot: MaintenanceSnapshot, wave: Wave, member: Member
) -> tuple[str, ...]:
    if snapshot.waves.is_stopped(wave.pool):
        return ("stopped",)
    observed = snapshot.observed.get(member.place.instance)
    if observed is None or not observed.serving or observed.pool != wave.pool:
        return ("not-serving",)
    if observed.moving:
        return ("moving",)
    return exceeded_bounds(snapshot.waves, wave.pool, member.place, wave.bounds)


def _drain_or_reserve(
    snapshot: MaintenanceSnapshot,
    request: RoundRequest,
    wave: Wave,
    member: Member,
    now: float,
) -> WaveStep | BudgetReserved | Denied:
    instance = member.place.instance
    reservation = reservation_id(wave, member)
    limits = snapshot.limits
    duration = limits.drain_s + limits.reboot_s + limits.verify_s
    existing = snapshot.budgets.ledger.reservations.get(reservation)
    # A reservation that expires during the drain would not cover the reboot.
    if existing is not None and existing.expires_at - now > duration / 2:
        return WaveStep(
            wave.pool,
            wave.number,
            instance,
            member.epoch,
            Stage.DRAINING,
            request.fence,
        )
    failures = snapshot.impact.get(instance, {})
    decision = authorize_disruption(
        snapshot.budgets, DisruptionRequest(Action.REBOOT, failures), now
    )
    if isinstance(decision, Denied):
        return decision
    return BudgetReserved(
        reservation, decision.amounts, 2 * duration, request.fence
    )


def _releases(
    snapshot: MaintenanceSnapshot, request: RoundRequest, wave: Wave | None
) -> Iterator[BudgetReleased]:
    """Releases the reservations of the pool that no member needs."""
    members = wave.members.values() if wave else ()
    needed = {
        reservation_id(wave, member)
        for member in members
        if wave and not member.stage.final
    }
    for name, reservation in sorted(
        snapshot.budgets.ledger.reservations.items()
    ):
        is_of_pool = name.startswith(_reservation_prefix(request.pool))
        if is_of_pool and not reservation.released and name not in needed:
            yield BudgetReleased(name, request.fence)


def _platform_calls(
    snapshot: MaintenanceSnapshot, wave: Wave
) -> Iterator[PlatformCall]:
    for instance, member in sorted(wave.members.items()):
        request_id = f"wave/{wave.pool}/{wave.number}/{instance}/{member.epoch}"
        if member.stage is Stage.DRAINING:
            yield PlatformCall("drain", instance, request_id)
        elif member.stage is Stage.REBOOTING:
            yield PlatformCall("reboot", instance, request_id)
        elif member.stage is Stage.RESTORING:
            yield PlatformCall("undrain", instance, request_id)
        elif member.stage is Stage.VERIFYING:
            yield PlatformCall("return", instance, request_id)
