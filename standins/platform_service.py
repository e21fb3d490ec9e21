"""Platform stand-in: log, instance list and instance operations over HTTP.

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
from standins.server import Answer, json_answer, serve
from standins.worker_tasks import WorkerTasks

_REBOOT_S = 1.0


class PlatformService:
    """Maps HTTP calls to the state."""

    def __init__(self, state: PlatformState) -> None:
        """Serves the given state."""
        self._state = state
        self._tasks = WorkerTasks()
        self._bytes = 0
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
    ) -> Answer:
        """Answers one call."""
        parts = path.strip("/").split("/")
        if parts[:1] == ["standin"]:
            return self._control(method, parts, body)
        status, headers, content = self._answer(
            method, parts, query, body, environ
        )
        # Header sections of a request and an answer have about 350 bytes.
        self._bytes += len(body) + len(content) + 350
        return status, headers, content

    def _answer(
        self,
        method: str,
        parts: list[str],
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Answer:
        if parts[:2] == ["v1", "streams"] and len(parts) == 4:
            return self._log(method, parts[2], query, body)
        if parts[:2] == ["v1", "instances"]:
            return self._instances(method, parts[2:], body, environ)
        return json_answer(404, {"error": "unknown path"})

    def _control(self, method: str, parts: list[str], body: bytes) -> Answer:
        now = time.time()
        if parts[1] == "faults" and method == "POST":
            self._state.set_faults(json.loads(body))
        elif parts[1] == "instances" and method == "POST":
            self._state.put_instance(Instance(**json.loads(body)), now)
        elif parts[1] == "instances" and method == "DELETE":
            self._state.remove_instance(parts[2], now)
        return json_answer(
            200,
            {
                "faults": asdict(self._state.faults),
                "appends": self._state.appends,
                "reads": self._state.reads,
                "bytes": self._bytes,
            },
        )

    def _log(
        self, method: str, stream: str, query: dict[str, str], body: bytes
    ) -> Answer:
        faults = self._state.faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.outage:
            return json_answer(500, {"error": "outage"})
        if method == "GET":
            return self._read(stream, query)
        if faults.refuse:
            return json_answer(503, {"error": "overloaded"})
        now = time.time()
        offset, lost = self._state.append(stream, body, now)
        if lost:
            return json_answer(500, {"error": "answer lost"})
        return json_answer(201, {"offset": offset, "appended_at": now})

    def _read(self, stream: str, query: dict[str, str]) -> Answer:
        found = self._state.read(
            stream,
            int(query.get("offset", "0")),
            int(query.get("limit", "500")),
        )
        if found is None:
            first = self._state.first_offset(stream)
            return json_answer(410, {"first_offset": first})
        return json_answer(200, found)

    def _instances(
        self,
        method: str,
        rest: list[str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Answer:
        now = time.time()
        if not rest:
            return _listing(self._state.listing(now), environ)
        if rest[1:2] == ["tasks"]:
            return self._task_call(method, rest[0], rest[2:], body)
        if method == "GET":
            instance = self._state.instance(rest[0])
        else:
            arguments = json.loads(body)
            instance = self._operate(rest[0], rest[1], arguments, now)
        if instance is None:
            return json_answer(404, {"error": "unknown instance"})
        document = asdict(instance)
        if method == "GET":
            document["in_flight"] = self._in_flight(instance)
        return json_answer(200, document)

    def _task_call(
        self, method: str, name: str, operation: list[str], body: bytes
    ) -> Answer:
        now = time.time()
        if self._state.instance(name) is None:
            return json_answer(404, {"error": "unknown instance"})
        if method == "POST":
            arguments = json.loads(body)
            if operation:
                self._tasks.change(
                    name, operation[0], arguments["attempts"], now
                )
            else:
                fails = name in self._state.faults.failing_workers
                self._tasks.start(name, arguments, now, fails)
            if self._state.loses_task_answer():
                return json_answer(500, {"error": "answer lost"})
        return json_answer(200, {"tasks": self._tasks.report(name, now)})

    def _in_flight(self, instance: Instance) -> int | None:
        """Requests that an endpoint runs, or None if it does not answer."""
        try:
            answer = self._http.request(
                "GET", f"http://{instance.address}/standin/state"
            )
        except urllib3.exceptions.HTTPError:
            return None
        found = answer.json().get("in_flight")
        return None if found is None else int(found)

    def _operate(
        self, name: str, operation: str, arguments: dict[str, Any], now: float
    ) -> Instance | None:
        before = self._state.instance(name)
        operation_id = str(arguments["operation_id"])
        if before is None:
            return None
        if operation == "drain":
            after = self._state.change(name, operation_id, now, state="leaving")
            if after != before:
                self._signal(before.address, {"leaving": True})
        elif operation == "reboot":
            after = self._state.change(
                name, operation_id, now, state="rebooting"
            )
            if after != before:
                timer = threading.Timer(_REBOOT_S, self._rebooted, [before])
                timer.daemon = True
                timer.start()
        else:
            pool = str(arguments.get("pool", before.pool))
            after = self._state.change(
                name, operation_id, now, state="live", pool=pool
            )
            if after != before:
                self._signal(before.address, {"leaving": False})
        return after

    def _rebooted(self, before: Instance) -> None:
        incarnation = before.incarnation + 1
        self._tasks.restarted(before.instance)
        self._signal(
            before.address, {"leaving": False, "incarnation": incarnation}
        )
        self._state.change(
            before.instance,
            f"rebooted-{before.instance}-{incarnation}",
            time.time(),
            incarnation=incarnation,
            state="rebooted",
        )

    def _signal(self, address: str, change: dict[str, Any]) -> None:
        try:
            self._http.request(
                "POST",
                f"http://{address}/standin/state",
                body=json.dumps(change).encode(),
            )
        except urllib3.exceptions.HTTPError:
            return


def _listing(listing: dict[str, Any], environ: dict[str, Any]) -> Answer:
    """Answers with the list, or 304 if the client has it already."""
    content = json.dumps(listing["instances"]).encode()
    tag = f'"{zlib.crc32(content):08x}"'
    if environ.get("HTTP_IF_NONE_MATCH") == tag:
        return 304, {"ETag": tag, "X-As-Of": str(listing["as_of"])}, b""
    status, headers, body = json_answer(200, listing)
    headers["ETag"] = tag
    if "gzip" in environ.get("HTTP_ACCEPT_ENCODING", ""):
        headers["Content-Encoding"] = "gzip"
        body = gzip.compress(body, 6)
    return status, headers, body


def main() -> None:
    """Starts the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--instances", help="JSON file with a list of them")
    parser.add_argument("--journal", type=Path, help="keeps the streams")
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
