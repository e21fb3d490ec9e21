"""Fuzzing of the fold of a cell's records."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobs import (
    CancelRequested,
    JobFailed,
    JobSubmitted,
    JobTable,
    Record,
    Resources,
    RunFailed,
    Step,
    SubtaskDone,
    decode_record,
    encode_record,
    summarize_job,
)
from acaciawing.jobs.tests.builders import make_job

_JOBS = [
    make_job(f"j{n}", Step(2, Resources(100)), Step(1, depends_on=(0,)))
    for n in range(3)
]
_names = st.tuples(
    st.sampled_from(["j0", "j1", "j2", "other"]),
    st.integers(0, 1),
    st.integers(0, 2),
    st.integers(0, 2),
).map(lambda p: ".".join(str(part) for part in p))
_RECORDS: st.SearchStrategy[Record] = st.one_of(
    st.sampled_from(_JOBS).map(lambda job: JobSubmitted(job, 0)),
    st.sampled_from(["j0", "j1", "j2"]).map(lambda j: CancelRequested(j, 1)),
    st.builds(SubtaskDone, _names, st.integers(1, 9)),
    st.builds(RunFailed, _names, st.integers(1, 9)),
    st.sampled_from(["j0", "j1"]).map(JobFailed),
)
_FUZZ = settings(max_examples=200, derandomize=True, deadline=None)


def _fold(records: list[Record]) -> dict[str, tuple[str, tuple[str, ...]]]:
    table = JobTable()
    for record in records:
        table.apply(record)
    return {
        job: (progress.state, summarize_job(progress, 0).done)
        for job, progress in table.jobs.items()
    }


class TestFold:
    """Guards against two readers that disagree on the same records."""

    @_FUZZ
    @given(st.lists(_RECORDS, max_size=25))
    def test_repeated_records_change_nothing(
        self, records: list[Record]
    ) -> None:
        # A writer that gets no answer appends the same record again.
        doubled = [r for record in records for r in (record, record)]
        assert _fold(doubled) == _fold(records)

    @_FUZZ
    @given(st.lists(_RECORDS, max_size=25))
    def test_late_repeats_keep_the_final_state(
        self, records: list[Record]
    ) -> None:
        before = _fold(records)
        after = _fold([*records, *records])
        for job, (state, done) in before.items():
            assert set(done) <= set(after[job][1])
            if state in ("completed", "cancelled", "failed"):
                assert after[job][0] in (state, "completed")

    @_FUZZ
    @given(st.lists(_RECORDS, max_size=25))
    def test_summary_replaces_all_records_of_a_job(
        self, records: list[Record]
    ) -> None:
        table = JobTable()
        for record in records:
            table.apply(record)
        later = JobTable()
        for progress in table.jobs.values():
            later.apply(summarize_job(progress, 0))
        for job, progress in table.jobs.items():
            replayed = later.jobs[job]
            assert replayed.state == progress.state
            assert summarize_job(replayed, 0) == summarize_job(progress, 0)

    @_FUZZ
    @given(_RECORDS)
    def test_records_decode_to_what_was_encoded(self, record: Record) -> None:
        assert decode_record(encode_record(record)) == record

    @_FUZZ
    @given(st.binary(max_size=40))
    def test_arbitrary_bytes_do_not_raise(self, payload: bytes) -> None:
        decode_record(payload)
