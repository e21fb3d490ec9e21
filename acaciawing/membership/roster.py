"""Roster of entry instances, agreed through the log."""

from dataclasses import dataclass, replace
from functools import singledispatch

from immutables import Map

from acaciawing.outcomes import Accepted, Ignored, Verdict
from acaciawing.records import LogPosition, record_type


@record_type("entry-joined", version=1)
@dataclass(frozen=True)
class EntryJoined:
    """An entry instance that is about to serve.

    Attributes:
        instance: Id of the entry instance.
        incarnation: Start number; a higher one replaces a lower one.
        zone: Availability zone.
        address: ``ip:port`` of its administration listener.
    """

    instance: str
    incarnation: int
    zone: str
    address: str


@record_type("entry-left", version=1)
@dataclass(frozen=True)
class EntryLeft:
    """An entry instance that has stopped, or that the platform ended.

    Attributes:
        instance: Id of the entry instance.
        incarnation: The incarnation that ended.
    """

    instance: str
    incarnation: int


@dataclass(frozen=True)
class Roster:
    """Entry instances that joined and have not left.

    Attributes:
        members: Join records by instance id.
    """

    members: Map[str, EntryJoined] = Map()


@singledispatch
def apply(
    record: object, table: Roster, position: LogPosition
) -> tuple[Roster, Verdict]:
    """Applies a record to the roster; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: EntryJoined, table: Roster, position: LogPosition
) -> tuple[Roster, Verdict]:
    known = table.members.get(record.instance)
    if known is not None and known.incarnation >= record.incarnation:
        return table, Ignored("stale-incarnation", record.instance)
    members = table.members.set(record.instance, record)
    return replace(table, members=members), Accepted()


@apply.register
def _(
    record: EntryLeft, table: Roster, position: LogPosition
) -> tuple[Roster, Verdict]:
    known = table.members.get(record.instance)
    if known is None or known.incarnation != record.incarnation:
        return table, Ignored("stale-incarnation", record.instance)
    members = table.members.delete(record.instance)
    return replace(table, members=members), Accepted()
