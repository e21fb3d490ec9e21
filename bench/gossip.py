"""Traffic and delays of gossip at the present and at the target size."""

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

# Start line and headers of one HTTP message.
HEADER_BYTES = 200


@dataclass(frozen=True)
class GossipFigures:
    """Figures of one size; bytes include both directions and HTTP headers.

    Attributes:
        members: Number of entry instances.
        workers: Number of workers of the fleet.
        min_published_demand: Lowest demand of a pool that is published.
        idle_bytes_per_s: Traffic per second of each member without demand.
        busy_bytes_per_s: The same while pools peak in turn.
        messages_per_s: Messages per second that each member sends and
            receives without demand.
        false_failure_share: Share of the pairs of running members of which one
            treats the other as ended, under load.
        leave_s: Mean time until all members have received a leave signal, in
            seconds, over ten signals.
        leave_max_s: Longest of the ten times.
        configuration_s: Mean time until all members have received a new
            configuration, in seconds, over ten configurations.
        configuration_max_s: Longest of the ten times.
        outdated_demand_share: Share of the published demands of pools whose
            newest value a member of the same zone lacks at the end.
    """

    members: int
    workers: int
    min_published_demand: float
    idle_bytes_per_s: float
    busy_bytes_per_s: float
    messages_per_s: float
    false_failure_share: float
    leave_s: float
    leave_max_s: float
    configuration_s: float
    configuration_max_s: float
    outdated_demand_share: float


