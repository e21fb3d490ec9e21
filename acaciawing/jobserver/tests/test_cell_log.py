"""Tests of the topics that submissions are appended to."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from queue import SimpleQueue

from acaciawing.jobs import JobSubmitted, SubtaskDone, encode_record
from acaciawing.jobs.tests.builders import make_job
from acaciawing.jobserver.cell_log import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    CellReader,
    jobs_topic,
)
from acaciawing.jobserver.home_records import HOMES_TOPIC
from acaciawing.jobserver.messages import (
    CellKey,
    Message,
    RecordsCaughtUp,
    RecordsRead,
)
from standins.job_store import JobStore
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
