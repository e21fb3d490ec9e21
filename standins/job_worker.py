"""Stand-in for a worker that runs subtasks under leases and fences."""

import json
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.server import Response, json_response

_POLL_INTERVAL_S = 0.01

# Longest lease that is granted, in ms; the platform's bound `HoldMaxMs`.
MAX_LEASE_MS = 10_000

# Ends that are listed at a time.
MAX_LISTED_ENDS = 500

# Payload of a job whose first subtask crashes each worker that starts it.
DEADLY_PAYLOAD = "deadly"

# Time from such a start to the crash.
_CRASH_DELAY_S = 0.01

# Capacity, in runs, of a worker that was not resized.
_UNLIMITED = 1_000_000

# The larger one of two capacities counts this long after a change: the time in
# which the change reaches the system, and a worker's heartbeat.
SHRINK_GRACE_S = 4.5


class _ActiveRun:
    def __init__(self, number: int, ends_at: float) -> None:
        self.number = number
        self.ends_at = ends_at
        self.started_at = time.monotonic()
        self.disturbed = False


class EndedRun(NamedTuple):
    """A run that has ended.

    Attributes:
        subtask: Name of the subtask.
        started_at: Monotonic time of the start, in seconds.
        ended_at: Monotonic time of the end, in seconds.
        end_reason: ``done``, ``stopped``, ``lapsed`` when the lease expired,
            or ``crashed`` with its worker.
        run: Run number of the subtask.
        disturbed: Whether the link to the worker was faulty at the start.
    """

    subtask: str
    started_at: float
    ended_at: float
    end_reason: str
    run: int
    disturbed: bool = False


