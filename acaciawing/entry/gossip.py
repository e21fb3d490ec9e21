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
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.messages import LeavingSeen, MembersSeen
from acaciawing.membership import (
    EntryJoined,
    Gossip,
    MemberPublication,
    Membership,
)

GOSSIP_PATH = "/v1/peer/gossip"
# A round sends to two peers at most; two more cover peers that do not answer.
_SENDERS = 4
# The answer to a peer must come before its own time-out of 1 s.
_ANSWER_S = 0.8

Send = Callable[[str, str, bytes], bytes | None]


@dataclass(frozen=True)
class Listeners:
    """Who is told of what the gossip brings.

    Attributes:
        members: Receives the view for the scheduler.
        leaving: Receives leave signals of peers.
        live: Receives the ids of the live members, the own included.
        behind: Called if a peer has a newer configuration.
    """

    members: Callable[[MembersSeen], None]
    leaving: Callable[[LeavingSeen], None]
    live: Callable[[tuple[str, ...]], None]
    behind: Callable[[], None]


@dataclass(frozen=True)
class _Roster:
    members: tuple[EntryJoined, ...]


@dataclass(frozen=True)
class _Asked:
    gossip: Gossip
    reply: "SimpleQueue[Gossip]"


@dataclass(frozen=True)
class _Answered:
    gossip: Gossip


class GossipTask(threading.Thread):
    """Owns the membership state.

    Args:
        member: This entry instance.
        known: Zone and address of the members named in the settings, by id.
        send: Sends a message to ``(address, path)`` and returns the answer.
        observe: Takes a demand sample and returns the scheduler's view.
        listeners: Who is told.
        clock: Monotonic time in seconds.
        random: Source of random numbers.
    """

    def __init__(
        self,
        member: EntryJoined,
        known: dict[str, tuple[str, str]],
        send: Send,
        observe: Callable[[], EngineView],
        listeners: Listeners,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Keeps the arguments; `start` begins the rounds."""
        super().__init__(name="gossip", daemon=True)
        self._member = member
        self._known = dict(known)
        self._send = send
        self._observe = observe
        self._listeners = listeners
        self._clock = clock
        self._random = random
        self._state: Membership = membership.start(
            member.instance, member.incarnation, member.zone, member.address
        )
        self._roster: tuple[EntryJoined, ...] = ()
        self._inbox: SimpleQueue[_Roster | _Asked | _Answered | None] = (
            SimpleQueue()
        )
        self._senders = ThreadPoolExecutor(_SENDERS, "gossip-send")
        self._live: tuple[str, ...] = ()

    def set_roster(self, members: tuple[EntryJoined, ...]) -> None:
        """Tells the members on the roster, without those that have ended."""
        self._inbox.put(_Roster(members))

    def answer_peer(self, payload: bytes) -> bytes | None:
        """Answers a peer's message; None if it is not understood."""
        try:
            gossip = msgspec.json.decode(payload, type=Gossip)
        except msgspec.DecodeError:
            return None
        reply: SimpleQueue[Gossip] = SimpleQueue()
        self._inbox.put(_Asked(gossip, reply))
        try:
            return msgspec.json.encode(reply.get(timeout=_ANSWER_S))
        except Empty:
            return None

    def stop(self) -> None:
        """Says goodbye to two peers and ends the task."""
        self._inbox.put(None)

    def run(self) -> None:
        """Handles messages and runs rounds until stopped."""
        due = self._clock()
        while True:
            try:
                left = max(0.0, due - self._clock())
                message = self._inbox.get(timeout=left)
            except Empty:
                self._round()
                due = (
                    self._clock() + membership.ROUND_INTERVAL_S * self._jitter()
                )
                continue
            if message is None:
                break
            self._handle(message)
        self._state = membership.publish_left(self._state)
        self._talk()
        self._senders.shutdown(wait=True)

    def _jitter(self) -> float:
        return self._random.uniform(0.9, 1.1)

    def _handle(self, message: _Roster | _Asked | _Answered) -> None:
        now = self._clock()
        if isinstance(message, _Roster):
            self._roster = message.members
            for member in message.members:
                if member.instance != self._member.instance:
                    known = (member.zone, member.address)
                    self._known[member.instance] = known
            return
        self._receive(message.gossip, now)
        if isinstance(message, _Asked):
            message.reply.put(
                membership.respond(
                    self._state, message.gossip, now, self._random
                )
            )

    def _receive(self, gossip: Gossip, now: float) -> None:
        self._state, news = membership.receive(self._state, gossip, now)
        for instance, incarnation in news.leaving:
            self._listeners.leaving(LeavingSeen(instance, incarnation))
        if news.joined:
            self._tell(now)

    def _round(self) -> None:
        view = self._observe()
        self._state = membership.publish(
            self._state,
            MemberPublication(
                view.demand, view.loads, view.state.configuration.version
            ),
        )
        for instance, incarnation in view.leaves:
            self._state = membership.publish_leaving(
                self._state, instance, incarnation
            )
        self._talk()
        now = self._clock()
        self._tell(now)
        newest = membership.newest_configuration(self._state, now)
        if newest is not None and newest[0] > view.state.configuration.version:
            self._listeners.behind()

    def _talk(self) -> None:
        now = self._clock()
        zones = {name: zone for name, (zone, _) in self._known.items()}
        for peer in membership.choose_peers(
            self._state, zones, now, self._random
        ):
            zone, address = self._place(peer)
            if address:
                gossip = membership.request(
                    self._state, zone, now, self._random
                )
                self._senders.submit(self._exchange, address, gossip)

    def _place(self, peer: str) -> tuple[str, str]:
        row = membership.live(self._state, self._clock()).get(peer)
        if row is not None:
            items = row.items
            return str(items["zone"].value), str(items["address"].value)
        return self._known.get(peer, ("", ""))

    def _exchange(self, address: str, gossip: Gossip) -> None:
        """Runs in a sender thread; the answer comes back by the inbox."""
        answer = self._send(address, GOSSIP_PATH, msgspec.json.encode(gossip))
        if answer is None:
            return
        try:
            decoded = msgspec.json.decode(answer, type=Gossip)
        except msgspec.DecodeError:
            return
        self._inbox.put(_Answered(decoded))

    def _tell(self, now: float) -> None:
        rows = membership.live(self._state, now)
        own = self._member
        zones = {own.instance: own.zone}
        zones |= {m: str(row.items["zone"].value) for m, row in rows.items()}
        left = membership.left(self._state, now)
        roster = tuple(
            m.instance for m in self._roster if m.instance not in left
        )
        heard = membership.known_demand(self._state, now)
        view = EntryView(own.instance, heard, roster)
        self._listeners.members(MembersSeen(view, zones, self._pools(now)))
        live = tuple(sorted(zones))
        if live != self._live:
            self._live = live
            self._listeners.live(live)

    def _pools(self, now: float) -> dict[str, dict[str, float]]:
        """Demand by pool and member of the zone, where there is any."""
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
