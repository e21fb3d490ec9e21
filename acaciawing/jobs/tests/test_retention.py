"""Tests of what is kept ahead of the store's retention."""

from acaciawing.jobs import (
    Incarnation,
    JobCarried,
    JobSubmitted,
    JobTable,
    SubtaskDone,
    WorkerEngaged,
)
from acaciawing.jobs.retention import due_records, expired_jobs
from acaciawing.jobs.tests.builders import CellRig, a_job

_RETENTION_MS = 300_000


class TestRetention:
    """Guards against long jobs that are lost with their expired records."""

    def test_state_of_an_old_job_survives_its_first_records(self) -> None:
        table = JobTable()
        table.apply(JobSubmitted(a_job("j"), 0))
        table.apply(SubtaskDone("j.0.0.0", 100_001))
        table.apply(WorkerEngaged("w", 1, "192.0.2.1:80", 0))
        assert not list(due_records(table, _RETENTION_MS, 100_000))
        due = list(due_records(table, _RETENTION_MS, 130_000))
        later = JobTable()
        for record in due:
            later.apply(record)
        assert later.jobs["j"].state == "completed"
        assert Incarnation("w", 1) in later.engaged
        for record in due:
            table.apply(record)
        assert not list(due_records(table, _RETENTION_MS, 131_000))

    def test_cancel_that_is_read_before_the_carried_job_holds(self) -> None:
        table = JobTable()
        table.cancelled_early.add("j")
        table.apply(JobCarried(a_job("j"), 0, (), {}, False, False, 5))
        assert table.jobs["j"].state == "cancelled"

    def test_finished_jobs_are_dropped_after_their_time(self) -> None:
        rig = CellRig()
        rig.recover(
            JobSubmitted(a_job("j"), 0), SubtaskDone("j.0.0.0", 100_001)
        )
        rig.cell.tick(rig.now, 1_000)
        rig.cell.table.jobs["j"].finished_at_ms = 1_000
        assert not expired_jobs(rig.cell.table, 120_000, 121_000)
        rig.cell.tick(rig.now, 121_001)
        rig.cell.retain(_RETENTION_MS, 120_000)
        assert rig.cell.state("j") is None
