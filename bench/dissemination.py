"""Computes the cost of each method to disseminate a configuration.

The figures follow from which instance reads from which, each every 0.5 s; no
clock and no random numbers are involved. Gossip costs the same with each method
and is left out.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from acaciawing.configuration import ConfigurationPublished
from acaciawing.leases import ranking
from acaciawing.records import encode
from bench.target import configuration

LOG = "log"

# Number of entry instances, and of the zones that they are spread over.
SIZES = ((9, 3), (60, 7))

POLL_INTERVAL_S = 0.5

# A relay is treated as failed after this time without a message (design 5.8).
FAILURE_DETECTION_S = 5.0

# Number of relays that read from one relay in the tree.
FAN_OUT = 2

# One read without new records: a request of 152 B and a response of 207 B,
# measured between `LogClient` and the log stand-in.
POLL_BYTES = 359

_Parents = Mapping[str, str]


@dataclass(frozen=True)
class DisseminationFigures:
    """Figures of one method.

    Attributes:
        method: ``direct``, ``relay`` or ``tree``.
        instances: Number of entry instances.
        zones: Number of their availability zones.
        relay_failed: Whether the relay with the most downstream instances has
            failed.
        log_reads_per_s: Reads of the log per second.
        peer_reads_per_s: Reads between entry instances per second.
        max_member_kb_per_s: Highest traffic of an entry instance while nothing
            changes, in KB/s.
        record_sends: Number of times that a new configuration is sent.
        record_sends_from_log: Number of those that the log sends.
        record_kb: Size of all these sends together, in KB.
        max_depth: Highest number of reads between the log and an instance.
        max_delay_s: Longest time until an instance has the new
            configuration, in seconds.
        delayed: Number of instances that wait for the detection of a failed
            relay.
    """

    method: str
    instances: int
    zones: int
    relay_failed: bool
    log_reads_per_s: float
    peer_reads_per_s: float
    max_member_kb_per_s: float
    record_sends: int
    record_sends_from_log: int
    record_kb: float
    max_depth: int
    max_delay_s: float
    delayed: int


def _members_by_zone(instances: int, zones: int) -> dict[str, list[str]]:
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
        relay = ranking(zone, instances)[0]
        parents |= dict.fromkeys(instances, relay)
        parents[relay] = LOG
    return parents


def _tree(members: Mapping[str, list[str]]) -> dict[str, str]:
    """Arranges the relays in a tree of which only the root reads the log."""
    parents = _relay(members)
    order = ranking("configuration", list(members))
    relays = [ranking(zone, members[zone])[0] for zone in order]
    for number in range(1, len(relays)):
        parents[relays[number]] = relays[(number - 1) // FAN_OUT]
    return parents


METHODS = {"direct": _direct, "relay": _relay, "tree": _tree}


def _path_to_log(parents: _Parents, instance: str) -> list[str]:
    """Returns the instances between an instance and the log."""
    path = []
    parent = parents[instance]
    while parent != LOG:
        path.append(parent)
        parent = parents[parent]
    return path


def _downstream_count(parents: _Parents, instance: str) -> int:
    return sum(instance in _path_to_log(parents, other) for other in parents)


def compute_figures(
    method: str,
    instances: int,
    zones: int,
    relay_failed: bool,
    record_bytes: int,
) -> DisseminationFigures:
    """Computes the figures of one method.

    Args:
        method: Key of `METHODS`.
        instances: Number of entry instances.
        zones: Number of their zones.
        relay_failed: Whether the instance with the most downstream instances
            has failed. These wait until the failure is detected, and then read
            from the next in rank.
        record_bytes: Size of the configuration record.

    Returns:
        The figures.
    """
    members = _members_by_zone(instances, zones)
    parents_before_failure = METHODS[method](members)
    delayed: set[str] = set()
    if relay_failed:
        failed_relay = max(
            sorted(parents_before_failure),
            key=lambda i: _downstream_count(parents_before_failure, i),
        )
        delayed = {
            i
            for i in parents_before_failure
            if failed_relay in _path_to_log(parents_before_failure, i)
        }
        members = {
            z: [i for i in m if i != failed_relay] for z, m in members.items()
        }
    parents = METHODS[method](members)
    readers = list(parents.values())
    log_readers = readers.count(LOG)
    max_connections = max(1 + readers.count(i) for i in parents)
    depth = {i: 1 + len(_path_to_log(parents, i)) for i in parents}
    delays = [
        depth[i] * POLL_INTERVAL_S
        + (FAILURE_DETECTION_S if i in delayed else 0.0)
        for i in parents
    ]
    return DisseminationFigures(
        method,
        instances,
        zones,
        relay_failed,
        log_readers / POLL_INTERVAL_S,
        (len(readers) - log_readers) / POLL_INTERVAL_S,
        max_connections / POLL_INTERVAL_S * POLL_BYTES / 1e3,
        len(parents),
        log_readers,
        len(parents) * record_bytes / 1e3,
        max(depth.values()),
        max(delays),
        len(delayed),
    )


def run_dissemination() -> tuple[DisseminationFigures, ...]:
    """Computes every method at both sizes, with and without a failed relay."""
    document = ConfigurationPublished("p", 0, "operator", configuration())
    size = len(encode(document, "operator"))
    return tuple(
        compute_figures(method, instances, zones, relay_failed, size)
        for instances, zones in SIZES
        for relay_failed in (False, True)
        for method in METHODS
    )