class _DemandModel:
    """Demand of pools that peak in turn, each for 6 s in every 120 s.

    The balancer spreads the peaks evenly over the members; only every twentieth
    pool sends its peak to a single member.
    """

    def __init__(
        self, members: int, pools: int, plans: int, min_published_demand: float
    ) -> None:
        self.random = Random(3)
        self.pools, self.plans, self.min_published_demand = (
            pools,
            plans,
            min_published_demand,
        )
        self.members = members
        self.peak_demand = 32.0 / max(1, members // 7)
        self.means: dict[tuple[str, int], float] = {}
        self.counts: dict[tuple[str, int], list[float]] = {}
        self.configuration = 1
        self.busy = False

    def _poisson(self, expected: float) -> float:
        deviation = expected**0.5
        return max(0.0, round(self.random.gauss(expected, deviation)))

    def publication_of(self, member: str, now: float) -> MemberPublication:
        """Returns what a member publishes at a time."""
        if not self.busy:
            return MemberPublication(configuration=self.configuration)
        pools, number = {}, int(member.removeprefix("entry-"))
        for pool in range(self.pools):
            peak = (now + 120.0 * pool / self.pools) % 120.0 < 6.0
            expected = self.peak_demand if peak else self.peak_demand / 20
            if pool % 20 == 0 and peak:
                is_peak_member = pool // 20 * 13 % self.members == number
                expected = 32.0 if is_peak_member else 0.0
            requested = self._poisson(expected)
            key = (member, pool)
            smoothed = 0.9 * self.means.get(key, 0.0) + 0.1 * requested
            self.means[key] = smoothed
            pools[f"pool-{pool}"] = smoothed
        demand = {}
        for plan in range(self.plans):
            counts = self.counts.setdefault((member, plan), [])
            counts.append(self._poisson(5.0))
            del counts[:-12]
            demand[f"plan-{plan}"] = 2.0 * max(counts)
        return MemberPublication(
            demand, pools, self.configuration, self.min_published_demand
        )


def _traffic_per_s(
    fleet: FleetSimulation, seconds: float
) -> tuple[float, float]:
    """Returns the bytes and messages per second of one member."""
    messages, size = fleet.sent
    fleet.run(seconds)
    sent = fleet.sent[0] - messages
    size = fleet.sent[1] - size + HEADER_BYTES * sent
    # Each message is sent by one member and received by another.
    per_member = 2.0 / seconds / len(fleet.states)
    return size * per_member, sent * per_member


def _leave_times(fleet: FleetSimulation, count: int = 10) -> list[float]:
    times = []
    for number in range(count):
        source = sorted(fleet.states)[number % len(fleet.states)]
        worker = f"worker-{number}"
        state = publish_leaving(fleet.states[source], worker, 1)
        fleet.states[source] = state
        started, informed = fleet.now, {source}
        fleet.arrivals.clear()
        while len(informed) < len(fleet.states) and fleet.now < started + 30.0:
            fleet.run(0.1)
            informed |= {
                m for _, m, n in fleet.arrivals if (worker, 1) in n.leaving
            }
        times.append(fleet.now - started)
    return times


def _configuration_times(
    fleet: FleetSimulation, demand_model: _DemandModel, count: int = 10
) -> list[float]:
    """Measures how long an offset from one member takes to reach all others."""
    times = []
    names = sorted(fleet.states)
    for number in range(count):
        publisher, offset = (
            names[number % len(names)],
            demand_model.configuration + 1,
        )

        def publication_of(
            member: str,
            now: float,
            publisher: str = publisher,
            offset: int = offset,
        ) -> MemberPublication:
            publication = demand_model.publication_of(member, now)
            held = offset if member == publisher else offset - 1
            return replace(publication, configuration=held)

        fleet.publication_of, started = publication_of, fleet.now
        uninformed = set(names) - {publisher}
        while uninformed and fleet.now < started + 30.0:
            fleet.run(0.1)
            for member in list(uninformed):
                newest = newest_configuration(fleet.states[member], fleet.now)
                if newest is not None and newest[0] == offset:
                    uninformed.discard(member)
        times.append(fleet.now - started)
        demand_model.configuration = offset
    fleet.publication_of = demand_model.publication_of
    return times


def _outdated_demand_share(fleet: FleetSimulation) -> float:
    """Returns the share of pool items that readers in the same zone lack."""
    outdated = total = 0
    for reader, state in fleet.states.items():
        for member, owner in fleet.states.items():
            if fleet.zone_of[member] != fleet.zone_of[reader]:
                continue
            known = state.tables[2].get(member)
            for key, item in owner.tables[2][member].items.items():
                total += 1
                held = known.items.get(key) if known is not None else None
                outdated += held is None or held.value != item.value
    return outdated / max(1, total)


def run_gossip(seconds: float = 20.0) -> tuple[GossipFigures, ...]:
    """Simulates both sizes.

    Args:
        seconds: Length of each measurement, in simulated seconds.

    Returns:
        One row for each size.
    """
    rows = []
    for members, workers, zones, pools, plans, min_published_demand in (
        (9, 40, 4, 5, 3, 0.5),
        (60, 1400, 7, 349, 33, 0.5),
        (60, 1400, 7, 349, 33, 7.0),
    ):
        demand_model = _DemandModel(members, pools, plans, min_published_demand)
        fleet = FleetSimulation(members, zones, prefix="entry-")
        fleet.publication_of = demand_model.publication_of
        fleet.run(15.0)
        idle, messages = _traffic_per_s(fleet, seconds)
        demand_model.busy = True
        fleet.run(10.0)
        busy, _ = _traffic_per_s(fleet, seconds)
        false_failure_shares = []
        for _ in range(20):
            fleet.run(0.5)
            live_count = sum(
                len(live(s, fleet.now)) for s in fleet.states.values()
            )
            false_failure_shares.append(
                1.0 - live_count / (members * (members - 1))
            )
        outdated_share = _outdated_demand_share(fleet)
        leaves = _leave_times(fleet)
        configurations = _configuration_times(fleet, demand_model)
        rows.append(
            GossipFigures(
                members,
                workers,
                min_published_demand,
                idle,
                busy,
                messages,
                mean(false_failure_shares),
                mean(leaves),
                max(leaves),
                mean(configurations),
                max(configurations),
                outdated_share,
            )
        )
    return tuple(rows)
