"""Loans of instances between pools and their return."""

from acaciawing.lending.buffer import Spill
from acaciawing.lending.demand import (
    IDLE_SHARE,
    OVERLOAD_SHARE,
    DemandHistory,
    PoolHistory,
    PoolInstance,
    PoolView,
    observe,
)
from acaciawing.lending.loans import (
    LENDING_SUBJECT,
    Loan,
    LoanBegun,
    LoanClosed,
    LoanExtended,
    LoanReturnBegun,
    LoanTable,
)
from acaciawing.lending.rounds import (
    SMALL_POOL,
    LendingDecision,
    LendingRecord,
    MoveIntent,
    decide,
    lasting_s,
)
from acaciawing.lending.snapshot import (
    LendingRequest,
    LendingSnapshot,
    Postponed,
)

__all__ = [
    "IDLE_SHARE",
    "LENDING_SUBJECT",
    "OVERLOAD_SHARE",
    "SMALL_POOL",
    "DemandHistory",
    "LendingDecision",
    "LendingRecord",
    "LendingRequest",
    "LendingSnapshot",
    "Loan",
    "LoanBegun",
    "LoanClosed",
    "LoanExtended",
    "LoanReturnBegun",
    "LoanTable",
    "MoveIntent",
    "Postponed",
    "PoolHistory",
    "PoolInstance",
    "PoolView",
    "Spill",
    "decide",
    "lasting_s",
    "observe",
]
