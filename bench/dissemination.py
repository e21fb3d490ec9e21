"""Counts what each way of spreading a configuration costs.

The counts follow from the ways alone, with no clock and no random numbers: who
reads from whom, each reader every 0.5 s. Gossip runs beside each of them and is
the same for all, so it is left out.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from acaciawing.configuration import ConfigurationPublished
from acaciawing.leases import ranking
from acaciawing.records import encode
from bench.target import configuration

LOG = "log"

# Entry instances and the zones that they are spread over.
SIZES = ((9, 3), (60, 7))

POLL_S = 0.5

# After this long without a sign a relay counts as dead (design 5.8).
DETECTION_S = 5.0

# Zones that one zone's relay serves in the tree.
FAN_OUT = 2

# One read without new records: 152 B of request and 207 B of answer, counted
# between `LogClient` and the log stand-in.
POLL_BYTES = 359

_Parents = Mapping[str, str]


@dataclass(frozen=True)
class DisseminationFigures:
    """Counts of one way.

    Attributes:
        way: ``direct``, ``relay`` or ``tree``.
        instances: Entry instances.
        zones: Their availability zones.
        dead_relay: Whether the relay that serves most others is dead.
        log_reads_per_s: Reads of the log a second.
        peer_reads_per_s: Reads between entry instances a second.
        busiest_kb_per_s: Traffic of the busiest entry instance while nothing
            changes, in KB/s.
        record_sends: Times that a new configuration is sent.
        record_sends_by_log: Those of them sent by the log.
        record_kb: Bytes that they take together, in KB.
        steps: Largest number of reads between the log and an instance.
        worst_s: Longest time until an instance has it, in seconds.
        late: Instances that wait for a dead relay to be noticed.
    """

    way: str
    instances: int
    zones: int
    dead_relay: bool
    log_reads_per_s: float
    peer_reads_per_s: float
    busiest_kb_per_s: float
    record_sends: int
    record_sends_by_log: int
    record_kb: float
    steps: int
    worst_s: float
    late: int


def _zones(instances: int, zones: int) -> dict[str, list[str]]:
    members: dict[str, list[str]] = {f"zone-{n}": [] for n in range(zones)}
    for number in range(instances):
        members[f"zone-{number % zones}"].append(f"entry-{number}")
    return members


def _direct(members: Mapping[str, list[str]]) -> dict[str, str]:
    return {i: LOG for zone in members.values() for i in zone}


def _relay(members: Mapping[str, list[str]]) -> dict[str, str]:
    """One relay in each zone reads the log, the others read the relay."""
    parents: dict[str, str] = {}
    for zone, instances in members.items():
        first = ranking(zone, instances)[0]
        parents |= dict.fromkeys(instances, first)
        parents[first] = LOG
    return parents


def _tree(members: Mapping[str, list[str]]) -> dict[str, str]:
    """The relays of the zones form a tree; only its root reads the log."""
    parents = _relay(members)
    order = ranking("configuration", list(members))
    relays = [ranking(zone, members[zone])[0] for zone in order]
    for number in range(1, len(relays)):
        parents[relays[number]] = relays[(number - 1) // FAN_OUT]
    return parents


WAYS = {"direct": _direct, "relay": _relay, "tree": _tree}


def _path(parents: _Parents, instance: str) -> list[str]:
    """Returns the instances between an instance and the log."""
    found = []
    above = parents[instance]
    while above != LOG:
        found.append(above)
        above = parents[above]
    return found


def _served(parents: _Parents, instance: str) -> int:
    return sum(instance in _path(parents, other) for other in parents)


def count(
    way: str, instances: int, zones: int, dead_relay: bool, record_bytes: int
) -> DisseminationFigures:
    """Counts one way.

    Args:
        way: Key of `WAYS`.
        instances: Entry instances.
        zones: Their zones.
        dead_relay: Whether the instance that serves most others is dead. Those
            behind it wait until it counts as dead, and then read from the next
            in rank.
        record_bytes: Size of the configuration record.

    Returns:
        The counts.
    """
    members = _zones(instances, zones)
    before = WAYS[way](members)
    late: set[str] = set()
    if dead_relay:
        dead = max(sorted(before), key=lambda i: _served(before, i))
        late = {i for i in before if dead in _path(before, i)}
        members = {z: [i for i in m if i != dead] for z, m in members.items()}
    parents = WAYS[way](members)
    readers = list(parents.values())
    by_log = readers.count(LOG)
    busiest = max(1 + readers.count(i) for i in parents)
    depth = {i: 1 + len(_path(parents, i)) for i in parents}
    delays = [
        depth[i] * POLL_S + (DETECTION_S if i in late else 0.0) for i in parents
    ]
    return DisseminationFigures(
        way,
        instances,
        zones,
        dead_relay,
        by_log / POLL_S,
        (len(readers) - by_log) / POLL_S,
        busiest / POLL_S * POLL_BYTES / 1e3,
        len(parents),
        by_log,
        len(parents) * record_bytes / 1e3,
        max(depth.values()),
        max(delays),
        len(late),
    )


def run_dissemination() -> tuple[DisseminationFigures, ...]:
    """Counts every way at both sizes, with and without a dead relay."""
    document = ConfigurationPublished("p", 0, "operator", configuration())
    size = len(encode(document, "operator"))
    return tuple(
        count(way, instances, zones, dead, size)
        for instances, zones in SIZES
        for dead in (False, True)
        for way in WAYS
    )
