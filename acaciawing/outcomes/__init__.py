"""Tagged outcomes that several packages share."""

from acaciawing.outcomes.refusals import (
    AlreadyRan,
    NotRun,
    OutcomeUnknown,
    RanAndFailed,
    Refusal,
)
from acaciawing.outcomes.verdicts import Accepted, Ignored, Verdict

__all__ = [
    "Accepted",
    "AlreadyRan",
    "Ignored",
    "NotRun",
    "OutcomeUnknown",
    "RanAndFailed",
    "Refusal",
    "Verdict",
]
