"""Refusals returned to callers as RFC 9457 problem documents."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class NotRun:
    """The request has certainly not run.

    Attributes:
        code: Code in kebab case, for example ``rate-limit``.
        detail: Message for the caller; must not contain secrets.
        status: HTTP status.
        retry_after_s: Seconds after which a retry may be accepted.
    """

    code: str
    detail: str
    status: int = 503
    retry_after_s: float | None = None


@dataclass(frozen=True)
class RanAndFailed:
    """The request ran at an endpoint, but no complete answer is available.

    Attributes:
        code: Code in kebab case.
        detail: Message for the caller.
        status: HTTP status.
    """

    code: str
    detail: str
    status: int = 502


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may or may not have run.

    Attributes:
        code: Code in kebab case, for example ``answer-timeout``.
        detail: Message for the caller.
        status: HTTP status.
    """

    code: str
    detail: str
    status: int = 504


@dataclass(frozen=True)
class AlreadyRan:
    """A repetition of a request that has already run to its end.

    The repetition is not run, and the answer to the original request is no longer
    stored. This is not a refusal of the original request.

    Attributes:
        ran_status: HTTP status of the original request.
        code: Code in kebab case.
        detail: Message for the caller.
        status: HTTP status.
    """

    ran_status: int
    code: str = "already-ran"
    detail: str = "the request with this key has run; its answer is not held"
    status: int = 409


Refusal: TypeAlias = NotRun | RanAndFailed | OutcomeUnknown | AlreadyRan
