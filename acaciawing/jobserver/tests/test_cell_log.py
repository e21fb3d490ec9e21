"""Tests of the topics that submissions are appended to."""

import random
import threading
from collections import Counter, defaultdict
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobs import (
    Job,
    JobSubmitted,
    JobSummary,
    Record,
    SaveRecord,
    Step,
    SubtaskDone,
    decode_record,
    encode_record,
)
from acaciawing.jobs.limits import JOB_CONFIRMATION_VALIDITY_S
from acaciawing.jobs.tests.builders import QUEUE, make_job
from acaciawing.jobserver import cell_log
from acaciawing.jobserver.cell_log import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    CellReader,
    CellWriter,
    jobs_topic,
)
from acaciawing.jobserver.home_records import HOMES_TOPIC
from acaciawing.jobserver.limits import TAKEOVER_READ_WAIT_MS
from acaciawing.jobserver.messages import (
    CellKey,
    Message,
    RecordsCaughtUp,
    RecordsRead,
    RecordsSaved,
)
from acaciawing.platform.store import RecordBatch, Store, StoreLimits
from standins.job_store import CALL_BYTES, RECORD_BYTES, JobStore
from standins.server import serving

# Duration of an append at a slow store, which makes the appends to a partition
# one at a time, in seconds.
_SLOW_APPEND_S = 0.124

# Submissions of one queue a second when it is its turn on the large deployment.
_PEAK_RATE = 50

# After this time without an answer a submission is undecided, in seconds.
_TIMEOUT_S = 1.0


def _waits_s(topic_of: Callable[[str], str]) -> list[float]:
    """Plays a peak of 5 s; returns how long each client waits for its ack."""
    rng = random.Random(7)
    free_at: dict[str, float] = defaultdict(float)
    waits = []
    now = 0.0
    while now < 5.0:
        now += rng.expovariate(_PEAK_RATE)
        topic = topic_of(f"{rng.getrandbits(64):016x}")
        free_at[topic] = max(now, free_at[topic]) + _SLOW_APPEND_S
        waits.append(free_at[topic] - now)
    return waits


class TestRecovery:
    """Guards against a takeover that a slow store makes long or wrong."""

    def test_progress_is_delivered_after_all_submissions(self) -> None:
        store = JobStore()
        job = make_job("00000000000000a1")
        submitted = JobSubmitted(job, 0)
        done = SubtaskDone("00000000000000a1.0.0.0", 1)
        store.append(PROGRESS_TOPIC, 3, [encode_record(done)])
        store.append(jobs_topic(job.id), 3, [encode_record(submitted)])
        received: SimpleQueue[Message] = SimpleQueue()
        with serving(store.handle, threads=12) as address:
            reader = CellReader(
                CellKey(3, 7), address, received.put, lambda _: True
            )
            reader.start()
            messages = [received.get(timeout=10) for _ in range(3)]
            reader.close()
        read = [m.records for m in messages if isinstance(m, RecordsRead)]
        assert read == [(submitted,), (done,)]
        assert isinstance(messages[2], RecordsCaughtUp)
        # Everything is read once after the fence; the rest follows new records.
        assert store.calls[0] == f"/v1/log-append {PROGRESS_TOPIC}"
        assert sorted(store.calls[1:11]) == sorted(
            {f"/v1/log-read {PROGRESS_TOPIC}", f"/v1/log-newest {HOMES_TOPIC}"}
            | {f"/v1/log-read {jobs_topic(f'{n:016x}')}" for n in range(99)}
        )


