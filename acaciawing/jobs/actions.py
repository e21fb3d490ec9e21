"""What a cell tells its tasks to do, and what they tell it."""

from enum import Enum
from typing import NamedTuple, TypeAlias

import msgspec

from acaciawing.jobs.model import Incarnation, SubtaskId, Worker
from acaciawing.jobs.records import Record


class StartRun(msgspec.Struct, frozen=True):
    """Start a run of a subtask on a worker."""

    worker: Incarnation
    subtask: SubtaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class StopRun(msgspec.Struct, frozen=True):
    """Stop a run, or make its start impossible."""

    worker: Incarnation
    subtask: SubtaskId
    run: int


class PaceRun(msgspec.Struct, frozen=True):
    """Let a run work at a share of its speed, in percent."""

    worker: Incarnation
    subtask: SubtaskId
    run: int
    percent: int


class Acknowledge(msgspec.Struct, frozen=True):
    """Tell a worker that ends up to a number are durably noted."""

    worker: Incarnation
    end_number: int


class ConnectWorker(msgspec.Struct, frozen=True):
    """Contact a worker and keep its leases renewed."""

    worker: Incarnation
    address: str


class DisconnectWorker(msgspec.Struct, frozen=True):
    """Contact a worker no longer."""

    worker: Incarnation


class SaveRecord(msgspec.Struct, frozen=True):
    """Append a record; `number` counts the cell's records from 1."""

    number: int
    record: Record


class AdviceRequest(msgspec.Struct, frozen=True):
    """Ask which workers may run a step."""

    step: tuple[str, int, int]
    workers: tuple[str, ...]


class AdviceResponse(msgspec.Struct, frozen=True):
    """Tickets for a step by worker, and when they end, in seconds."""

    step: tuple[str, int, int]
    tickets: dict[str, str]
    until: float


Action: TypeAlias = (
    AdviceRequest
    | StartRun
    | StopRun
    | PaceRun
    | Acknowledge
    | ConnectWorker
    | DisconnectWorker
    | SaveRecord
)


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRow(NamedTuple):
    """A run that a worker lists as running.

    Attributes:
        subtask: What runs.
        run: Its run number.
        checkpoint: Newest checkpoint; empty for none.
        percent: Share of the speed at which it works; 100 at full work.
        reading: Tail latency in ms for a serving subtask, else cpu in use.
    """

    subtask: SubtaskId
    run: int
    checkpoint: str
    percent: int
    load_metric: float


class EndedRow(NamedTuple):
    """A run that has ended on a worker.

    Attributes:
        number: Counts the ends of one incarnation from 1.
        subtask: What ended.
        run: Its run number.
        kind: How it ended.
        checkpoint: Newest checkpoint; empty for none.
    """

    number: int
    subtask: SubtaskId
    run: int
    kind: EndKind
    checkpoint: str


class WorkerReport(msgspec.Struct, frozen=True):
    """A worker's answer to a lease renewal.

    Attributes:
        worker: Who answered.
        sent_at: When it was asked, in seconds.
        lease_until: Time after which the leases granted so far have lapsed.
        running: What runs there.
        ended: Ends that were not acknowledged, in order.
    """

    worker: Incarnation
    sent_at: float
    lease_until: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class WorkerUnreachable(msgspec.Struct, frozen=True):
    """A worker did not answer; no lease is granted until it does.

    Attributes:
        worker: Who was asked.
        lease_until: As in `WorkerReport`.
    """

    worker: Incarnation
    lease_until: float


class IncarnationEnded(msgspec.Struct, frozen=True):
    """Another incarnation answers at the worker's address.

    Attributes:
        worker: The incarnation that has ended.
        successor: The one that answers, if it is known and has the same id.
    """

    worker: Incarnation
    successor: Incarnation | None = None


class StartOutcome(Enum):
    """How an order to start ended."""

    STARTED = "started"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    REFUSED = "refused"
    INVALID = "invalid"
    UNANSWERED = "unanswered"


class StartOrderResult(msgspec.Struct, frozen=True):
    """An order to start has ended."""

    order: StartRun
    outcome: StartOutcome


class StopOrderResult(msgspec.Struct, frozen=True):
    """An order to stop has ended; `done` is False without an answer."""

    order: StopRun
    done: bool
    fenced: bool = False


class WorkersListed(msgspec.Struct, frozen=True):
    """The platform's list of workers has changed."""

    workers: tuple[Worker, ...]


WorkerMessage: TypeAlias = (
    WorkerReport
    | WorkerUnreachable
    | IncarnationEnded
    | StartOrderResult
    | StopOrderResult
)
