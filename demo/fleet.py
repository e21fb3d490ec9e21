"""Fleet of the demonstration: the Frizura deployment on loopback."""

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
# Started only while the log is away, to show recovery from peers.
LATE_ENTRY = "entry-maribor-3"
OPERATOR = "sample-operator"
SAMPLES = Path(__file__).parents[1] / "samples" / "frizura"


@dataclass(frozen=True)
class Fleet:
    """Addresses of the running fleet.

    Attributes:
        log: Base URL of the log stand-in.
        instance_list: Base URL of the list stand-in.
        entries: Callers' address by entry instance.
        administration: Administration address by entry instance.
        endpoints: Endpoint address by worker.
    """

    log: str
    instance_list: str
    entries: dict[str, str]
    administration: dict[str, str]
    endpoints: dict[str, str]


def _digest(secret: str) -> str:
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
    rest = addresses[2 + len(workers) :]
    fleet = Fleet(
        f"http://{log}",
        f"http://{instance_list}",
        dict(zip(entries, rest[::2], strict=True)),
        dict(zip(entries, rest[1::2], strict=True)),
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
    """Starts one entry instance."""
    processes.start(
        name, "acaciawing", "entry", entry_settings(processes, fleet, name)
    )


def start_log(processes: Processes, fleet: Fleet) -> None:
    """Starts the log stand-in; a restart finds its records in a journal."""
    processes.start(
        "log",
        "standins.platform_service",
        *("--listen", fleet.log.removeprefix("http://")),
        *("--journal", str(processes.folder / "journal")),
    )


def start_instance_list(
    processes: Processes, fleet: Fleet, workers: list[str]
) -> None:
    """Starts the list stand-in with all workers live."""
    listed = []
    for position, name in enumerate(workers):
        number = position % WORKERS_PER_SERVICE
        zone = ZONES[number % len(ZONES)]
        listed.append(
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
        listed.append(
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
    path.write_text(json.dumps(listed), "utf-8")
    processes.start(
        "list",
        "standins.platform_service",
        *("--listen", fleet.instance_list.removeprefix("http://")),
        *("--instances", str(path)),
    )


def entry_settings(processes: Processes, fleet: Fleet, name: str) -> str:
    """Writes the settings of an entry instance; returns the file name."""
    zone = name.split("-")[1]
    lines = [
        f'instance = "{name}"',
        f'zone = "{zone}"',
        'region = "slovenia"',
        f'listen = "{fleet.entries[name]}"',
        f'administration = "{fleet.administration[name]}"',
        f'log = "{fleet.log}"',
        f'list = "{fleet.instance_list}"',
        f'administration_sha256 = "{_digest(OPERATOR)}"',
        'peer_credential = "sample-peer"',
        "threads = 64",
        # A loan must end within the demonstration; see docs/operators.md.
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
