"""Refusals as problem documents (RFC 9457)."""

import math
from functools import singledispatch

import msgspec

from acaciawing.outcomes import (
    AlreadyRan,
    NotRun,
    OutcomeUnknown,
    RanAndFailed,
    Refusal,
)

OUTCOME_HEADER = "Acaciawing-Outcome"


@singledispatch
def outcome_name(refusal: Refusal) -> str:
    """Returns the name of the outcome for the document and the header.

    >>> outcome_name(NotRun("rate-limit", ""))
    'not-run'
    """
    raise TypeError(type(refusal).__name__)


@outcome_name.register
def _(refusal: NotRun) -> str:
    return "not-run"


@outcome_name.register
def _(refusal: RanAndFailed) -> str:
    return "failed"


@outcome_name.register
def _(refusal: OutcomeUnknown) -> str:
    return "unknown"


@outcome_name.register
def _(refusal: AlreadyRan) -> str:
    return "ran"


def render(
    refusal: Refusal, request_id: str
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Renders a refusal as a problem document.

    Args:
        refusal: The refusal.
        request_id: Id of the request; callers can quote it to the operators.

    Returns:
        Status, headers and body.
    """
    name = outcome_name(refusal)
    document: dict[str, object] = {
        "type": f"urn:acaciawing:{refusal.code}",
        "title": refusal.code,
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": name,
        "request": request_id,
    }
    if isinstance(refusal, AlreadyRan):
        document["ran_status"] = refusal.ran_status
    body = msgspec.json.encode(document)
    headers = [
        ("Content-Type", "application/problem+json"),
        (OUTCOME_HEADER, name),
    ]
    retry_after_s = getattr(refusal, "retry_after_s", None)
    if retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(retry_after_s)))))
    return refusal.status, headers, body
