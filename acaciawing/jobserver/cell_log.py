"""Tasks that read and append the records of one cell."""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from queue import Empty, SimpleQueue
from typing import NamedTuple

from xxhash import xxh32_intdigest

from acaciawing.jobs import (
    CancelRequested,
    JobSubmitted,
    Record,
    SaveRecord,
    SubmissionSource,
    decode_record,
    encode_record,
)
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.home_records import HOMES_TOPIC, decode_homes
from acaciawing.jobserver.limits import (
    MAX_RETRY_PAUSE_S,
    READ_WAIT_MS,
    RETRY_PAUSE_S,
    TAKEOVER_READ_WAIT_MS,
    TAKEOVER_READS_S,
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
    RECORD_LENGTH_BYTES,
    NewestRecords,
    NotStored,
    OffsetExpired,
    OutOfSequence,
    Producer,
    RecordBatch,
    Store,
    Stored,
    StoreLimits,
    Superseded,
)
from acaciawing.telemetry import Event, log_event

# Job submissions and cancellations, appended by any instance. Each partition is
# a cell, and has the submissions of the queues whose home it is. The store
# appends to a partition one call at a time, and a slow one takes 0.12 s for each,
# so the jobs of a cell are spread over several topics.
JOBS_TOPIC = "jobs"
_JOBS_TOPICS = (JOBS_TOPIC, *(f"{JOBS_TOPIC}.{lane}" for lane in range(1, 8)))

# Progress recorded by a cell's holder; read only by the next holder.
PROGRESS_TOPIC = "progress"

# Producer name of a cell's holder; the producer epoch is the holder's fence.
_PRODUCER_NAME = "holder"

# Largest append of a holder. One of 256 KiB takes 0.42 s over a link of 5 Mbit/s,
# the narrowest of a machine; a call that takes longer than 1 s is repeated.
_MAX_BATCH_RECORDS = 500
_MAX_BATCH_BYTES = 262_144


def jobs_topic(job: str) -> str:
    """Returns the topic for all submissions and cancellations of a job.

    >>> jobs_topic("5c0e7a21d94b36f8") == jobs_topic("5c0e7a21d94b36f8")
    True
    """
    return _JOBS_TOPICS[xxh32_intdigest(job.encode()) % len(_JOBS_TOPICS)]


class _Lane(NamedTuple):
    """A partition of one of the topics for jobs."""

    topic: str
    partition: int


