"""Messages between the tasks of the daemon."""

from dataclasses import dataclass, field
from queue import SimpleQueue
from typing import Any, TypeAlias

from acaciawing.fold import FleetState
from acaciawing.outcomes import Refusal
from acaciawing.platform import Listing


@dataclass(frozen=True)
class Granted:
    """A request may be sent to an endpoint.

    Attributes:
        ticket: Number of the attempt, to be named in `Completed`.
        instance: Instance that serves the endpoint.
        incarnation: Its incarnation.
        address: ``ip:port`` of the endpoint.
        plan: Plan that the request runs under.
        deadline: Time by which it must end, monotonic seconds.
    """

    ticket: int
    instance: str
    incarnation: int
    address: str
    plan: str
    deadline: float


@dataclass(frozen=True)
class Submit:
    """A request, or its next attempt, asks for an endpoint.

    Attributes:
        request_id: Id in logs and in ``explain``.
        customer: Name of the customer.
        plan: Name of the customer's plan.
        service: Service of the path.
        operation: Rest of the path.
        idempotent: Whether a repeat does no harm.
        deadline: Time by which it must end, monotonic seconds.
        attempt: 1 for the first.
        avoid: Instances that earlier attempts used.
        reply: Receives `Granted` or a refusal.
    """

    request_id: str
    customer: str
    plan: str
    service: str
    operation: str
    idempotent: bool
    deadline: float
    attempt: int
    avoid: tuple[str, ...]
    reply: "SimpleQueue[Granted | Refusal]" = field(compare=False)


@dataclass(frozen=True)
class Completed:
    """An attempt has ended.

    Attributes:
        ticket: Number of the attempt.
        result: ``ok``, ``error``, ``not-run``, ``not-sent`` or ``unknown``.
        run_time_s: Time from sending to the whole answer.
        leaving: Whether the endpoint said that it is leaving.
    """

    ticket: int
    result: str
    run_time_s: float
    leaving: bool


@dataclass(frozen=True)
class Finished:
    """A request has got its final answer.

    Attributes:
        plan: Name of the plan.
        verdict: ``succeeded``, ``failed`` or ``refused``.
    """

    plan: str
    verdict: str


@dataclass(frozen=True)
class StateChanged:
    """The fold has moved on."""

    state: FleetState


@dataclass(frozen=True)
class ListingSeen:
    """The platform's list was read."""

    listing: Listing


@dataclass(frozen=True)
class Query:
    """Asks the scheduler for a frozen view of its state."""

    reply: "SimpleQueue[Any]" = field(compare=False)


@dataclass(frozen=True)
class Stop:
    """Ends a task."""


Message: TypeAlias = (
    Submit | Completed | Finished | StateChanged | ListingSeen | Query | Stop
)
