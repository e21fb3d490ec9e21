"""Bytes and delays of gossip at today's and at the target size."""

from dataclasses import dataclass, replace
from random import Random
from statistics import mean

from acaciawing.membership import (
    MemberPublication,
    live,
    newest_configuration,
    publish_leaving,
)
from acaciawing.membership.tests.fleet import FleetSimulation

# Request or status line and headers of one message over HTTP.
HEADER_BYTES = 200


@dataclass(frozen=True)
class GossipFigures:
    """Result of one size; bytes count both directions and HTTP headers.

    Attributes:
        members: Entry instances.
        workers: Workers of the fleet.
        least: Demand by pool below this is not published.
        idle_bytes_per_s: Per member, without any demand.
        busy_bytes_per_s: Per member, while pools peak in turn.
        messages_per_s: Per member, sent and received.
        wrongly_gone: Part of the pairs of running members of which one takes
            the other for gone, while busy.
        leave_s: Time until all members knew of a leave signal, in seconds,
            mean of ten.
        leave_longest_s: The longest of the ten.
        configuration_s: Time until all knew of a new configuration, mean of
            ten.
        configuration_longest_s: The longest of the ten.
        demand_behind: Part of the published demand by pool that a member of
            the zone did not hold in its newest state, at the end.
    """

    members: int
    workers: int
    least: float
    idle_bytes_per_s: float
    busy_bytes_per_s: float
    messages_per_s: float
    wrongly_gone: float
    leave_s: float
    leave_longest_s: float
    configuration_s: float
    configuration_longest_s: float
    demand_behind: float


class _Load:
    """Demand that peaks in turn: 6 s in each 120 s for each pool.

    The balancer spreads the peaks evenly, but for one in twenty, which comes to
    one member alone.
    """

    def __init__(
        self, members: int, pools: int, plans: int, least: float
    ) -> None:
        self.random = Random(3)
        self.pools, self.plans, self.least = pools, plans, least
        self.members = members
        self.slots = 32.0 / max(1, members // 7)
        self.means: dict[tuple[str, int], float] = {}
        self.counts: dict[tuple[str, int], list[float]] = {}
        self.configuration = 1
        self.busy = False

    def _poisson(self, expected: float) -> float:
        deviation = expected**0.5
        return max(0.0, round(self.random.gauss(expected, deviation)))

    def publication_of(self, member: str, now: float) -> MemberPublication:
        """What a member publishes at a time."""
        if not self.busy:
            return MemberPublication(configuration=self.configuration)
        pools, number = {}, int(member.removeprefix("entry-"))
        for pool in range(self.pools):
            peak = (now + 120.0 * pool / self.pools) % 120.0 < 6.0
            expected = self.slots if peak else self.slots / 20
            if pool % 20 == 0 and peak:
                alone = pool // 20 * 13 % self.members == number
                expected = 32.0 if alone else 0.0
            wanted = self._poisson(expected)
            key = (member, pool)
            smooth = 0.9 * self.means.get(key, 0.0) + 0.1 * wanted
            self.means[key] = smooth
            pools[f"pool-{pool}"] = smooth
        demand = {}
        for plan in range(self.plans):
            counts = self.counts.setdefault((member, plan), [])
            counts.append(self._poisson(5.0))
            del counts[:-12]
            demand[f"plan-{plan}"] = 2.0 * max(counts)
        return MemberPublication(demand, pools, self.configuration, self.least)


def _bytes_per_s(fleet: FleetSimulation, seconds: float) -> tuple[float, float]:
    """Returns bytes and messages a second of one member."""
    messages, size = fleet.sent
    fleet.run(seconds)
    sent = fleet.sent[0] - messages
    size = fleet.sent[1] - size + HEADER_BYTES * sent
    each = 2.0 / seconds / len(fleet.states)
    return size * each, sent * each


def _leave_times(fleet: FleetSimulation, count: int = 10) -> list[float]:
    times = []
    for number in range(count):
        source = sorted(fleet.states)[number % len(fleet.states)]
        worker = f"worker-{number}"
        state = publish_leaving(fleet.states[source], worker, 1)
        fleet.states[source] = state
        began, told = fleet.now, {source}
        fleet.arrivals.clear()
        while len(told) < len(fleet.states) and fleet.now < began + 30.0:
            fleet.run(0.1)
            told |= {
                m for _, m, n in fleet.arrivals if (worker, 1) in n.leaving
            }
        times.append(fleet.now - began)
    return times


def _configuration_times(
    fleet: FleetSimulation, load: _Load, count: int = 10
) -> list[float]:
    """Only one member publishes the new offset; the others learn of it."""
    times = []
    names = sorted(fleet.states)
    for number in range(count):
        first, offset = names[number % len(names)], load.configuration + 1

        def publication_of(
            member: str, now: float, first: str = first, offset: int = offset
        ) -> MemberPublication:
            said = load.publication_of(member, now)
            held = offset if member == first else offset - 1
            return replace(said, configuration=held)

        fleet.publication_of, began = publication_of, fleet.now
        waiting = set(names) - {first}
        while waiting and fleet.now < began + 30.0:
            fleet.run(0.1)
            for member in list(waiting):
                newest = newest_configuration(fleet.states[member], fleet.now)
                if newest is not None and newest[0] == offset:
                    waiting.discard(member)
        times.append(fleet.now - began)
        load.configuration = offset
    fleet.publication_of = load.publication_of
    return times


def _behind(fleet: FleetSimulation) -> float:
    """Part of the pools' items that a reader in the zone lacks."""
    lacking = total = 0
    for reader, state in fleet.states.items():
        for member, owner in fleet.states.items():
            if fleet.zone_of[member] != fleet.zone_of[reader]:
                continue
            known = state.tables[2].get(member)
            for key, item in owner.tables[2][member].items.items():
                total += 1
                held = known.items.get(key) if known is not None else None
                lacking += held is None or held.value != item.value
    return lacking / max(1, total)


def run_gossip(seconds: float = 20.0) -> tuple[GossipFigures, ...]:
    """Replays both sizes.

    Args:
        seconds: Length of each measurement.

    Returns:
        One row for each size.
    """
    rows = []
    for members, workers, zones, pools, plans, least in (
        (9, 40, 4, 5, 3, 0.5),
        (60, 1400, 7, 349, 33, 0.5),
        (60, 1400, 7, 349, 33, 7.0),
    ):
        load = _Load(members, pools, plans, least)
        fleet = FleetSimulation(members, zones, prefix="entry-")
        fleet.publication_of = load.publication_of
        fleet.run(15.0)
        idle, messages = _bytes_per_s(fleet, seconds)
        load.busy = True
        fleet.run(10.0)
        busy, _ = _bytes_per_s(fleet, seconds)
        gone = []
        for _ in range(20):
            fleet.run(0.5)
            found = sum(len(live(s, fleet.now)) for s in fleet.states.values())
            gone.append(1.0 - found / (members * (members - 1)))
        behind = _behind(fleet)
        leaves = _leave_times(fleet)
        configurations = _configuration_times(fleet, load)
        rows.append(
            GossipFigures(
                members,
                workers,
                least,
                idle,
                busy,
                messages,
                mean(gone),
                mean(leaves),
                max(leaves),
                mean(configurations),
                max(configurations),
                behind,
            )
        )
    return tuple(rows)
