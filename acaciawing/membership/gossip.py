"""Gossip messages among entry instances.

Demand by pool changes most often and concerns only members that prefer the same
workers, so its table is exchanged only within a zone.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random

import msgspec

from acaciawing.membership.table import (
    Delta,
    DigestEntry,
    Row,
    apply_delta,
    make_delta,
)
from acaciawing.membership.view import (
    DEMAND_TABLE,
    FLEET_TABLE,
    POOL_TABLE,
    Membership,
    heartbeating_members,
    is_complete,
    live,
    with_table,
)

# Rows of a silent member are removed after this time. No peer still relays the
# member by then.
FORGET_TIMEOUT_S = 60.0
MAX_DIGEST_MEMBERS = 28
# Maximum number of items in a message, by table. Changes of `FLEET_TABLE` are rare,
# but a rack or zone that leaves makes many at once; those of demand are frequent.
MAX_MESSAGE_ITEMS = (48, 16, 16)
# In a fleet of at least this size a round goes to one peer. Two peers cost 7.8 KB/s
# at 9 members, which with 2.6 KB/s for the log and the list exceeds the limit of
# 10 KB/s for a node.
LARGE_FLEET_MEMBERS = 5


class Gossip(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request or a response of ``POST /v1/peer/gossip``.

    Attributes:
        sender: Id of the sending member.
        zone: Its availability zone.
        digest: Versions that the sender knows, by member.
        complete: Whether `digest` lists all members with recent heartbeats.
        deltas: Changes, by table.
    """

    sender: str
    zone: str
    digest: tuple[DigestEntry, ...] = ()
    complete: bool = True
    deltas: tuple[tuple[Delta, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipChanges:
    """Changes found in a received message.

    Attributes:
        leaving: Instance and incarnation of each new leave signal.
        joined: Members whose rows became complete.
    """

    leaving: tuple[tuple[str, int], ...] = ()
    joined: tuple[str, ...] = ()


def choose_peers(
    state: Membership,
    known: Mapping[str, str],
    now: float,
    random: Random,
) -> tuple[str, ...]:
    """Chooses two members for a round, one of them in another zone.

    In a large fleet it chooses one member, alternately in this zone and in
    another one.

    Args:
        state: State of this member.
        known: Zone by member, from the roster and the settings. Silent members
            remain candidates, so that partitioned zones reconnect.
        now: Time in seconds.
        random: Source of random numbers.

    Returns:
        Up to two members, the one in this zone first.
    """
    zones = {m: z for m, z in known.items() if m != state.me}
    for member, row in live(state, now).items():
        zones[member] = str(row.items["zone"].value)
    near = sorted(m for m, zone in zones.items() if zone == state.zone)
    far = sorted(m for m, zone in zones.items() if zone != state.zone)
    if near and far and len(zones) < LARGE_FLEET_MEMBERS - 1:
        return random.choice(near), random.choice(far)
    if near and far:
        turn = state.own.heartbeat % 2
        return (random.choice((near, far)[turn]),)
    rest = near or far
    return tuple(random.sample(rest, min(2, len(rest))))


def _digest_members(
    state: Membership, now: float, random: Random
) -> tuple[list[str], bool]:
    """Returns the members to list in a digest, and whether these are all.

    Silent members are left out, since relaying one would restore it at peers that
    have already removed it.
    """
    fresh = heartbeating_members(state, now)
    unknown = sorted(m for m, row in fresh.items() if not is_complete(row))
    rest = sorted(m for m in fresh if m not in unknown)
    free_entries = max(0, MAX_DIGEST_MEMBERS - 1 - len(unknown))
    complete = len(rest) <= free_entries
    if not complete:
        # A uniform sample led to the fewest false failure detections. A
        # preference for the newest or the oldest heartbeats led to 1.5 to 5
        # times as many.
        rest = random.sample(rest, free_entries)
    return [state.me, *unknown, *rest], complete


def _shared_tables(state: Membership, peer_zone: str) -> tuple[int, ...]:
    if peer_zone == state.zone:
        return FLEET_TABLE, DEMAND_TABLE, POOL_TABLE
    return FLEET_TABLE, DEMAND_TABLE


def _digest_entry(
    state: Membership, member: str, tables: tuple[int, ...]
) -> DigestEntry:
    row = state.tables[FLEET_TABLE][member]
    versions = []
    for index in tables:
        known = state.tables[index].get(member)
        if index == POOL_TABLE and known is None:
            continue
        same = known is not None and known.incarnation == row.incarnation
        versions.append(known.version if known is not None and same else 0)
    return DigestEntry(member, row.incarnation, row.heartbeat, tuple(versions))


def _unrequested_deltas(
    state: Membership, tables: tuple[int, ...]
) -> list[list[Delta]]:
    """Changes sent without a request: own ones, and recent ones of others."""
    since = {state.me: state.pushed_versions[0][FLEET_TABLE]}
    for _, member, before in state.recent_changes:
        since[member] = min(before, since.get(member, before))
    deltas: list[list[Delta]] = [[] for _ in tables]
    free_items = MAX_MESSAGE_ITEMS[FLEET_TABLE]
    for member, version in since.items():
        free_items = _add_delta(
            deltas[FLEET_TABLE], state, FLEET_TABLE, member, version, free_items
        )
    for index in tables[1:]:
        version = state.pushed_versions[0][index]
        free_items = MAX_MESSAGE_ITEMS[index]
        _add_delta(deltas[index], state, index, state.me, version, free_items)
    return deltas


def _add_delta(
    deltas: list[Delta],
    state: Membership,
    index: int,
    member: str,
    since: int,
    free_items: int,
    incarnation: int | None = None,
) -> int:
    """Adds the changes that a reader lacks of a row.

    Returns the number of items that still fit in.
    """
    row = state.tables[index].get(member)
    if row is None or free_items <= 0:
        return free_items
    known = row.incarnation if incarnation is None else incarnation
    delta = make_delta(member, row, known, since, free_items)
    if delta is None:
        return free_items
    deltas.append(delta)
    return free_items - len(delta.items)


def request(
    state: Membership, peer_zone: str, now: float, random: Random
) -> Gossip:
    """Builds a message to a peer: a digest and the newest changes."""
    tables = _shared_tables(state, peer_zone)
    members, complete = _digest_members(state, now, random)
    return Gossip(
        state.me,
        state.zone,
        tuple(_digest_entry(state, member, tables) for member in members),
        complete,
        tuple(tuple(deltas) for deltas in _unrequested_deltas(state, tables)),
    )


def respond(
    state: Membership, gossip: Gossip, now: float, random: Random
) -> Gossip:
    """Answers a request that `receive` was already called with.

    The answer holds the changes that the sender lacks according to its digest,
    and the newest changes.
    """
    answer = request(state, gossip.zone, now, random)
    tables = _shared_tables(state, gossip.zone)
    digest_entries = {entry.member: entry for entry in gossip.digest}
    names = list(digest_entries)
    if gossip.complete:
        fresh = (state.me, *heartbeating_members(state, now))
        names += [member for member in fresh if member not in digest_entries]
    random.shuffle(names)
    deltas = [list(pushed) for pushed in answer.deltas]
    for index in tables:
        free_items = MAX_MESSAGE_ITEMS[index]
        pushed_members = {delta.member for delta in deltas[index]}
        for member in names:
            entry = digest_entries.get(member)
            incarnation = entry.incarnation if entry is not None else 0
            since = 0
            if entry is not None and index < len(entry.versions):
                since = entry.versions[index]
            # Changes sent without a request leave a gap for a reader that knows
            # less, so a reader without the row gets all of it.
            if member not in pushed_members or not since:
                free_items = _add_delta(
                    deltas[index],
                    state,
                    index,
                    member,
                    since,
                    free_items,
                    incarnation,
                )
    return msgspec.structs.replace(
        answer, deltas=tuple(tuple(part) for part in deltas)
    )


def _apply_digest(
    state: Membership, entries: Iterable[DigestEntry], now: float
) -> Membership:
    """Applies heartbeats, and adds members that were not known."""
    fleet, last_heartbeat_at = (
        state.tables[FLEET_TABLE],
        state.last_heartbeat_at,
    )
    superseded = state.superseded
    for entry in entries:
        if entry.member == state.me:
            higher = entry.incarnation > state.own.incarnation
            superseded = superseded or higher
            continue
        row = fleet.get(entry.member)
        if row is None or row.incarnation < entry.incarnation:
            # The digest entry of an empty row requests the whole row from the
            # next peer. An entry of version 0 is such a request by the sender
            # and no evidence of the member.
            if not entry.versions[0]:
                continue
            row = Row(entry.incarnation)
        is_newer = (
            row.incarnation == entry.incarnation
            and row.heartbeat < entry.heartbeat
        )
        if is_newer:
            row = replace(row, heartbeat=entry.heartbeat)
            fleet = fleet.set(entry.member, row)
            last_heartbeat_at = last_heartbeat_at.set(entry.member, now)
    state = replace(
        state, last_heartbeat_at=last_heartbeat_at, superseded=superseded
    )
    return with_table(state, FLEET_TABLE, fleet)


def _leave_signals(row: Row | None) -> set[tuple[str, int]]:
    found = set()
    for key, item in row.items.items() if row is not None else ():
        if key.startswith("leaving/"):
            instance, _, incarnation = str(item.value).rpartition(":")
            if incarnation.isdecimal():
                found.add((instance, int(incarnation)))
    return found


def receive(
    state: Membership, gossip: Gossip, now: float
) -> tuple[Membership, MembershipChanges]:
    """Applies a request or a response.

    Args:
        state: The state before.
        gossip: The message.
        now: Time in seconds.

    Returns:
        The state after, and the changes found. No message changes the rows of
        this member.
    """
    fleet_deltas = gossip.deltas[FLEET_TABLE] if gossip.deltas else ()
    heads = [
        DigestEntry(d.member, d.incarnation, d.heartbeat, (d.version,))
        for d in fleet_deltas
    ]
    state = _apply_digest(state, (*heads, *gossip.digest), now)
    leaving: set[tuple[str, int]] = set()
    joined = []
    for delta in fleet_deltas:
        before = state.tables[FLEET_TABLE].get(delta.member)
        # A delta of an unknown member without a new heartbeat is late and changes
        # nothing.
        if delta.member == state.me or before is None:
            continue
        state = _apply_fleet_delta(state, before, delta)
        after = state.tables[FLEET_TABLE][delta.member]
        leaving |= _leave_signals(after) - _leave_signals(before)
        if is_complete(after) and not is_complete(before):
            joined.append(delta.member)
    for index in (DEMAND_TABLE, POOL_TABLE):
        if index >= len(gossip.deltas):
            continue
        table = state.tables[index]
        for delta in gossip.deltas[index]:
            if delta.member != state.me:
                table = apply_delta(table, delta)
        state = with_table(state, index, table)
    return (
        _forget_silent(state, now),
        MembershipChanges(tuple(sorted(leaving)), tuple(joined)),
    )


def _apply_fleet_delta(
    state: Membership, before: Row, delta: Delta
) -> Membership:
    fleet = apply_delta(state.tables[FLEET_TABLE], delta)
    state = with_table(state, FLEET_TABLE, fleet)
    if fleet[delta.member].version <= before.version:
        return state
    change = (state.own.heartbeat, delta.member, before.version)
    return replace(state, recent_changes=(*state.recent_changes, change))


def _forget_silent(state: Membership, now: float) -> Membership:
    silent = [
        m
        for m, at in state.last_heartbeat_at.items()
        if now - at > FORGET_TIMEOUT_S
    ]
    if not silent:
        return state
    last_heartbeat_at = state.last_heartbeat_at
    for member in silent:
        last_heartbeat_at = last_heartbeat_at.delete(member)
    state = replace(state, last_heartbeat_at=last_heartbeat_at)
    for index, table in enumerate(state.tables):
        for member in silent:
            table = table.delete(member) if member in table else table
        state = with_table(state, index, table)
    return state
