"""Maintenance waves as agreed through the log.

A wave takes the instances of one pool through drain, reboot, verify and return.
Each step is a record that names the member's epoch, so the fold accepts the
first of several equal or competing steps. The fold also checks the bounds, so
that two controllers that read the same state can't pass them together.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import singledispatch

from immutables import Map

from acaciawing.outcomes import Accepted, Ignored, Verdict
from acaciawing.records import LogPosition, record_type

ALL_POOLS = ""

# Instances not seen in a wave for this long were replaced under another id.
_MAINTAINED_RETENTION_S = 90 * 86_400.0


class Stage(Enum):
    """Where an instance is in a wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    RESTORING = "restoring"
    REBOOTING = "rebooting"
    VERIFYING = "verifying"
    RETURNED = "returned"
    REPLACED = "replaced"
    SKIPPED = "skipped"
    FAILED = "failed"

    @property
    def in_progress(self) -> bool:
        """Whether the wave keeps the instance out of service."""
        return self in _IN_PROGRESS

    @property
    def final(self) -> bool:
        """Whether the wave is done with the instance."""
        return not _NEXT[self]


_IN_PROGRESS = frozenset(
    {Stage.DRAINING, Stage.RESTORING, Stage.REBOOTING, Stage.VERIFYING}
)

_NEXT: dict[Stage, frozenset[Stage]] = {
    Stage.WAITING: frozenset({Stage.DRAINING, Stage.REPLACED, Stage.SKIPPED}),
    Stage.DRAINING: frozenset(
        {Stage.RESTORING, Stage.REBOOTING, Stage.REPLACED, Stage.FAILED}
    ),
    # A drain was given up; the instance is put back into service.
    Stage.RESTORING: frozenset(
        {Stage.WAITING, Stage.SKIPPED, Stage.REPLACED, Stage.FAILED}
    ),
    Stage.REBOOTING: frozenset({Stage.VERIFYING, Stage.FAILED}),
    Stage.VERIFYING: frozenset({Stage.RETURNED, Stage.FAILED}),
    Stage.RETURNED: frozenset(),
    Stage.REPLACED: frozenset(),
    Stage.SKIPPED: frozenset(),
    Stage.FAILED: frozenset(),
}


@dataclass(frozen=True)
class Bounds:
    """Instances that may be out of service at a time, whatever the cause.

    Attributes:
        pool: In the wave's pool; its size less its reserve.
        rack: In one rack, over all pools.
        zone: In one availability zone, over all pools.
    """

    pool: int
    rack: int
    zone: int


@dataclass(frozen=True)
class Place:
    """Where an instance is.

    Attributes:
        instance: Its id.
        incarnation: Its incarnation when it was observed.
        zone: Availability zone.
        rack: Rack within the zone.
    """

    instance: str
    incarnation: int
    zone: str
    rack: str


@record_type("wave-planned", version=1)
@dataclass(frozen=True)
class WavePlanned:
    """A new wave over a pool.

    Attributes:
        pool: Name of the pool.
        epoch: Number of the pool's waves that have ended.
        members: Instances to maintain.
        bounds: Bounds that hold for each drain of the wave.
        token: Fencing token of the pool's maintenance lease.
    """

    pool: str
    epoch: int
    members: tuple[Place, ...]
    bounds: Bounds
    token: int


@record_type("wave-step", version=1)
@dataclass(frozen=True)
class WaveStep:
    """One instance passes to the next stage.

    Attributes:
        pool: Name of the pool.
        wave: Epoch of the wave.
        instance: Id of the instance.
        epoch: Epoch of the member that the writer saw.
        stage: The new stage.
        token: Fencing token of the pool's maintenance lease.
        reason: Code that explains the step, or an empty string.
    """

    pool: str
    wave: int
    instance: str
    epoch: int
    stage: Stage
    token: int
    reason: str = ""


@record_type("instance-outage", version=1)
@dataclass(frozen=True)
class OutageChanged:
    """An unplanned failure of an instance was observed, or its end.

    Attributes:
        pool: Pool of the instance.
        place: Where it is.
        down: Whether it is out of service.
        token: Fencing token of the pool's maintenance lease.
    """

    pool: str
    place: Place
    down: bool
    token: int


