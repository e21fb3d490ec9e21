"""Request to an endpoint and the possible outcomes of the exchange."""

from dataclasses import dataclass
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class EndpointRequest:
    """A whole request for an endpoint.

    Attributes:
        method: HTTP method in upper case.
        target: Path with query, as the caller sent it.
        headers: Header fields of the caller. The exchange removes hop-by-hop
            fields.
        body: The whole body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True)
class Answer:
    """A whole answer of the endpoint, of any status.

    Attributes:
        status: HTTP status, 200 or above.
        headers: Header fields without the hop-by-hop ones.
        body: The whole body.
        leaving: Whether the endpoint reported that it is leaving.
    """

    status: int
    headers: Headers
    body: bytes
    leaving: bool = False


@dataclass(frozen=True)
class NotSent:
    """No byte of the request left this process."""

    detail: str


@dataclass(frozen=True)
class EndpointNotRun:
    """The endpoint reported that it has not run the request.

    Attributes:
        detail: Cause, for people to read.
        retry_after_s: Value of ``Retry-After`` in seconds, if given.
        leaving: Whether the endpoint reported that it is leaving.
    """

    detail: str
    retry_after_s: float | None = None
    leaving: bool = False


@dataclass(frozen=True)
class Interrupted:
    """The connection failed before a final header section arrived.

    Bytes of the request may have left this process.
    """

    detail: str


@dataclass(frozen=True)
class BadAnswer:
    """The endpoint sent an incomplete or invalid answer.

    Attributes:
        detail: Cause, for people to read.
        code: ``answer-incomplete``, ``answer-invalid`` or
            ``response-too-large``.
    """

    detail: str
    code: str = "answer-invalid"


@dataclass(frozen=True)
class AnswerTimeout:
    """The deadline passed; bytes of the request may have left this process."""

    detail: str


ExchangeOutcome: TypeAlias = (
    Answer | NotSent | EndpointNotRun | Interrupted | BadAnswer | AnswerTimeout
)
