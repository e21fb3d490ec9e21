"""Fold of the pool that each instance belongs to.

The ownership epoch of an instance is the log offset of the last accepted record
about it. The fold accepts only a record that names the current epoch: the first
writer wins and a repeated or late record changes nothing. Offsets never repeat,
so neither do the ids of platform calls, which are derived from the epoch, even
when a retired instance is adopted again.
"""

from dataclasses import dataclass, replace
from functools import singledispatch
from typing import TypeAlias

from immutables import Map

from acaciawing.leases import Fence, pool_subject
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.ownership.records import (
    InstanceAdopted,
    InstanceReplaced,
    InstanceRetired,
    InstanceReturned,
    MoveBegun,
    MoveCancelled,
    MoveFinished,
)
from acaciawing.records import LogPosition

SERVING = "serving"
LEAVING = "leaving"
RETURNING = "returning"

# How long the fold remembers a retired instance, on the log's clock. A stale
# list must not adopt it again; lists lag by seconds, partitions last minutes.
RETIRED_KEPT_S = 3600.0

_Change: TypeAlias = (
    InstanceReplaced
    | InstanceRetired
    | MoveBegun
    | MoveFinished
    | MoveCancelled
    | InstanceReturned
)


@dataclass(frozen=True)
class OwnedInstance:
    """An instance and the one pool it belongs to.

    Attributes:
        instance: Id of the instance.
        incarnation: Its start number.
        pool: The pool it belongs to.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port`` of its endpoint.
        listed_at: `Listing.as_of` of the newest list that a record about it
            named, seconds.
        epoch: Ownership epoch: offset of the last accepted record about it.
        phase: `SERVING`, `LEAVING` (a move has begun) or `RETURNING` (a move
            has ended and the instance is not yet back in service).
        to_pool: Target of the move, or an empty string.
        drained: Whether it was drained for the move that ended; a reboot then
            interrupts no request.
        changed_at: Time of the last accepted record on the log's clock.
    """

    instance: str
    incarnation: int
    pool: str
    zone: str
    rack: str
    address: str
    listed_at: float
    epoch: int
    phase: str = SERVING
    to_pool: str = ""
    drained: bool = False
    changed_at: float = 0.0


@dataclass(frozen=True)
class Retirement:
    """A retired instance, remembered against stale lists.

    Attributes:
        listed_at: `Listing.as_of` of the list that lacked it, seconds.
        retired_at: Time of the retirement on the log's clock, seconds.
    """

    listed_at: float
    retired_at: float


@dataclass(frozen=True)
class Ownership:
    """Pool membership of the whole fleet.

    Attributes:
        instances: Instances by id.
        counts: Number of instances by pool; no entry for an empty pool.
        retired: Recently retired instances by id.
    """

    instances: Map[str, OwnedInstance] = Map()
    counts: Map[str, int] = Map()
    retired: Map[str, Retirement] = Map()


def members(table: Ownership, pool: str) -> list[OwnedInstance]:
    """Returns the instances of a pool, ordered by id."""
    found = (i for i in table.instances.values() if i.pool == pool)
    return sorted(found, key=lambda i: i.instance)