@record_type("wave-stopped", version=1)
@dataclass(frozen=True)
class WaveStopped:
    """An operator stops maintenance.

    Attributes:
        pool: Name of the pool, or `ALL_POOLS`.
        operator: Name of the operator.
        reason: Text for other operators.
    """

    pool: str
    operator: str
    reason: str


@record_type("wave-resumed", version=1)
@dataclass(frozen=True)
class WaveResumed:
    """An operator lifts a stop.

    Attributes:
        pool: Name of the pool, or `ALL_POOLS`.
        operator: Name of the operator.
        stopped_at: Log offset of the stop that is lifted; a late repeat must
            not lift a newer stop.
    """

    pool: str
    operator: str
    stopped_at: int


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
        tokens: Highest fencing token seen, by pool.
    """

    active: Map[str, Wave] = field(default_factory=Map)
    epochs: Map[str, int] = field(default_factory=Map)
    ended: Map[str, float] = field(default_factory=Map)
    in_progress: Map[str, Down] = field(default_factory=Map)
    outages: Map[str, Down] = field(default_factory=Map)
    maintained: Map[str, float] = field(default_factory=Map)
    stopped: Map[str, int] = field(default_factory=Map)
    tokens: Map[str, int] = field(default_factory=Map)

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
) -> tuple[WaveTable, Verdict]:
    """Applies a record to the waves; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: WavePlanned, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, Verdict]:
    stale = _stale_token(table, record.pool, record.token)
    if stale is not None:
        return table, stale
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
    planned = replace(table, active=table.active.set(record.pool, wave))
    return _with_token(planned, record.pool, record.token), Accepted()


@apply.register
def _(
    record: WaveStep, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, Verdict]:
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
    return _with_token(stepped, record.pool, record.token), Accepted()


@apply.register
def _(
    record: OutageChanged, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, Verdict]:
    stale = _stale_token(table, record.pool, record.token)
    if stale is not None:
        return table, stale
    instance = record.place.instance
    if record.down == (instance in table.outages):
        return table, Ignored("duplicate", instance)
    if record.down:
        outages = table.outages.set(instance, Down(record.pool, record.place))
    else:
        outages = table.outages.delete(instance)
    changed = replace(table, outages=outages)
    return _with_token(changed, record.pool, record.token), Accepted()


@apply.register
def _(
    record: WaveStopped, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, Verdict]:
    if record.pool in table.stopped:
        return table, Ignored("duplicate", record.pool)
    stopped = table.stopped.set(record.pool, position.offset)
    return replace(table, stopped=stopped), Accepted()


@apply.register
def _(
    record: WaveResumed, table: WaveTable, position: LogPosition
) -> tuple[WaveTable, Verdict]:
    if table.stopped.get(record.pool) != record.stopped_at:
        return table, Ignored("stale-epoch", f"stop {record.stopped_at}")
    stopped = table.stopped.delete(record.pool)
    return replace(table, stopped=stopped), Accepted()


def _refused_step(record: WaveStep, table: WaveTable) -> Ignored | None:
    stale = _stale_token(table, record.pool, record.token)
    if stale is not None:
        return stale
    wave = table.active.get(record.pool)
    if wave is None or wave.number != record.wave:
        return Ignored("unknown-wave", f"{record.pool}/{record.wave}")
    member = wave.members.get(record.instance)
    if member is None or member.epoch != record.epoch:
        return Ignored("stale-epoch", record.instance)
    if record.stage not in _NEXT[member.stage]:
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


def _stale_token(table: WaveTable, pool: str, token: int) -> Ignored | None:
    newest = table.tokens.get(pool, -1)
    if token < newest:
        return Ignored("stale-token", f"{token}, newest is {newest}")
    return None


def _with_token(table: WaveTable, pool: str, token: int) -> WaveTable:
    if table.tokens.get(pool, -1) >= token:
        return table
    return replace(table, tokens=table.tokens.set(pool, token))
