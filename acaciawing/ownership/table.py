"""Fold of the pool that each instance belongs to.

The ownership epoch of an instance is the log offset of the last accepted record
about it. The fold accepts only a record with the current epoch: the first
writer wins and a repeated or late record changes nothing. The ids of platform
calls are derived from the epoch. Since offsets never repeat, these ids don't
either, even when a retired instance is adopted again.
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

# Retention of retired instances, on the log's clock, so that a stale list does
# not adopt them again. Lists lag by seconds, network partitions last minutes.
RETIREMENT_RETENTION_S = 3600.0

_OwnedInstanceRecord: TypeAlias = (
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
        listed_at: Latest `Listing.as_of` in the records about it, seconds.
        epoch: Ownership epoch: offset of the last accepted record about it.
        phase: `SERVING`, `LEAVING` (a move has begun) or `RETURNING` (a move
            has ended and the instance does not serve yet).
        to_pool: Target of the move, or an empty string.
        drained: Whether it was drained for the move that ended, so that a
            reboot interrupts no request.
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
    """A retired instance, retained so that stale lists are recognized.

    Attributes:
        listed_at: `Listing.as_of` of the list without it, seconds.
        retired_at: Time of the retirement on the log's clock, seconds.
    """

    listed_at: float
    retired_at: float


@dataclass(frozen=True)
class Ownership:
    """Pool membership of all instances.

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
    if not _is_fence_of(record.fence, record.pool):
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
        others = table.retired.delete(record.instance)
        table = replace(table, retired=others)
    return _set_instance(table, owned), Accepted()


@apply.register
def _(
    record: InstanceReplaced, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    current = _current_instance(record, table)
    if isinstance(current, Ignored):
        return table, current
    if record.incarnation <= current.incarnation:
        return table, Ignored("stale-incarnation", record.instance)
    # A new incarnation is not drained, so this also ends a move in progress.
    owned = replace(
        current,
        incarnation=record.incarnation,
        zone=record.zone,
        rack=record.rack,
        address=record.address,
        listed_at=max(current.listed_at, record.listed_at),
        epoch=position.offset,
        phase=SERVING,
        to_pool="",
        drained=False,
        changed_at=position.appended_at,
    )
    return _set_instance(table, owned), Accepted()


@apply.register
def _(
    record: InstanceRetired, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    current = _current_instance(record, table)
    if isinstance(current, Ignored):
        return table, current
    if record.listed_at <= current.listed_at:
        return table, Ignored("stale-listing", record.instance)
    retirement = Retirement(record.listed_at, position.appended_at)
    retired = _drop_expired(table.retired, position.appended_at)
    return Ownership(
        table.instances.delete(current.instance),
        _change_count(table.counts, current.pool, -1),
        retired.set(current.instance, retirement),
    ), Accepted()


@apply.register
def _(
    record: MoveBegun, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    current = _current_instance(record, table)
    if isinstance(current, Ignored):
        return table, current
    if current.phase != SERVING:
        return table, Ignored(
            "not-serving", f"{current.instance} {current.phase}"
        )
    if not record.to_pool or record.to_pool == current.pool:
        return table, Ignored("malformed", f"move to {record.to_pool!r}")
    return _set_phase(table, current, position, LEAVING, to_pool=record.to_pool)


@apply.register
def _(
    record: MoveFinished, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    current = _current_instance(record, table)
    if isinstance(current, Ignored):
        return table, current
    if current.phase != LEAVING:
        return table, Ignored("no-move", current.instance)
    counts = _change_count(table.counts, current.pool, -1)
    table = replace(table, counts=_change_count(counts, current.to_pool, 1))
    moved = replace(current, pool=current.to_pool, drained=True)
    return _set_phase(table, moved, position, RETURNING)


@apply.register
def _(
    record: MoveCancelled, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    current = _current_instance(record, table)
    if isinstance(current, Ignored):
        return table, current
    if current.phase != LEAVING:
        return table, Ignored("no-move", current.instance)
    return _set_phase(table, current, position, RETURNING)


@apply.register
def _(
    record: InstanceReturned, table: Ownership, position: LogPosition
) -> tuple[Ownership, RecordOutcome]:
    current = _current_instance(record, table)
    if isinstance(current, Ignored):
        return table, current
    if current.phase != RETURNING:
        return table, Ignored("no-move", current.instance)
    if record.incarnation < current.incarnation:
        return table, Ignored("stale-incarnation", current.instance)
    returned = replace(current, incarnation=record.incarnation, drained=False)
    return _set_phase(table, returned, position, SERVING)


def _current_instance(
    record: _OwnedInstanceRecord, table: Ownership
) -> OwnedInstance | Ignored:
    """Returns the instance, or why the record is ignored.

    The record must have the current epoch and the lease of the current pool.
    """
    current = table.instances.get(record.instance)
    if current is None:
        return Ignored("unknown-instance", record.instance)
    if record.epoch != current.epoch:
        reason = "stale-epoch" if record.epoch < current.epoch else "malformed"
        detail = f"{record.instance}: epoch {record.epoch}, now {current.epoch}"
        return Ignored(reason, detail)
    if not _is_fence_of(record.fence, current.pool):
        return Ignored("wrong-subject", record.fence.subject)
    return current


def _is_fence_of(fence: Fence, pool: str) -> bool:
    return fence.subject == pool_subject(pool)


def _set_instance(table: Ownership, owned: OwnedInstance) -> Ownership:
    counts = table.counts
    if owned.instance not in table.instances:
        counts = _change_count(counts, owned.pool, 1)
    instances = table.instances.set(owned.instance, owned)
    return Ownership(instances, counts, table.retired)


def _set_phase(
    table: Ownership,
    current: OwnedInstance,
    position: LogPosition,
    phase: str,
    to_pool: str = "",
) -> tuple[Ownership, RecordOutcome]:
    owned = replace(
        current,
        epoch=position.offset,
        phase=phase,
        to_pool=to_pool,
        changed_at=position.appended_at,
    )
    return _set_instance(table, owned), Accepted()


def _change_count(
    counts: Map[str, int], pool: str, change: int
) -> Map[str, int]:
    count = counts.get(pool, 0) + change
    return counts.set(pool, count) if count else counts.delete(pool)


def _drop_expired(
    retired: Map[str, Retirement], at: float
) -> Map[str, Retirement]:
    retained = retired
    for instance, retirement in retired.items():
        if at - retirement.retired_at > RETIREMENT_RETENTION_S:
            retained = retained.delete(instance)
    return retained
