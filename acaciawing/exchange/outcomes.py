"""Request to an endpoint and the tagged outcomes of the exchange."""

from dataclasses import dataclass
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class EndpointRequest:
    """A whole request for an endpoint.

    Attributes:
        method: HTTP method in upper case.
        target: Path with query, as the caller sent it.
        headers: Header fields of the caller; hop-by-hop fields are removed by
            the exchange.
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
        leaving: Whether the endpoint said that it is leaving.
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
    """The endpoint said that it has not run the request.

    Attributes:
        detail: What was seen.
        retry_after_s: Value of ``Retry-After`` in seconds, if given.
        leaving: Whether the endpoint said that it is leaving.
    """

    detail: str
    retry_after_s: float | None = None
    leaving: bool = False


@dataclass(frozen=True)
class Interrupted:
    """A byte of the request may have left; no final header section came."""

    detail: str


@dataclass(frozen=True)
class BadAnswer:
    """The endpoint answered, but the answer is not whole or not valid.

    Attributes:
        detail: What was seen.
        code: ``answer-incomplete``, ``answer-invalid`` or
            ``response-too-large``.
    """

    detail: str
    code: str = "answer-invalid"


@dataclass(frozen=True)
class AnswerTimeout:
    """A byte of the request may have left; the deadline passed."""

    detail: str


ExchangeOutcome: TypeAlias = (
    Answer | NotSent | EndpointNotRun | Interrupted | BadAnswer | AnswerTimeout
)
