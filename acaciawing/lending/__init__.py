"""Loans of instances between pools, and spill-over of requests."""

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
    SMALL_POOL_INSTANCES,
    LendingDecision,
    LendingRecord,
    MoveIntent,
    decide,
    min_duration_s,
)
from acaciawing.lending.snapshot import (
    LendingRequest,
    LendingSnapshot,
    Postponement,
)

__all__ = [
    "IDLE_SHARE",
    "LENDING_SUBJECT",
    "OVERLOAD_SHARE",
    "SMALL_POOL_INSTANCES",
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
    "Postponement",
    "PoolHistory",
    "PoolInstance",
    "PoolView",
    "Spill",
    "decide",
    "min_duration_s",
    "observe",
]
