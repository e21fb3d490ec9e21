"""Stand-in of a worker that runs subtasks under leases and fences."""

import json
import threading
import time
from typing import Any, NamedTuple

from standins.server import Answer, json_answer

_WAIT_STEP_S = 0.01


class _Run:
    def __init__(self, number: int, ends_at: float) -> None:
        self.number = number
        self.ends_at = ends_at
        self.began_at = time.monotonic()


class PastRun(NamedTuple):
    """A run that has ended.

    Attributes:
        subtask: What ran.
        began_at: Steady time, in seconds.
        ended_at: Steady time, in seconds.
        how: How it ended; ``crashed`` with its worker.
        run: Its run number.
    """

    subtask: str
    began_at: float
    ended_at: float
    how: str
    run: int


class JobWorker:
    """State of one incarnation; `handle` serves its calls.

    Args:
        run_s: How long each subtask runs, in seconds.
    """

    def __init__(self, run_s: float = 0.05) -> None:
        """Starts with nothing running."""
        self._run_s = run_s
        self._lock = threading.Lock()
        self._running: dict[str, _Run] = {}
        self._ended: list[list[Any]] = []
        self._closed_runs: dict[str, int] = {}
        self._fence = 0
        self._numbers = 0
        self._lease_until = 0.0
        self.born = time.time_ns() // 1_000_000
        self.down = False
        self.starts: list[tuple[str, int]] = []
        self.duplicate_starts: list[str] = []
        self.past: list[PastRun] = []
        self.noted: set[tuple[str, int]] = set()

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Answer:
        """Serves one call."""
        del method, query, environ
        if self.down:
            return 503, {}, b""
        call = json.loads(body)
        with self._lock:
            if call.get("Fence", 0) < self._fence:
                return self._answer(409, Reason="fence")
            self._fence = call.get("Fence", 0)
            self._grant(call)
            self._advance()
            if path == "/v1/run-start":
                return self._start(call)
            if path == "/v1/run-stop":
                self._stop(call)
                return self._answer(200)
        return self._hold(call)

    @property
    def running(self) -> int:
        """Number of runs that have not ended."""
        with self._lock:
            self._advance()
            return len(self._running)

    def crash(self) -> None:
        """Starts again under the same id, with nothing running."""
        with self._lock:
            self._advance()
            for name, run in self._running.items():
                self._remember(name, run, time.monotonic(), "crashed")
            self._running.clear()
            self._closed_runs.clear()
            self._ended.clear()
            self._fence = self._numbers = 0
            self._lease_until = 0.0
            self.born = max(self.born + 1, time.time_ns() // 1_000_000)

    def _remember(
        self, name: str, run: _Run, ended_at: float, how: str
    ) -> None:
        self.past.append(PastRun(name, run.began_at, ended_at, how, run.number))

    def _now_ms(self) -> int:
        return time.monotonic_ns() // 1_000_000

    def _answer(self, status: int, **values: Any) -> Answer:
        return json_answer(
            status, {"ClockMs": self._now_ms(), "born": self.born, **values}
        )

    def _grant(self, call: dict[str, Any]) -> None:
        if "DeadlineMs" in call:
            deadline = min(call["DeadlineMs"], self._now_ms() + 10_000)
            self._lease_until = max(self._lease_until, deadline)

    def _end(self, name: str, how: str) -> None:
        run = self._running.pop(name)
        self._numbers += 1
        ended_at = min(time.monotonic(), run.ends_at)
        if how == "lapsed":
            ended_at = min(ended_at, self._lease_until / 1000)
        self._remember(name, run, ended_at, how)
        self._ended.append([self._numbers, name, run.number, how, ""])
        self._closed_runs[name] = run.number

    def _advance(self) -> None:
        if self._now_ms() > self._lease_until:
            for name in list(self._running):
                self._end(name, "lapsed")
        now = time.monotonic()
        for name, run in list(self._running.items()):
            if now >= run.ends_at:
                self._end(name, "done")

    def _start(self, call: dict[str, Any]) -> Answer:
        name, number = call["Task"], call["Run"]
        if name in self._running and self._running[name].number == number:
            return self._answer(200)
        if name in self._running:
            self.duplicate_starts.append(name)
        if number <= self._closed_runs.get(name, 0):
            return self._answer(409, Reason="old")
        if call["DeadlineMs"] < self._now_ms():
            return self._answer(409, Reason="late")
        self._running[name] = _Run(number, time.monotonic() + self._run_s)
        self.starts.append((name, number))
        return self._answer(200)

    def _stop(self, call: dict[str, Any]) -> None:
        name, number = call["Task"], call["Run"]
        run = self._running.get(name)
        if run is not None and run.number <= number:
            self._end(name, "stopped")
        known = self._closed_runs.get(name, 0)
        self._closed_runs[name] = max(known, number)

    def _hold(self, call: dict[str, Any]) -> Answer:
        until = time.monotonic() + call.get("WaitMs", 0) / 1000
        born = self.born
        while True:
            with self._lock:
                self._advance()
                if self.down or self.born != born:
                    # A crash ends the calls that wait.
                    return self._answer(503)
                self.noted.update(
                    (row[1], row[2])
                    for row in self._ended
                    if row[0] <= call["LastSeen"] and row[3] == "done"
                )
                self._ended = [
                    row for row in self._ended if row[0] > call["LastSeen"]
                ]
                if self._ended or time.monotonic() >= until:
                    running = [
                        [name, run.number, "", 50, 1000]
                        for name, run in self._running.items()
                    ]
                    return self._answer(
                        200, Running=running, Ended=list(self._ended)
                    )
            time.sleep(_WAIT_STEP_S)
