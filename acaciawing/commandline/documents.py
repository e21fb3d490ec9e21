"""Documents of the administration API, as the command line reads them.

Members that this release does not know are skipped, so that a newer entry
instance can be asked as well.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec


@dataclass(frozen=True)
class OwnCounts:
    """Requests that the entry instance has answered since it started.

    Attributes:
        succeeded: Requests that succeeded.
        failed: Requests that failed.
        refused: Requests that were refused because the plan asked above its
            allowance.
    """

    succeeded: int = 0
    failed: int = 0
    refused: int = 0


@dataclass(frozen=True)
class PlanStatus:
    """One plan over the whole fleet.

    Attributes:
        plan: Name of the plan.
        promised: Promised success rate.
        achieved: Achieved success rate over the window, or None before the
            first request.
        succeeded: Requests that succeeded in the window.
        failed: Requests that failed in the window.
        allowed: Failures that the promise allows for these requests.
        kept: Part of it that moves and reboots leave for unplanned failures.
        burn_rate: Failures a second at present.
        reserved: Failures held by reservations of moves and reboots.
        held_back: Failures that the lagging counts may not show yet.
        remaining_budget: Failures that the window still allows, or None if
            not known; negative if overspent.
        here: Counts of the instance that answered.
    """

    plan: str
    promised: float
    achieved: float | None = None
    succeeded: int = 0
    failed: int = 0
    allowed: float = 0.0
    kept: float = 0.0
    burn_rate: float = 0.0
    reserved: float = 0.0
    held_back: float = 0.0
    remaining_budget: float | None = None
    here: OwnCounts = OwnCounts()


@dataclass(frozen=True)
class StatusDocument:
    """Answer of ``GET /v1/status``.

    Attributes:
        instance: The entry instance that answered.
        zone: Its availability zone.
        ready: Whether it takes requests.
        version: Version of the configuration that it uses, -1 for none.
        log_up: Whether its last read of the log was answered.
        offset: Offset of the next record that it reads.
        counts_age_s: Age of the oldest last counts of a member, in seconds,
            or None if a member has not reported.
        plans: Plans of that configuration.
        moves: Moves under way.
        waves: Maintenance waves under way and stops.
        loans: Loans between pools.
        leases: Leases of control subjects.
        members: Entry instances on the roster or heard from.
        more: Key after which each list that is cut off goes on, by list.
    """

    instance: str
    zone: str
    ready: bool
    version: int
    log_up: bool = True
    offset: int = 0
    counts_age_s: float | None = None
    plans: tuple[PlanStatus, ...] = ()
    moves: tuple[dict[str, Any], ...] = ()
    waves: tuple[dict[str, Any], ...] = ()
    loans: tuple[dict[str, Any], ...] = ()
    leases: tuple[dict[str, Any], ...] = ()
    members: tuple[dict[str, Any], ...] = ()
    more: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class NoWork:
    """A reason for which a subject gets no work now.

    Attributes:
        code: Code in kebab case.
        detail: Text for the operator.
    """

    code: str
    detail: str


@dataclass(frozen=True)
class ExplainEvent:
    """One decision about a subject.

    Attributes:
        time: Wall-clock time in seconds.
        number: Number in the event catalogue, for example ``AW2001``.
        event: Text of the event.
        reasons: Values that the decision rests on.
    """

    time: float
    number: str
    event: str
    reasons: dict[str, Any]


@dataclass(frozen=True)
class ExplainDocument:
    """Answer of ``GET /v1/explain/{kind}/{id}``.

    Attributes:
        kind: ``request``, ``task`` or ``instance``.
        id: Id of the subject.
        events: Decisions about it, oldest first.
        known: Whether the entry instance knows the subject.
        no_work_because: Why it gets no work now.
    """

    kind: str
    id: str
    events: tuple[ExplainEvent, ...] = ()
    known: bool = False
    no_work_because: tuple[NoWork, ...] = ()


_STATUS = msgspec.json.Decoder(StatusDocument)
_EXPLAIN = msgspec.json.Decoder(ExplainDocument)


def decode_status(data: bytes) -> StatusDocument:
    """Decodes a status document.

    Raises:
        msgspec.DecodeError: If a member is missing or has a wrong type.
    """
    return _STATUS.decode(data)


def decode_explain(data: bytes) -> ExplainDocument:
    """Decodes an explanation.

    Raises:
        msgspec.DecodeError: If a member is missing or has a wrong type.
    """
    return _EXPLAIN.decode(data)
