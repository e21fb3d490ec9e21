"""Outcomes of folding a log record."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class Accepted:
    """The record took effect."""


@dataclass(frozen=True)
class Ignored:
    """The record changed nothing.

    Attributes:
        reason: Code in kebab case, for example ``stale-epoch``.
        detail: Message for the operator.
    """

    reason: str
    detail: str


RecordOutcome: TypeAlias = Accepted | Ignored
