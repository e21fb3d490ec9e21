"""Tests of subtasks that crash the workers that start them."""

from acaciawing.jobs import Job, Resources, Step, SubtaskId
from acaciawing.jobs.tests.builders import make_job
from acaciawing.jobs.tests.crash_emulator import CrashEmulator

# Starts of a subtask that are allowed after it has crashed three workers.
MAX_LATE_STARTS = 2


def _is_first_of_deadly_job(subtask: SubtaskId) -> bool:
    return subtask.job.startswith("deadly") and subtask.index == 0


def _make_jobs(prefix: str, count: int, **options: bool) -> list[Job]:
    step = Step(6, Resources(1800), estimated_ms=700, **options)  # type: ignore[arg-type]
    return [make_job(f"{prefix}{n}", step) for n in range(count)]


class TestDeadlySubtasks:
    """Guards against one subtask that crashes worker after worker."""

    def test_subtask_that_crashes_its_workers_is_given_up(self) -> None:
        emulator = CrashEmulator(deadly=_is_first_of_deadly_job)
        sound = _make_jobs("sound", 6)
        emulator.submit(*sound, *_make_jobs("deadly", 1))
        emulator.run(20.0)
        deadly = SubtaskId("deadly0", 0, 0, 0)
        assert emulator.crashes[deadly] >= 2
        assert emulator.late_starts[deadly] <= MAX_LATE_STARTS
        assert emulator.harness.cell.state("deadly0") == "failed"
        for job in sound:
            assert emulator.harness.cell.state(job.id) == "completed"