class CellReader:
    """Fences earlier holders, reads all records and then follows new ones.

    Jobs of the cell may also be submitted to partitions of other cells. These
    are read as well once a `SubmissionSource` names them.

    Args:
        key: The cell.
        address: ``ip:port`` of the store.
        send: Adds a message to the engine's inbox.
        is_own: Returns whether the cell runs the jobs of a service.
    """

    def __init__(
        self,
        key: CellKey,
        address: str,
        send: Callable[[Message], None],
        is_own: Callable[[str], bool],
    ) -> None:
        """Stores the arguments; `start` starts the threads."""
        self._key = key
        self._address = address
        self._send = send
        self._is_own = is_own
        self._store = Store(address)
        self._closed = threading.Event()
        self._lock = threading.Lock()
        # When the newest read that reached a lane's end was requested.
        self._caught_up_at: dict[_Lane, float] = {}

    def start(self) -> None:
        """Starts the recovery; it starts a thread for each lane."""
        start_task("cell reader", self._run)

    def close(self) -> None:
        """Stops the threads when their current calls return."""
        self._closed.set()

    def _run(self) -> None:
        if not self._fence_earlier_holders():
            return
        requested_at = steady_s()
        own_lanes = _lanes(self._key.partition)
        progress_lane = _Lane(PROGRESS_TOPIC, self._key.partition)
        with ThreadPoolExecutor(len(_JOBS_TOPICS) + 2) as executor:
            progress = executor.submit(self._read_to_end, progress_lane)
            homes = executor.submit(self._read_sources)
            jobs = list(executor.map(self._read_to_end, own_lanes))
            sources = homes.result()
            sources |= _sources(record for read, _ in jobs for record in read)
            other_lanes = [
                lane
                for partition in sorted(sources - {self._key.partition})
                for lane in _lanes(partition)
            ]
            jobs += executor.map(self._read_to_end, other_lanes)
        # Progress of a job is folded only after its submission.
        for submitted, _ in jobs:
            self._send_records(submitted)
        self._send_records(progress.result()[0])
        lanes = [*own_lanes, *other_lanes]
        self._caught_up_at = dict.fromkeys(lanes, requested_at)
        if not self._closed.is_set():
            self._send(RecordsCaughtUp(self._key, requested_at))
        for lane, (_, end) in zip(lanes, jobs, strict=True):
            self._start_following(lane, end)

    def _read_to_end(self, lane: _Lane) -> tuple[list[Record], int]:
        """Reads a lane from its start; returns its records and its end."""
        store = Store(self._address)
        records: list[Record] = []
        offset = 0
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            result = store.read(lane.topic, lane.partition, offset, 0)
            if isinstance(result, RecordBatch):
                records += self._decode(result, lane, offset)
                offset = result.next_offset
                if offset >= result.end:
                    break
            elif isinstance(result, OffsetExpired):
                offset = max(offset + 1, result.first)
            else:
                self._closed.wait(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        return records, offset

    def _read_sources(self) -> set[int]:
        """Returns the partitions that may have submissions for the cell."""
        store = Store(self._address)
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            result = store.newest(HOMES_TOPIC)
            if isinstance(result, NewestRecords):
                return {
                    home.partition
                    for home in decode_homes(result.records).values()
                    if any(map(self._is_own, home.services))
                }
            self._closed.wait(pause)
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        return set()

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

    def _start_following(self, lane: _Lane, offset: int) -> None:
        start_task(f"{lane.topic} reader", partial(self._follow, lane, offset))

    def _follow(self, lane: _Lane, offset: int) -> None:
        """Follows a lane from an offset on."""
        store = Store(self._address)
        followed_since = steady_s()
        while not self._closed.is_set():
            requested_at = steady_s()
            wait_ms = (
                TAKEOVER_READ_WAIT_MS
                if requested_at - followed_since < TAKEOVER_READS_S
                else READ_WAIT_MS
            )
            result = store.read(lane.topic, lane.partition, offset, wait_ms)
            if isinstance(result, RecordBatch):
                records = self._decode(result, lane, offset)
                self._send_records(records)
                for partition in sorted(_sources(records)):
                    self._add_source(partition, requested_at)
                offset = result.next_offset
                if offset >= result.end:
                    self._report_caught_up(lane, requested_at)
            elif isinstance(result, OffsetExpired):
                offset = max(offset + 1, result.first)
            else:
                self._closed.wait(RETRY_PAUSE_S)

    def _add_source(self, partition: int, requested_at: float) -> None:
        """Follows a partition of another cell from its start."""
        with self._lock:
            lanes = [
                lane
                for lane in _lanes(partition)
                if lane not in self._caught_up_at
            ]
            self._caught_up_at.update(dict.fromkeys(lanes, requested_at))
        for lane in lanes:
            self._start_following(lane, 0)

    def _report_caught_up(self, lane: _Lane, requested_at: float) -> None:
        """Reports the time up to which the records of all lanes were read."""
        with self._lock:
            self._caught_up_at[lane] = requested_at
            oldest = min(self._caught_up_at.values())
            self._send(RecordsCaughtUp(self._key, oldest))

    def _send_records(self, records: list[Record]) -> None:
        if records:
            self._send(RecordsRead(self._key, tuple(records)))

    def _decode(
        self, read: RecordBatch, lane: _Lane, offset: int
    ) -> list[Record]:
        """Decodes the records that matter to the cell."""
        records = []
        for record_offset, payload in enumerate(read.records, offset):
            record = decode_record(payload)
            if record is None:
                log_event(
                    Event.FINDING,
                    {
                        "place": f"{lane.topic}/{lane.partition}/{record_offset}",
                        "fault": "unknown record type",
                    },
                )
            elif lane.partition == self._key.partition or _may_be_elsewhere(
                record
            ):
                records.append(record)
        return records


def _lanes(partition: int) -> list[_Lane]:
    return [_Lane(topic, partition) for topic in _JOBS_TOPICS]


def _sources(records: Iterable[Record]) -> set[int]:
    """Returns the partitions that records name as sources of submissions."""
    return {r.partition for r in records if isinstance(r, SubmissionSource)}


def _may_be_elsewhere(record: Record) -> bool:
    """Whether a record may be meant for another cell than its partition's."""
    if isinstance(record, JobSubmitted):
        return record.job.accepted_by is not None
    return isinstance(record, CancelRequested)


class _EncodedRecord(NamedTuple):
    """A record with its number; without a payload if it is left out."""

    number: int
    payload: bytes


class CellWriter:
    """Appends the holder's records in order and in batches.

    A record that is larger than the store accepts is left out, so that the
    other records of the cell are stored. Only the summary of a job can be: the
    job was accepted by a version that did not limit its size.

    Args:
        key: The cell.
        address: ``ip:port`` of the store.
        limits: How much the store accepts.
        send: Adds a message to the engine's inbox.
    """

    def __init__(
        self,
        key: CellKey,
        address: str,
        limits: StoreLimits,
        send: Callable[[Message], None],
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._key = key
        self._send = send
        self._store = Store(address)
        self._max_record_bytes = limits.record_bytes
        self._max_batch_bytes = min(limits.call_bytes, _MAX_BATCH_BYTES)
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
        first: _EncodedRecord | None = None
        while not self._closed.is_set():
            if first is None:
                action = self._queue.get()
                if action is None:
                    return
                first = self._encode(action)
            batch, first = self._take_batch(first)
            payloads = [record.payload for record in batch if record.payload]
            if payloads and not self._append(payloads):
                return
            self._send(RecordsSaved(self._key, batch[-1].number))

    def _take_batch(
        self, first: _EncodedRecord
    ) -> tuple[list[_EncodedRecord], _EncodedRecord | None]:
        """Takes records from the queue as long as they fit into one append.

        Returns:
            The batch, which begins with `first`, and the record after it if one
            was taken that does not fit.
        """
        batch, size = [first], _size_of(first)
        while len(batch) < _MAX_BATCH_RECORDS:
            try:
                action = self._queue.get_nowait()
            except Empty:
                break
            if action is None:
                # The writer was closed; the append is not begun.
                break
            record = self._encode(action)
            size += _size_of(record)
            if size > self._max_batch_bytes:
                return batch, record
            batch.append(record)
        return batch, None

    def _encode(self, action: SaveRecord) -> _EncodedRecord:
        payload = encode_record(action.record)
        if len(payload) > self._max_record_bytes:
            self._log_finding(
                f"{type(action.record).__name__} of {len(payload)} bytes is "
                f"left out, at most {self._max_record_bytes}: {payload[:80]!r}"
            )
            payload = b""
        return _EncodedRecord(action.number, payload)

    def _log_finding(self, fault: str) -> None:
        place = f"{PROGRESS_TOPIC}/{self._key.partition}"
        log_event(Event.FINDING, {"place": place, "fault": fault})

    def _append(self, payloads: list[bytes]) -> bool:
        """Appends records, retrying until the store accepts or fences them.

        Returns:
            False if a later holder has fenced this one, or after `close`.
        """
        pause = RETRY_PAUSE_S
        reported = False
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
            if isinstance(result, NotStored) and result.invalid:
                if not reported:
                    self._log_finding(
                        f"{len(payloads)} records of {sum(map(len, payloads))} "
                        f"bytes are refused: {result.detail}"
                    )
                reported = True
            self._closed.wait(pause)
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        return False


def _size_of(record: _EncodedRecord) -> int:
    """Returns the bytes that a record adds to an append."""
    return RECORD_LENGTH_BYTES + len(record.payload)
