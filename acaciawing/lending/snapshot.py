"""What a lending round looks at."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from acaciawing.budgets import BudgetSnapshot
from acaciawing.leases import Fence
from acaciawing.lending.demand import DemandHistory, PoolInstance, PoolView
from acaciawing.lending.loans import LoanTable


@dataclass(frozen=True)
class LendingSnapshot:
    """What a round looks at.

    Attributes:
        loans: The fold's loans.
        pools: All pools, with the instances that they own now.
        history: Demand seen by earlier rounds of this instance.
        move_cost_s: Measured time in which a moving instance serves nobody.
        budgets: Ledger, plans and roster for the gate.
        impact: Requests that draining an instance may fail, by plan.
    """

    loans: LoanTable
    pools: Mapping[str, PoolView]
    history: DemandHistory
    move_cost_s: float
    budgets: BudgetSnapshot
    impact: Mapping[str, Mapping[str, float]] = field(default_factory=dict)


@dataclass(frozen=True)
class LendingRequest:
    """Request for a round.

    Attributes:
        fence: Lease of `LENDING_SUBJECT`, held by this process.
    """

    fence: Fence


@dataclass(frozen=True)
class Postponed:
    """A loan or a return that does not begin now.

    Attributes:
        pool: The borrower.
        reason: ``spill-over-first``, ``no-lender`` or ``budget``.
        detail: Text for the operator.
    """

    pool: str
    reason: str
    detail: str


def owners_of(
    snapshot: LendingSnapshot,
) -> dict[str, tuple[str, PoolInstance]]:
    """Pool and instance by instance id."""
    return {
        instance.instance: (view.pool, instance)
        for view in snapshot.pools.values()
        for instance in view.instances
    }
