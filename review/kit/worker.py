"""Stand-in for a worker, as a separate process that can be killed.

It follows the pages: leases on its own clock, fences, run numbers, a list of at
most 500 ends at a time, and a registration in the store at each heartbeat.

A payload has words of the form ``key=value``: ``ms`` is the run time, ``cpu``
the capacity that a run uses. ``lasting`` makes a run go on until it is stopped.
``ticketed`` makes the start need a ticket, with the parts step, worker, time of
its issue and end of its validity.

Commands are lines on standard input: ``cut on`` and ``cut off`` (nothing gets
through to or from the job servers, and the runs go on), ``zone on`` and ``zone
off`` (the same, and the store is cut off too), ``reborn`` (a crash, and a start
under the same id, for which a worker that is cut off needs no new process), and
``refuse on`` and ``refuse off`` (starts are answered with 503). Events are JSON
lines on standard output.
"""

import argparse
import http.client
import json
import struct
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

# Longest lease, `HoldMaxMs` of the sites.
HOLD_MAX_MS = 10_000

# Ends that are listed at a time.
MAX_LISTED_ENDS = 500

HEARTBEAT_S = 1.5

# Time from a crash to the next life.
RESTART_S = 0.25

# Time until a run that lasts is at work.
STARTUP_S = 0.5

_TICK_S = 0.005


class _Run:
    def __init__(self, number: int, payload: str) -> None:
        words = dict(w.partition("=")[::2] for w in payload.split())
        self.number = number
        self.lasting = "lasting" in words
        self.cpu = int(words.get("cpu", 1000))
        self.started_at = time.monotonic()
        self.run_s = int(words.get("ms", 100)) / 1000

    def percent(self) -> int:
        """Progress, or the share of its full speed if it lasts."""
        age_s = time.monotonic() - self.started_at
        if self.lasting:
            return 100 if age_s > STARTUP_S else 0
        return min(99, int(100 * age_s / self.run_s))

    def is_due(self) -> bool:
        """Whether it has ended by itself."""
        age_s = time.monotonic() - self.started_at
        return not self.lasting and age_s >= self.run_s


