"""Messages to the engine."""

from concurrent.futures import Future
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.jobs import (
    AdviceFailure,
    AdviceResponse,
    Configuration,
    Record,
    Worker,
    WorkerMessage,
)
from acaciawing.jobs.fleet import CellReport, Evacuation


@dataclass(frozen=True)
class CellKey:
    """Identifies a cell under the fence of one holder."""

    partition: int
    fence: int


@dataclass(frozen=True)
class RecordsRead:
    """Records of a cell were read, in order."""

    key: CellKey
    records: tuple[Record, ...]


@dataclass(frozen=True)
class RecordsCaughtUp:
    """A read has reached the end of the cell's records.

    Attributes:
        key: The cell.
        requested_at: When the read was sent, in seconds.
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
    """A worker's session has sent a message."""

    key: CellKey
    message: WorkerMessage


@dataclass(frozen=True)
class AdviceReceived:
    """The advice service has answered a request, or failed to."""

    key: CellKey
    advice: AdviceResponse | AdviceFailure


@dataclass(frozen=True)
class CellFenced:
    """A later holder has taken over the cell."""

    key: CellKey


@dataclass(frozen=True)
class HoldingVerified:
    """A partition was held from its fence's generation up to a later one.

    Attributes:
        key: The cell.
        generation: The later generation.
        requested_at: When the join that was answered with it was sent, in
            seconds.
    """

    key: CellKey
    generation: int
    requested_at: float


@dataclass(frozen=True)
class HoldingInterrupted:
    """A partition was assigned to another member since its fence's generation."""

    key: CellKey


@dataclass(frozen=True)
class PartitionsAssigned:
    """The group has confirmed the partitions of this instance.

    Attributes:
        partitions: Partitions assigned to this instance.
        generation: Generation of the group.
        requested_at: When the join was sent, in seconds.
        first_generation: Generation in which the membership began that was
            not interrupted since.
    """

    partitions: frozenset[int]
    generation: int
    requested_at: float
    first_generation: int


@dataclass(frozen=True)
class FleetTenure:
    """Period in which this instance holds the fleet's cell.

    Attributes:
        fence: Fencing token of its orders for machines.
        since: Start of the period, in seconds.
    """

    fence: int
    since: float


@dataclass(frozen=True)
class ConfigurationRead:
    """A new version of the operators' configuration was read."""

    configuration: Configuration


@dataclass(frozen=True)
class WorkerListRead:
    """The platform's list of workers was read."""

    workers: tuple[Worker, ...]


@dataclass(frozen=True)
class WorkerListConfirmed:
    """All changes of the list of workers up to a time were read.

    Attributes:
        current_at: That time, in seconds.
    """

    current_at: float


@dataclass(frozen=True)
class MachineListRead:
    """The platform's list of machines was read.

    Attributes:
        workers: Ids of the workers that run on these machines.
        requested_at: When the list was requested, in seconds.
    """

    workers: frozenset[str]
    requested_at: float


@dataclass(frozen=True)
class JobStateQuery:
    """Queries the state of a job or the length of a queue.

    Attributes:
        partition: Cell of the job.
        queue: Name of the queue.
        job: Id of the job; empty to query the queue.
        reply: Receives a `JobAnswer`.
    """

    partition: int
    queue: str
    job: str
    reply: "Future[JobAnswer]"


@dataclass(frozen=True)
class JobAnswer:
    """State of a job or a queue at the holder of its cell.

    Attributes:
        holder: Whether the instance holds the cell and has read its records.
        state: State of the job; empty if unknown or not queried.
        waiting: Number of accepted jobs in the queue without a started run.
        age_s: Time since the holder's records were last current, in seconds.
        current: Whether no later holder can have told a later state.
    """

    holder: bool
    state: str = ""
    waiting: int = 0
    age_s: float = 0.0
    current: bool = True


@dataclass(frozen=True)
class CellReportQuery:
    """Queries the load of a cell and requests evacuations.

    Attributes:
        partition: The cell.
        evacuate: Workers to evacuate.
        reply: Receives a `CellReport`.
    """

    partition: int
    evacuate: Evacuation
    reply: "Future[CellReport]"


@dataclass(frozen=True)
class ReleaseCells:
    """Releases all cells of the instance.

    Attributes:
        reply: Completed when the cells are released.
    """

    reply: "Future[None]"


Message: TypeAlias = (
    RecordsRead
    | RecordsCaughtUp
    | RecordsSaved
    | WorkerMessageReceived
    | AdviceReceived
    | CellFenced
    | HoldingVerified
    | HoldingInterrupted
    | PartitionsAssigned
    | ConfigurationRead
    | WorkerListRead
    | WorkerListConfirmed
    | MachineListRead
    | JobStateQuery
    | CellReportQuery
    | ReleaseCells
)
