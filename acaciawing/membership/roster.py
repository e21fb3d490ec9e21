"""Roster of entry instances, agreed on through the log."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from functools import singledispatch

from immutables import Map

from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
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
        joined_at: Time of each join on the log's clock, in seconds.
    """

    members: Map[str, EntryJoined] = Map()
    joined_at: Map[str, float] = Map()


@singledispatch
def apply(
    record: object, table: Roster, position: LogPosition
) -> tuple[Roster, RecordOutcome]:
    """Applies a record to the roster; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: EntryJoined, table: Roster, position: LogPosition
) -> tuple[Roster, RecordOutcome]:
    known = table.members.get(record.instance)
    if known is not None and known.incarnation >= record.incarnation:
        return table, Ignored("stale-incarnation", record.instance)
    members = table.members.set(record.instance, record)
    times = table.joined_at.set(record.instance, position.appended_at)
    return replace(table, members=members, joined_at=times), Accepted()


@apply.register
def _(
    record: EntryLeft, table: Roster, position: LogPosition
) -> tuple[Roster, RecordOutcome]:
    known = table.members.get(record.instance)
    if known is None or known.incarnation != record.incarnation:
        return table, Ignored("stale-incarnation", record.instance)
    members = table.members.delete(record.instance)
    times = table.joined_at.delete(record.instance)
    return replace(table, members=members, joined_at=times), Accepted()


# Pool under which the platform lists the entry instances themselves.
ENTRY_POOL = "entry"

# An entry instance may be missing from the list for this long after it joined.
_MAX_LIST_LAG_S = 30.0


def ended_members(
    roster: Roster,
    listed: Collection[str],
    as_of: float,
    own: str,
    observed_at_by_id: Mapping[str, float],
) -> tuple[EntryJoined, ...]:
    """Returns the members that the platform reports as ended.

    Args:
        roster: The roster.
        listed: Ids of the instances on the platform's list.
        as_of: Time that the list describes, on the platform's clock, in seconds.
        own: Id of this instance. A list without it is not evidence about any
            entry instance.
        observed_at_by_id: Time of the newest list that had the instance, in
            seconds, by id.

    Returns:
        Join records of members that are not on the list, but were on an earlier
        list made after they joined, or joined more than `_MAX_LIST_LAG_S` before
        this list.
    """
    if own not in listed:
        return ()
    return tuple(
        member
        for name, member in sorted(roster.members.items())
        if name not in listed
        and _has_ended(
            roster.joined_at.get(name, as_of),
            as_of,
            observed_at_by_id.get(name),
        )
    )


def _has_ended(
    joined_at: float, as_of: float, observed_at: float | None
) -> bool:
    if observed_at is not None and joined_at <= observed_at < as_of:
        return True
    return as_of > joined_at + _MAX_LIST_LAG_S
