"""Requests per second of an entry process, compared with a bare handler.

Each runs in its own process with the same number of threads, calls the same
endpoint stand-ins, and gets the same closed-loop load from one process. Runs
alternate between them, so that a slow phase of the machine affects both.
"""

import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import urllib3

from demo.fleet import (
    Fleet,
    entry_settings,
    start_instance_list,
    start_log,
)
from demo.operator import publish, wait_until
from demo.processes import Processes, free_ports

_CLIENT_THREADS = 8


@dataclass(frozen=True)
class Throughput:
    """Requests per second, with one value for each run.

    Attributes:
        bare: The bare handler.
        entry: The entry instance.
    """

    bare: tuple[float, ...]
    entry: tuple[float, ...]

    @property
    def ratio(self) -> float:
        """Ratio of the medians of entry instance and bare handler."""
        median_index = len(self.bare) // 2
        return (
            sorted(self.entry)[median_index] / sorted(self.bare)[median_index]
        )


def measure(runs: int = 5, seconds: float = 2.0) -> Throughput:
    """Measures both in alternating runs."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder))
        try:
            return _measure(processes, runs, seconds)
        finally:
            processes.close()


def _measure(processes: Processes, runs: int, seconds: float) -> Throughput:
    ports = [f"127.0.0.1:{port}" for port in free_ports(9)]
    workers = {f"visits-{n}": ports[n] for n in range(1, 5)}
    fleet = Fleet(
        f"http://{ports[0]}",
        f"http://{ports[5]}",
        {"entry-ljubljana-1": ports[6]},
        {"entry-ljubljana-1": ports[7]},
        workers,
    )
    start_log(processes, fleet)
    start_instance_list(processes, fleet, list(workers))
    for name, address in workers.items():
        processes.start(
            name,
            "standins.endpoint",
            *("--listen", address, "--instance", name, "--service-ms", "0"),
        )
    processes.start("bare", "bench.bare_handler", ports[8], *workers.values())
    processes.start(
        "entry",
        "acaciawing",
        "entry",
        entry_settings(processes, fleet, "entry-ljubljana-1"),
    )
    wait_until(
        lambda: _status_code(f"http://{ports[0]}/standin/state") == 200, 10
    )
    publish(fleet, processes.folder, "100000/s")
    wait_until(lambda: _status_code(f"http://{ports[6]}/readyz") == 200, 10)
    wait_until(
        lambda: _status_code(f"http://{ports[8]}/visits/next") == 200, 10
    )
    bare, entry = [], []
    for _ in range(runs):
        bare.append(_measure_load(ports[8], seconds))
        entry.append(_measure_load(ports[6], seconds))
    return Throughput(tuple(bare), tuple(entry))


def _status_code(url: str) -> int:
    return urllib3.request("GET", url, retries=False, timeout=1).status


def _measure_load(address: str, seconds: float) -> float:
    """Runs the clients in a separate process."""
    completed = subprocess.run(
        [sys.executable, "-m", "bench.throughput", address, str(seconds)],
        check=True,
        capture_output=True,
        text=True,
    )
    return float(completed.stdout)


def _run_client(address: str, end_at: float, counts: list[int]) -> None:
    pool = urllib3.HTTPConnectionPool(address, maxsize=1, retries=False)
    headers = {"Authorization": "Bearer sample-stylists"}
    count = 0
    while time.monotonic() < end_at:
        response = pool.request("GET", "/visits/next", headers=headers)
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {response.data!r}")
        count += 1
    counts.append(count)


def main(address: str, seconds: float) -> None:
    """Runs the clients and prints their requests per second."""
    counts: list[int] = []
    end_at = time.monotonic() + seconds
    threads = [
        threading.Thread(target=_run_client, args=(address, end_at, counts))
        for _ in range(_CLIENT_THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(sum(counts) / seconds)


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]))
