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
    """Guards against two readers of the same records that disagree."""

    @_FUZZ
    @given(st.lists(_RECORDS, max_size=25))
    def test_repeated_records_change_nothing(
        self, records: list[Record]
    ) -> None:
        # A lost answer makes its writer append a record again, right after.
        doubled = [r for record in records for r in (record, record)]
        assert _fold(doubled) == _fold(records)

    @_FUZZ
    @given(st.lists(_RECORDS, max_size=25))
    def test_late_repeats_undo_no_end(self, records: list[Record]) -> None:
        before = _fold(records)
        after = _fold([*records, *records])
        for job, (state, done) in before.items():
            assert set(done) <= set(after[job][1])
            if state in ("completed", "cancelled", "failed"):
                assert after[job][0] in (state, "completed")

    @_FUZZ
    @given(st.lists(_RECORDS, max_size=25))
    def test_carried_state_stands_for_all_records(
        self, records: list[Record]
    ) -> None:
        table = JobTable()
        for record in records:
            table.apply(record)
        later = JobTable()
        for progress in table.jobs.values():
            later.apply(summarize_job(progress, 0))
        for job, progress in table.jobs.items():
            again = later.jobs[job]
            assert again.state == progress.state
            assert summarize_job(again, 0) == summarize_job(progress, 0)

    @_FUZZ
    @given(_RECORDS)
    def test_records_survive_their_encoding(self, record: Record) -> None:
        assert decode_record(encode_record(record)) == record

    @_FUZZ
    @given(st.binary(max_size=40))
    def test_other_bytes_are_no_record(self, payload: bytes) -> None:
        decode_record(payload)
