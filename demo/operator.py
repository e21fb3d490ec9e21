"""What the operators do during the demonstration."""

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
from demo.fleet import OPERATOR, SAMPLES, Fleet

HTTP = urllib3.PoolManager(
    num_pools=64, retries=False, timeout=urllib3.Timeout(total=3)
)


def call(method: str, url: str, document: object = None) -> Any:
    """Calls a stand-in or an administration listener."""
    body = None if document is None else json.dumps(document).encode()
    answer = HTTP.request(
        method, url, body=body, headers={"Authorization": f"Bearer {OPERATOR}"}
    )
    return answer.json()


def wait_until(check: Callable[[], bool], limit_s: float) -> float | None:
    """Time until a check holds, in seconds, or None past the limit."""
    begun = time.monotonic()
    while time.monotonic() - begun < limit_s:
        try:
            if check():
                return time.monotonic() - begun
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.02)
    return None


def publish(fleet: Fleet, folder: Path, rate: str | None = None) -> int:
    """Publishes the sample lists with the command line.

    Args:
        fleet: Addresses.
        folder: Receives a copy of the lists.
        rate: New rate of the first plan, or None to keep the sample's.

    Returns:
        The accepted version.

    Raises:
        RuntimeError: If the command did not end with exit code 0.
    """
    for name in ("customers.toml", "plans.toml"):
        shutil.copy(SAMPLES / name, folder / name)
    path = folder / "plans.toml"
    # The load that borrows an instance comes at once, above the sample's rate.
    text = path.read_text("utf-8").replace('rate = "60/s"', 'rate = "240/s"')
    # A drain waits for the longest deadline; 20 s would be most of the demo.
    text = text.replace('deadline = "20s"', 'deadline = "5s"')
    if rate is not None:
        text = re.sub('rate = ".*"', f'rate = "{rate}"', text, count=1)
    path.write_text(text, "utf-8")
    done = subprocess.run(
        [
            *(sys.executable, "-m", "acaciawing", "publish"),
            *(str(folder / "customers.toml"), str(folder / "plans.toml")),
            *("--log", fleet.log, "--author", "demo"),
        ],
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise RuntimeError(
            f"publish ended with {done.returncode}: {done.stderr}"
        )
    state = catch_up(LogClient(fleet.log), FleetState()).state
    return state.configuration.version


def roll_out_s(fleet: Fleet, entries: list[str], version: int) -> float | None:
    """Time until all entry instances have a version in force, in seconds."""

    def reached() -> bool:
        return all(
            call("GET", f"http://{fleet.administration[name]}/v1/status")[
                "version"
            ]
            >= version
            for name in entries
        )

    return wait_until(reached, 14.0)


def runs_by_request(fleet: Fleet) -> dict[str, int]:
    """How often each request ran, over all endpoints."""
    total: dict[str, int] = {}
    for address in fleet.endpoints.values():
        seen = call("GET", f"http://{address}/standin/runs")["runs"]
        for request_id, count in seen.items():
            total[request_id] = total.get(request_id, 0) + count
    return total
