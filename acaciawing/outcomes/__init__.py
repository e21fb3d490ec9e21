"""Outcome types shared by several packages."""

from acaciawing.outcomes.record_outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.outcomes.refusals import (
    AlreadyRan,
    NotRun,
    OutcomeUnknown,
    RanAndFailed,
    Refusal,
)

__all__ = [
    "Accepted",
    "AlreadyRan",
    "Ignored",
    "NotRun",
    "OutcomeUnknown",
    "RanAndFailed",
    "Refusal",
    "RecordOutcome",
]
