"""Hop-by-hop header fields, and checks of an answer's framing."""

import re
from collections.abc import Iterable

from acaciawing.exchange.outcomes import Headers

TIMEOUT_FIELD = "X-Request-Timeout"
OUTCOME_FIELD = "Acaciawing-Outcome"
ENDPOINT_FIELD = "Acaciawing-Endpoint"

# RFC 9110 section 7.6.1; Proxy-Auth* by section 11.7. Trailer is removed too, since
# bodies are forwarded without trailers.
_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authentication-info",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# The exchange sets the framing and the remaining time itself, and sends the body
# without waiting for 100 (Continue).
_SET_BY_EXCHANGE = frozenset(
    ("content-length", "expect", TIMEOUT_FIELD.lower())
)
_LINE_FOLD = re.compile(r"[ \t]*\r?\n[ \t]+")


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Removes hop-by-hop fields, including those named in Connection.

    >>> end_to_end([("Connection", "close, X-Hop"), ("x-hop", "1"), ("A", "b")])
    (('A', 'b'),)
    """
    fields = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, _LINE_FOLD.sub(" ", value).strip())
        for name, value in fields
        if name.lower() not in _HOP_BY_HOP and name.lower() not in named
    )


def request_fields(headers: Headers, timeout_s: float) -> Headers:
    """Builds the header fields to send.

    Args:
        headers: Fields of the caller.
        timeout_s: Time left for the exchange, in seconds.

    Returns:
        End-to-end fields and the time left.
    """
    forwarded = tuple(
        field
        for field in end_to_end(headers)
        if field[0].lower() not in _SET_BY_EXCHANGE
    )
    return (*forwarded, (TIMEOUT_FIELD, f"{timeout_s:.3f}"))


def answer_fields(
    headers: Iterable[tuple[str, str]], method: str, status: int, length: int
) -> Headers:
    """Builds the header fields to return to the caller.

    Content-Length is set from the body that was read, since a chunked answer
    has none. In answers to HEAD and in 304 it describes the selected
    representation instead of a body, and is left as it is.
    """
    forwarded = end_to_end(headers)
    if method == "HEAD" or status == 304:
        return forwarded
    forwarded = tuple(f for f in forwarded if f[0].lower() != "content-length")
    if status == 204:
        return forwarded
    return (*forwarded, ("Content-Length", str(length)))


def framing_fault(
    transfer_codings: list[str], lengths: list[str], has_body: bool
) -> str:
    """Returns why an answer's framing is unreliable (RFC 9112 section 6.3).

    Args:
        transfer_codings: Values of Transfer-Encoding.
        lengths: Values of Content-Length.
        has_body: Whether method and status allow a body.

    Returns:
        The fault, or an empty string.

    >>> framing_fault([], ["3", "4"], True)
    'conflicting Content-Length'
    >>> framing_fault([], [], True)
    'no length given, so a truncated answer could not be detected'
    >>> framing_fault(["chunked"], [], True)
    ''
    """
    values = {v.strip() for value in lengths for v in value.split(",")}
    if transfer_codings and lengths:
        return "both Content-Length and Transfer-Encoding"
    if len(values) > 1:
        return "conflicting Content-Length"
    if any(not v.isascii() or not v.isdigit() for v in values):
        return "Content-Length is not a number"
    codings = [value.strip().lower() for value in transfer_codings]
    if codings not in ([], ["chunked"]):
        return "transfer coding other than chunked"
    if has_body and not codings and not values:
        return "no length given, so a truncated answer could not be detected"
    return ""


def retry_after_s(value: str | None) -> float | None:
    """Parses Retry-After in seconds; the project's endpoints send no dates.

    >>> retry_after_s("2"), retry_after_s("Fri, 31 Dec 1999 23:59:59 GMT")
    (2.0, None)
    """
    if value is None or not value.isascii() or not value.strip().isdigit():
        return None
    return float(value)
