"""Tests of jobs whose queue is removed or moves, with real processes."""

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.platform_harness import (
    PREFIX,
    RUN_CPU,
    PlatformHarness,
    wait_for,
)

_SERVICES = ("visits", "routing")
_RUN_S = 3.0
_STEP = {"Count": 2, "Cpu": RUN_CPU, "MemMb": 64, "EstimatedMs": 3000}
# More than the two workers of a service have room for.
_WIDE_STEP = {**_STEP, "Count": 40}


def _job(number: int) -> str:
    return f"{number:016x}"


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[PlatformHarness]:
    made = PlatformHarness(tmp_path, 4, _RUN_S, services=_SERVICES)
    for number in (2, 3):
        made.start_instance(number)
    for number in (2, 3):
        wait_for(lambda n=number: made.is_ready(n), "instance is ready")  # type: ignore[misc]
    yield made
    made.close()


def _starts(harness: PlatformHarness, job: str) -> list[tuple[str, int]]:
    """Returns each start of a job's subtasks with its worker."""
    return [
        (name, number)
        for number, worker in enumerate(harness.workers)
        for name, _ in worker.starts
        if name.startswith(job)
    ]


def _answer_but_503(
    harness: PlatformHarness, path: str
) -> tuple[int, dict[str, Any]] | None:
    answer = harness.call(3, "GET", path)
    return None if answer[0] == 503 else answer


def _move_queue(harness: PlatformHarness, service: str) -> None:
    """Removes the queue and adds it again for another service."""
    harness.configure(None)
    for number in (2, 3):
        wait_for(
            lambda n=number: harness.call(n, "GET", PREFIX)[0] == 404,  # type: ignore[misc]
            "queue is removed",
        )
    harness.configure(service)
    for number in (2, 3):
        wait_for(
            lambda n=number: harness.call(n, "GET", PREFIX)[0] == 200,  # type: ignore[misc]
            "queue is back",
        )


class TestMovedQueue:
    """Guards against jobs that are lost when their queue gets another service.

    A job was looked for, submitted again and cancelled in the cell of the
    queue's present service (review/8).
    """

    def test_job_is_found_after_its_queue_moves(
        self, harness: PlatformHarness
    ) -> None:
        assert harness.submit(2, _job(1), _STEP) == 200
        wait_for(lambda: len(_starts(harness, _job(1))) == 2, "it runs")
        _move_queue(harness, "routing")
        until = time.monotonic() + _RUN_S
        while time.monotonic() < until:
            for number in (2, 3):
                # 503 is right while a cell changes its holder.
                status, _ = harness.call(number, "GET", PREFIX + _job(1))
                assert status in (200, 503)
            time.sleep(0.05)
        wait_for(lambda: harness.state(3, _job(1)) == "completed", "completed")
        assert harness.call(2, "GET", PREFIX + _job(9))[0] == 410

    def test_job_submitted_again_after_a_move_runs_once(
        self, harness: PlatformHarness
    ) -> None:
        assert harness.submit(2, _job(1), _STEP) == 200
        wait_for(lambda: len(_starts(harness, _job(1))) == 2, "it runs")
        _move_queue(harness, "routing")
        assert harness.submit(3, _job(1), _STEP) == 200
        assert harness.submit(3, _job(2), _STEP) == 200
        for job in (_job(1), _job(2)):
            wait_for(
                lambda j=job: harness.state(2, j) == "completed",  # type: ignore[misc]
                "completed",
            )
        first, second = _starts(harness, _job(1)), _starts(harness, _job(2))
        assert len(first) == len(second) == 2
        # Each job runs on the workers of the service that accepted it.
        assert {worker % 2 for _, worker in first} == {0}
        assert {worker % 2 for _, worker in second} == {1}

    def test_cancelling_after_a_move_stops_the_job(
        self, harness: PlatformHarness
    ) -> None:
        assert harness.submit(2, _job(1), _WIDE_STEP) == 200
        wait_for(lambda: len(_starts(harness, _job(1))) == 16, "it runs")
        _move_queue(harness, "routing")
        assert harness.call(3, "DELETE", PREFIX + _job(1))[0] == 200
        wait_for(lambda: harness.state(2, _job(1)) == "cancelled", "cancelled")
        wait_for(
            lambda: not any(w.running for w in harness.workers), "it stops"
        )
        assert len(_starts(harness, _job(1))) < 40

    def test_waiting_jobs_are_counted_after_a_move(
        self, harness: PlatformHarness
    ) -> None:
        assert harness.submit(2, _job(1), _WIDE_STEP) == 200
        wait_for(lambda: len(_starts(harness, _job(1))) == 16, "it runs")
        for number in (2, 3):
            assert harness.submit(2, _job(number), _STEP) == 200
        _move_queue(harness, "routing")
        # 503 is right while a cell changes its holder. The next one counts a job
        # until a worker has reported its runs.
        status, body = wait_for(
            lambda: _answer_but_503(harness, PREFIX), "it is counted"
        )
        assert status == 200
        assert body["Waiting"] >= 2
        wait_for(
            lambda: harness.call(3, "GET", PREFIX) == (200, {"Waiting": 2}),
            "the started job is left out",
        )

    def test_jobs_continue_at_the_next_holder_after_a_move(
        self, harness: PlatformHarness
    ) -> None:
        assert harness.submit(2, _job(1), _WIDE_STEP) == 200
        wait_for(lambda: len(_starts(harness, _job(1))) == 16, "it runs")
        _move_queue(harness, "routing")
        assert harness.submit(2, _job(2), _STEP) == 200
        harness.signal_instance(2, signal.SIGTERM)
        for job in (_job(1), _job(2)):
            wait_for(
                lambda j=job: harness.state(3, j) == "completed",  # type: ignore[misc]
                "completed",
            )
        assert len(_starts(harness, _job(1))) == 40
        assert len(_starts(harness, _job(2))) == 2

    def test_jobs_of_a_removed_queue_continue_at_the_next_holder(
        self, harness: PlatformHarness
    ) -> None:
        assert harness.submit(2, _job(1), _WIDE_STEP) == 200
        wait_for(lambda: len(_starts(harness, _job(1))) == 16, "it runs")
        harness.configure(None)
        wait_for(
            lambda: harness.call(3, "GET", PREFIX)[0] == 404, "queue is removed"
        )
        harness.signal_instance(2, signal.SIGTERM)
        wait_for(lambda: len(_starts(harness, _job(1))) == 40, "it goes on")
        harness.configure("visits")
        wait_for(lambda: harness.state(3, _job(1)) == "completed", "completed")
