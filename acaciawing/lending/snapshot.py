"""Input of a lending round."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from acaciawing.budgets import BudgetSnapshot
from acaciawing.leases import Fence
from acaciawing.lending.demand import DemandHistory, PoolInstance, PoolView
from acaciawing.lending.loans import LoanTable


@dataclass(frozen=True)
class LendingSnapshot:
    """Input of a lending round, as known to this control instance.

    Attributes:
        loans: Loans of the folded state.
        pools: All pools, with the instances that they own now.
        history: Demand that earlier rounds of this instance observed.
        move_cost_s: Measured time for which a move takes an instance out of
            service.
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
    """Parameters of a lending round.

    Attributes:
        fence: Lease of `LENDING_SUBJECT`, held by this process.
    """

    fence: Fence


@dataclass(frozen=True)
class Postponement:
    """A loan or return that can't begin in this round.

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
    """Returns the owning pool and the instance, by instance id."""
    return {
        instance.instance: (view.pool, instance)
        for view in snapshot.pools.values()
        for instance in view.instances
    }
