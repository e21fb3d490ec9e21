"""Tests of rewriting records before the store deletes them."""

from acaciawing.jobs import (
    Incarnation,
    JobSubmitted,
    JobSummary,
    JobTable,
    SubtaskDone,
    WorkerEngaged,
)
from acaciawing.jobs.retention import expired_jobs, records_to_rewrite
from acaciawing.jobs.tests.builders import CellHarness, make_job

_RETENTION_MS = 300_000


class TestRetention:
    """Guards against losing long jobs when their records expire."""

    def test_job_state_outlives_its_first_records(self) -> None:
        table = JobTable()
        table.apply(JobSubmitted(make_job("j"), 0))
        table.apply(SubtaskDone("j.0.0.0", 100_001))
        table.apply(WorkerEngaged("w", 1, "192.0.2.1:80", 0))
        assert not list(records_to_rewrite(table, _RETENTION_MS, 100_000))
        expiring = list(records_to_rewrite(table, _RETENTION_MS, 130_000))
        later = JobTable()
        for record in expiring:
            later.apply(record)
        assert later.jobs["j"].state == "completed"
        assert Incarnation("w", 1) in later.engaged
        for record in expiring:
            table.apply(record)
        assert not list(records_to_rewrite(table, _RETENTION_MS, 131_000))

    def test_cancellation_read_before_the_job_summary_is_applied(self) -> None:
        table = JobTable()
        table.early_cancellations.add("j")
        table.apply(JobSummary(make_job("j"), 0, (), {}, False, False, 5))
        assert table.jobs["j"].state == "cancelled"

    def test_finished_jobs_are_dropped_after_their_retention(self) -> None:
        harness = CellHarness()
        harness.recover(
            JobSubmitted(make_job("j"), 0), SubtaskDone("j.0.0.0", 100_001)
        )
        harness.cell.tick(harness.now, 1_000)
        harness.cell.table.jobs["j"].finished_at_ms = 1_000
        assert not expired_jobs(harness.cell.table, 120_000, 121_000)
        harness.cell.tick(harness.now, 121_001)
        harness.cell.retain(_RETENTION_MS, 120_000)
        assert harness.cell.state("j") is None
