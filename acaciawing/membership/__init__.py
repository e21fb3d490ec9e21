"""Membership of entry instances."""

from acaciawing.membership.roster import EntryJoined, EntryLeft, Roster

__all__ = ["EntryJoined", "EntryLeft", "Roster"]
