"""Tasks that read and append the records of one cell."""

import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue

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
# a cell.
JOBS_TOPIC = "jobs"

# Progress recorded by a cell's holder; read only by the next holder.
PROGRESS_TOPIC = "progress"

# Producer name of a cell's holder; the producer epoch is the holder's fence.
_PRODUCER_NAME = "holder"

_MAX_BATCH_RECORDS = 500


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
        """Stores the arguments; `start` starts the thread."""
        self._key = key
        self._send = send
        self._store = Store(address)
        self._closed = threading.Event()
        self._wait_ms = 0

    def start(self) -> None:
        """Starts the thread."""
        start_task("cell reader", self._run)

    def close(self) -> None:
        """Stops the thread when its current call returns."""
        self._closed.set()

    def _run(self) -> None:
        if self._fence_earlier_holders():
            end = self._read_to_end(JOBS_TOPIC, 0)
            self._read_to_end(PROGRESS_TOPIC, 0)
            self._follow(end)

    def _read_to_end(self, topic: str, offset: int) -> int:
        """Reads a topic up to its end and returns the end offset."""
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            result = self._store.read(topic, self._key.partition, offset, 0)
            if isinstance(result, RecordBatch):
                self._send_records(result, topic, offset)
                offset = result.next_offset
                if offset >= result.end:
                    return offset
            elif isinstance(result, OffsetExpired):
                offset = max(offset + 1, result.first)
            else:
                self._closed.wait(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        return offset

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

    def _follow(self, offset: int) -> None:
        """Follows the jobs topic from the end offset of recovery."""
        while not self._closed.is_set():
            requested_at = steady_s()
            result = self._store.read(
                JOBS_TOPIC, self._key.partition, offset, self._wait_ms
            )
            if isinstance(result, RecordBatch):
                self._send_records(result, JOBS_TOPIC, offset)
                offset = result.next_offset
                if offset >= result.end:
                    self._send(RecordsCaughtUp(self._key, requested_at))
                    self._wait_ms = READ_WAIT_MS
            elif isinstance(result, OffsetExpired):
                offset = max(offset + 1, result.first)
            else:
                self._closed.wait(RETRY_PAUSE_S)

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
