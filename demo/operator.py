"""What the operators do during the demonstration."""

import json
import time
from collections.abc import Callable
from typing import Any

import urllib3

from acaciawing.configuration import ConfigurationPublished
from acaciawing.platform import CONTROL_STREAM, Appended, LogClient
from acaciawing.records import encode
from demo.fleet import OPERATOR, Fleet, configuration

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


def publish(fleet: Fleet, rate_per_s: float, based_on: int) -> int:
    """Publishes a configuration; returns its version."""
    record = ConfigurationPublished(
        f"demo-{rate_per_s}", based_on, "demo", configuration(rate_per_s)
    )
    outcome = LogClient(fleet.log).append(
        CONTROL_STREAM, encode(record, "operator/1")
    )
    if not isinstance(outcome, Appended):
        raise RuntimeError(f"publish failed: {outcome}")
    return outcome.position.offset


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
