"""Maintenance waves as agreed through the log.

A wave takes the instances of one pool through drain, reboot, verify and return.
Each step is a record that names the member's epoch, so the fold accepts the
first of several equal or competing steps. The fold also checks the bounds, so
that two controllers that read the same state can't pass them together.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch

from immutables import Map

from acaciawing.leases import Fence, pool_subject
from acaciawing.maintenance.records import (
    ALL_POOLS,
    NEXT_STAGES,
    Bounds,
    OutageChanged,
    Place,
    Stage,
    WavePlanned,
    WaveRequested,
    WaveResumed,
    WaveStep,
    WaveStopped,
)
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition

# Instances not seen in a wave for this long were replaced under another id.
_MAINTAINED_RETENTION_S = 90 * 86_400.0


@dataclass(frozen=True)
class Member:
    """One instance in a wave.

    Attributes:
        place: Where the instance is, as planned.
        stage: Its stage.
        since: Time of the last step on the log's clock, in seconds.
        epoch: Number of steps so far.
        drains: Drains begun so far.
    """

    place: Place
    stage: Stage = Stage.WAITING
    since: float = 0.0
    epoch: int = 0
    drains: int = 0


@dataclass(frozen=True)
class Wave:
    """A wave in progress.

    Attributes:
        pool: Name of the pool.
        number: Epoch of the pool at which the wave was planned.
        bounds: Bounds of its drains.
        members: Instances by id.
    """

    pool: str
    number: int
    bounds: Bounds
    members: Map[str, Member]


@dataclass(frozen=True)
class Down:
    """An instance out of service."""

    pool: str
    place: Place


@dataclass(frozen=True)
class WaveTable:
    """All waves and what they must respect.

    Attributes:
        active: Wave in progress, by pool.
        epochs: Waves that have ended, by pool.
        ended: Time at which the last wave ended, by pool.
        in_progress: Instances that a wave keeps out of service.
        outages: Instances that failed unplanned.
        maintained: Time of the last maintenance or replacement, by instance.
        stopped: Offset of the operator's stop, by pool.
        requested: An operator's request that no wave has answered yet, by
            pool.
    """

    active: Map[str, Wave] = field(default_factory=Map)
    epochs: Map[str, int] = field(default_factory=Map)
    ended: Map[str, float] = field(default_factory=Map)
    in_progress: Map[str, Down] = field(default_factory=Map)
    outages: Map[str, Down] = field(default_factory=Map)
    maintained: Map[str, float] = field(default_factory=Map)
    stopped: Map[str, int] = field(default_factory=Map)
    requested: Map[str, WaveRequested] = field(default_factory=Map)

    def is_stopped(self, pool: str) -> bool:
        """Whether an operator stopped maintenance of the pool."""
        return pool in self.stopped or ALL_POOLS in self.stopped


def exceeded(
    table: WaveTable, pool: str, place: Place, bounds: Bounds
) -> tuple[str, ...]:
    """Names the bounds that taking one more instance out would pass.

    Args:
        table: Waves and outages.
        pool: Pool of the instance.
        place: The instance; counted as down whether or not it is.
        bounds: The bounds.

    Returns:
        Some of ``pool-bound``, ``rack-bound`` and ``zone-bound``.
    """
    down: Mapping[str, Down] = {
        **dict(table.outages),
        **dict(table.in_progress),
        place.instance: Down(pool, place),
    }
    counts = occupancy(down.values(), pool, place)
    limits = (bounds.pool, bounds.rack, bounds.zone)
    names = ("pool-bound", "rack-bound", "zone-bound")
    return tuple(
        name
        for name, count, limit in zip(names, counts, limits, strict=True)
        if count > limit
    )


def occupancy(
    down: Iterable[Down], pool: str, place: Place
) -> tuple[int, int, int]:
    """Counts instances down in a place's pool, rack and zone."""
    in_pool = in_rack = in_zone = 0
    for other in down:
        in_pool += other.pool == pool
        if other.place.zone == place.zone:
            in_zone += 1
            in_rack += other.place.rack == place.rack
    return in_pool, in_rack, in_zone


