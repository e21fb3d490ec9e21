"""Stand-in for an endpoint, a worker that runs the requests of one service.

Run as ``python -m standins.endpoint --listen 127.0.0.1:7100 --instance w1``.
"""

import argparse
import json
import threading
import time
from collections import Counter
from typing import Any

from standins.server import Response, json_response, serve


class Endpoint:
    """Runs requests, counts the runs of each request id, and injects faults.

    ``POST /standin/state`` sets these members of the state: ``leaving``,
    ``incarnation``, ``service_ms``, ``fail`` (answer 500 immediately).
    """

    def __init__(self, instance: str, slots: int, service_ms: float) -> None:
        """Starts idle, with all counters at zero."""
        self._instance = instance
        self._slots = threading.BoundedSemaphore(slots)
        self._lock = threading.Lock()
        self._run_counts: Counter[str] = Counter()
        self._last_arrival = 0.0
        self._in_flight = 0
        self._state: dict[str, Any] = {
            "leaving": False,
            "incarnation": 1,
            "service_ms": service_ms,
            "fail": False,
        }

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        """Handles one HTTP request."""
        if path == "/standin/state":
            if method == "POST":
                self._state.update(json.loads(body))
            with self._lock:
                state = {**self._state, "in_flight": self._in_flight}
            return json_response(200, state)
        if path == "/standin/runs":
            with self._lock:
                return json_response(
                    200,
                    {
                        "runs": self._run_counts,
                        "last_arrival": self._last_arrival,
                    },
                )
        return self._serve(method, path, query, body, environ)

    def _serve(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        headers = {}
        if self._state["leaving"]:
            headers["Acaciawing-Endpoint"] = "leaving"
        if not self._slots.acquire(blocking=False):
            return json_response(
                503,
                {"error": "no free slot"},
                Acaciawing_Outcome="not-run",
                **headers,
            )
        try:
            return self._run_counting_in_flight(
                method, path, query, body, environ, headers
            )
        finally:
            self._slots.release()

    def _run_counting_in_flight(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
        headers: dict[str, str],
    ) -> Response:
        with self._lock:
            self._in_flight += 1
        try:
            return self._execute(method, path, query, body, environ, headers)
        finally:
            with self._lock:
                self._in_flight -= 1

    def _execute(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
        headers: dict[str, str],
    ) -> Response:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        with self._lock:
            self._run_counts[request_id] += 1
            self._last_arrival = time.time()
        if self._state["fail"]:
            return json_response(500, {"error": "failed"}, **headers)
        time.sleep(float(query.get("ms", self._state["service_ms"])) / 1000)
        return json_response(
            200,
            {
                "instance": self._instance,
                "incarnation": self._state["incarnation"],
                "request": request_id,
                "method": method,
                "path": path,
                "bytes": len(body),
            },
            **headers,
        )


def main() -> None:
    """Serves the endpoint until it is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--service-ms", type=float, default=5.0)
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    endpoint = Endpoint(
        arguments.instance, arguments.slots, arguments.service_ms
    )
    serve(host, int(port), endpoint.handle, threads=arguments.connections)


if __name__ == "__main__":
    main()
