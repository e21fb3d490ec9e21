"""The three refusals that a caller can get (RFC 9457 problem documents)."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class NotRun:
    """The request has provably not run.

    Attributes:
        code: Code in kebab case, for example ``rate-limit``.
        detail: Text for the caller; holds no secret.
        status: HTTP status.
        retry_after_s: Seconds after which a retry may be accepted.
    """

    code: str
    detail: str
    status: int = 503
    retry_after_s: float | None = None


@dataclass(frozen=True)
class RanAndFailed:
    """The request ran at an endpoint and no whole answer is available.

    Attributes:
        code: Code in kebab case.
        detail: Text for the caller.
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
        detail: Text for the caller.
        status: HTTP status.
    """

    code: str
    detail: str
    status: int = 504


@dataclass(frozen=True)
class AlreadyRan:
    """A repeat of a request that has run to its end.

    It is no refusal of the first copy: this one is not run, and the answer of
    the first is no longer held here.

    Attributes:
        ran_status: HTTP status that the first copy ended with.
        code: Code in kebab case.
        detail: Text for the caller.
        status: HTTP status.
    """

    ran_status: int
    code: str = "already-ran"
    detail: str = "the request with this key has run; its answer is not held"
    status: int = 409


Refusal: TypeAlias = NotRun | RanAndFailed | OutcomeUnknown | AlreadyRan
