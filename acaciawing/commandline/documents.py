"""Documents of the administration API, as the command line reads them.

Members that this release does not know are skipped, so that a newer entry
instance can be asked as well.
"""

from dataclasses import dataclass
from typing import Any

import msgspec


@dataclass(frozen=True)
class PlanStatus:
    """One plan as an entry instance sees it.

    Attributes:
        plan: Name of the plan.
        promised: Promised success rate.
        achieved: Achieved success rate, or None before the first request.
        succeeded: Requests that succeeded in the window.
        failed: Requests that failed in the window.
        refused: Requests that were refused in the window.
        remaining_budget: Failures that the window still allows, or None if
            not known.
    """

    plan: str
    promised: float
    achieved: float | None = None
    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    remaining_budget: float | None = None


@dataclass(frozen=True)
class StatusDocument:
    """Answer of ``GET /v1/status``.

    Attributes:
        instance: The entry instance that answered.
        zone: Its availability zone.
        ready: Whether it takes requests.
        version: Version of the configuration that it uses, -1 for none.
        plans: Plans of that configuration.
        moves: Moves under way.
        waves: Maintenance waves under way.
        loans: Loans between pools.
        members: Entry instances that it knows.
    """

    instance: str
    zone: str
    ready: bool
    version: int
    plans: tuple[PlanStatus, ...] = ()
    moves: tuple[dict[str, Any], ...] = ()
    waves: tuple[dict[str, Any], ...] = ()
    loans: tuple[dict[str, Any], ...] = ()
    members: tuple[dict[str, Any], ...] = ()


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
    """

    kind: str
    id: str
    events: tuple[ExplainEvent, ...] = ()


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
