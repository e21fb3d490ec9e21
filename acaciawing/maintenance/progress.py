"""Stage that a member of a wave has reached, from what is observed."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from acaciawing.budgets import BudgetSnapshot
from acaciawing.maintenance.records import Place, Stage
from acaciawing.maintenance.waves import (
    Member,
    Wave,
    WaveTable,
    exceeded_bounds,
)

# A leaving endpoint may get new work for 3 s (design 1.1); two seconds more
# cover the status that lags behind.
_LEAVE_S = 5.0


@dataclass(frozen=True)
class StepLimits:
    """How long each stage may take, in seconds.

    Attributes:
        drain_s: Until a drain is given up and the instance serves again.
        reboot_s: Until a reboot counts as failed.
        verify_s: Until a verification counts as failed.
        wait_s: Until a member that can't be drained is left for the next wave.
        drains: Drains that are tried in one wave.
    """

    drain_s: float = 600.0
    reboot_s: float = 600.0
    verify_s: float = 300.0
    wait_s: float = 4 * 86_400.0
    drains: int = 2


@dataclass(frozen=True)
class ObservedInstance:
    """An instance as listed, with its status.

    Attributes:
        place: Where it is, with its present incarnation.
        pool: Pool that owns it.
        serving: Whether it is up, draining or not.
        draining: Whether it refuses new work.
        moving: Whether it is leaving the pool for a loan or its return.
        in_flight: Requests that it runs, or None when unknown.
        verified: Whether it passed its checks since its start.
        started_at: Time of its last known restart on the log's clock, in
            seconds, or None when unknown.
    """

    place: Place
    pool: str
    serving: bool
    draining: bool = False
    moving: bool = False
    in_flight: int | None = None
    verified: bool = False
    started_at: float | None = None


@dataclass(frozen=True)
class MaintenanceSnapshot:
    """What a round looks at.

    Attributes:
        waves: The fold's waves.
        budgets: Ledger, plans and roster for the gate.
        observed: Every listed instance by id; one that failed is missing or
            not serving.
        impact: Requests that draining an instance may fail, by plan.
        limits: Limits of the stages.
    """

    waves: WaveTable
    budgets: BudgetSnapshot
    observed: Mapping[str, ObservedInstance]
    impact: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    limits: StepLimits = StepLimits()


def reached(
    snapshot: MaintenanceSnapshot, wave: Wave, member: Member, now: float
) -> tuple[Stage, str] | None:
    """The stage that a member has reached, with the reason."""
    seen = snapshot.observed.get(member.place.instance)
    if member.stage in _BEFORE_REBOOT:
        if seen is None or _restarted(member, seen):
            return Stage.REPLACED, "replaced"
        if member.stage is Stage.WAITING:
            return _passed_waiting(snapshot, wave, member, seen, now)
        if not seen.serving:
            return Stage.FAILED, "failed-while-draining"
        if member.stage is Stage.DRAINING:
            return _passed_draining(snapshot, wave, member, seen, now)
        return _passed_restoring(snapshot, member, seen)
    return _passed_reboot(snapshot, member, seen, now)


_BEFORE_REBOOT = (Stage.WAITING, Stage.DRAINING, Stage.RESTORING)


def _passed_waiting(
    snapshot: MaintenanceSnapshot,
    wave: Wave,
    member: Member,
    seen: ObservedInstance,
    now: float,
) -> tuple[Stage, str] | None:
    if seen.pool != wave.pool:
        return Stage.SKIPPED, "moved"
    if now - member.since > snapshot.limits.wait_s:
        return Stage.SKIPPED, "wait-timeout"
    return None


def _passed_draining(
    snapshot: MaintenanceSnapshot,
    wave: Wave,
    member: Member,
    seen: ObservedInstance,
    now: float,
) -> tuple[Stage, str] | None:
    if snapshot.waves.is_stopped(wave.pool):
        return Stage.RESTORING, "stopped"
    passed = exceeded_bounds(
        snapshot.waves, wave.pool, member.place, wave.bounds
    )
    if passed:
        # An unplanned failure took the capacity that this drain counted on.
        return Stage.RESTORING, passed[0]
    age = now - member.since
    if seen.draining and seen.in_flight == 0 and age >= _LEAVE_S:
        return Stage.REBOOTING, ""
    if age > snapshot.limits.drain_s:
        return Stage.RESTORING, "drain-timeout"
    return None


def _passed_restoring(
    snapshot: MaintenanceSnapshot, member: Member, seen: ObservedInstance
) -> tuple[Stage, str] | None:
    if seen.draining:
        return None
    if member.drains < snapshot.limits.drains:
        return Stage.WAITING, ""
    return Stage.SKIPPED, "drains-used-up"


def _passed_reboot(
    snapshot: MaintenanceSnapshot,
    member: Member,
    seen: ObservedInstance | None,
    now: float,
) -> tuple[Stage, str] | None:
    serving = seen is not None and seen.serving and _restarted(member, seen)
    limit = snapshot.limits.verify_s
    if member.stage is Stage.REBOOTING:
        limit = snapshot.limits.reboot_s
        if serving:
            return Stage.VERIFYING, ""
    elif serving and seen is not None and seen.verified:
        return Stage.RETURNED, ""
    if now - member.since > limit:
        return Stage.FAILED, f"{member.stage.value}-timeout"
    return None


def _restarted(member: Member, seen: ObservedInstance) -> bool:
    return seen.place.incarnation > member.place.incarnation
