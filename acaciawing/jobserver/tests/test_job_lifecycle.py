"""Tests of whole jobs, with real processes and stand-ins of the platform."""

import signal
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from acaciawing.platform.store import encode_keyed_record
from acaciawing.platform.tests.builders import WORKER_ENTRY
from standins.job_worker import DEADLY_PAYLOAD
from standins.platform_harness import (
    PREFIX,
    RUN_CPU,
    SERVICE,
    PlatformHarness,
    wait_for,
)

_DEEP = b"[" * 100_000 + b"]" * 100_000

_STEPS = (
    {"Count": 3, "Cpu": 1000, "MemMb": 64, "EstimatedMs": 50},
    {"Count": 1, "Cpu": 1000, "MemMb": 64, "DependsOn": [0]},
)


def _job(number: int) -> str:
    return f"{number:016x}"


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[PlatformHarness]:
    made = PlatformHarness(tmp_path)
    yield made
    made.close()


def _starts(harness: PlatformHarness) -> list[str]:
    return [name for worker in harness.workers for name, _ in worker.starts]


class TestJobLifecycle:
    """Guards against faults between processes that unit tests can't show."""

    def test_job_runs_from_submission_to_completion(
        self, harness: PlatformHarness
    ) -> None:
        for number in (2, 3):
            harness.start_instance(number)
        for number in (2, 3):
            wait_for(lambda n=number: harness.is_ready(n), "instance is ready")  # type: ignore[misc]
        assert harness.submit(2, _job(1), *_STEPS) == 200
        assert harness.submit(3, _job(1), *_STEPS) == 200
        wait_for(lambda: harness.state(3, _job(1)) == "completed", "completed")
        wait_for(
            lambda: harness.state(2, _job(1)) == "completed",
            "completed at the other instance",
        )
        assert sorted(_starts(harness)) == sorted(set(_starts(harness)))
        assert len(_starts(harness)) == 4
        assert harness.call(2, "GET", PREFIX + _job(9))[0] == 410
        assert harness.call(2, "GET", PREFIX) == (200, {"Waiting": 0})
        assert harness.call(2, "GET", "/none/")[0] == 404
        status, body = harness.call(2, "POST", PREFIX + _job(2), {"Steps": 1})
        assert (status, body["place"]) == (400, "body")
        # A record of the store does not hold it; it would be refused for good.
        assert harness.submit(2, _job(3), *_STEPS[:1] * 9_000) == 400
        assert harness.call(2, "GET", PREFIX + _job(3))[0] == 410

    def test_jobs_complete_after_every_instance_was_killed(
        self, harness: PlatformHarness
    ) -> None:
        harness.start_instance(2)
        wait_for(lambda: harness.is_ready(2), "instance is ready")
        jobs = [_job(n) for n in range(1, 13)]
        for job in jobs:
            assert harness.submit(2, job, *_STEPS) == 200
        harness.kill_instance(2)
        harness.start_instance(2)
        for job in jobs:
            wait_for(
                lambda j=job: harness.state(2, j) == "completed",  # type: ignore[misc]
                "completed",
            )
        assert not [
            name for w in harness.workers for name in w.duplicate_starts
        ]

    def test_jobs_of_a_stopped_instance_complete_on_another(
        self, harness: PlatformHarness
    ) -> None:
        for number in (2, 3):
            harness.start_instance(number)
        for number in (2, 3):
            wait_for(lambda n=number: harness.is_ready(n), "instance is ready")  # type: ignore[misc]
        assert harness.submit(2, _job(1), *_STEPS) == 200
        assert harness.signal_instance(2, signal.SIGTERM) == 0
        assert harness.submit(3, _job(2), *_STEPS) == 200
        for job in (_job(1), _job(2)):
            wait_for(
                lambda j=job: harness.state(3, j) == "completed",  # type: ignore[misc]
                "completed",
            )

    @pytest.mark.parametrize("kind", ["nested", "port of many digits", "ключ"])
    def test_odd_entry_of_a_worker_stops_no_instance(
        self, harness: PlatformHarness, kind: str
    ) -> None:
        entry = msgspec.json.encode({**WORKER_ENTRY, "Service": SERVICE})
        odd_entries = {
            "nested": entry[:-1] + b',"other":' + _DEEP + b"}",
            "port of many digits": entry.replace(b":80", b":" + b"9" * 5000),
            # Only an id that is sent to an open connection is encoded.
            "ключ": entry.replace(
                b"192.0.2.1:80", harness.store_address.encode()
            ),
        }
        record = encode_keyed_record(kind, odd_entries[kind])
        harness.store.append("keyed.servers", 0, [record])
        harness.start_instance(2)
        wait_for(lambda: harness.is_ready(2), "instance is ready")
        assert harness.submit(2, _job(1), *_STEPS) == 200
        wait_for(lambda: harness.state(2, _job(1)) == "completed", "completed")
        assert harness.signal_instance(2, signal.SIGTERM) == 0

    def test_subtask_that_crashes_its_workers_is_given_up(
        self, harness: PlatformHarness
    ) -> None:
        for number in (2, 3):
            harness.start_instance(number)
        for number in (2, 3):
            wait_for(lambda n=number: harness.is_ready(n), "instance is ready")  # type: ignore[misc]
        deadly, sound = _job(1), _job(2)
        assert harness.submit(2, deadly, *_STEPS, payload=DEADLY_PAYLOAD) == 200
        assert harness.submit(3, sound, *_STEPS) == 200
        wait_for(lambda: harness.state(3, deadly) == "failed", "given up")
        wait_for(lambda: harness.state(2, sound) == "completed", "completed")
        starts = [n for n in _starts(harness) if n == f"{deadly}.0.0.0"]
        assert 2 <= len(starts) <= 5

    def test_worker_that_does_not_guard_is_not_overloaded(
        self, tmp_path: Path
    ) -> None:
        harness = PlatformHarness(tmp_path, 1, run_s=0.2, guarded=False)
        worker = harness.workers[0]
        harness.resize_worker(0, 2)
        # The instance starts after the change.
        worker.shrink_grace_s = 0.0
        try:
            harness.start_instance(2)
            wait_for(lambda: harness.is_ready(2), "instance is ready")
            step = {"Count": 8, "Cpu": RUN_CPU, "EstimatedMs": 200}
            assert harness.submit(2, _job(1), step) == 200
            wait_for(
                lambda: harness.state(2, _job(1)) == "completed", "completed"
            )
            assert not worker.overloads
            assert worker.peak_runs == 2
            harness.resize_worker(0, 8)
            assert harness.submit(2, _job(2), {**step, "Count": 40}) == 200
            wait_for(lambda: worker.peak_runs == 8, "room is used")
            assert not worker.overloads
        finally:
            harness.close()

    def test_unreachable_store_makes_the_instance_refuse_jobs(
        self, harness: PlatformHarness
    ) -> None:
        harness.start_instance(2)
        wait_for(lambda: harness.is_ready(2), "instance is ready")
        harness.store.unavailable = True
        assert harness.submit(2, _job(1), *_STEPS) == 503
        wait_for(lambda: not harness.is_ready(2), "instance is not ready")
        harness.store.unavailable = False
        wait_for(lambda: harness.is_ready(2), "instance is ready again")
        assert harness.call(2, "GET", PREFIX + _job(1))[0] in (410, 503)
        assert harness.submit(2, _job(2), *_STEPS) == 200
        wait_for(lambda: harness.state(2, _job(2)) == "completed", "completed")
        assert not [n for n in _starts(harness) if n.startswith(_job(1))]
