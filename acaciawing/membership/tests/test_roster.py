"""Tests of the roster, and of ended members by the platform's list."""

import pytest

from acaciawing.membership import (
    EntryJoined,
    EntryLeft,
    Roster,
    ended_members,
)
from acaciawing.membership.roster import apply
from acaciawing.outcomes import Accepted, Ignored
from acaciawing.records import LogPosition


def joined(name: str, incarnation: int = 1) -> EntryJoined:
    return EntryJoined(name, incarnation, "a", "192.0.2.1:1")


def roster(**joined_at: float) -> Roster:
    table = Roster()
    for offset, (name, at) in enumerate(joined_at.items()):
        table, _ = apply(joined(name), table, LogPosition(offset, at))
    return table


class TestRoster:
    """A late record must not change the entry of a newer incarnation."""

    def test_old_incarnation_neither_joins_nor_leaves(self) -> None:
        table = roster(a=1.0)
        table, outcome = apply(joined("a", 2), table, LogPosition(5, 2.0))
        assert outcome == Accepted()
        for late in (joined("a", 1), EntryLeft("a", 1)):
            after, outcome = apply(late, table, LogPosition(6, 3.0))
            assert after == table
            assert isinstance(outcome, Ignored)


class TestEnded:
    """A live member must not be treated as ended."""

    @pytest.mark.parametrize(
        ("listed", "as_of", "observed_at_by_id", "ended"),
        [
            ({"a", "b"}, 100.0, {}, False),
            # Joined recently; the list may lag.
            ({"a"}, 15.0, {}, False),
            ({"a"}, 41.0, {}, True),
            # On an earlier list after it joined, missing from this one.
            ({"a"}, 15.0, {"b": 12.0}, True),
            # On a list only before it joined, as an earlier incarnation.
            ({"a"}, 15.0, {"b": 9.0}, False),
            # This list is older than the one that had it.
            ({"a"}, 11.0, {"b": 12.0}, False),
            # The list contains no entry instances.
            (set(), 100.0, {"b": 12.0}, False),
        ],
    )
    def test_member_is_ended_only_if_the_list_proves_it(
        self,
        listed: set[str],
        as_of: float,
        observed_at_by_id: dict[str, float],
        ended: bool,
    ) -> None:
        found = ended_members(
            roster(a=1.0, b=10.0), listed, as_of, "a", observed_at_by_id
        )
        assert [m.instance for m in found] == (["b"] if ended else [])
