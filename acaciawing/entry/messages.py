"""Messages between the tasks of the daemon."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from queue import SimpleQueue
from typing import Any, TypeAlias

from acaciawing.admission import EntryView
from acaciawing.exchange import ExchangeOutcome
from acaciawing.fold import FleetState
from acaciawing.outcomes import Refusal
from acaciawing.platform import Listing
from acaciawing.retries import NoAttempt
from acaciawing.routing import Endpoint, Result


@dataclass(frozen=True)
class Granted:
    """A request may be sent to an endpoint.

    Attributes:
        ticket: Number of the attempt; `Completed` refers to it.
        endpoint: Where to send it.
        deadline: Time by which it must end, monotonic seconds.
    """

    ticket: int
    endpoint: Endpoint
    deadline: float


@dataclass(frozen=True)
class Submit:
    """Requests an endpoint for the first or a further attempt of a request.

    Attributes:
        request_id: Id in logs and in ``explain``.
        customer: Name of the customer.
        plan: Name of the customer's plan.
        service: Service of the path.
        operation: Rest of the path.
        idempotent: Whether the request may be repeated safely.
        deadline: Time by which it must end, monotonic seconds.
        tried: Endpoints of earlier attempts, in order.
        outcome: Outcome of the last attempt, or None for the first.
        reply: Receives `Granted`, a refusal, or `NoAttempt` if the last
            outcome is final.
    """

    request_id: str
    customer: str
    plan: str
    service: str
    operation: str
    idempotent: bool
    deadline: float
    tried: tuple[Endpoint, ...]
    outcome: ExchangeOutcome | None
    reply: "SimpleQueue[Granted | Refusal | NoAttempt]" = field(compare=False)


@dataclass(frozen=True)
class Completed:
    """An attempt has ended.

    Attributes:
        ticket: Number of the attempt.
        result: Result of the exchange.
        run_time_s: Time from sending to the complete answer.
        leaving: Whether the endpoint signalled that it is leaving.
    """

    ticket: int
    result: Result
    run_time_s: float
    leaving: bool


@dataclass(frozen=True)
class Finished:
    """A request has received its final answer.

    Attributes:
        request_id: Id of the request.
        plan: Name of the plan.
        outcome: ``succeeded``, ``failed``, ``refused``, or ``forwarded`` if
            another entry instance counts the request.
        code: Code of the refusal, or an empty string.
    """

    request_id: str
    plan: str
    outcome: str
    code: str = ""


@dataclass(frozen=True)
class StateChanged:
    """The fold has a newer state."""

    state: FleetState


@dataclass(frozen=True)
class ListingUpdated:
    """The platform's list was read."""

    listing: Listing


@dataclass(frozen=True)
class MembersUpdated:
    """The known entry instances or their demand have changed.

    Attributes:
        view: Members and their demand by plan.
        zones: Zone of each member.
        loads: Requests running or waiting, by pool and member.
    """

    view: EntryView
    zones: Mapping[str, str]
    loads: Mapping[str, Mapping[str, float]]


@dataclass(frozen=True)
class LeavingReported:
    """A peer reported that an instance is leaving."""

    instance: str
    incarnation: int


@dataclass(frozen=True)
class Query:
    """Requests an immutable view of the scheduler's state.

    Attributes:
        reply: Receives the view.
        sample_demand: Whether to sample the demand first.
    """

    reply: "SimpleQueue[Any]" = field(compare=False)
    sample_demand: bool = False


@dataclass(frozen=True)
class Wake:
    """Makes the scheduler apply the deferred messages."""


@dataclass(frozen=True)
class Stop:
    """Ends a task."""


Message: TypeAlias = (
    Submit
    | Completed
    | Finished
    | StateChanged
    | ListingUpdated
    | MembersUpdated
    | LeavingReported
    | Query
    | Wake
    | Stop
)
