"""Simulation of gossip among entry instances, with messages encoded as JSON."""

from collections.abc import Callable
from random import Random

import msgspec

from acaciawing.membership import (
    ROUND_INTERVAL_S,
    Gossip,
    MemberPublication,
    Membership,
    MembershipChanges,
    choose_peers,
    publish,
    receive,
    request,
    respond,
    start,
)


class FleetSimulation:
    """Members ``e0`` to ``e<n-1>``, assigned to the zones in turn.

    Attributes:
        states: State by member; remove one to stop it without notice.
        zone_of: Zone by member.
        arrivals: Time, receiver and changes of each message that arrived.
        sent: Number of messages and bytes of JSON, requests and responses.
        partitioned: Whether messages between zones are lost.
        loss: Share of the messages that is lost.
    """

    def __init__(
        self, size: int, zones: int, seed: int = 1, prefix: str = "e"
    ) -> None:
        """Starts members that know each other only from the roster."""
        self.random = Random(seed)
        self.states: dict[str, Membership] = {}
        self.zone_of: dict[str, str] = {}
        self.due: dict[str, float] = {}
        self.arrivals: list[tuple[float, str, MembershipChanges]] = []
        self.sent = [0, 0]
        self.partitioned, self.loss, self.now = False, 0.0, 0.0
        self.publication_of: Callable[[str, float], MemberPublication] = (
            lambda member, now: MemberPublication()
        )
        for number in range(size):
            self.join(f"{prefix}{number}", f"z{number % zones}")

    def join(self, member: str, zone: str, incarnation: int = 1) -> None:
        """Starts a member, or a new incarnation of one."""
        address = f"192.0.2.1:{8000 + len(self.zone_of)}"
        self.zone_of[member] = zone
        self.states[member] = start(member, incarnation, zone, address)
        self.due[member] = self.now + self.random.random() * 0.5

    def run(self, seconds: float) -> None:
        """Runs the rounds of all members in order of time."""
        until = self.now + seconds
        while True:
            member = min(self.states, key=lambda m: (self.due[m], m))
            if self.due[member] > until:
                self.now = until
                return
            self.now = self.due[member]
            self._round(member)
            self.due[member] += ROUND_INTERVAL_S

    def _round(self, member: str) -> None:
        published = self.publication_of(member, self.now)
        self.states[member] = publish(self.states[member], published)
        peers = choose_peers(
            self.states[member], self.zone_of, self.now, self.random
        )
        for peer in peers:
            self._exchange(member, peer)

    def _arrives(self, source: str, target: str, gossip: Gossip) -> bool:
        payload = msgspec.json.encode(gossip)
        self.sent[0] += 1
        self.sent[1] += len(payload)
        separated = (
            self.partitioned and self.zone_of[source] != self.zone_of[target]
        )
        if separated or target not in self.states:
            return False
        if self.random.random() < self.loss:
            return False
        decoded = msgspec.json.decode(payload, type=Gossip)
        state, changes = receive(self.states[target], decoded, self.now)
        self.states[target] = state
        self.arrivals.append((self.now, target, changes))
        return True

    def _exchange(self, member: str, peer: str) -> None:
        state = self.states[member]
        message = request(state, self.zone_of[peer], self.now, self.random)
        if self._arrives(member, peer, message):
            answer = respond(self.states[peer], message, self.now, self.random)
            self._arrives(peer, member, answer)