@singledispatch
def apply(
    record: object, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    """Applies a record to the ownership; see `acaciawing.fold.step`.

    The caller has checked that ``record.fence`` is the current lease of its
    subject. Here the subject is checked against the pool of the instance.
    """
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: InstanceAdopted, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    if not record.instance or not record.pool or record.incarnation < 0:
        return table, Ignored("malformed", repr(record.instance))
    if record.instance in table.instances:
        return table, Ignored("already-owned", record.instance)
    if not _covers(record.fence, record.pool):
        return table, Ignored("wrong-subject", record.fence.subject)
    retired = table.retired.get(record.instance)
    if retired is not None and record.listed_at <= retired.listed_at:
        return table, Ignored("stale-listing", record.instance)
    owned = OwnedInstance(
        record.instance,
        record.incarnation,
        record.pool,
        record.zone,
        record.rack,
        record.address,
        record.listed_at,
        epoch=position.offset,
        changed_at=position.appended_at,
    )
    if retired is not None:
        remembered = table.retired.delete(record.instance)
        table = replace(table, retired=remembered)
    return _put(table, owned), Accepted()


@apply.register
def _(
    record: InstanceReplaced, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    known = _current(record, table)
    if isinstance(known, Ignored):
        return table, known
    if record.incarnation <= known.incarnation:
        return table, Ignored("stale-incarnation", record.instance)
    # A new incarnation is not drained, so a move that had begun ends here.
    owned = replace(
        known,
        incarnation=record.incarnation,
        zone=record.zone,
        rack=record.rack,
        address=record.address,
        listed_at=max(known.listed_at, record.listed_at),
        epoch=position.offset,
        phase=SERVING,
        to_pool="",
        drained=False,
        changed_at=position.appended_at,
    )
    return _put(table, owned), Accepted()


@apply.register
def _(
    record: InstanceRetired, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    known = _current(record, table)
    if isinstance(known, Ignored):
        return table, known
    if record.listed_at <= known.listed_at:
        return table, Ignored("stale-listing", record.instance)
    retirement = Retirement(record.listed_at, position.appended_at)
    kept = _forget_old(table.retired, position.appended_at)
    return Ownership(
        table.instances.delete(known.instance),
        _count(table.counts, known.pool, -1),
        kept.set(known.instance, retirement),
    ), Accepted()


@apply.register
def _(
    record: MoveBegun, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    known = _current(record, table)
    if isinstance(known, Ignored):
        return table, known
    if known.phase != SERVING:
        return table, Ignored("not-serving", f"{known.instance} {known.phase}")
    if not record.to_pool or record.to_pool == known.pool:
        return table, Ignored("malformed", f"move to {record.to_pool!r}")
    return _advance(table, known, position, LEAVING, to_pool=record.to_pool)


@apply.register
def _(
    record: MoveFinished, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    known = _current(record, table)
    if isinstance(known, Ignored):
        return table, known
    if known.phase != LEAVING:
        return table, Ignored("no-move", known.instance)
    counts = _count(table.counts, known.pool, -1)
    table = replace(table, counts=_count(counts, known.to_pool, 1))
    moved = replace(known, pool=known.to_pool, drained=True)
    return _advance(table, moved, position, RETURNING)


@apply.register
def _(
    record: MoveCancelled, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    known = _current(record, table)
    if isinstance(known, Ignored):
        return table, known
    if known.phase != LEAVING:
        return table, Ignored("no-move", known.instance)
    return _advance(table, known, position, RETURNING)


@apply.register
def _(
    record: InstanceReturned, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    known = _current(record, table)
    if isinstance(known, Ignored):
        return table, known
    if known.phase != RETURNING:
        return table, Ignored("no-move", known.instance)
    if record.incarnation < known.incarnation:
        return table, Ignored("stale-incarnation", known.instance)
    returned = replace(known, incarnation=record.incarnation, drained=False)
    return _advance(table, returned, position, SERVING)


def _current(record: _Change, table: Ownership) -> OwnedInstance | Ignored:
    """Returns the instance if the record names its epoch and pool."""
    known = table.instances.get(record.instance)
    if known is None:
        return Ignored("unknown-instance", record.instance)
    if record.epoch != known.epoch:
        reason = "stale-epoch" if record.epoch < known.epoch else "malformed"
        detail = f"{record.instance}: epoch {record.epoch}, not {known.epoch}"
        return Ignored(reason, detail)
    if not _covers(record.fence, known.pool):
        return Ignored("wrong-subject", record.fence.subject)
    return known


def _covers(fence: Fence, pool: str) -> bool:
    return fence.subject == pool_subject(pool)


def _put(table: Ownership, owned: OwnedInstance) -> Ownership:
    counts = table.counts
    if owned.instance not in table.instances:
        counts = _count(counts, owned.pool, 1)
    instances = table.instances.set(owned.instance, owned)
    return Ownership(instances, counts, table.retired)


def _advance(
    table: Ownership,
    known: OwnedInstance,
    position: LogPosition,
    phase: str,
    to_pool: str = "",
) -> tuple[Ownership, RecordOutcome]:
    owned = replace(
        known,
        epoch=position.offset,
        phase=phase,
        to_pool=to_pool,
        changed_at=position.appended_at,
    )
    return _put(table, owned), Accepted()


def _count(counts: Map[str, int], pool: str, change: int) -> Map[str, int]:
    count = counts.get(pool, 0) + change
    return counts.set(pool, count) if count else counts.delete(pool)


def _forget_old(
    retired: Map[str, Retirement], at: float
) -> Map[str, Retirement]:
    kept = retired
    for instance, retirement in retired.items():
        if at - retirement.retired_at > RETIRED_KEPT_S:
            kept = kept.delete(instance)
    return kept
