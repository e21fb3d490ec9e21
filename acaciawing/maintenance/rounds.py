"""One control round of maintenance over a pool.

The decision depends only on the fold and on what was observed, never on what an
earlier round decided, so any instance can continue a wave at any record.
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
    reached,
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

PERIOD_S = 21 * 86_400.0

# A wave starts when the oldest instance reaches two thirds of the period; the
# last third is left for blocked budgets, stops and outages.
_DUE_AGE_S = 14 * 86_400.0

# Instances maintained within this time are left out of the pool's next wave.
_FRESH_AGE_S = 7 * 86_400.0

# Pause between two waves of a pool, so that an instance that can't be drained
# is tried once a day and not without end.
_RETRY_S = 86_400.0


@dataclass(frozen=True)
class RoundRequest:
    """The pool to look after.

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
    """A call to the worker interface; idempotent by its id.

    Attributes:
        operation: ``drain``, ``undrain``, ``reboot`` or ``return``.
        instance: Id of the instance.
        request_id: The same in each round until the instance moves on.
    """

    operation: str
    instance: str
    request_id: str


@dataclass(frozen=True)
class Held:
    """An instance that waits, and why.

    Attributes:
        instance: Its id.
        reasons: Codes, for example ``zone-bound`` or ``budget-spent:gold``.
    """

    instance: str
    reasons: tuple[str, ...]


MaintenanceRecord: TypeAlias = (
    WavePlanned | WaveStep | OutageChanged | BudgetReserved | BudgetReleased
)


@dataclass(frozen=True)
class RoundDecision:
    """What to do in a round.

    Attributes:
        records: Records to append, in order. None depends on another one of
            the round being accepted.
        calls: Calls for steps that are already accepted.
        held: Instances that wait.
    """

    records: tuple[MaintenanceRecord, ...] = ()
    calls: tuple[PlatformCall, ...] = ()
    held: tuple[Held, ...] = ()


