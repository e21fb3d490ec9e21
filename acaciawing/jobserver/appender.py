"""Appends clients' records to the store over a pool of connections."""

from queue import Empty, SimpleQueue

from acaciawing.jobserver.cell_log import jobs_topic
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.membership import StoreContact
from acaciawing.jobserver.metrics import METRICS
from acaciawing.platform.store import (
    WRITE_TIMEOUT_S,
    AppendResult,
    MaybeStored,
    NotStored,
    Store,
)


class Appender:
    """Appends records; may be used from any thread.

    Args:
        address: ``ip:port`` of the store.
        contact: Records whether the store answers.
    """

    def __init__(self, address: str, contact: StoreContact) -> None:
        """Stores the arguments; connects on first use."""
        self._address = address
        self._contact = contact
        self._idle: SimpleQueue[Store] = SimpleQueue()

    def append(
        self, partition: int, job: str, payload: bytes, timeout_s: float
    ) -> AppendResult:
        """Appends a record of a job to a cell's partition.

        Args:
            partition: Partition of the cell.
            job: Id of the job.
            payload: The encoded record.
            timeout_s: Timeout for the answer, in seconds.
        """
        if timeout_s <= 0:
            return NotStored("request deadline has passed")
        try:
            store = self._idle.get_nowait()
        except Empty:
            store = Store(self._address)
        began_at = steady_s()
        result = store.append(
            jobs_topic(job),
            partition,
            (payload,),
            None,
            min(WRITE_TIMEOUT_S, timeout_s),
        )
        self._idle.put(store)
        METRICS.record_time(
            "acaciawing.jobs.append_time",
            steady_s() - began_at,
            outcome=type(result).__name__,
        )
        if isinstance(result, MaybeStored | NotStored):
            self._contact.record_failure(steady_s(), result.detail)
        else:
            self._contact.record_answer(steady_s())
        return result
