"""Durable records of a cell, in the order in which the platform stores them.

Every record may appear more than once; folding it again changes nothing.
Released fields never change their meaning: a new meaning is a new record type.
"""

from typing import TypeAlias

import msgspec

from acaciawing.jobs.model import Job


class JobSubmitted(msgspec.Struct, frozen=True, tag="submit"):
    """A job was handed in.

    Attributes:
        job: The job.
        at_ms: Unix time at the entry instance that took it, in milliseconds.
    """

    job: Job
    at_ms: int


class CancelRequested(msgspec.Struct, frozen=True, tag="cancel"):
    """A client asked for the end of a job."""

    job: str
    at_ms: int


class SubtaskDone(msgspec.Struct, frozen=True, tag="done"):
    """A subtask ended as done; for a gang, any member's end stands for all."""

    subtask: str
    run: int


class RunFailed(msgspec.Struct, frozen=True, tag="failed"):
    """A run of a subtask ended by a fault of its own or its worker's."""

    subtask: str
    run: int


class JobFailed(msgspec.Struct, frozen=True, tag="jobfailed"):
    """A subtask of the job has used up its attempts."""

    job: str


class JobSummary(msgspec.Struct, frozen=True, tag="carried"):
    """Whole state of a job, so that older records of it may expire.

    Attributes:
        job: The job.
        at_ms: As in its `JobSubmitted`.
        done: Names of the subtasks that are done.
        failed_runs: Failed runs by name of the subtask.
        cancelled: Whether its cancelling was requested.
        failed: Whether it has failed for good.
        carried_ms: When the record was written, Unix time in milliseconds.
    """

    job: Job
    at_ms: int
    done: tuple[str, ...]
    failed_runs: dict[str, tuple[int, ...]]
    cancelled: bool
    failed: bool
    carried_ms: int = 0


class WorkerEngaged(msgspec.Struct, frozen=True, tag="engaged"):
    """A holder may start runs on a worker from now on.

    A later holder must reach the worker, or wait for the end of the longest
    lease on it, before it may start what could still run there.

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
    """Nothing that a holder started can still run on a worker."""

    worker: str
    born_ms: int


Record: TypeAlias = (
    JobSubmitted
    | CancelRequested
    | SubtaskDone
    | RunFailed
    | JobFailed
    | JobSummary
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
        None where the bytes are no record of a known type.
    """
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