@singledispatch
def apply(
    record: object, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, RecordOutcome]:
    """Applies a record to the waves; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: WavePlanned, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, RecordOutcome]:
    if not _covers(record.fence, record.pool):
        return table, Ignored("wrong-subject", record.fence.subject)
    epoch = table.epochs.get(record.pool, 0)
    if record.pool in table.active or record.epoch != epoch:
        return table, Ignored("stale-epoch", f"{record.epoch}, now {epoch}")
    if not record.members:
        return table, Ignored("empty-wave", record.pool)
    members = {
        place.instance: Member(place, since=position.appended_at)
        for place in record.members
    }
    wave = Wave(record.pool, epoch, record.bounds, Map(members))
    requested = table.requested
    if record.pool in requested:
        requested = requested.delete(record.pool)
    active = table.active.set(record.pool, wave)
    return replace(table, active=active, requested=requested), Accepted()


@apply.register
def _(
    record: WaveRequested, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, RecordOutcome]:
    if not record.pool or record.at_once < 0:
        return table, Ignored("malformed", f"wave over {record.pool!r}")
    if record.pool in table.active:
        return table, Ignored("wave-active", record.pool)
    if record.pool in table.requested:
        return table, Ignored("duplicate", record.pool)
    if table.is_stopped(record.pool):
        return table, Ignored("stopped", record.pool)
    requested = table.requested.set(record.pool, record)
    return replace(table, requested=requested), Accepted()


@apply.register
def _(
    record: WaveStep, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, RecordOutcome]:
    refused = _refused_step(record, table)
    if refused is not None:
        return table, refused
    wave = table.active[record.pool]
    member = wave.members[record.instance]
    moved = replace(
        member,
        stage=record.stage,
        since=position.appended_at,
        epoch=member.epoch + 1,
        drains=member.drains + (record.stage is Stage.DRAINING),
    )
    wave = replace(wave, members=wave.members.set(record.instance, moved))
    stepped = replace(table, active=table.active.set(record.pool, wave))
    stepped = _with_effects(stepped, record, member.place, position)
    if all(m.stage.final for m in wave.members.values()):
        stepped = _closed(stepped, wave, position.appended_at)
    return stepped, Accepted()


@apply.register
def _(
    record: OutageChanged, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, RecordOutcome]:
    if not _covers(record.fence, record.pool):
        return table, Ignored("wrong-subject", record.fence.subject)
    instance = record.place.instance
    if record.down == (instance in table.outages):
        return table, Ignored("duplicate", instance)
    if record.down:
        outages = table.outages.set(instance, Down(record.pool, record.place))
    else:
        outages = table.outages.delete(instance)
    changed = replace(table, outages=outages)
    return changed, Accepted()


@apply.register
def _(
    record: WaveStopped, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, RecordOutcome]:
    if record.pool in table.stopped:
        return table, Ignored("duplicate", record.pool)
    stopped = table.stopped.set(record.pool, position.offset)
    return replace(table, stopped=stopped), Accepted()


@apply.register
def _(
    record: WaveResumed, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, RecordOutcome]:
    if table.stopped.get(record.pool) != record.stopped_at:
        return table, Ignored("stale-epoch", f"stop {record.stopped_at}")
    stopped = table.stopped.delete(record.pool)
    return replace(table, stopped=stopped), Accepted()


def _refused_step(record: WaveStep, table: WaveTable) -> Ignored | None:
    if not _covers(record.fence, record.pool):
        return Ignored("wrong-subject", record.fence.subject)
    wave = table.active.get(record.pool)
    if wave is None or wave.number != record.wave:
        return Ignored("unknown-wave", f"{record.pool}/{record.wave}")
    member = wave.members.get(record.instance)
    if member is None or member.epoch != record.epoch:
        return Ignored("stale-epoch", record.instance)
    if record.stage not in NEXT_STAGES[member.stage]:
        detail = f"{member.stage.value} to {record.stage.value}"
        return Ignored("invalid-step", detail)
    if record.stage is not Stage.DRAINING:
        return None
    if table.is_stopped(record.pool):
        return Ignored("stopped", record.pool)
    passed = exceeded(table, record.pool, member.place, wave.bounds)
    return Ignored("bound", ", ".join(passed)) if passed else None


def _with_effects(
    table: WaveTable, record: WaveStep, place: Place, position: LogPosition
) -> WaveTable:
    """Updates what is out of service and what was maintained."""
    instance = record.instance
    in_progress = table.in_progress
    if record.stage.in_progress:
        in_progress = in_progress.set(instance, Down(record.pool, place))
    elif instance in in_progress:
        in_progress = in_progress.delete(instance)
    changed = replace(table, in_progress=in_progress)
    if record.stage in (Stage.RETURNED, Stage.REPLACED):
        maintained = table.maintained.set(instance, position.appended_at)
        changed = replace(changed, maintained=maintained)
    if record.stage is Stage.FAILED:
        # It stays down after the wave, until it is observed in service.
        outages = table.outages.set(instance, Down(record.pool, place))
        changed = replace(changed, outages=outages)
    return changed


def _closed(table: WaveTable, wave: Wave, now: float) -> WaveTable:
    maintained = table.maintained
    for instance, at in list(maintained.items()):
        if at < now - _MAINTAINED_RETENTION_S:
            maintained = maintained.delete(instance)
    return replace(
        table,
        active=table.active.delete(wave.pool),
        epochs=table.epochs.set(wave.pool, wave.number + 1),
        ended=table.ended.set(wave.pool, now),
        maintained=maintained,
    )


def _covers(fence: Fence, pool: str) -> bool:
    return fence.subject == pool_subject(pool)
