"""Next stage of a member of a wave, derived from observations."""

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

# Minimum duration of a drain. An endpoint that leaves may get new work for 3 s
# (design 1.1), and its status may lag by 2 s.
_MIN_DRAIN_S = 5.0


@dataclass(frozen=True)
class StepLimits:
    """Time limits of the stages, in seconds, and the limit of drains.

    Attributes:
        drain_s: Limit of a drain; after it the instance is restored.
        reboot_s: Limit of a reboot; after it the member has failed.
        verify_s: Limit of a verification; after it the member has failed.
        wait_s: Limit of the wait for a drain; after it the member is skipped.
        drains: Maximum number of drains of a member in one wave.
    """

    drain_s: float = 600.0
    reboot_s: float = 600.0
    verify_s: float = 300.0
    wait_s: float = 4 * 86_400.0
    drains: int = 2


@dataclass(frozen=True)
class ObservedInstance:
    """A listed instance with its status.

    Attributes:
        place: Its location and current incarnation.
        pool: Pool that owns it.
        serving: Whether it is up; true also while it drains.
        draining: Whether it rejects new work.
        moving: Whether it is moving to another pool, for a loan or its return.
        in_flight: Number of running requests, or None when unknown.
        verified: Whether it has passed its checks since its start.
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
    """Input of a maintenance round.

    Attributes:
        waves: Waves of the folded state.
        budgets: Ledger, plans and roster for the gate.
        observed: Listed instances by id. A failed instance is missing or not
            serving.
        impact: Requests that draining an instance may fail, by plan.
        limits: Limits of the stages.
    """

    waves: WaveTable
    budgets: BudgetSnapshot
    observed: Mapping[str, ObservedInstance]
    impact: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    limits: StepLimits = StepLimits()


def next_stage(
    snapshot: MaintenanceSnapshot, wave: Wave, member: Member, now: float
) -> tuple[Stage, str] | None:
    """Returns the next stage of a member with the reason, or None.

    None means that the member stays in its stage.
    """
    observed = snapshot.observed.get(member.place.instance)
    if member.stage in _BEFORE_REBOOT:
        if observed is None or _restarted(member, observed):
            return Stage.REPLACED, "replaced"
        if member.stage is Stage.WAITING:
            return _next_after_waiting(snapshot, wave, member, observed, now)
        if not observed.serving:
            return Stage.FAILED, "failed-while-draining"
        if member.stage is Stage.DRAINING:
            return _next_after_draining(snapshot, wave, member, observed, now)
        return _next_after_restoring(snapshot, member, observed)
    return _next_after_reboot(snapshot, member, observed, now)


_BEFORE_REBOOT = (Stage.WAITING, Stage.DRAINING, Stage.RESTORING)


def _next_after_waiting(
    snapshot: MaintenanceSnapshot,
    wave: Wave,
    member: Member,
    observed: ObservedInstance,
    now: float,
) -> tuple[Stage, str] | None:
    if observed.pool != wave.pool:
        return Stage.SKIPPED, "moved"
    if now - member.since > snapshot.limits.wait_s:
        return Stage.SKIPPED, "wait-timeout"
    return None


def _next_after_draining(
    snapshot: MaintenanceSnapshot,
    wave: Wave,
    member: Member,
    observed: ObservedInstance,
    now: float,
) -> tuple[Stage, str] | None:
    if snapshot.waves.is_stopped(wave.pool):
        return Stage.RESTORING, "stopped"
    exceeded = exceeded_bounds(
        snapshot.waves, wave.pool, member.place, wave.bounds
    )
    if exceeded:
        # An unplanned failure took the capacity that allowed this drain.
        return Stage.RESTORING, exceeded[0]
    age = now - member.since
    if observed.draining and observed.in_flight == 0 and age >= _MIN_DRAIN_S:
        return Stage.REBOOTING, ""
    if age > snapshot.limits.drain_s:
        return Stage.RESTORING, "drain-timeout"
    return None


def _next_after_restoring(
    snapshot: MaintenanceSnapshot, member: Member, observed: ObservedInstance
) -> tuple[Stage, str] | None:
    if observed.draining:
        return None
    if member.drains < snapshot.limits.drains:
        return Stage.WAITING, ""
    return Stage.SKIPPED, "drains-used-up"


def _next_after_reboot(
    snapshot: MaintenanceSnapshot,
    member: Member,
    observed: ObservedInstance | None,
    now: float,
) -> tuple[Stage, str] | None:
    serving = (
        observed is not None
        and observed.serving
        and _restarted(member, observed)
    )
    limit = snapshot.limits.verify_s
    if member.stage is Stage.REBOOTING:
        limit = snapshot.limits.reboot_s
        if serving:
            return Stage.VERIFYING, ""
    elif serving and observed is not None and observed.verified:
        return Stage.RETURNED, ""
    if now - member.since > limit:
        return Stage.FAILED, f"{member.stage.value}-timeout"
    return None


def _restarted(member: Member, observed: ObservedInstance) -> bool:
    return observed.place.incarnation > member.place.incarnation