class JobWorker:
    """State of a worker; `handle` serves its requests.

    Args:
        run_s: Run time of each subtask, in seconds.
        on_deadly_start: Crashes this worker.

    Attributes:
        born: Wall-clock time of the start of this incarnation, in
            milliseconds.
        down: Whether every request is answered with 503.
        starts: Subtask and run number of each run that was started.
        duplicate_starts: Subtasks for which a start arrived while another run
            was running, whether or not it was rejected.
        ended_runs: Runs that have ended, over all incarnations.
        acknowledged: Subtask and run number of each ``done`` run whose end
            the poller has acknowledged.
        overloads: Subtasks whose start exceeded the capacity.
        peak_runs: Largest number of runs at the same time.
        is_disturbed: Whether the link to the worker is faulty.
        shrink_grace_s: Time for which the capacity before a change counts, in
            seconds.
    """

    def __init__(
        self,
        run_s: float = 0.05,
        on_deadly_start: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts the first incarnation, with nothing running."""
        self._run_s = run_s
        self._on_deadly_start = on_deadly_start
        # Capacities in runs, each with the time of its end; newest last.
        self._capacities: list[tuple[int, float]] = []
        self._capacity = _UNLIMITED
        self.overloads: list[str] = []
        self.peak_runs = 0
        self.shrink_grace_s = SHRINK_GRACE_S
        self.is_disturbed: Callable[[], bool] = lambda: False
        self._lock = threading.Lock()
        self._running: dict[str, _ActiveRun] = {}
        self._reported_ends: list[list[Any]] = []
        self._last_ended_runs: dict[str, int] = {}
        self._fence = 0
        self._last_end_number = 0
        self._before_lapse = 0
        # The clock of an incarnation starts at 0, and so does its lease.
        self._started_at = time.monotonic()
        self._lease_until_ms = 0
        self.born = time.time_ns() // 1_000_000
        self.down = False
        self.starts: list[tuple[str, int]] = []
        self.duplicate_starts: list[str] = []
        self.ended_runs: list[EndedRun] = []
        self.acknowledged: set[tuple[str, int]] = set()

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        """Handles one HTTP request."""
        del method, query, environ
        born = self.born
        if self.down:
            return 503, {}, b""
        request = json.loads(body)
        with self._lock:
            if request.get("Fence", 0) < self._fence:
                return self._respond(409, Reason="fence")
            self._fence = request.get("Fence", 0)
            self._end_due_runs()
            self._extend_lease(request)
            if path == "/v1/run-start":
                return self._start(request)
            if path == "/v1/run-stop":
                self._stop(request)
                return self._respond(200)
        return self._poll(request, born)

    @property
    def running(self) -> int:
        """Number of runs that have not ended."""
        with self._lock:
            self._end_due_runs()
            return len(self._running)

    def resize(self, runs: int) -> None:
        """Changes the capacity, in runs; a start that exceeds it is recorded."""
        with self._lock:
            self._capacities.append((self._capacity, time.monotonic()))
            self._capacity = runs

    def crash(self) -> None:
        """Starts a new incarnation under the same id, with nothing running."""
        with self._lock:
            self._end_due_runs()
            for name, run in self._running.items():
                self._record_run(name, run, time.monotonic(), "crashed")
            self._running.clear()
            self._last_ended_runs.clear()
            self._reported_ends.clear()
            self._fence = self._last_end_number = self._before_lapse = 0
            self._started_at = time.monotonic()
            self._lease_until_ms = 0
            self.born = max(self.born + 1, time.time_ns() // 1_000_000)

    def _record_run(
        self, name: str, run: _ActiveRun, ended_at: float, end_reason: str
    ) -> None:
        self.ended_runs.append(
            EndedRun(
                name,
                run.started_at,
                ended_at,
                end_reason,
                run.number,
                run.disturbed,
            )
        )

    def _now_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000)

    def _respond(self, status: int, **values: Any) -> Response:
        return json_response(
            status, {"ClockMs": self._now_ms(), "born": self.born, **values}
        )

    def _extend_lease(self, request: dict[str, Any]) -> None:
        if "DeadlineMs" in request:
            deadline_ms = min(
                request["DeadlineMs"], self._now_ms() + MAX_LEASE_MS
            )
            self._lease_until_ms = max(self._lease_until_ms, deadline_ms)

    @property
    def _lease_until(self) -> float:
        """Monotonic time at which the lease lapses, in seconds."""
        return self._started_at + self._lease_until_ms / 1000

    def _end(self, name: str, end_reason: str) -> None:
        run = self._running.pop(name)
        self._last_end_number += 1
        ended_at = min(time.monotonic(), run.ends_at)
        if end_reason == "lapsed":
            ended_at = min(ended_at, self._lease_until)
        self._record_run(name, run, ended_at, end_reason)
        self._reported_ends.append(
            [self._last_end_number, name, run.number, end_reason, ""]
        )
        self._last_ended_runs[name] = run.number

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        lapsed = now > self._lease_until
        until = self._lease_until if lapsed else now
        for name, run in list(self._running.items()):
            if run.ends_at <= until:
                self._end(name, "done")
            elif lapsed:
                self._end(name, "lapsed")
        if lapsed:
            # Such ends don't count as acknowledged, whenever they are read.
            self._before_lapse = self._last_end_number

    def _start(self, request: dict[str, Any]) -> Response:
        name, number = request["Task"], request["Run"]
        if name in self._running and self._running[name].number == number:
            return self._respond(200)
        if name in self._running:
            self.duplicate_starts.append(name)
        if number <= self._last_ended_runs.get(name, 0):
            return self._respond(409, Reason="old")
        if request["DeadlineMs"] < self._now_ms():
            return self._respond(409, Reason="late")
        now = time.monotonic()
        self._running[name] = _ActiveRun(number, now + self._run_s)
        self._running[name].disturbed = self.is_disturbed()
        self.starts.append((name, number))
        self.peak_runs = max(self.peak_runs, len(self._running))
        allowed = [
            capacity
            for capacity, until in self._capacities
            if now - until < self.shrink_grace_s
        ]
        if len(self._running) > max([self._capacity, *allowed]):
            self.overloads.append(name)
        first = name.endswith(".0.0")
        if request["TaskSpec"] == DEADLY_PAYLOAD and first:
            # Such a run never ends by itself.
            self._running[name].ends_at = float("inf")
            threading.Timer(_CRASH_DELAY_S, self._on_deadly_start).start()
        return self._respond(200)

    def _stop(self, request: dict[str, Any]) -> None:
        name, number = request["Task"], request["Run"]
        run = self._running.get(name)
        if run is not None and run.number <= number:
            self._end(name, "stopped")
        last_ended = self._last_ended_runs.get(name, 0)
        self._last_ended_runs[name] = max(last_ended, number)

    def _poll(self, request: dict[str, Any], born: int) -> Response:
        until = time.monotonic() + request.get("WaitMs", 0) / 1000
        while True:
            with self._lock:
                self._end_due_runs()
                if self.down or self.born != born:
                    # A crash ends the polls that are waiting.
                    return self._respond(503)
                self.acknowledged.update(
                    (row[1], row[2])
                    for row in self._reported_ends
                    if self._before_lapse < row[0] <= request["LastSeen"]
                    and row[3] == "done"
                )
                self._reported_ends = [
                    row
                    for row in self._reported_ends
                    if row[0] > request["LastSeen"]
                ]
                if self._reported_ends or time.monotonic() >= until:
                    running = [
                        [name, run.number, "", 50, 1000]
                        for name, run in self._running.items()
                    ]
                    return self._respond(
                        200,
                        Running=running,
                        Ended=self._reported_ends[:MAX_LISTED_ENDS],
                    )
            time.sleep(_POLL_INTERVAL_S)
