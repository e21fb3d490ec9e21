"""Documents of the administration API, as the command line decodes them.

Unknown fields are ignored, so that the command also works with a newer entry
instance.
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
        refused: Requests that were refused because the plan exceeded its
            limits.
    """

    succeeded: int = 0
    failed: int = 0
    refused: int = 0


@dataclass(frozen=True)
class PlanStatus:
    """State of one plan over the whole fleet.

    Attributes:
        plan: Name of the plan.
        promised: Promised success rate.
        achieved: Achieved success rate over the window, or None before the
            first request.
        succeeded: Requests that succeeded in the window.
        failed: Requests that failed in the window.
        allowed: Failures that the promise allows for these requests.
        kept: Part of `allowed` that moves and reboots must not use; it is
            reserved for unplanned failures.
        burn_rate: Current failures a second.
        reserved: Failures reserved by moves and reboots.
        held_back: Failures that the delayed counts may not include yet.
        remaining_budget: Failures that the window still allows, or None if
            unknown; negative if overspent.
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
        ready: Whether it accepts requests.
        version: Version of the configuration that it uses, -1 for none.
        log_up: Whether its last read of the log succeeded.
        offset: Offset of the next record that it will read.
        counts_age_s: Age of the counts of the member that reported least
            recently, in seconds, or None if a member has not reported.
        plans: Plans of that configuration.
        moves: Moves in progress.
        waves: Maintenance waves in progress, and stopped maintenance.
        loans: Loans between pools.
        leases: Leases of control subjects.
        members: Entry instances that are on the roster or have sent gossip.
        more: Last key of each truncated list, by the name of the list; the
            next page starts after it.
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
    """Reason why a subject currently gets no work.

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
        reasons: Values that the decision is based on.
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
        no_work_because: Reasons why it currently gets no work.
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
        msgspec.DecodeError: If a field is missing or has a wrong type.
    """
    return _STATUS.decode(data)


def decode_explain(data: bytes) -> ExplainDocument:
    """Decodes an explain document.

    Raises:
        msgspec.DecodeError: If a field is missing or has a wrong type.
    """
    return _EXPLAIN.decode(data)
