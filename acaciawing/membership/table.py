"""Replicated table with one row of published values for each entry instance.

A row is changed only by its owner. It is a set of items, each with the version
at which the owner last changed it; a reader that knows a row up to a version
needs only the items above it ("Efficient Reconciliation and Flow Control for
Anti-Entropy Protocols", van Renesse et al. 2008, Scuttlebutt). A row of a higher
incarnation replaces the whole row of a lower one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TypeAlias

import msgspec
from immutables import Map

Value: TypeAlias = int | float | str


@dataclass(frozen=True, slots=True)
class Item:
    """Versioned value.

    Attributes:
        value: The value.
        version: Version of the row at which the value was set.
    """

    value: Value
    version: int


@dataclass(frozen=True, slots=True)
class Row:
    """Known values of one member.

    Attributes:
        incarnation: Start number of the member.
        heartbeat: Number of its gossip rounds; increases while it runs.
        version: All changes up to this version are known.
        items: Items by key.
    """

    incarnation: int
    heartbeat: int = 0
    version: int = 0
    items: Map[str, Item] = Map()


Table: TypeAlias = Map[str, Row]


# The wire types are encoded as arrays. As objects, their field names would be more
# than half of a digest.
class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """Versions up to which the sender knows one member, by table."""

    member: str
    incarnation: int
    heartbeat: int
    versions: tuple[int, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one row with versions above `since`, up to `version`."""

    member: str
    incarnation: int
    heartbeat: int
    since: int
    version: int
    items: dict[str, tuple[Value, int]]


def set_values(row: Row, values: Mapping[str, Value]) -> Row:
    """Sets values of the own row; unchanged ones keep their version.

    >>> row = set_values(set_values(Row(1), {"a": 1, "b": 2}), {"a": 1, "b": 3})
    >>> row.version, row.items["a"].version, row.items["b"].version
    (3, 1, 3)
    """
    items, version = row.items, row.version
    for key, value in values.items():
        known = items.get(key)
        if known is None or known.value != value:
            version += 1
            items = items.set(key, Item(value, version))
    return replace(row, items=items, version=version)


def _newer(a: Item, b: Item) -> Item:
    # One version has two values only if two processes run with the same id and
    # incarnation. Any fixed order then keeps the merge commutative.
    def order(item: Item) -> tuple[int, str, str]:
        return item.version, type(item.value).__name__, str(item.value)

    return max(a, b, key=order)


def merge_rows(a: Row, b: Row) -> Row:
    """Merges two states of one row.

    Commutative, associative and idempotent; the row of the newer incarnation
    replaces the other one.
    """
    if a.incarnation != b.incarnation:
        return a if a.incarnation > b.incarnation else b
    items = a.items
    for key, item in b.items.items():
        known = items.get(key)
        newest = item if known is None else _newer(known, item)
        if newest is not known:
            items = items.set(key, newest)
    return Row(
        a.incarnation,
        max(a.heartbeat, b.heartbeat),
        max(a.version, b.version),
        items,
    )


def merge(a: Table, b: Table) -> Table:
    """Merges two tables; see `merge_rows`."""
    for member, row in b.items():
        known = a.get(member)
        a = a.set(member, row if known is None else merge_rows(known, row))
    return a


def make_delta(
    member: str, row: Row, incarnation: int, since: int, limit: int
) -> Delta | None:
    """Returns the changes of a row that a reader lacks.

    Args:
        member: The member.
        row: Its row as known here.
        incarnation: Incarnation that the reader knows, or 0.
        since: Version up to which the reader knows that incarnation.
        limit: Maximum number of items. The oldest changes come first, so that a
            truncated delta leaves no gap.

    Returns:
        The delta, or None if the reader lacks nothing.
    """
    if incarnation > row.incarnation:
        return None
    if incarnation < row.incarnation:
        since = 0
    if since >= row.version:
        return None
    changes = sorted(
        (item.version, key)
        for key, item in row.items.items()
        if item.version > since
    )
    version = row.version
    if len(changes) > limit:
        changes = changes[:limit]
        version = changes[-1][0] if changes else since
    items = {
        key: (row.items[key].value, changed_in) for changed_in, key in changes
    }
    return Delta(member, row.incarnation, row.heartbeat, since, version, items)


def apply_delta(table: Table, delta: Delta) -> Table:
    """Applies a delta; a delta that would leave a gap is ignored."""
    known = table.get(delta.member)
    row = Row(
        delta.incarnation,
        delta.heartbeat,
        delta.version,
        Map(
            {
                k: Item(value, version)
                for k, (value, version) in delta.items.items()
            }
        ),
    )
    if known is None or known.incarnation < delta.incarnation:
        return table.set(delta.member, row) if not delta.since else table
    if known.incarnation > delta.incarnation or known.version < delta.since:
        return table
    return table.set(delta.member, merge_rows(known, row))
