"""Gossip messages among entry instances.

Demand by pool changes most and matters only to those that use the same workers
first, so its table is spread only inside a zone.
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
    is_complete,
    live,
    members_with_news,
    with_table,
)

# Long enough that no peer still relays the member when it is forgotten.
FORGET_TIMEOUT_S = 60.0
MAX_DIGEST_MEMBERS = 28
# Items in a message at most, by table. Changes of `FLEET_TABLE` are rare, and a rack or
# zone that leaves makes many at once; those of demand are frequent.
MAX_MESSAGE_ITEMS = (48, 16, 16)
# From this size on a round goes to one peer. Two cost 7.8 KB/s at 9 members, which
# with 2.6 KB/s for the log and the list is over the 10 KB/s of a node.
LARGE_FLEET_MEMBERS = 5


class Gossip(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request or a response of ``POST /v1/peer/gossip``.

    Attributes:
        sender: Id of the sending member.
        zone: Its availability zone.
        digest: How much the sender knows.
        complete: Whether `digest` names all members with news.
        deltas: Changes, by table.
    """

    sender: str
    zone: str
    digest: tuple[DigestEntry, ...] = ()
    complete: bool = True
    deltas: tuple[tuple[Delta, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipChanges:
    """What a message brought.

    Attributes:
        leaving: Instance and incarnation of each leave signal that is new.
        joined: Members whose rows became known.
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

    In a large fleet it chooses one, in the own and another zone by turns.

    Args:
        state: What is known.
        known: Zone by member, from the roster and the settings. Members that
            are not heard of stay candidates, so that zones which were parted
            meet again.
        now: Time in seconds.
        random: Source of random numbers.

    Returns:
        Up to two members, the one of the own zone first.
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
    """Members to name in a digest, and whether these are all.

    Members without news are not named: relaying them would bring back a member
    that others have forgotten.
    """
    fresh = members_with_news(state, now)
    unknown = sorted(m for m, row in fresh.items() if not is_complete(row))
    rest = sorted(m for m in fresh if m not in unknown)
    room = max(0, MAX_DIGEST_MEMBERS - 1 - len(unknown))
    complete = len(rest) <= room
    if not complete:
        # A uniform draw left the fewest members wrongly given up; preferring
        # the freshest or the oldest news left 1.5 to 5 times as many.
        rest = random.sample(rest, room)
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
    """Changes that are sent unasked: the own, and others' that just came."""
    since = {state.me: state.pushed[0][FLEET_TABLE]}
    for _, member, before in state.recent:
        since[member] = min(before, since.get(member, before))
    deltas: list[list[Delta]] = [[] for _ in tables]
    room = MAX_MESSAGE_ITEMS[FLEET_TABLE]
    for member, version in since.items():
        room = _add_delta(
            deltas[FLEET_TABLE], state, FLEET_TABLE, member, version, room
        )
    for index in tables[1:]:
        version = state.pushed[0][index]
        room = MAX_MESSAGE_ITEMS[index]
        _add_delta(deltas[index], state, index, state.me, version, room)
    return deltas


def _add_delta(
    deltas: list[Delta],
    state: Membership,
    index: int,
    member: str,
    since: int,
    room: int,
    incarnation: int | None = None,
) -> int:
    """Adds what a reader lacks of a row; returns the room that is left."""
    row = state.tables[index].get(member)
    if row is None or room <= 0:
        return room
    known = row.incarnation if incarnation is None else incarnation
    delta = make_delta(member, row, known, since, room)
    if delta is None:
        return room
    deltas.append(delta)
    return room - len(delta.items)


def request(
    state: Membership, peer_zone: str, now: float, random: Random
) -> Gossip:
    """Message to a peer: a digest, and the newest changes."""
    tables = _shared_tables(state, peer_zone)
    shown, complete = _digest_members(state, now, random)
    return Gossip(
        state.me,
        state.zone,
        tuple(_digest_entry(state, member, tables) for member in shown),
        complete,
        tuple(tuple(deltas) for deltas in _unrequested_deltas(state, tables)),
    )


def respond(
    state: Membership, gossip: Gossip, now: float, random: Random
) -> Gossip:
    """Answers a request, after `receive` was called with it.

    The answer holds what the sender lacks by its digest, and the newest changes.
    """
    answer = request(state, gossip.zone, now, random)
    tables = _shared_tables(state, gossip.zone)
    requested = {entry.member: entry for entry in gossip.digest}
    names = list(requested)
    if gossip.complete:
        fresh = (state.me, *members_with_news(state, now))
        names += [member for member in fresh if member not in requested]
    random.shuffle(names)
    deltas = [list(pushed) for pushed in answer.deltas]
    for index in tables:
        room = MAX_MESSAGE_ITEMS[index]
        covered = {delta.member for delta in deltas[index]}
        for member in names:
            entry = requested.get(member)
            incarnation = entry.incarnation if entry is not None else 0
            since = 0
            if entry is not None and index < len(entry.versions):
                since = entry.versions[index]
            # What was sent unasked leaves a gap for a reader that knows less.
            if member not in covered or not since:
                room = _add_delta(
                    deltas[index],
                    state,
                    index,
                    member,
                    since,
                    room,
                    incarnation,
                )
    return msgspec.structs.replace(
        answer, deltas=tuple(tuple(part) for part in deltas)
    )


def _apply_digest(
    state: Membership, entries: Iterable[DigestEntry], now: float
) -> Membership:
    """Takes heartbeats, and the names of members not known yet."""
    fleet, news_at = state.tables[FLEET_TABLE], state.news_at
    superseded = state.superseded
    for entry in entries:
        if entry.member == state.me:
            higher = entry.incarnation > state.own.incarnation
            superseded = superseded or higher
            continue
        row = fleet.get(entry.member)
        if row is None or row.incarnation < entry.incarnation:
            # An empty row asks the next peer for the whole row. Version 0 is
            # such a question of the sender and no news.
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
            news_at = news_at.set(entry.member, now)
    state = replace(state, news_at=news_at, superseded=superseded)
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
        The state after and what was new. No message changes the own rows.
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
        # A delta of a member without news is late and changes nothing.
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
    came = (state.own.heartbeat, delta.member, before.version)
    return replace(state, recent=(*state.recent, came))


def _forget_silent(state: Membership, now: float) -> Membership:
    old = [m for m, at in state.news_at.items() if now - at > FORGET_TIMEOUT_S]
    if not old:
        return state
    news_at = state.news_at
    for member in old:
        news_at = news_at.delete(member)
    state = replace(state, news_at=news_at)
    for index, table in enumerate(state.tables):
        for member in old:
            table = table.delete(member) if member in table else table
        state = with_table(state, index, table)
    return state
