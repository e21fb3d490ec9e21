"""Simulation of several entry instances that share a plan's rate.

Gossip messages are delayed and lost at random. Members join, leave, crash and are
partitioned. The run is deterministic for a given seed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from acaciawing.admission import (
    AdmissionState,
    Arrival,
    EntryView,
    admit,
    end,
    lowest_demand,
    may_start,
    published_demand,
    sample_demand,
    share,
    start,
)
from acaciawing.configuration import Plan

STEP_S = 0.05
GOSSIP_INTERVAL_S = 0.5
LIVENESS_TIMEOUT_S = 5.0
ISOLATION_TIMEOUT_S = 3.0
LOG_LAG_S = 0.5
LIMIT = 200.0
PLAN = Plan("gold", 0.99, 3600.0, 1.0, LIMIT, 10**6, 10**6, ())


@dataclass
class Member:
    """One simulated entry instance.

    Attributes:
        name: Id of the instance.
        state: Admission state of the instance.
        received: Version, demand and time of receipt of the newest message, by
            member.
        share: Share in use.
        running: Whether it serves requests.
    """

    name: str
    state: AdmissionState = field(default_factory=AdmissionState)
    received: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    share: float = 0.0
    running: bool = True


Policy = Callable[[Member, EntryView, float, float], float]


def equal_share(
    member: Member, view: EntryView, now: float, newest: float
) -> float:
    """Divides the limit by the number of members with recent gossip."""
    return 1.0 / (1 + len(view.demand_by_member))


def newest_demand(
    member: Member, view: EntryView, now: float, newest: float
) -> float:
    """Computes the share from the newest demand instead of a window."""
    others = sum(max(1e-6, d["gold"]) for d in view.demand_by_member.values())
    own = max(1e-6, newest)
    return 0.5 / (1 + len(view.demand_by_member)) + 0.5 * own / (own + others)


def windowed_demand(
    member: Member, view: EntryView, now: float, newest: float
) -> float:
    """Computes the share as the production code does."""
    return share(view, "gold", lowest_demand(member.state, "gold", now))


@dataclass(frozen=True)
class Event:
    """A change of the membership or the network.

    Attributes:
        at: Time in seconds.
        kind: ``join``, ``leave`` (graceful), ``vanish`` (a crash), ``ended`` (the
            platform's list reports a crashed member), ``cut`` (a partition) or
            ``heal``.
        members: Members that change; for ``cut``, the members of one partition.
        one_way: For ``cut``, whether only their outgoing messages are lost.
    """

    at: float
    kind: str
    members: tuple[str, ...]
    one_way: bool = False


class Fleet:
    """The simulated entry instances and the network between them."""

    def __init__(
        self,
        size: int,
        policy: Policy,
        offered: Callable[[str, float], float],
        events: tuple[Event, ...] = (),
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        """Creates `size` members that know each other."""
        self.members = {f"e{i}": Member(f"e{i}") for i in range(size)}
        self.policy, self.offered = policy, offered
        self.events = sorted(events, key=lambda e: e.at)
        self.loss, self.random = loss, Random(seed)
        self.messages: list[tuple[float, int, str, str, int, float]] = []
        self.rosters = [(-LOG_LAG_S, frozenset(self.members))]
        self.partitions: dict[tuple[str, ...], bool] = {}
        self.admitted: list[int] = []
        self.message_count = 0
        self.published: dict[str, tuple[int, float]] = {}
        self.partial_arrivals: dict[str, float] = {}

    def run(self, until: float) -> list[int]:
        """Runs the simulation; returns the requests admitted in each step."""
        steps = round(until / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            while self.events and self.events[0].at <= now:
                self._apply(self.events.pop(0))
            self._deliver(now)
            if step % round(GOSSIP_INTERVAL_S / STEP_S) == 0:
                self._gossip(now)
            self.admitted.append(
                sum(self._serve(m, now) for m in self.members.values())
            )
        return self.admitted

    def _apply(self, event: Event) -> None:
        roster = self.rosters[-1][1]
        if event.kind == "join":
            for name in event.members:
                self.members[name] = Member(name)
            self.rosters.append((event.at, roster | set(event.members)))
        elif event.kind in ("leave", "vanish"):
            for name in event.members:
                self.members[name].running = False
        if event.kind in ("leave", "ended"):
            self.rosters.append((event.at, roster - set(event.members)))
        elif event.kind == "cut":
            self.partitions[event.members] = event.one_way
        elif event.kind == "heal":
            self.partitions.clear()

    def _reaches(self, source: str, target: str) -> bool:
        for partition, one_way in self.partitions.items():
            if (source in partition) != (target in partition):
                return one_way and source not in partition
        return True

    def _send(self, source: Member, target: str, now: float) -> None:
        if not self._reaches(source.name, target):
            return
        if self.random.random() < self.loss:
            return
        arrives = now + self.random.uniform(0.0, 0.3)
        known = {n: (v, d) for n, (v, d, _) in source.received.items()}
        known[source.name] = self.published[source.name]
        for name, (version, demand) in known.items():
            self.message_count += 1
            heappush(
                self.messages,
                (arrives, self.message_count, target, name, version, demand),
            )

    def _deliver(self, now: float) -> None:
        while self.messages and self.messages[0][0] <= now:
            _, _, target, name, version, demand = heappop(self.messages)
            received = self.members[target].received
            if (
                name != target
                and version > received.get(name, (-1, 0.0, 0.0))[0]
            ):
                received[name] = (version, demand, now)

    def _gossip(self, now: float) -> None:
        running = [m for m in self.members.values() if m.running]
        for member in running:
            sampled_at = member.state.sampled_at
            use = member.state.uses.get("gold")
            arrived = use.arrived if use is not None else 0
            newest = (
                arrived / (now - sampled_at) if sampled_at is not None else 0.0
            )
            member.state = sample_demand(member.state, now)
            demand = newest
            if self.policy is windowed_demand:
                demand = published_demand(member.state).get("gold", 0.0)
            self.published[member.name] = (
                round(now / GOSSIP_INTERVAL_S),
                demand,
            )
            view = self._view(member, now)
            member.share = self.policy(member, view, now, newest)
        for member in running:
            others = [m.name for m in running if m is not member]
            for peer in self.random.sample(others, min(2, len(others))):
                self._send(member, peer, now)
                self._send(self.members[peer], member.name, now)

    def _view(self, member: Member, now: float) -> EntryView:
        roster = next(
            r for at, r in reversed(self.rosters) if at <= now - LOG_LAG_S
        )
        demand_by_member = {
            name: {"gold": demand}
            for name, (_, demand, at) in member.received.items()
            if now - at <= LIVENESS_TIMEOUT_S
        }
        if all(
            now - at > ISOLATION_TIMEOUT_S
            for _, _, at in member.received.values()
        ):
            demand_by_member = {}
        # A graceful leave is gossiped; a crashed member only stops sending.
        left_members = set(demand_by_member) - self.rosters[-1][1]
        for name in left_members:
            if not self.members[name].running:
                del demand_by_member[name]
        return EntryView(member.name, demand_by_member, roster)

    def _serve(self, member: Member, now: float) -> int:
        """Returns how many requests start; slots are unlimited."""
        if not member.running:
            return 0
        pending = self.partial_arrivals.get(member.name, 0.0)
        pending += self.offered(member.name, now) * STEP_S
        arrival = Arrival(PLAN, member.share, True, 0.0, 0.0, 10.0)
        while pending >= 1.0:
            pending -= 1.0
            member.state, _ = admit(member.state, arrival, now)
        self.partial_arrivals[member.name] = pending
        started = 0
        while self._can_start(member, now):
            member.state = start(member.state, PLAN, member.share, now)
            member.state = end(member.state, PLAN.name)
            started += 1
        return started

    @staticmethod
    def _can_start(member: Member, now: float) -> bool:
        use = member.state.uses.get(PLAN.name)
        if use is None or not use.waiting:
            return False
        return may_start(member.state, PLAN, member.share, now)


def max_admission_ratio(
    admitted: list[int], seconds: float, skip: float = 10.0
) -> float:
    """Returns the highest ratio of admitted rate to limit.

    Args:
        admitted: Admitted requests of each step.
        seconds: Length of the windows that are compared.
        skip: Seconds at the start that are left out.
    """
    length = round(seconds / STEP_S)
    steps = admitted[round(skip / STEP_S) :]
    total = sum(steps[:length])
    highest = total
    for index in range(length, len(steps)):
        total += steps[index] - steps[index - length]
        highest = max(highest, total)
    return highest / (LIMIT * seconds)
