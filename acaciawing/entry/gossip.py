"""Task that gossips with the other entry instances."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from random import Random

import msgspec

from acaciawing import membership
from acaciawing.admission import EntryView
from acaciawing.decoding import DECODE_ERRORS
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.messages import LeavingReported, MembersUpdated
from acaciawing.membership import (
    EntryJoined,
    Gossip,
    MemberPublication,
    Membership,
)

GOSSIP_PATH = "/v1/peer/gossip"
# A round sends to at most two peers; two more threads cover peers that don't
# answer.
_SENDER_THREADS = 4
# The answer must reach the peer before its time-out of 1 s.
_ANSWER_TIMEOUT_S = 0.8

Send = Callable[[str, str, bytes], bytes | None]


@dataclass(frozen=True)
class Listeners:
    """Receivers of what the gossip delivers.

    Attributes:
        members: Receives the view of the members for the scheduler.
        leaving: Receives leave signals of peers.
        live: Receives the ids of the live members, this instance included.
        peer_is_ahead: Called if a peer has a newer configuration.
    """

    members: Callable[[MembersUpdated], None]
    leaving: Callable[[LeavingReported], None]
    live: Callable[[tuple[str, ...]], None]
    peer_is_ahead: Callable[[], None]


@dataclass(frozen=True)
class _Roster:
    members: tuple[EntryJoined, ...]


@dataclass(frozen=True)
class _Request:
    gossip: Gossip
    reply: "SimpleQueue[Gossip]"


@dataclass(frozen=True)
class _Response:
    gossip: Gossip


class GossipTask(threading.Thread):
    """Owns the membership state.

    Args:
        member: This entry instance.
        known: Zone and address of the members named in the settings, by id.
        send: Sends a message to ``(address, path)`` and returns the answer.
        sample_view: Samples the demand and returns the scheduler's view.
        listeners: Receivers of what the gossip delivers.
        clock: Monotonic time in seconds.
        rng: Random number generator.
    """

    def __init__(
        self,
        member: EntryJoined,
        known: dict[str, tuple[str, str]],
        send: Send,
        sample_view: Callable[[], EngineView],
        listeners: Listeners,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Stores the arguments; `start` begins the rounds."""
        super().__init__(name="gossip", daemon=True)
        self._member = member
        self._known = dict(known)
        self._send = send
        self._sample_view = sample_view
        self._listeners = listeners
        self._clock = clock
        self._rng = rng
        self._state: Membership = membership.start(
            member.instance, member.incarnation, member.zone, member.address
        )
        self._roster: tuple[EntryJoined, ...] = ()
        self._inbox: SimpleQueue[_Roster | _Request | _Response | None] = (
            SimpleQueue()
        )
        self._senders = ThreadPoolExecutor(_SENDER_THREADS, "gossip-send")
        self._live: tuple[str, ...] = ()

    def set_roster(self, members: tuple[EntryJoined, ...]) -> None:
        """Sets the members on the roster, without those that have ended."""
        self._inbox.put(_Roster(members))

    def answer_peer(self, payload: bytes) -> bytes | None:
        """Answers a peer's message; returns None if it is malformed."""
        try:
            gossip = msgspec.json.decode(payload, type=Gossip)
        except DECODE_ERRORS:
            return None
        reply: SimpleQueue[Gossip] = SimpleQueue()
        self._inbox.put(_Request(gossip, reply))
        try:
            return msgspec.json.encode(reply.get(timeout=_ANSWER_TIMEOUT_S))
        except Empty:
            return None

    def stop(self) -> None:
        """Sends the graceful leave to two peers and ends the task."""
        self._inbox.put(None)

    def run(self) -> None:
        """Handles messages and runs rounds until stopped."""
        next_round_at = self._clock()
        while True:
            try:
                timeout_s = max(0.0, next_round_at - self._clock())
                message = self._inbox.get(timeout=timeout_s)
            except Empty:
                self._run_round()
                next_round_at = (
                    self._clock() + membership.ROUND_INTERVAL_S * self._jitter()
                )
                continue
            if message is None:
                break
            self._handle(message)
        self._state = membership.publish_left(self._state)
        self._send_gossip()
        self._senders.shutdown(wait=True)

    def _jitter(self) -> float:
        return self._rng.uniform(0.9, 1.1)

    def _handle(self, message: _Roster | _Request | _Response) -> None:
        now = self._clock()
        if isinstance(message, _Roster):
            self._roster = message.members
            for member in message.members:
                if member.instance != self._member.instance:
                    known = (member.zone, member.address)
                    self._known[member.instance] = known
            return
        self._receive(message.gossip, now)
        if isinstance(message, _Request):
            message.reply.put(
                membership.respond(self._state, message.gossip, now, self._rng)
            )

    def _receive(self, gossip: Gossip, now: float) -> None:
        self._state, news = membership.receive(self._state, gossip, now)
        for instance, incarnation in news.leaving:
            self._listeners.leaving(LeavingReported(instance, incarnation))
        if news.joined:
            self._notify_listeners(now)

    def _run_round(self) -> None:
        view = self._sample_view()
        self._state = membership.publish(
            self._state,
            MemberPublication(
                view.demand, view.loads, view.state.configuration.version
            ),
        )
        for instance, incarnation in view.leave_signals:
            self._state = membership.publish_leaving(
                self._state, instance, incarnation
            )
        self._send_gossip()
        now = self._clock()
        self._notify_listeners(now)
        newest = membership.newest_configuration(self._state, now)
        if newest is not None and newest[0] > view.state.configuration.version:
            self._listeners.peer_is_ahead()

    def _send_gossip(self) -> None:
        now = self._clock()
        zones = {name: zone for name, (zone, _) in self._known.items()}
        for peer in membership.choose_peers(self._state, zones, now, self._rng):
            zone, address = self._zone_and_address(peer)
            if address:
                gossip = membership.request(self._state, zone, now, self._rng)
                self._senders.submit(self._exchange, address, gossip)

    def _zone_and_address(self, peer: str) -> tuple[str, str]:
        row = membership.live(self._state, self._clock()).get(peer)
        if row is not None:
            items = row.items
            return str(items["zone"].value), str(items["address"].value)
        return self._known.get(peer, ("", ""))

    def _exchange(self, address: str, gossip: Gossip) -> None:
        """Runs in a sender thread; puts the answer into the inbox."""
        answer = self._send(address, GOSSIP_PATH, msgspec.json.encode(gossip))
        if answer is None:
            return
        try:
            decoded = msgspec.json.decode(answer, type=Gossip)
        except DECODE_ERRORS:
            return
        self._inbox.put(_Response(decoded))

    def _notify_listeners(self, now: float) -> None:
        rows = membership.live(self._state, now)
        own = self._member
        zones = {own.instance: own.zone}
        zones |= {m: str(row.items["zone"].value) for m, row in rows.items()}
        left = membership.left(self._state, now)
        roster = tuple(
            m.instance for m in self._roster if m.instance not in left
        )
        member_demand = membership.known_demand(self._state, now)
        view = EntryView(own.instance, member_demand, roster)
        self._listeners.members(
            MembersUpdated(view, zones, self._demand_by_pool(now))
        )
        live = tuple(sorted(zones))
        if live != self._live:
            self._live = live
            self._listeners.live(live)

    def _demand_by_pool(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the demand above zero, by pool and member of the zone."""
        table = self._state.tables[membership.POOL_TABLE]
        members = membership.live(self._state, now)
        found: dict[str, dict[str, float]] = {}
        for member, row in table.items():
            if member != self._member.instance and member not in members:
                continue
            for pool, item in row.items.items():
                if pool and item.value:
                    found.setdefault(pool, {})[member] = float(item.value)
        return found
