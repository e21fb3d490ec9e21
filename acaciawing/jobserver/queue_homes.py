"""Homes of queues: the partitions that have the queues' submissions.

The cell that runs a job follows from its queue's service, and operators may
move a queue to another service. Jobs are submitted to the queue's home, which
never changes, so that a repeated submission and a cancellation are found beside
the first submission, whatever configuration is in force at the instance that
takes them.
"""

import threading
from collections.abc import Iterable

import msgspec

from acaciawing.jobs import Queue, SubmissionSource, encode_record
from acaciawing.jobserver.cell_log import JOBS_TOPIC
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.home_records import (
    HOMES_TOPIC,
    QueueHome,
    decode_homes,
    encode_home,
    home_key,
)
from acaciawing.jobserver.membership import StoreContact, cell_of
from acaciawing.platform.store import (
    EndMoved,
    KeyedRecord,
    MaybeStored,
    NewestRecords,
    OffsetExpired,
    Store,
    Stored,
    StoreUnavailable,
    parse_keyed_record,
)
from acaciawing.telemetry import Event, log_event

# Maximum wait for another thread that reads the homes.
_REFRESH_WAIT_S = 0.3


class QueueHomes:
    """Reads and assigns the homes of queues; may be used from any thread.

    Args:
        address: ``ip:port`` of the store.
        contact: Records whether the store answers.
        partitions: Number of cells.
    """

    def __init__(
        self, address: str, contact: StoreContact, partitions: int
    ) -> None:
        """Stores the arguments; connects on first use."""
        self._store = Store(address)
        self._contact = contact
        self._partitions = partitions
        self._lock = threading.Lock()
        self._homes: dict[str, QueueHome] = {}
        # Offset from which the topic is read next; None before the first read.
        self._offset: int | None = None
        self._current_at = float("-inf")

    def assign(
        self, queue: Queue, deadline: float
    ) -> QueueHome | StoreUnavailable:
        """Returns the home of a queue that sends jobs to its present service.

        Only after that may a job of the queue be stored. The first call for a
        queue assigns its home.

        Args:
            queue: The queue.
            deadline: Time at which to give up, in seconds.
        """
        known = self._homes.get(home_key(queue))
        if known is not None and queue.service in known.services:
            return known
        if not self._lock.acquire(timeout=max(0.0, deadline - steady_s())):
            return StoreUnavailable("another request waits for the store")
        try:
            while steady_s() < deadline:
                result = self._try_to_assign(queue)
                if result is not None:
                    return result
            return StoreUnavailable("no home before the deadline")
        finally:
            self._lock.release()

    def find(
        self, queue: Queue, max_age_s: float
    ) -> QueueHome | None | StoreUnavailable:
        """Returns the home of a queue; None if it has never had a job.

        Args:
            queue: The queue.
            max_age_s: Maximum age of what the answer rests on, in seconds.
        """
        if self._is_stale(max_age_s):
            failure = self._refresh(max_age_s)
            if failure is not None:
                return failure
        return self._homes.get(home_key(queue))

    def _is_stale(self, max_age_s: float) -> bool:
        return steady_s() - self._current_at > max_age_s

    def _refresh(self, max_age_s: float) -> StoreUnavailable | None:
        """Reads the topic, unless another thread has done so meanwhile.

        Does not wait for a store that is lost: the threads that serve clients
        would wait one after the other.
        """
        if self._contact.is_lost(steady_s()):
            return StoreUnavailable("the store does not answer this instance")
        if not self._lock.acquire(timeout=_REFRESH_WAIT_S):
            return StoreUnavailable("another request waits for the store")
        try:
            return self._read() if self._is_stale(max_age_s) else None
        finally:
            self._lock.release()

    def known(self, queue: Queue) -> QueueHome | None:
        """Returns the home of a queue as far as it was read."""
        return self._homes.get(home_key(queue))

    def _try_to_assign(
        self, queue: Queue
    ) -> QueueHome | StoreUnavailable | None:
        """Adds a queue's service to its home; None if it has to be repeated."""
        failure = self._read()
        if failure is not None:
            return failure
        key, cell = home_key(queue), cell_of(queue.service, self._partitions)
        home = self._homes.get(key)
        if home is None:
            home = QueueHome(queue.host, queue.path_prefix, cell, ())
        if queue.service in home.services:
            return home
        # The cell's holder has to read the home before a job is stored there.
        if cell != home.partition and not self._announce_source(home, cell):
            return StoreUnavailable("the store refused a source")
        home = msgspec.structs.replace(
            home, services=(*home.services, queue.service)
        )
        result = self._store.append(
            HOMES_TOPIC, 0, (encode_home(key, home),), at_end=self._offset
        )
        if isinstance(result, EndMoved | MaybeStored):
            return None
        if not isinstance(result, Stored):
            return self._fail("the store refused a home")
        self._homes = {**self._homes, key: home}
        log_event(
            Event.QUEUE_HOME_ASSIGNED,
            {
                "queue": queue.name,
                "partition": home.partition,
                "cell": cell,
                "services": home.services,
            },
        )
        return home

    def _announce_source(self, home: QueueHome, cell: int) -> bool:
        source = SubmissionSource(home.partition)
        result = self._store.append(JOBS_TOPIC, cell, (encode_record(source),))
        return isinstance(result, Stored)

    def _read(self) -> StoreUnavailable | None:
        """Reads the topic to its end; returns why it failed, or None."""
        requested_at = steady_s()
        while True:
            if self._offset is None:
                newest = self._store.newest(HOMES_TOPIC)
                if not isinstance(newest, NewestRecords):
                    return self._fail(newest.detail)
                self._apply(newest.records)
                self._offset = newest.end
            batch = self._store.read(HOMES_TOPIC, 0, self._offset, 0)
            if isinstance(batch, OffsetExpired):
                self._offset = None
                continue
            if isinstance(batch, StoreUnavailable):
                return self._fail(batch.detail)
            records = [parse_keyed_record(p) for p in batch.records]
            self._apply(r for r in records if r is not None)
            self._offset = batch.next_offset
            if batch.next_offset >= batch.end:
                self._current_at = requested_at
                self._contact.record_answer(steady_s())
                return None

    def _apply(self, records: Iterable[KeyedRecord]) -> None:
        self._homes = {**self._homes, **decode_homes(records)}

    def _fail(self, detail: str) -> StoreUnavailable:
        self._contact.record_failure(steady_s(), detail)
        return StoreUnavailable(detail)
