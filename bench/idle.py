"""Processor time, memory and control traffic of an idle entry daemon."""

import json
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from acaciawing.configuration import ConfigurationPublished
from acaciawing.platform import CONTROL_STREAM, Appended, LogClient
from acaciawing.records import encode
from bench.target import configuration, instance_documents
from demo.fleet import Fleet, entry_settings, start_log
from demo.operator import HTTP, call, wait_until
from demo.processes import Processes, free_ports

SIZES = ((40, 5, 3), (400, 100, 11), (1400, 349, 33))
_CLOCK_TICKS_PER_S = 100


@dataclass(frozen=True)
class IdleFigures:
    """Cost of one idle entry daemon.

    Attributes:
        workers: Number of listed workers.
        pools: Number of pools that they belong to.
        core_percent: Processor time, in percent of a core.
        resident_mb: Resident memory in MB (10^6 bytes).
        platform_kb_per_s: Traffic with the log and the instance list, in KB/s.
    """

    workers: int
    pools: int
    core_percent: float
    resident_mb: float
    platform_kb_per_s: float


def run_idle(seconds: float = 8.0) -> tuple[IdleFigures, ...]:
    """Measures one entry daemon at each size.

    Args:
        seconds: Length of the measurement after start-up has settled.
    """
    return tuple(_measure(*size, seconds) for size in SIZES)


def _measure(
    workers: int, pools: int, teams: int, seconds: float
) -> IdleFigures:
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder))
        try:
            return _measure_daemon(processes, workers, pools, teams, seconds)
        finally:
            processes.close()


def _measure_daemon(
    processes: Processes, workers: int, pools: int, teams: int, seconds: float
) -> IdleFigures:
    ports = [f"127.0.0.1:{port}" for port in free_ports(4)]
    name = "entry-ljubljana-1"
    fleet = Fleet(
        f"http://{ports[0]}",
        f"http://{ports[1]}",
        {name: ports[2]},
        {name: ports[3]},
        {},
    )
    start_log(processes, fleet)
    instances_path = processes.folder / "instances.json"
    instances_path.write_text(
        json.dumps(instance_documents(workers, pools)), "utf-8"
    )
    processes.start(
        "list",
        "standins.platform_service",
        *("--listen", ports[1], "--instances", str(instances_path)),
    )
    wait_until(lambda: bool(call("GET", f"{fleet.log}/standin/state")), 10)
    record = ConfigurationPublished(
        "b", -1, "bench", configuration(pools, teams)
    )
    outcome = LogClient(fleet.log).append(CONTROL_STREAM, encode(record, "b/1"))
    if not isinstance(outcome, Appended):
        raise RuntimeError(f"publish failed: {outcome}")
    processes.start(
        "entry", "acaciawing", "entry", entry_settings(processes, fleet, name)
    )
    ready = f"http://{ports[2]}/readyz"
    wait_until(lambda: HTTP.request("GET", ready).status == 200, 20)
    _wait_until_settled(fleet, name)
    usage_before = _resource_usage(processes, fleet)
    time.sleep(seconds)
    usage_after = _resource_usage(processes, fleet)
    return IdleFigures(
        workers,
        pools,
        100 * (usage_after[0] - usage_before[0]) / seconds,
        _resident_mb(processes.pid("entry")),
        (usage_after[1] - usage_before[1]) / seconds / 1000,
    )


def _wait_until_settled(fleet: Fleet, name: str) -> None:
    """Waits until the entry instance has adopted all listed instances.

    During adoption it appends about 180 records per second, which is not a
    steady state.
    """
    url = f"http://{fleet.administration[name]}/v1/status"
    offsets: list[int] = []
    for _ in range(60):
        time.sleep(1)
        offsets.append(int(call("GET", url)["offset"]))
        if len(offsets) > 6 and offsets[-1] - offsets[-6] <= 5:
            return
    raise RuntimeError("the entry instance did not settle")


def _resource_usage(processes: Processes, fleet: Fleet) -> tuple[float, int]:
    """Returns processor seconds of the daemon and bytes at both stand-ins."""
    stat = Path(f"/proc/{processes.pid('entry')}/stat").read_text("utf-8")
    fields = stat.rpartition(")")[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S
    return seconds, sum(
        call("GET", f"{url}/standin/state")["bytes"]
        for url in (fleet.log, fleet.instance_list)
    )


def _resident_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text("utf-8")
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6
