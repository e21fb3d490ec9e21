"""Membership of entry instances."""

from acaciawing.membership.roster import (
    ENTRY_POOL,
    EntryJoined,
    EntryLeft,
    Roster,
    ended_members,
)

__all__ = ["ENTRY_POOL", "EntryJoined", "EntryLeft", "Roster", "ended_members"]
