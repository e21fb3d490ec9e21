"""Tests of the stand-in for a worker."""

import json
from typing import Any

import pytest

from standins import job_worker
from standins.job_worker import MAX_LEASE_MS, JobWorker

_SUBTASK = "0000000000000000.0.0.0"


class _Clock:
    """Replaces the monotonic clock."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def monotonic(self) -> float:
        return self.now

    def time_ns(self) -> int:
        return round(self.now * 1e9)


def _call(worker: JobWorker, path: str, **body: Any) -> dict[str, Any]:
    content = json.dumps(body).encode()
    _, _, answer = worker.handle("POST", path, {}, content, {})
    values: dict[str, Any] = json.loads(answer)
    return values


class TestClock:
    """Guards against a stand-in that is kinder than a worker.

    A worker's clock starts anew with each incarnation. On the stand-in, a
    deadline for the last one was right for the next one, too.
    """

    def test_a_deadline_of_the_last_incarnation_grants_the_longest_lease(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = _Clock()
        monkeypatch.setattr(job_worker, "time", clock)
        worker = JobWorker(run_s=60.0)
        clock.now += 100.0
        before = _call(worker, "/v1/hold", Fence=1, LastSeen=0)
        deadline_ms = before["ClockMs"] + 5_000
        worker.crash()
        assert _call(worker, "/v1/hold", LastSeen=0)["ClockMs"] == 0
        _call(
            worker,
            "/v1/run-start",
            Task=_SUBTASK,
            Run=1,
            TaskSpec="",
            DeadlineMs=deadline_ms,
        )
        clock.now += MAX_LEASE_MS / 1000 - 0.1
        assert worker.running == 1
        clock.now += 0.2
        assert worker.running == 0
        assert worker.ended_runs[-1].end_reason == "lapsed"


class _CrashingLock:
    """Lock of a worker that crashes while the next request waits for it."""

    def __init__(self, worker: JobWorker) -> None:
        self._worker = worker
        self._lock = worker._lock
        self._armed = True

    def __enter__(self) -> None:
        if self._armed:
            self._armed = False
            self._worker.crash()
        self._lock.acquire()

    def __exit__(self, *_: object) -> None:
        self._lock.release()


class TestCrash:
    """Guards against ends that a poll of the last incarnation acknowledges."""

    def test_poll_that_waited_through_a_crash_acknowledges_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = _Clock()
        monkeypatch.setattr(job_worker, "time", clock)
        worker = JobWorker(run_s=0.1)
        monkeypatch.setattr(worker, "_lock", _CrashingLock(worker))
        monkeypatch.setattr(
            clock,
            "sleep",
            lambda _: self._run_one(worker, clock),
            raising=False,
        )
        answer = worker.handle(
            "POST", "/v1/hold", {}, b'{"LastSeen": 7, "WaitMs": 600}', {}
        )
        assert answer[0] == 503
        self._run_one(worker, clock)
        ended = _call(worker, "/v1/hold", LastSeen=0)["Ended"]
        assert [row[0] for row in ended] == [1]

    def _run_one(self, worker: JobWorker, clock: _Clock) -> None:
        order = {"Task": _SUBTASK, "Run": 1, "TaskSpec": "", "DeadlineMs": 9000}
        _call(worker, "/v1/run-start", **order)
        clock.now += 1.0
