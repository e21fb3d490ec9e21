"""Tests of jobs whose queue has changed since it accepted them."""

import msgspec

from acaciawing.jobs import (
    CancelRequested,
    Cell,
    Configuration,
    EndedRow,
    EndKind,
    Job,
    JobSubmitted,
    LeaseBounds,
    Pool,
    Queue,
    Record,
    Resources,
    Step,
    SubmissionSource,
)
from acaciawing.jobs.progress import JobTable
from acaciawing.jobs.tests.builders import (
    LEASE_S,
    LONGEST_LEASE_S,
    QUEUE,
    SERVICE,
    CellHarness,
    make_job,
    make_worker,
)

_ACCEPTED_BY = Queue(QUEUE, "h", "/p/", SERVICE, max_attempts=1)
_MOVED = msgspec.structs.replace(_ACCEPTED_BY, service="routing")


def _make_job(accepted_by: Queue = _ACCEPTED_BY) -> Job:
    job = make_job("j", Step(1, Resources(1000)))
    return msgspec.structs.replace(job, accepted_by=accepted_by)


def _make_harness(configuration: Configuration) -> CellHarness:
    """Returns a cell that takes over with one job in its records."""
    harness = CellHarness()
    harness.cell = Cell(1, LeaseBounds(LEASE_S, LONGEST_LEASE_S))
    harness.cell.configure(configuration)
    harness.cell.confirm_holder(harness.now)
    harness.recover(JobSubmitted(_make_job(), 0))
    worker = make_worker("w0")
    harness.update_workers(worker)
    harness.report(worker, ())
    harness.settle()
    return harness


class TestAcceptingQueue:
    """Guards against jobs that wait for good at a cell's next holder."""

    def test_job_of_a_removed_queue_is_started(self) -> None:
        pools = {SERVICE: Pool(SERVICE)}
        harness = _make_harness(Configuration(2, {}, pools))
        assert len(harness.starts) == 1

    def test_job_of_a_moved_queue_is_started_at_its_service(self) -> None:
        pools = {name: Pool(name) for name in (SERVICE, "routing")}
        harness = _make_harness(Configuration(2, {QUEUE: _MOVED}, pools))
        assert len(harness.starts) == 1
        assert SERVICE in harness.cell.report(harness.now).pools

    def test_job_of_a_removed_queue_keeps_its_attempts(self) -> None:
        harness = _make_harness(Configuration(2, {}, {SERVICE: Pool(SERVICE)}))
        (start,) = harness.starts
        row = EndedRow(1, start.subtask, start.run, EndKind.FAILED, "")
        harness.report(make_worker("w0"), (), (row,))
        harness.settle()
        assert len(harness.starts) == 1
        assert harness.cell.state("j") == "failed"

    def test_settings_of_a_queue_that_stays_are_the_present_ones(self) -> None:
        queue = msgspec.structs.replace(_ACCEPTED_BY, max_attempts=2)
        pools = {SERVICE: Pool(SERVICE)}
        harness = _make_harness(Configuration(2, {QUEUE: queue}, pools))
        (start,) = harness.starts
        row = EndedRow(1, start.subtask, start.run, EndKind.FAILED, "")
        harness.report(make_worker("w0"), (), (row,))
        harness.settle()
        assert len(harness.starts) == 2


def _fold(*records: Record) -> JobTable:
    table = JobTable(lambda service: service == SERVICE)
    for record in records:
        table.apply(record)
    return table


class TestFirstSubmission:
    """Guards against a job that two cells run.

    A queue moves while a client repeats a submission without an answer.
    """

    def test_job_that_another_cell_has_first_is_not_run(self) -> None:
        table = _fold(
            JobSubmitted(_make_job(_MOVED), 5), JobSubmitted(_make_job(), 6)
        )
        assert not table.jobs

    def test_job_that_the_cell_has_first_is_run(self) -> None:
        table = _fold(
            JobSubmitted(_make_job(), 5), JobSubmitted(_make_job(_MOVED), 6)
        )
        assert list(table.jobs) == ["j"]
        assert not table.foreign

    def test_both_cells_decide_alike(self) -> None:
        records = (
            JobSubmitted(_make_job(_MOVED), 5),
            JobSubmitted(_make_job(), 6),
            CancelRequested("j", 7),
        )
        own, other = _fold(*records), JobTable(lambda name: name == "routing")
        for record in records:
            other.apply(record)
        assert not own.jobs
        assert other.jobs["j"].cancelled

    def test_cancellation_of_another_cells_job_is_not_kept(self) -> None:
        table = _fold(
            CancelRequested("j", 4),
            JobSubmitted(_make_job(_MOVED), 5),
            CancelRequested("j", 6),
            SubmissionSource(3),
        )
        assert not table.early_cancellations

    def test_jobs_of_other_cells_are_forgotten(self) -> None:
        table = _fold(JobSubmitted(_make_job(_MOVED), 5))
        table.forget_foreign(5)
        assert table.foreign
        table.forget_foreign(6)
        assert not table.foreign

    def test_job_without_its_queue_is_the_cells_own(self) -> None:
        table = _fold(JobSubmitted(make_job("j"), 5))
        assert list(table.jobs) == ["j"]
