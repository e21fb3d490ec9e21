"""Stand-in for the platform: log, instance list and instance operations.

Run as ``python -m standins.platform_service --listen 127.0.0.1:7000``.
"""

import argparse
import gzip
import json
import threading
import time
import zlib
from dataclasses import asdict
from pathlib import Path
from typing import Any

import urllib3

from standins.platform_state import Instance, PlatformState
from standins.server import Response, json_response, serve
from standins.worker_tasks import WorkerTasks

_REBOOT_DURATION_S = 1.0


class PlatformService:
    """Serves a `PlatformState` over HTTP."""

    def __init__(self, state: PlatformState) -> None:
        """Starts without tasks on the workers."""
        self._state = state
        self._tasks = WorkerTasks()
        self._traffic_bytes = 0
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(total=1.0), retries=False
        )

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        """Handles one HTTP request."""
        parts = path.strip("/").split("/")
        if parts[:1] == ["standin"]:
            return self._handle_test_control(method, parts, body)
        status, headers, content = self._handle_platform_request(
            method, parts, query, body, environ
        )
        # The headers of a request and its response have about 350 bytes.
        self._traffic_bytes += len(body) + len(content) + 350
        return status, headers, content

    def _handle_platform_request(
        self,
        method: str,
        parts: list[str],
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        if parts[:2] == ["v1", "streams"] and len(parts) == 4:
            return self._serve_log(method, parts[2], query, body)
        if parts[:2] == ["v1", "instances"]:
            return self._serve_instances(method, parts[2:], body, environ)
        return json_response(404, {"error": "unknown path"})

    def _handle_test_control(
        self, method: str, parts: list[str], body: bytes
    ) -> Response:
        now = time.time()
        if parts[1] == "faults" and method == "POST":
            self._state.set_faults(json.loads(body))
        elif parts[1] == "instances" and method == "POST":
            self._state.put_instance(Instance(**json.loads(body)), now)
        elif parts[1] == "instances" and method == "DELETE":
            self._state.remove_instance(parts[2], now)
        return json_response(
            200,
            {
                "faults": asdict(self._state.faults),
                "appends": self._state.appends,
                "reads": self._state.reads,
                "bytes": self._traffic_bytes,
            },
        )

    def _serve_log(
        self, method: str, stream: str, query: dict[str, str], body: bytes
    ) -> Response:
        faults = self._state.faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.outage:
            return json_response(500, {"error": "outage"})
        if method == "GET":
            return self._read_stream(stream, query)
        if faults.refuse:
            return json_response(503, {"error": "overloaded"})
        now = time.time()
        offset, lost = self._state.append(stream, body, now)
        if lost:
            return json_response(500, {"error": "answer lost"})
        return json_response(201, {"offset": offset, "appended_at": now})

    def _read_stream(self, stream: str, query: dict[str, str]) -> Response:
        found = self._state.read(
            stream,
            int(query.get("offset", "0")),
            int(query.get("limit", "500")),
        )
        if found is None:
            first = self._state.first_offset(stream)
            return json_response(410, {"first_offset": first})
        return json_response(200, found)

    def _serve_instances(
        self,
        method: str,
        subpath: list[str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        now = time.time()
        if not subpath:
            return _list_response(self._state.instance_list(now), environ)
        if subpath[1:2] == ["tasks"]:
            return self._serve_tasks(method, subpath[0], subpath[2:], body)
        if method == "GET":
            instance = self._state.instance(subpath[0])
        else:
            arguments = json.loads(body)
            instance = self._run_operation(
                subpath[0], subpath[1], arguments, now
            )
        if instance is None:
            return json_response(404, {"error": "unknown instance"})
        document = asdict(instance)
        if method == "GET":
            document["in_flight"] = self._in_flight(instance)
        return json_response(200, document)

    def _serve_tasks(
        self, method: str, name: str, operation: list[str], body: bytes
    ) -> Response:
        now = time.time()
        if self._state.instance(name) is None:
            return json_response(404, {"error": "unknown instance"})
        if method == "POST":
            arguments = json.loads(body)
            if operation:
                self._tasks.change(
                    name, operation[0], arguments["attempts"], now
                )
            else:
                fails = name in self._state.faults.failing_workers
                self._tasks.start(name, arguments, now, fails)
            if self._state.consume_lost_task_answer():
                return json_response(500, {"error": "answer lost"})
        return json_response(200, {"tasks": self._tasks.report(name, now)})

    def _in_flight(self, instance: Instance) -> int | None:
        """Returns an endpoint's requests in flight; None without an answer."""
        try:
            answer = self._http.request(
                "GET", f"http://{instance.address}/standin/state"
            )
        except urllib3.exceptions.HTTPError:
            return None
        count = answer.json().get("in_flight")
        return None if count is None else int(count)

    def _run_operation(
        self, name: str, operation: str, arguments: dict[str, Any], now: float
    ) -> Instance | None:
        before = self._state.instance(name)
        operation_id = str(arguments["operation_id"])
        if before is None:
            return None
        if operation == "drain":
            after = self._state.change(name, operation_id, now, state="leaving")
            if after != before:
                self._update_endpoint(before.address, {"leaving": True})
        elif operation == "reboot":
            after = self._state.change(
                name, operation_id, now, state="rebooting"
            )
            if after != before:
                timer = threading.Timer(
                    _REBOOT_DURATION_S, self._finish_reboot, [before]
                )
                timer.daemon = True
                timer.start()
        else:
            pool = str(arguments.get("pool", before.pool))
            after = self._state.change(
                name, operation_id, now, state="live", pool=pool
            )
            if after != before:
                self._update_endpoint(before.address, {"leaving": False})
        return after

    def _finish_reboot(self, before: Instance) -> None:
        incarnation = before.incarnation + 1
        self._tasks.fail_after_restart(before.instance)
        self._update_endpoint(
            before.address, {"leaving": False, "incarnation": incarnation}
        )
        self._state.change(
            before.instance,
            f"rebooted-{before.instance}-{incarnation}",
            time.time(),
            incarnation=incarnation,
            state="rebooted",
        )

    def _update_endpoint(self, address: str, change: dict[str, Any]) -> None:
        try:
            self._http.request(
                "POST",
                f"http://{address}/standin/state",
                body=json.dumps(change).encode(),
            )
        except urllib3.exceptions.HTTPError:
            return


def _list_response(
    listing: dict[str, Any], environ: dict[str, Any]
) -> Response:
    """Returns the instance list, or 304 if the client has this version."""
    content = json.dumps(listing["instances"]).encode()
    etag = f'"{zlib.crc32(content):08x}"'
    if environ.get("HTTP_IF_NONE_MATCH") == etag:
        return 304, {"ETag": etag, "X-As-Of": str(listing["as_of"])}, b""
    status, headers, body = json_response(200, listing)
    headers["ETag"] = etag
    if "gzip" in environ.get("HTTP_ACCEPT_ENCODING", ""):
        headers["Content-Encoding"] = "gzip"
        body = gzip.compress(body, 6)
    return status, headers, body


def main() -> None:
    """Serves the platform until it is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument(
        "--instances", help="JSON file with the initial instances"
    )
    parser.add_argument(
        "--journal",
        type=Path,
        help="file that keeps the streams over a restart",
    )
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    state = PlatformState(arguments.journal)
    if arguments.instances:
        with open(arguments.instances, encoding="utf-8") as file:
            for entry in json.load(file):
                state.put_instance(Instance(**entry), time.time())
    serve(host, int(port), PlatformService(state).handle, threads=32)


if __name__ == "__main__":
    main()
