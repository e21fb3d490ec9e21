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
