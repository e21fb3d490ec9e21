"""Operator actions of the demonstration."""

import json
import re
import shutil
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3

from acaciawing.entry.observers import catch_up
from acaciawing.fold import FleetState
from acaciawing.platform import LogClient
from demo.fleet import OPERATOR_CREDENTIAL, SAMPLES, Fleet

HTTP = urllib3.PoolManager(
    num_pools=64, retries=False, timeout=urllib3.Timeout(total=3)
)


def call(method: str, url: str, document: object = None) -> Any:
    """Sends a JSON request to a stand-in or an administration listener."""
    body = None if document is None else json.dumps(document).encode()
    answer = HTTP.request(
        method,
        url,
        body=body,
        headers={"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"},
    )
    return answer.json()


def wait_until(check: Callable[[], bool], timeout_s: float) -> float | None:
    """Waits until a check succeeds.

    Returns:
        The time that it took, in seconds, or None after the timeout.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < timeout_s:
        try:
            if check():
                return time.monotonic() - started_at
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.02)
    return None


def publish(fleet: Fleet, folder: Path, rate: str | None = None) -> int:
    """Publishes the sample customers and plans with the command line.

    Args:
        fleet: Addresses of the fleet.
        folder: Folder for a modified copy of the sample files.
        rate: New rate of the first plan, or None for the default of the
            demonstration.

    Returns:
        The accepted version.

    Raises:
        RuntimeError: If the command fails.
    """
    for name in ("customers.toml", "plans.toml"):
        shutil.copy(SAMPLES / name, folder / name)
    path = folder / "plans.toml"
    # The load that causes the loan starts at full rate, above the sample's.
    text = path.read_text("utf-8").replace('rate = "60/s"', 'rate = "240/s"')
    # A drain waits for the longest deadline; 20 s would dominate the run time.
    text = text.replace('deadline = "20s"', 'deadline = "5s"')
    if rate is not None:
        text = re.sub('rate = ".*"', f'rate = "{rate}"', text, count=1)
    path.write_text(text, "utf-8")
    completed = subprocess.run(
        [
            *(sys.executable, "-m", "acaciawing", "publish"),
            *(str(folder / "customers.toml"), str(folder / "plans.toml")),
            *("--log", fleet.log, "--author", "demo"),
        ],
        capture_output=True,
        text=True,
    )
    if completed.returncode:
        raise RuntimeError(
            f"publish ended with {completed.returncode}: {completed.stderr}"
        )
    state = catch_up(LogClient(fleet.log), FleetState()).state
    return state.configuration.version


def measure_roll_out_s(
    fleet: Fleet, entries: list[str], version: int
) -> float | None:
    """Measures the time until all entry instances have applied a version.

    Returns:
        The time in seconds, or None after a timeout.
    """

    def all_updated() -> bool:
        return all(
            call("GET", f"http://{fleet.administration[name]}/v1/status")[
                "version"
            ]
            >= version
            for name in entries
        )

    return wait_until(all_updated, 14.0)


def runs_by_request(fleet: Fleet) -> dict[str, int]:
    """Returns how often each request ran, over all endpoints."""
    total: dict[str, int] = {}
    for address in fleet.endpoints.values():
        runs = call("GET", f"http://{address}/standin/runs")["runs"]
        for request_id, count in runs.items():
            total[request_id] = total.get(request_id, 0) + count
    return total