def reservation_id(wave: Wave, member: Member) -> str:
    """Id of the budget reservation for the member's present or next drain."""
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
        request: The pool, the bounds and the fence.
        now: Time on the log's clock, in seconds.

    Returns:
        Records, calls and what is held up. With an unchanged fold and
        unchanged observations a repeated round returns the same.
    """
    outages = tuple(_outages(snapshot, request))
    wave = snapshot.waves.active.get(request.pool)
    releases = tuple(_releases(snapshot, request, wave))
    if wave is None:
        planned = _planned(snapshot, request, now)
        return RoundDecision((*outages, *releases, *planned))
    steps = tuple(_steps(snapshot, request, wave, now))
    start, held = _start(snapshot, request, wave, now)
    calls = tuple(_calls(snapshot, wave))
    # While an outage is unrecorded the fold can't count it; starting waits.
    starts = () if outages else start
    return RoundDecision((*outages, *steps, *releases, *starts), calls, held)


def _outages(
    snapshot: MaintenanceSnapshot, request: RoundRequest
) -> Iterator[OutageChanged]:
    waves = snapshot.waves
    for seen in snapshot.observed.values():
        instance = seen.place.instance
        if seen.pool != request.pool or instance in waves.in_progress:
            continue
        down = instance in waves.outages
        if not seen.serving and not down:
            yield OutageChanged(request.pool, seen.place, True, request.fence)
        elif seen.serving and down:
            yield OutageChanged(request.pool, seen.place, False, request.fence)
    for instance, lost in sorted(waves.outages.items()):
        # The platform no longer lists it: it was replaced by another id.
        if lost.pool == request.pool and instance not in snapshot.observed:
            yield OutageChanged(request.pool, lost.place, False, request.fence)


def _planned(
    snapshot: MaintenanceSnapshot, request: RoundRequest, now: float
) -> tuple[WavePlanned, ...]:
    if snapshot.waves.is_stopped(request.pool):
        return ()
    ages = {
        seen.place: now - _last_restart(snapshot, name, seen)
        for name, seen in snapshot.observed.items()
        if seen.pool == request.pool and seen.serving
    }
    if request.pool in snapshot.waves.requested:
        due = list(ages)
    else:
        due = _due(snapshot, request.pool, ages, now)
    if not due:
        return ()
    due.sort(key=lambda place: place.instance)
    epoch = snapshot.waves.epochs.get(request.pool, 0)
    wave = WavePlanned(
        request.pool, epoch, tuple(due), request.bounds, request.fence
    )
    return (wave,)


def _due(
    snapshot: MaintenanceSnapshot,
    pool: str,
    ages: Mapping[Place, float],
    now: float,
) -> list[Place]:
    """Instances of a wave that starts by itself; empty if none is due."""
    if max(ages.values(), default=0.0) < _DUE_AGE_S:
        return []
    ended = snapshot.waves.ended.get(pool)
    if ended is not None and now - ended < _RETRY_S:
        return []
    return [place for place, age in ages.items() if age >= _FRESH_AGE_S]


def _last_restart(
    snapshot: MaintenanceSnapshot, name: str, seen: ObservedInstance
) -> float:
    maintained = snapshot.waves.maintained.get(name, -PERIOD_S)
    return max(
        maintained, -PERIOD_S if seen.started_at is None else seen.started_at
    )


def _steps(
    snapshot: MaintenanceSnapshot,
    request: RoundRequest,
    wave: Wave,
    now: float,
) -> Iterator[WaveStep]:
    for instance, member in sorted(wave.members.items()):
        if member.stage.final:
            continue
        passed = reached(snapshot, wave, member, now)
        if passed is not None:
            stage, reason = passed
            yield WaveStep(
                wave.pool,
                wave.number,
                instance,
                member.epoch,
                stage,
                request.fence,
                reason,
            )


def _start(
    snapshot: MaintenanceSnapshot,
    request: RoundRequest,
    wave: Wave,
    now: float,
) -> tuple[tuple[MaintenanceRecord, ...], tuple[Held, ...]]:
    """Starts at most one drain: reserves its budget, then records it.

    Two reservations of one round would name the same budget epoch, so that
    the second would be refused.
    """
    held: list[Held] = []
    waiting = [m for m in wave.members.values() if m.stage is Stage.WAITING]
    # Members whose drain never ended come last; others by last maintenance.
    known = snapshot.waves.maintained
    waiting.sort(
        key=lambda m: (
            m.drains,
            known.get(m.place.instance, -PERIOD_S),
            m.place.instance,
        )
    )
    for member in waiting:
        reasons = _obstacles(snapshot, wave, member)
        if not reasons:
            outcome = _drain_or_reserve(snapshot, request, wave, member, now)
            if isinstance(outcome, Denied):
                reasons = tuple(
                    f"{r.code}:{r.plan}" if r.plan else r.code
                    for r in outcome.reasons
                )
            else:
                return (outcome,), tuple(held)
        held.append(Held(member.place.instance, reasons))
    return (), tuple(held)


def _obstacles(
    snapshot: MaintenanceSnapshot, wave: Wave, member: Member
) -> tuple[str, ...]:
    if snapshot.waves.is_stopped(wave.pool):
        return ("stopped",)
    seen = snapshot.observed.get(member.place.instance)
    if seen is None or not seen.serving or seen.pool != wave.pool:
        return ("not-serving",)
    if seen.moving:
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
    name = reservation_id(wave, member)
    limits = snapshot.limits
    duration = limits.drain_s + limits.reboot_s + limits.verify_s
    made = snapshot.budgets.ledger.reservations.get(name)
    # A reservation that lapses during the drain would not cover the reboot.
    if made is not None and made.expires_at - now > duration / 2:
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
    return BudgetReserved(name, decision.amounts, 2 * duration, request.fence)


def _releases(
    snapshot: MaintenanceSnapshot, request: RoundRequest, wave: Wave | None
) -> Iterator[BudgetReleased]:
    """Releases every reservation of the pool that no member needs."""
    members = wave.members.values() if wave else ()
    needed = {
        reservation_id(wave, member)
        for member in members
        if wave and not member.stage.final
    }
    for name, made in sorted(snapshot.budgets.ledger.reservations.items()):
        mine = name.startswith(_reservation_prefix(request.pool))
        if mine and not made.released and name not in needed:
            yield BudgetReleased(name, request.fence)


def _calls(snapshot: MaintenanceSnapshot, wave: Wave) -> Iterator[PlatformCall]:
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
