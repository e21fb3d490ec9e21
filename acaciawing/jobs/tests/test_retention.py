"""Tests of rewriting records before the store deletes them."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobs import (
    Incarnation,
    Job,
    JobSubmitted,
    JobSummary,
    JobTable,
    Record,
    Resources,
    RunFailed,
    Step,
    SubtaskDone,
    SubtaskId,
    WorkerEngaged,
    encode_record,
    summarize_job,
)
from acaciawing.jobs.progress import JobProgress
from acaciawing.jobs.retention import (
    check_interval_ms,
    expired_jobs,
    max_submission_bytes,
    records_to_rewrite,
)
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


class TestOutage:
    """Guards against records that expire while there is no holder."""

    _step_ms = 50
    # All job servers are lost for 9.5 s, start within 1.5 s and hold the cell
    # after two more changes of the group.
    _outage_ms = 12_500

    def _oldest_at_any_time(self, retention_ms: int) -> int:
        """Returns the highest age of a record at which no holder replaced it."""
        table = JobTable()
        oldest = checked_ms = 0
        for now_ms in range(0, 4 * retention_ms, self._step_ms):
            if now_ms < 2 * retention_ms:
                table.apply(JobSubmitted(make_job(f"j{now_ms}"), now_ms))
            if now_ms - checked_ms >= check_interval_ms(retention_ms):
                checked_ms = now_ms
                for record in list(
                    records_to_rewrite(table, retention_ms, now_ms)
                ):
                    table.apply(record)
            oldest = max(
                oldest,
                *(now_ms - p.oldest_record_ms for p in table.jobs.values()),
                0,
            )
        return oldest

    def test_short_history_outlasts_the_loss_of_all_instances(self) -> None:
        # With 20 s of history jobs were lost after 10 s without job servers.
        assert self._oldest_at_any_time(20_000) + self._outage_ms < 20_000

    def test_half_of_any_history_may_pass_without_a_holder(self) -> None:
        for retention_ms in (5_000, 20_000, 40_000):
            assert self._oldest_at_any_time(retention_ms) < retention_ms // 2

    def test_long_history_costs_no_more_records(self) -> None:
        table = JobTable()
        table.apply(JobSubmitted(make_job("j"), 0))
        assert not list(records_to_rewrite(table, _RETENTION_MS, 120_000))
        assert list(records_to_rewrite(table, _RETENTION_MS, 120_001))
        assert check_interval_ms(_RETENTION_MS) == 2_000


class TestOrder:
    """Guards against records that expire behind others that have time."""

    def test_the_oldest_records_are_replaced_first(self) -> None:
        table = JobTable()
        for name, at_ms in (("b", 50), ("c", 90), ("a", 10), ("d", 70)):
            table.apply(JobSubmitted(make_job(name), at_ms))
        records = list(records_to_rewrite(table, _RETENTION_MS, 130_000))
        names = [r.job.id for r in records if isinstance(r, JobSummary)]
        assert names == ["a", "b", "d", "c"]

    def test_engaged_workers_do_not_wait_for_large_jobs(self) -> None:
        table = JobTable()
        table.apply(JobSubmitted(make_job("j"), 0))
        table.apply(WorkerEngaged("w", 1, "192.0.2.1:80", 10))
        first = next(records_to_rewrite(table, _RETENTION_MS, 130_000))
        assert isinstance(first, WorkerEngaged)


class TestLargeJobs:
    """Guards against a job whose summary is larger than the store accepts."""

    _max_record_bytes = 262_144

    def _fold(self, records: list[Record]) -> JobProgress:
        table = JobTable()
        for record in records:
            table.apply(record)
        return table.jobs["5c0e7a21d94b36f8"]

    def _rewrite(
        self, records: list[Record], max_record_bytes: int
    ) -> list[Record]:
        table = JobTable()
        for record in records:
            table.apply(record)
        return list(
            records_to_rewrite(table, _RETENTION_MS, 130_000, max_record_bytes)
        )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(st.integers(0, 49), st.booleans()), max_size=60),
        st.integers(300, 3_000),
    )
    def test_parts_of_a_summary_replace_all_records(
        self, ends: list[tuple[int, bool]], max_record_bytes: int
    ) -> None:
        job = make_job("5c0e7a21d94b36f8", Step(50, Resources(1000)))
        records: list[Record] = [JobSubmitted(job, 0)]
        for index, done in ends:
            name = str(SubtaskId(job.id, 0, 0, index))
            records.append(
                SubtaskDone(name, 1) if done else RunFailed(name, index)
            )
        parts = self._rewrite(records, max_record_bytes)
        expected = summarize_job(self._fold(records), 130_000)
        assert summarize_job(self._fold(parts), 130_000) == expected
        for part in parts:
            assert isinstance(part, JobSummary)
            few = len(part.done) + len(part.failed_runs) < 2
            assert few or len(encode_record(part)) <= max_record_bytes

    def test_every_record_of_the_largest_job_fits(self) -> None:
        count, payload = 30_000, "x" * 4_000
        step = Step(count, Resources(1000), image="i" * 200_000)
        job = Job("5c0e7a21d94b36f8", "q", payload, (step,))
        submitted = JobSubmitted(job, 0)
        size = len(encode_record(submitted))
        assert size < max_submission_bytes(self._max_record_bytes)
        ids = (str(SubtaskId(job.id, 0, 0, i)) for i in range(count))
        records: list[Record] = [submitted, *(SubtaskDone(i, 1) for i in ids)]
        parts = self._rewrite(records, self._max_record_bytes)
        assert max(len(encode_record(p)) for p in parts) <= (
            self._max_record_bytes
        )
        assert self._fold(parts).completed

    def test_some_parts_alone_do_not_pass_for_all(self) -> None:
        # The holder may end between the appends of two parts.
        job = make_job("5c0e7a21d94b36f8", Step(50, Resources(1000)))
        ids = [str(SubtaskId(job.id, 0, 0, i)) for i in range(40)]
        records: list[Record] = [JobSubmitted(job, 0)]
        records += [SubtaskDone(i, 1) for i in ids]
        parts = self._rewrite(records, 500)
        assert len(parts) > 2
        for stored in range(1, len(parts)):
            assert self._rewrite([*records, *parts[:stored]], 500) == parts
        assert not self._rewrite([*records, *parts], 500)