class Worker:
    """A worker, in one life after the other.

    Args:
        worker: Its id.
        cpu: Its capacity, in thousandths of a core.
    """

    def __init__(self, worker: str, cpu: int) -> None:
        """Starts its first life."""
        self.id = worker
        self.cut = False
        self.store_cut = False
        self.refuses = False
        self._cpu = cpu
        self._changed = threading.Condition()
        self.heartbeat_due = threading.Event()
        self._begin()

    def reborn(self) -> None:
        """Crashes and starts again, after the time that a start takes."""
        with self._changed:
            self.log("crash")
            time.sleep(RESTART_S)
            self._begin()
        self.heartbeat_due.set()

    def _begin(self) -> None:
        """Begins a life, with nothing running and its clock at 0."""
        self.born = time.time_ns() // 1_000_000
        self._began_at = time.monotonic()
        self._lease_ms = 0
        self._fence = 0
        self._running: dict[str, _Run] = {}
        self._highest_ended: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._end_number = 0
        # Ends up to this number were listed before a lease lapsed.
        self._lapsed_after = 0

    def log(self, event: str, **values: Any) -> None:
        """Writes an event."""
        row = {"t": round(time.monotonic(), 4), "worker": self.id}
        row |= {"born": self.born, "event": event, **values}
        sys.stdout.write(json.dumps(row) + "\n")
        sys.stdout.flush()

    def clock_ms(self) -> int:
        """Its own clock, which starts anew with each life."""
        return int((time.monotonic() - self._began_at) * 1000)

    def tick(self) -> None:
        """Ends runs that are done, and all of them when the lease lapses."""
        with self._changed:
            for name, run in list(self._running.items()):
                if run.is_due():
                    self._end(name, "done")
            if self.clock_ms() > self._lease_ms:
                for name in list(self._running):
                    self._end(name, "lapsed")
                self._lapsed_after = self._end_number

    def _end(self, name: str, how: str) -> None:
        run = self._running.pop(name)
        self._end_number += 1
        self._ends.append([self._end_number, name, run.number, how, ""])
        self._highest_ended[name] = run.number
        self.log("end", subtask=name, run=run.number, how=how)
        self._changed.notify_all()

    def handle(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Handles a call; returns the status and the body of the answer."""
        with self._changed:
            if body.get("Fence", 0) < self._fence:
                return self._answer(409, Reason="fence")
            if path == "/v1/run-start" and self.refuses:
                self.log("refused", subtask=body["Task"], run=body["Run"])
                return 503, {}
            self._fence = body.get("Fence", 0)
            if "DeadlineMs" in body:
                longest = self.clock_ms() + HOLD_MAX_MS
                deadline = min(body["DeadlineMs"], longest)
                self._lease_ms = max(self._lease_ms, deadline)
            if path == "/v1/run-start":
                return self._start(body)
            if path == "/v1/run-stop":
                return self._stop(body)
            if path == "/v1/hold":
                return self._hold(body)
            return self._answer(200)

    def _answer(self, status: int, **values: Any) -> tuple[int, Any]:
        return status, {"ClockMs": self.clock_ms(), **values}

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, number = body["Task"], body["Run"]
        known = self._running.get(name)
        if known is not None and known.number == number:
            return self._answer(200)
        if known is not None or number <= self._highest_ended.get(name, 0):
            return self._answer(409, Reason="old")
        if body["DeadlineMs"] < self.clock_ms():
            return self._answer(409, Reason="late")
        if "ticketed" in body["TaskSpec"].split() and not self._admits(body):
            return self._answer(409, Reason="ticket")
        run = _Run(number, body["TaskSpec"])
        if sum(r.cpu for r in self._running.values()) + run.cpu > self._cpu:
            return self._answer(409, Reason="room")
        self._running[name] = run
        self.log(
            "start",
            subtask=name,
            run=number,
            deadline_ms=body["DeadlineMs"],
            clock_ms=self.clock_ms(),
            lease_ms=self._lease_ms,
        )
        return self._answer(200)

    def _admits(self, body: dict[str, Any]) -> bool:
        """Whether a start has a ticket for this life that is still valid."""
        parts = body.get("Ticket", "").split("|")
        if len(parts) != 4:
            return False
        step, worker, issued_at, valid_until = parts
        return (
            body["Task"].startswith(f"{step}.")
            and worker == self.id
            and float(issued_at) >= self._began_at
            and float(valid_until) >= time.monotonic()
        )

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, number = body["Task"], body["Run"]
        known = self._running.get(name)
        if known is not None and known.number <= number:
            self._end(name, "stopped")
        highest = self._highest_ended.get(name, 0)
        self._highest_ended[name] = max(highest, number)
        return self._answer(200)

    def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        for row in self._ends:
            if row[0] <= body["LastSeen"] and row[0] > self._lapsed_after:
                self.log("noted", subtask=row[1], run=row[2], how=row[3])
        self._ends = [r for r in self._ends if r[0] > body["LastSeen"]]
        self._changed.wait_for(
            lambda: bool(self._ends), body.get("WaitMs", 0) / 1000
        )
        running = [
            [name, run.number, "", run.percent(), 0]
            for name, run in self._running.items()
        ]
        return self._answer(
            200,
            born=self.born,
            Running=running,
            Ended=self._ends[:MAX_LISTED_ENDS],
        )


def _make_handler(worker: Worker) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_: Any) -> None:
            """Logs nothing."""

        def do_POST(self) -> None:  # noqa: N802
            """Handles a call, unless the worker is cut off."""
            length = int(self.headers.get("Content-Length", "0"))
            body = json.loads(self.rfile.read(length) or b"{}")
            if worker.cut:
                self._lose()
                return
            if self.headers.get("Target-Instance", worker.id) != worker.id:
                status, answer = 421, {}
            else:
                status, answer = worker.handle(self.path, body)
            if worker.cut:
                self._lose()
                return
            content = json.dumps(answer).encode()
            self.wfile.write(
                f"HTTP/1.1 {status} Status\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode()
                + content
            )

        def _lose(self) -> None:
            """Loses a call or an answer; its connection stays silent."""
            while worker.cut:
                time.sleep(0.02)
            self.close_connection = True

    return Handler


def _register(worker: Worker, arguments: argparse.Namespace) -> None:
    """Writes the registration at each heartbeat, while the store answers."""
    sequence = 0
    registered: set[int] = set()
    key = worker.id.encode()
    while True:
        sequence += 1
        entry = {
            "Service": arguments.service,
            "Address": arguments.address,
            "Zone": arguments.zone,
            "Version": "1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": sequence,
            "Capacity": {"Cpu": arguments.cpu, "MemMb": 131072},
            "Labels": ["kind-a", arguments.rack],
            "born": worker.born,
        }
        record = bytes([len(key)]) + key + json.dumps(entry).encode()
        host, _, port = arguments.store.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            if worker.store_cut:
                raise TimeoutError
            connection.request(
                "POST",
                "/v1/log-append?Topic=keyed.servers&part=0",
                struct.pack(">I", len(record)) + record,
            )
            status = connection.getresponse().status
        except OSError:
            status = 0
        finally:
            connection.close()
        if worker.born not in registered:
            registered.add(worker.born)
            worker.log("registers", status=status)
        worker.heartbeat_due.wait(HEARTBEAT_S)
        worker.heartbeat_due.clear()


def _obey(worker: Worker) -> None:
    """Carries out the commands on standard input, to its end."""
    for line in sys.stdin:
        what, _, state = line.strip().partition(" ")
        if what in ("cut", "zone"):
            worker.cut = state == "on"
            worker.store_cut = what == "zone" and worker.cut
        elif what == "reborn":
            worker.reborn()
        elif what == "refuse":
            worker.refuses = state == "on"
        worker.log("command", line=line.strip())


def main() -> None:
    """Serves until it is killed."""
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "store", "service", "zone", "rack"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--cpu", type=int, required=True)
    arguments = parser.parse_args()
    worker = Worker(arguments.id, arguments.cpu)
    host, _, port = arguments.address.rpartition(":")
    ThreadingHTTPServer.daemon_threads = True
    ThreadingHTTPServer.request_queue_size = 128
    ThreadingHTTPServer.allow_reuse_address = True
    server = ThreadingHTTPServer((host, int(port)), _make_handler(worker))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    worker.log("listening")
    for task in (_register, _obey):
        given = (worker, arguments) if task is _register else (worker,)
        threading.Thread(target=task, args=given, daemon=True).start()
    while True:
        worker.tick()
        time.sleep(_TICK_S)


if __name__ == "__main__":
    main()