class TestRecordSizes:
    """Guards against records that the store refuses for their size, for good.

    Jobs that were due to be written again were put into one append larger than
    the store accepts. It was repeated unchanged, and the cell's records expired.
    """

    _limits = StoreLimits(RECORD_BYTES, CALL_BYTES)

    def _summary(self, number: int, payload_bytes: int) -> JobSummary:
        job = Job(f"{number:016x}", QUEUE, "x" * payload_bytes, (Step(2),))
        return JobSummary(job, 0, (), {}, False, False, 1)

    def _save(
        self, records: list[Record], limits: StoreLimits
    ) -> tuple[list[Record | None], list[dict[str, object]]]:
        """Saves records; returns those that are stored, and all findings."""
        store = JobStore()
        findings: list[dict[str, object]] = []
        reported = threading.Event()

        def log(_: object, values: dict[str, object]) -> None:
            findings.append(values)
            reported.set()

        saved: SimpleQueue[Message] = SimpleQueue()
        with (
            pytest.MonkeyPatch.context() as patch,
            serving(store.handle) as address,
        ):
            patch.setattr(cell_log, "log_event", log)
            writer = CellWriter(CellKey(3, 7), address, limits, saved.put)
            for number, record in enumerate(records, 1):
                writer.save(SaveRecord(number, record))
            writer.start()
            if limits is self._limits:
                last = RecordsSaved(CellKey(3, 7), len(records))
                while saved.get(timeout=10) != last:
                    pass
            else:
                assert reported.wait(10)
            writer.close()
            batch = Store(address).read(PROGRESS_TOPIC, 3, 0, 0)
        assert isinstance(batch, RecordBatch)
        return [decode_record(r) for r in batch.records], findings

    def test_records_larger_than_a_call_are_stored_in_several(self) -> None:
        records: list[Record] = [self._summary(n, 4_500) for n in range(800)]
        assert sum(len(encode_record(r)) for r in records[:500]) > CALL_BYTES
        stored, findings = self._save(records, self._limits)
        assert stored == records
        assert not findings

    @settings(max_examples=10, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.sampled_from((1, 4_000, 100_000, 131_000, 262_000)), max_size=30
        )
    )
    def test_records_of_any_size_are_stored_in_order(
        self, sizes: list[int]
    ) -> None:
        records: list[Record] = [
            *(self._summary(n, size) for n, size in enumerate(sizes)),
            SubtaskDone("j.0.0.0", 1),
        ]
        stored, findings = self._save(records, self._limits)
        assert stored == records
        assert not findings

    def test_a_record_that_the_store_can_not_take_holds_up_no_other(
        self,
    ) -> None:
        done = SubtaskDone("j.0.0.0", 1)
        records: list[Record] = [done, self._summary(1, RECORD_BYTES), done]
        stored, findings = self._save(records, self._limits)
        assert stored == [done, done]
        assert [f["place"] for f in findings] == [f"{PROGRESS_TOPIC}/3"]
        assert "JobSummary" in str(findings[0]["fault"])

    def test_an_append_that_is_refused_for_its_size_is_reported(self) -> None:
        # The settings promise more than the store takes.
        promised = StoreLimits(2 * RECORD_BYTES, CALL_BYTES)
        stored, findings = self._save(
            [self._summary(1, RECORD_BYTES)], promised
        )
        assert not stored
        assert "413" in str(findings[0]["fault"])
        assert len(findings) == 1


class TestFollowing:
    """Guards against jobs that a new holder holds back for long."""

    def test_all_records_of_a_takeover_are_soon_known_to_be_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = [100.0]
        received: list[Message] = []
        reader = CellReader(
            CellKey(3, 7), "store:1", received.append, lambda _: True
        )

        class _IdleStore:
            def __init__(self, _: str) -> None:
                pass

            def read(self, *args: Any) -> RecordBatch:
                clock[0] += args[3] / 1000
                if clock[0] > 105.0:
                    reader.close()
                return RecordBatch((), 0, 0)

        monkeypatch.setattr(cell_log, "Store", _IdleStore)
        monkeypatch.setattr(cell_log, "steady_s", lambda: clock[0])
        reader._follow(cell_log._Lane(JOBS_TOPIC, 3), 0)
        caught_up = [
            m.requested_at for m in received if isinstance(m, RecordsCaughtUp)
        ]
        known = next(
            at + TAKEOVER_READ_WAIT_MS / 1000
            for at in caught_up
            if at >= 100.0 + JOB_CONFIRMATION_VALIDITY_S
        )
        assert known <= 100.0 + JOB_CONFIRMATION_VALIDITY_S + 0.2
        # The store is read less often afterwards.
        assert len(caught_up) < 20


class TestJobsTopic:
    """Guards against submissions that queue up in one slow partition."""

    def test_peak_at_a_slow_store_is_acknowledged_in_time(self) -> None:
        waits = _waits_s(jobs_topic)
        in_time = sum(wait < _TIMEOUT_S for wait in waits)
        assert in_time >= 0.95 * len(waits)

    def test_one_topic_would_leave_most_clients_without_an_answer(self) -> None:
        waits = _waits_s(lambda job: JOBS_TOPIC)
        in_time = sum(wait < _TIMEOUT_S for wait in waits)
        assert in_time < 0.5 * len(waits)

    def test_jobs_are_spread_evenly(self) -> None:
        topics = Counter(jobs_topic(f"{n:016x}") for n in range(800))
        assert max(topics.values()) < 1.5 * min(topics.values())
