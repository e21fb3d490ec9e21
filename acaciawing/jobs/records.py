"""Durable records of a cell, in the order in which the platform stores them.

A record may appear more than once; applying it again changes nothing. The
meaning of a released field never changes; a new meaning needs a new record
type.
"""

from typing import TypeAlias

import msgspec

from acaciawing.decoding import DECODE_ERRORS
from acaciawing.jobs.model import Job


class JobSubmitted(msgspec.Struct, frozen=True, tag="submit"):
    """A job was submitted.

    Attributes:
        job: The job.
        at_ms: Unix time at the entry instance that accepted it, in
            milliseconds.
    """

    job: Job
    at_ms: int


class SubmissionSource(msgspec.Struct, frozen=True, tag="source"):
    """Jobs of the cell are also submitted to the partition of another cell.

    It is stored before the first of these jobs is accepted, for the holder of
    that time. Later holders read the homes of the queues.

    Attributes:
        partition: The other partition.
    """

    partition: int


class CancelRequested(msgspec.Struct, frozen=True, tag="cancel"):
    """A client requested the cancellation of a job."""

    job: str
    at_ms: int


class SubtaskDone(msgspec.Struct, frozen=True, tag="done"):
    """A subtask is done; for a gang, one member's record covers all members."""

    subtask: str
    run: int


class RunFailed(msgspec.Struct, frozen=True, tag="failed"):
    """A run of a subtask failed through its own or its worker's fault."""

    subtask: str
    run: int


class JobFailed(msgspec.Struct, frozen=True, tag="jobfailed"):
    """A job failed because one of its subtasks used up its attempts."""

    job: str


class JobSummary(msgspec.Struct, frozen=True, tag="carried"):
    """State of a job that replaces its older records, so that they may expire.

    Attributes:
        job: The job.
        at_ms: As in its `JobSubmitted`.
        done: Ids of the subtasks that are done.
        failed_runs: Numbers of failed runs by id of the subtask.
        cancelled: Whether its cancellation was requested.
        failed: Whether the job has failed.
        carried_ms: When the record was written, Unix time in milliseconds.
    """

    job: Job
    at_ms: int
    done: tuple[str, ...]
    failed_runs: dict[str, tuple[int, ...]]
    cancelled: bool
    failed: bool
    carried_ms: int = 0


class RunCrashed(msgspec.Struct, frozen=True, tag="crashed"):
    """A worker ended unexpectedly while it had a run of a subtask.

    Attributes:
        subtask: Id of the subtask.
        run: Its run number.
        worker: Id of the worker.
        born_ms: Start of its incarnation, Unix time in milliseconds.
        alone: Whether it was the only run on the worker.
        survived_ms: How long it is known to have run, in milliseconds.
    """

    subtask: str
    run: int
    worker: str
    born_ms: int
    alone: bool
    survived_ms: int


class RunStarted(msgspec.Struct, frozen=True, tag="started"):
    """A run is started while workers crash.

    A later holder counts the run as crashed if the worker ends before it
    answers that holder.

    Attributes:
        subtask: Id of the subtask.
        run: Its run number.
        worker: Id of the worker.
        born_ms: Start of its incarnation, Unix time in milliseconds.
        alone: Whether nothing else runs on the worker.
        crashed_born_ms: Start of an earlier incarnation that crashed when it
            may have had the run; 0 if there is none. The run counts as crashed
            if this incarnation does not report it.
    """

    subtask: str
    run: int
    worker: str
    born_ms: int
    alone: bool
    crashed_born_ms: int = 0


class RunSettled(msgspec.Struct, frozen=True, tag="settled"):
    """A recorded start has ended without a crash, and neither done nor failed.

    Attributes:
        subtask: Dotted id of the subtask.
        run: Run number.
    """

    subtask: str
    run: int


class SubtaskGivenUp(msgspec.Struct, frozen=True, tag="givenup"):
    """A subtask crashes its workers; its crashes are no other subtask's."""

    subtask: str


class SuspicionCleared(msgspec.Struct, frozen=True, tag="cleared"):
    """A subtask did not cause the crashes that were counted against it."""

    subtask: str


class WorkerEngaged(msgspec.Struct, frozen=True, tag="engaged"):
    """A holder may start runs on a worker after this record.

    A later holder must reach the worker, or wait until its longest lease has
    lapsed, before it starts subtasks that may still run there.

    Attributes:
        worker: Id of the worker.
        born_ms: Start of its incarnation, Unix time in milliseconds.
        address: ``ip:port`` of its interface.
        at_ms: When the record was written, Unix time in milliseconds.
    """

    worker: str
    born_ms: int
    address: str
    at_ms: int = 0


class WorkerReleased(msgspec.Struct, frozen=True, tag="released"):
    """No run that a holder started can still exist on a worker."""

    worker: str
    born_ms: int


Record: TypeAlias = (
    JobSubmitted
    | SubmissionSource
    | CancelRequested
    | SubtaskDone
    | RunFailed
    | JobFailed
    | JobSummary
    | RunCrashed
    | SubtaskGivenUp
    | RunStarted
    | RunSettled
    | SuspicionCleared
    | WorkerEngaged
    | WorkerReleased
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encodes a record for the store."""
    return _ENCODER.encode(record)


def decode_record(payload: bytes) -> Record | None:
    """Decodes a stored record.

    Returns:
        The record, or None if the bytes are no record of a known type.
    """
    try:
        return _DECODER.decode(payload)
    except DECODE_ERRORS:
        return None
