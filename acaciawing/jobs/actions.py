"""Messages between a cell and the tasks that do its input and output.

An action goes from the cell to a task; a worker message goes back.
"""

from enum import Enum
from typing import NamedTuple, TypeAlias

import msgspec

from acaciawing.jobs.model import Incarnation, SubtaskId, Worker
from acaciawing.jobs.records import Record


class StartRun(msgspec.Struct, frozen=True):
    """Start a run of a subtask on a worker.

    The order is not sent after `valid_until`, in seconds.
    """

    worker: Incarnation
    subtask: SubtaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""
    valid_until: float = float("inf")


class StopRun(msgspec.Struct, frozen=True):
    """Stop a run, or reject its start if the order to start arrives later."""

    worker: Incarnation
    subtask: SubtaskId
    run: int


class PaceRun(msgspec.Struct, frozen=True):
    """Limit a run to a share of its full speed, in percent."""

    worker: Incarnation
    subtask: SubtaskId
    run: int
    percent: int


class Acknowledge(msgspec.Struct, frozen=True):
    """Confirm to a worker that the ends up to a number are stored durably."""

    worker: Incarnation
    end_number: int


class ConnectWorker(msgspec.Struct, frozen=True):
    """Connect to a worker and keep renewing its leases."""

    worker: Incarnation
    address: str


class DisconnectWorker(msgspec.Struct, frozen=True):
    """Disconnect from a worker and stop renewing its leases."""

    worker: Incarnation


class SaveRecord(msgspec.Struct, frozen=True):
    """Append a record; `number` counts this holder's records from 1."""

    number: int
    record: Record


class AdviceRequest(msgspec.Struct, frozen=True):
    """Request tickets for a step on some workers from the advice service.

    `number` counts this holder's requests from 1.
    """

    number: int
    step: tuple[str, int, int]
    workers: tuple[Incarnation, ...]


class AdviceResponse(msgspec.Struct, frozen=True):
    """The advice service's answer to an `AdviceRequest`.

    Attributes:
        request: The request.
        tickets: Tickets by worker id.
        until: When the tickets expire, in seconds.
    """

    request: AdviceRequest
    tickets: dict[str, str]
    until: float


class AdviceFailure(msgspec.Struct, frozen=True):
    """The advice service has sent no usable answer to a request."""

    request: AdviceRequest


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
    """How a run ended.

    ``LAPSED`` is a run whose lease lapsed, and ``ALONE`` a gang member that
    gave up waiting for the other members. Only ``DONE`` and ``FAILED`` are
    recorded. A run of any other kind, such as ``BROKEN``, uses up no attempt;
    its subtask is queued again if it is still needed.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRow(NamedTuple):
    """A run that a worker reports as running.

    Attributes:
        subtask: The subtask that runs.
        run: Its run number.
        checkpoint: Newest checkpoint; empty for none.
        percent: Progress of a run that ends by itself; for a long-running one
            the share of its full speed, 100 at full speed.
        load_metric: Tail latency in ms for a serving subtask, else cpu in use.
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
        subtask: The subtask whose run ended.
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
        worker: The worker that answered.
        sent_at: When the renewal was sent, in seconds.
        lease_until: Time after which all leases granted so far have lapsed, in
            seconds.
        running: Runs that are running on the worker.
        ended: Ends that were not acknowledged yet, by number.
        ends_complete: Whether these are all such ends. If not, the worker may
            have later ones, so that a run in neither list may have ended in
            any way.
    """

    worker: Incarnation
    sent_at: float
    lease_until: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    ends_complete: bool = True


class WorkerUnreachable(msgspec.Struct, frozen=True):
    """A worker did not answer; it is granted no lease until it does.

    Attributes:
        worker: The worker that did not answer.
        lease_until: As in `WorkerReport`.
    """

    worker: Incarnation
    lease_until: float


class IncarnationEnded(msgspec.Struct, frozen=True):
    """Another incarnation answers at the worker's address.

    Attributes:
        worker: The incarnation that has ended.
        successor: The incarnation that answers, if it is known and has the
            same worker id.
    """

    worker: Incarnation
    successor: Incarnation | None = None


class StartOutcome(Enum):
    """Outcome of an order to start a run.

    Attributes:
        STARTED: The run has started.
        FENCED: The worker knows a holder with a higher fence.
        SUPERSEDED: The worker knows an order for this run or a newer one; the
            run may exist.
        LATE: The order arrived after the end of its lease.
        NO_ROOM: The worker has no room for the run.
        NO_TICKET: The worker did not accept the ticket, or needs one.
        REFUSED: The order was not sent, or refused for another reason.
        INVALID: The worker rejected the order as invalid.
        UNANSWERED: There was no usable answer; the run may exist.
    """

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
    """Result of an order to start a run."""

    order: StartRun
    outcome: StartOutcome


class StopOrderResult(msgspec.Struct, frozen=True):
    """Result of an order to stop a run.

    Attributes:
        order: The order.
        done: Whether the worker confirmed it; False without an answer.
        fenced: Whether the worker knows a holder with a higher fence.
    """

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
