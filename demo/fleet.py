"""Fleet of the demonstration: the Frizura sample deployment on loopback."""

import hashlib
import json
from dataclasses import dataclass
from pathlib import Path

from acaciawing.membership import ENTRY_POOL
from demo.processes import Processes, free_ports

ZONES = ("ljubljana", "maribor", "koper")
SERVICES = ("visits", "routing", "supplies", "accounts", "portal")
WORKERS_PER_SERVICE = 6
ENTRIES_PER_ZONE = 2
# Started only while the log is unavailable, to show recovery from peers.
LATE_ENTRY = "entry-maribor-3"
OPERATOR_CREDENTIAL = "sample-operator"
SAMPLES = Path(__file__).parents[1] / "samples" / "frizura"


@dataclass(frozen=True)
class Fleet:
    """Addresses of the running fleet.

    Attributes:
        log: Base URL of the stand-in for the log.
        instance_list: Base URL of the stand-in for the instance list.
        entries: Address for callers, by entry instance.
        administration: Address for administration, by entry instance.
        endpoints: Address of the endpoint, by worker.
    """

    log: str
    instance_list: str
    entries: dict[str, str]
    administration: dict[str, str]
    endpoints: dict[str, str]


def _sha256(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()


def start_fleet(processes: Processes) -> Fleet:
    """Starts stand-ins and entry instances; returns their addresses."""
    workers = [
        f"{service}-{number}"
        for service in SERVICES
        for number in range(1, WORKERS_PER_SERVICE + 1)
    ]
    entries = [
        f"entry-{zone}-{number}"
        for zone in ZONES
        for number in range(1, ENTRIES_PER_ZONE + 1)
    ]
    entries.append(LATE_ENTRY)
    ports = free_ports(2 + len(workers) + 2 * len(entries))
    addresses = [f"127.0.0.1:{port}" for port in ports]
    log, instance_list = addresses[:2]
    endpoints = dict(zip(workers, addresses[2:], strict=False))
    entry_addresses = addresses[2 + len(workers) :]
    fleet = Fleet(
        f"http://{log}",
        f"http://{instance_list}",
        dict(zip(entries, entry_addresses[::2], strict=True)),
        dict(zip(entries, entry_addresses[1::2], strict=True)),
        endpoints,
    )
    start_log(processes, fleet)
    start_instance_list(processes, fleet, workers)
    for name, address in endpoints.items():
        processes.start(
            name,
            "standins.endpoint",
            *("--listen", address, "--instance", name, "--service-ms", "5"),
        )
    for name in entries:
        if name != LATE_ENTRY:
            start_entry(processes, fleet, name)
    return fleet


def start_entry(processes: Processes, fleet: Fleet, name: str) -> None:
    """Starts an entry instance."""
    processes.start(
        name, "acaciawing", "entry", entry_settings(processes, fleet, name)
    )


def start_log(processes: Processes, fleet: Fleet) -> None:
    """Starts the stand-in for the log; its journal survives a restart."""
    processes.start(
        "log",
        "standins.platform_service",
        *("--listen", fleet.log.removeprefix("http://")),
        *("--journal", str(processes.folder / "journal")),
    )


def start_instance_list(
    processes: Processes, fleet: Fleet, workers: list[str]
) -> None:
    """Starts the stand-in for the instance list, with all workers live."""
    instances = []
    for position, name in enumerate(workers):
        number = position % WORKERS_PER_SERVICE
        zone = ZONES[number % len(ZONES)]
        instances.append(
            {
                "instance": name,
                "incarnation": 1,
                "pool": name.rpartition("-")[0],
                "zone": zone,
                "rack": f"{zone}-r{position // (4 * len(ZONES))}",
                "address": fleet.endpoints[name],
            }
        )
    for name, address in fleet.entries.items():
        instances.append(
            {
                "instance": name,
                "incarnation": 1,
                "pool": ENTRY_POOL,
                "zone": name.split("-")[1],
                "rack": "",
                "address": address,
            }
        )
    path = processes.folder / "instances.json"
    path.write_text(json.dumps(instances), "utf-8")
    processes.start(
        "list",
        "standins.platform_service",
        *("--listen", fleet.instance_list.removeprefix("http://")),
        *("--instances", str(path)),
    )


def entry_settings(processes: Processes, fleet: Fleet, name: str) -> str:
    """Writes the settings file of an entry instance; returns its path."""
    zone = name.split("-")[1]
    lines = [
        f'instance = "{name}"',
        f'zone = "{zone}"',
        'region = "slovenia"',
        f'listen = "{fleet.entries[name]}"',
        f'administration = "{fleet.administration[name]}"',
        f'log = "{fleet.log}"',
        f'list = "{fleet.instance_list}"',
        f'administration_sha256 = "{_sha256(OPERATOR_CREDENTIAL)}"',
        'peer_credential = "sample-peer"',
        "threads = 64",
        # Lets a loan end within the demonstration; see docs/operators.md.
        'move_cost = "1s"',
    ]
    for peer, address in fleet.administration.items():
        if peer != name:
            lines += [
                "[[peers]]",
                f'instance = "{peer}"',
                f'zone = "{peer.split("-")[1]}"',
                f'address = "{address}"',
            ]
    path: Path = processes.folder / f"{name}.toml"
    path.write_text("\n".join(lines) + "\n", "utf-8")
    return str(path)
