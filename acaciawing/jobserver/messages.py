"""Messages to the engine."""

from concurrent.futures import Future
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.jobs import (
    AdviceGiven,
    Configuration,
    Record,
    Worker,
    WorkerMessage,
)
from acaciawing.jobs.fleet import CellReport, Evacuation


@dataclass(frozen=True)
class CellKey:
    """A cell under one holder's fence."""

    partition: int
    fence: int


@dataclass(frozen=True)
class RecordsRead:
    """Records of a cell, in order."""

    key: CellKey
    records: tuple[Record, ...]


@dataclass(frozen=True)
class RecordsCaughtUp:
    """A read has reached the end of the cell's records.

    Attributes:
        key: The cell.
        asked_at: When the read was sent, in seconds.
    """

    key: CellKey
    requested_at: float


@dataclass(frozen=True)
class RecordsSaved:
    """The cell's records up to a number are durable."""

    key: CellKey
    number: int


@dataclass(frozen=True)
class WorkerMessageReceived:
    """A message of a worker's session."""

    key: CellKey
    message: WorkerMessage


@dataclass(frozen=True)
class AdviceReceived:
    """Tickets for a step of a cell."""

    key: CellKey
    advice: AdviceGiven


@dataclass(frozen=True)
class CellFenced:
    """A later holder has taken the cell."""

    key: CellKey


@dataclass(frozen=True)
class PartitionsAssigned:
    """The group has confirmed this instance's partitions.

    Attributes:
        partitions: Partitions that belong to it.
        generation: Generation of the group.
        asked_at: When the call was sent, in seconds.
    """

    partitions: frozenset[int]
    generation: int
    requested_at: float


@dataclass(frozen=True)
class FleetTenure:
    """The time for which this instance holds the fleet's cell.

    Attributes:
        fence: Its fencing token for machines.
        since: When it began, in seconds.
    """

    fence: int
    since: float


@dataclass(frozen=True)
class ConfigurationRead:
    """A version of the operators' configuration."""

    configuration: Configuration


@dataclass(frozen=True)
class WorkerListRead:
    """The platform's list of workers."""

    workers: tuple[Worker, ...]


@dataclass(frozen=True)
class MachineListRead:
    """The workers that the platform's machines run.

    Attributes:
        workers: Their ids.
        asked_at: When the list was asked for, in seconds.
    """

    workers: frozenset[str]
    requested_at: float


@dataclass(frozen=True)
class JobStateQuery:
    """Asks for the state of a job, or for the length of its queue.

    Attributes:
        partition: Cell of the job.
        queue: Name of the queue.
        job: Id of the job; empty to ask for the queue.
        reply: Receives a `JobAnswer`.
    """

    partition: int
    queue: str
    job: str
    reply: "Future[JobAnswer]"


@dataclass(frozen=True)
class JobAnswer:
    """What a holder knows of a job or queue.

    Attributes:
        holder: Whether this instance holds the cell and has read its records.
        state: State of the job; empty if it is unknown or was not asked for.
        waiting: Accepted jobs of the queue of which nothing has started.
        age_s: Time since the records were last known to be complete.
    """

    holder: bool
    state: str = ""
    waiting: int = 0
    age_s: float = 0.0


@dataclass(frozen=True)
class CellReportQuery:
    """Asks for the load of a cell.

    Attributes:
        partition: The cell.
        evacuate: Workers that are to be emptied.
        reply: Receives the report.
    """

    partition: int
    evacuate: Evacuation
    reply: "Future[CellReport]"


@dataclass(frozen=True)
class ReleaseCells:
    """Gives up all cells in order; sets the reply when they are released."""

    reply: "Future[None]"


Message: TypeAlias = (
    RecordsRead
    | RecordsCaughtUp
    | RecordsSaved
    | WorkerMessageReceived
    | AdviceReceived
    | CellFenced
    | PartitionsAssigned
    | ConfigurationRead
    | WorkerListRead
    | MachineListRead
    | JobStateQuery
    | CellReportQuery
    | ReleaseCells
)
