"""Loans of instances between pools and their return."""

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
    LendingRequest,
    LendingSnapshot,
    MoveIntent,
    Postponed,
    Spill,
    decide,
    lasting_s,
)

__all__ = [
    "IDLE_SHARE",
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
