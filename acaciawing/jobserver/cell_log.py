"""Tasks that read and append the records of one cell."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from queue import Empty, SimpleQueue

from xxhash import xxh32_intdigest

from acaciawing.jobs import SaveRecord, decode_record, encode_record
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import (
    MAX_RETRY_PAUSE_S,
    READ_WAIT_MS,
    RETRY_PAUSE_S,
)
from acaciawing.jobserver.messages import (
    CellFenced,
    CellKey,
    Message,
    RecordsCaughtUp,
    RecordsRead,
    RecordsSaved,
)
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.store import (
    OffsetExpired,
    OutOfSequence,
    Producer,
    RecordBatch,
    Store,
    Stored,
    Superseded,
)
from acaciawing.telemetry import Event, log_event

# Job submissions and cancellations, appended by any instance. Each partition is
# a cell. The store appends to a partition one call at a time, and a slow one
# takes 0.12 s for each, so the jobs of a cell are spread over several topics.
JOBS_TOPIC = "jobs"
_JOBS_TOPICS = (JOBS_TOPIC, *(f"{JOBS_TOPIC}.{lane}" for lane in range(1, 8)))

# Progress recorded by a cell's holder; read only by the next holder.
PROGRESS_TOPIC = "progress"

# Producer name of a cell's holder; the producer epoch is the holder's fence.
_PRODUCER_NAME = "holder"

_MAX_BATCH_RECORDS = 500


def jobs_topic(job: str) -> str:
    """Returns the topic for all submissions and cancellations of a job.

    >>> jobs_topic("5c0e7a21d94b36f8") == jobs_topic("5c0e7a21d94b36f8")
    True
    """
    return _JOBS_TOPICS[xxh32_intdigest(job.encode()) % len(_JOBS_TOPICS)]


class CellReader:
    """Fences earlier holders, reads all records and then follows new ones.

    Args:
        key: The cell.
        address: ``ip:port`` of the store.
        send: Adds a message to the engine's inbox.
    """

    def __init__(
        self, key: CellKey, address: str, send: Callable[[Message], None]
    ) -> None:
        """Stores the arguments; `start` starts the threads."""
        self._key = key
        self._address = address
        self._send = send
        self._store = Store(address)
        self._closed = threading.Event()
        self._lock = threading.Lock()
        # When the newest read that reached a topic's end was requested.
        self._caught_up_at: dict[str, float] = {}

    def start(self) -> None:
        """Starts the recovery; it starts a thread for each topic of jobs."""
        start_task("cell reader", self._run)

    def close(self) -> None:
        """Stops the threads when their current calls return."""
        self._closed.set()

    def _run(self) -> None:
        if not self._fence_earlier_holders():
            return
        requested_at = steady_s()
        with ThreadPoolExecutor(len(_JOBS_TOPICS) + 1) as executor:
            progress = executor.submit(self._read_to_end, PROGRESS_TOPIC)
            jobs = list(executor.map(self._read_to_end, _JOBS_TOPICS))
        # Progress of a job is folded only after its submission.
        for topic, (batches, _) in zip(_JOBS_TOPICS, jobs, strict=True):
            self._send_batches(topic, batches)
        self._send_batches(PROGRESS_TOPIC, progress.result()[0])
        self._caught_up_at = dict.fromkeys(_JOBS_TOPICS, requested_at)
        if not self._closed.is_set():
            self._send(RecordsCaughtUp(self._key, requested_at))
        for topic, (_, end) in zip(_JOBS_TOPICS, jobs, strict=True):
            start_task(f"{topic} reader", partial(self._follow, topic, end))

    def _read_to_end(self, topic: str) -> tuple[list[RecordBatch], int]:
        """Reads a topic from its start; returns its records and its end."""
        store = Store(self._address)
        batches: list[RecordBatch] = []
        offset = 0
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            result = store.read(topic, self._key.partition, offset, 0)
            if isinstance(result, RecordBatch):
                batches.append(result)
                offset = result.next_offset
                if offset >= result.end:
                    break
            elif isinstance(result, OffsetExpired):
                offset = max(offset + 1, result.first)
            else:
                self._closed.wait(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        return batches, offset

    def _send_batches(self, topic: str, batches: list[RecordBatch]) -> None:
        for batch in batches:
            first = batch.next_offset - len(batch.records)
            self._send_records(batch, topic, first)

    def _fence_earlier_holders(self) -> bool:
        """Makes the store reject appends of earlier holders.

        Returns:
            False if a later holder has fenced this one, or after `close`.
        """
        producer = Producer(_PRODUCER_NAME, self._key.fence, 0)
        while not self._closed.is_set():
            result = self._store.append(
                PROGRESS_TOPIC, self._key.partition, (), producer
            )
            if isinstance(result, Stored):
                return True
            if isinstance(result, Superseded):
                self._send(CellFenced(self._key))
                return False
            self._closed.wait(RETRY_PAUSE_S)
        return False

    def _follow(self, topic: str, offset: int) -> None:
        """Follows a topic of jobs from the end offset of recovery."""
        store = Store(self._address)
        while not self._closed.is_set():
            requested_at = steady_s()
            result = store.read(
                topic, self._key.partition, offset, READ_WAIT_MS
            )
            if isinstance(result, RecordBatch):
                self._send_records(result, topic, offset)
                offset = result.next_offset
                if offset >= result.end:
                    self._report_caught_up(topic, requested_at)
            elif isinstance(result, OffsetExpired):
                offset = max(offset + 1, result.first)
            else:
                self._closed.wait(RETRY_PAUSE_S)

    def _report_caught_up(self, topic: str, requested_at: float) -> None:
        """Reports the time up to which the records of all topics were read."""
        with self._lock:
            self._caught_up_at[topic] = requested_at
            oldest = min(self._caught_up_at.values())
            self._send(RecordsCaughtUp(self._key, oldest))

    def _send_records(self, read: RecordBatch, topic: str, offset: int) -> None:
        records = []
        for record_offset, payload in enumerate(read.records, offset):
            record = decode_record(payload)
            if record is None:
                log_event(
                    Event.FINDING,
                    {
                        "place": f"{topic}/{self._key.partition}/{record_offset}",
                        "fault": "unknown record type",
                    },
                )
                continue
            records.append(record)
        if records:
            self._send(RecordsRead(self._key, tuple(records)))


class CellWriter:
    """Appends the holder's records in order and in batches.

    Args:
        key: The cell.
        address: ``ip:port`` of the store.
        send: Adds a message to the engine's inbox.
    """

    def __init__(
        self, key: CellKey, address: str, send: Callable[[Message], None]
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._key = key
        self._send = send
        self._store = Store(address)
        self._queue: SimpleQueue[SaveRecord | None] = SimpleQueue()
        self._closed = threading.Event()
        self._sequence = 1

    def start(self) -> None:
        """Starts the thread."""
        start_task("cell writer", self._run)

    def close(self) -> None:
        """Stops the thread; records still queued are not appended."""
        self._closed.set()
        self._queue.put(None)

    def save(self, action: SaveRecord) -> None:
        """Queues a record."""
        self._queue.put(action)

    def _run(self) -> None:
        while (first := self._queue.get()) is not None:
            batch = [first]
            while len(batch) < _MAX_BATCH_RECORDS:
                try:
                    following = self._queue.get_nowait()
                except Empty:
                    break
                if following is None:
                    return
                batch.append(following)
            if not self._append(batch):
                return
            self._send(RecordsSaved(self._key, batch[-1].number))

    def _append(self, batch: list[SaveRecord]) -> bool:
        """Appends a batch, retrying until the store accepts or fences it.

        Returns:
            False if a later holder has fenced this one, or after `close`.
        """
        payloads = [encode_record(action.record) for action in batch]
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            producer = Producer(_PRODUCER_NAME, self._key.fence, self._sequence)
            result = self._store.append(
                PROGRESS_TOPIC, self._key.partition, payloads, producer
            )
            if isinstance(result, Stored):
                self._sequence += 1
                return True
            if isinstance(result, Superseded):
                self._send(CellFenced(self._key))
                return False
            if isinstance(result, OutOfSequence):
                self._sequence = result.expected
                continue
            self._closed.wait(pause)
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        return False
