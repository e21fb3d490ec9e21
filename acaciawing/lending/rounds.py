"""One control round of lending.

Requests above a pool's capacity spill over into a common buffer at once. An
instance moves only for demand that has lasted for a multiple of the measured
cost of a move (hysteresis, as in the ski-rental problem of Karlin et al. 1988:
waiting as long as a move costs bounds the regret).
"""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.budgets import BudgetReleased, BudgetReserved
from acaciawing.lending.buffer import (
    MIN_HELD_INSTANCES,
    Spill,
    compute_held_instances,
    spill_targets,
)
from acaciawing.lending.demand import (
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
)
from acaciawing.lending.reservations import (
    LOAN_DURATION_MULTIPLE,
    closing_records,
    reservation_id,
    reserve_budget,
)
from acaciawing.lending.snapshot import (
    LendingRequest,
    LendingSnapshot,
    Postponement,
    owners_of,
)

# Minimum duration of overload or idleness, as a multiple of the move cost. A
# loan costs two moves: one to the borrower and one back.
_MIN_DURATION_MULTIPLE = 2.0

# Pools with fewer instances prefer spill-over, since a single instance is more
# than an eighth of them: a move needs demand that lasts twice as long (design
# 5.13).
SMALL_POOL_INSTANCES = 8
_SMALL_POOL_MIN_DURATION_MULTIPLE = 4.0


@dataclass(frozen=True)
class MoveIntent:
    """A move to carry out through ownership records.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that was read.
        source: Pool that owns it.
        target: Pool that should own it.
    """

    instance: str
    epoch: int
    source: str
    target: str


LendingRecord: TypeAlias = (
    LoanBegun
    | LoanExtended
    | LoanReturnBegun
    | LoanClosed
    | BudgetReserved
    | BudgetReleased
)


@dataclass(frozen=True)
class LendingDecision:
    """Decision of a lending round.

    Attributes:
        history: Demand with this round's observation.
        records: Records to append, in order.
        moves: Moves that accepted loans require; repeated in each round
            until the ownership has changed.
        spills: Target pools for requests above capacity.
        held: Number of instances that each pool holds for its requests; the
            others may run lower-class tasks until they are recalled.
        postponed: Loans and returns that wait, with the reason.
    """

    history: DemandHistory
    records: tuple[LendingRecord, ...]
    moves: tuple[MoveIntent, ...]
    spills: tuple[Spill, ...]
    held: Mapping[str, int]
    postponed: tuple[Postponement, ...] = ()


def decide(
    snapshot: LendingSnapshot, request: LendingRequest, now: float
) -> LendingDecision:
    """Decides one round over all pools.

    Args:
        snapshot: Loans, pools, demand and budgets.
        request: Parameters of the round.
        now: Time on the log's clock, in seconds.

    Returns:
        The decision; at most one new loan in a round.
    """
    history = observe(
        snapshot.history, snapshot.pools, snapshot.move_cost_s, now
    )
    closing = tuple(closing_records(snapshot, request))
    returns = tuple(_returns_and_extensions(snapshot, history, request, now))
    new_loans = tuple(_begin_loans(snapshot, history, request, now))
    proposed = (*returns, *new_loans)
    held = compute_held_instances(snapshot.pools, history)
    return LendingDecision(
        history,
        (*closing, *_limit_reservations(proposed)),
        tuple(_move_intents(snapshot)),
        tuple(spill_targets(snapshot.pools, held)),
        held,
        tuple(p for p in proposed if isinstance(p, Postponement)),
    )


def _limit_reservations(
    proposed: tuple["LendingRecord | Postponement", ...],
) -> Iterator["LendingRecord"]:
    """Drops the postponements, and all reservations but the first.

    An accepted reservation changes the budget epoch, so that the fold would
    ignore the others.
    """
    has_reservation = False
    for record in proposed:
        if isinstance(record, Postponement):
            continue
        if isinstance(record, BudgetReserved):
            if has_reservation:
                continue
            has_reservation = True
        yield record


def min_duration_s(view: PoolView, move_cost_s: float) -> float:
    """Time that overload or idleness must last to cause a move, in seconds."""
    small = len(view.instances) < SMALL_POOL_INSTANCES
    multiple = (
        _SMALL_POOL_MIN_DURATION_MULTIPLE if small else _MIN_DURATION_MULTIPLE
    )
    return multiple * move_cost_s


def _returns_and_extensions(
    snapshot: LendingSnapshot,
    history: DemandHistory,
    request: LendingRequest,
    now: float,
) -> Iterator[LoanReturnBegun | LoanExtended | BudgetReserved | Postponement]:
    owners = owners_of(snapshot)
    returned: set[str] = set()
    for name, loan in sorted(
        snapshot.loans.active.items(),
        key=lambda item: (item[1].due_at, item[0]),
    ):
        owner = owners.get(name)
        if loan.returning or owner is None:
            continue
        if owner[0] != loan.borrower:
            if now >= loan.due_at:
                # The move to the borrower never took place. There is nothing
                # to move back, so no budget is needed.
                yield LoanReturnBegun(
                    name, loan.epoch, "never-moved", request.fence
                )
            continue
        reason = _return_reason(snapshot, history, loan, now)
        if reason is None:
            continue
        if reason == "extend":
            due = now + LOAN_DURATION_MULTIPLE * snapshot.move_cost_s
            yield LoanExtended(name, loan.epoch, due, request.fence)
        elif loan.borrower not in returned:
            # One return for each borrower in a round, since an idle pool is
            # only known to do without a single instance.
            returned.add(loan.borrower)
            reservation = reservation_id(name, loan.epoch, is_return=True)
            obstacle = reserve_budget(
                snapshot, request, name, reservation, loan.borrower, now
            )
            yield obstacle or LoanReturnBegun(
                name, loan.epoch, reason, request.fence
            )


def _return_reason(
    snapshot: LendingSnapshot, history: DemandHistory, loan: Loan, now: float
) -> str | None:
    """Returns the reason for a return, ``extend`` to extend the loan, or None.

    None means that the loan stays as it is.
    """
    cost = snapshot.move_cost_s
    borrower = snapshot.pools[loan.borrower]
    pool_history = history.pools[loan.borrower]
    home = history.pools.get(loan.home)
    if home is not None and _elapsed(
        home.overloaded_since, now
    ) >= min_duration_s(snapshot.pools[loan.home], cost):
        return "home-needs-it"
    if _elapsed(pool_history.idle_since, now) >= min_duration_s(borrower, cost):
        return "idle"
    if now >= loan.due_at:
        remaining = borrower.capacity - borrower.slots
        needed = pool_history.mean > OVERLOAD_SHARE * remaining
        return "extend" if needed else "due"
    return None


def _elapsed(since: float | None, now: float) -> float:
    return -1.0 if since is None else now - since


def _begin_loans(
    snapshot: LendingSnapshot,
    history: DemandHistory,
    request: LendingRequest,
    now: float,
) -> Iterator[LendingRecord | Postponement]:
    for name, pool_history in sorted(history.pools.items()):
        view = snapshot.pools[name]
        if pool_history.overloaded_since is None:
            continue
        needed = min_duration_s(view, snapshot.move_cost_s)
        lasted = now - pool_history.overloaded_since
        if lasted < needed:
            detail = f"overload for {lasted:.0f} s of {needed:.0f} s"
            yield Postponement(name, "spill-over-first", detail)
        elif _missing_instances(snapshot, view, pool_history) > 0:
            proposal = _begin_loan(snapshot, history, request, view, now)
            yield proposal
            if not isinstance(proposal, Postponement):
                return


def _missing_instances(
    snapshot: LendingSnapshot, view: PoolView, pool_history: PoolHistory
) -> int:
    """Number of instances that the pool lacks, less those moving to it."""
    arriving = sum(
        loan.borrower == view.pool
        and not loan.returning
        and all(i.instance != loan.instance for i in view.available)
        for loan in snapshot.loans.active.values()
    )
    required = pool_history.mean / OVERLOAD_SHARE / view.slots
    return math.ceil(required - 1e-9) - len(view.available) - arriving


def _begin_loan(
    snapshot: LendingSnapshot,
    history: DemandHistory,
    request: LendingRequest,
    view: PoolView,
    now: float,
) -> LoanBegun | BudgetReserved | Postponement:
    for lender in _lenders(snapshot, history, view):
        instance = _choose_instance(snapshot, lender, view)
        if instance is None:
            continue
        reservation = reservation_id(instance.instance, instance.epoch)
        obstacle = reserve_budget(
            snapshot, request, instance.instance, reservation, view.pool, now
        )
        if obstacle is not None:
            return obstacle
        due = now + LOAN_DURATION_MULTIPLE * snapshot.move_cost_s
        return LoanBegun(
            instance.instance,
            instance.epoch,
            lender.pool,
            view.pool,
            due,
            request.fence,
        )
    return Postponement(view.pool, "no-lender", "no pool can lend an instance")


def _lenders(
    snapshot: LendingSnapshot, history: DemandHistory, borrower: PoolView
) -> list[PoolView]:
    """Pools that are able to lend an instance, spare pools first."""
    lenders = []
    for view in snapshot.pools.values():
        pool_history = history.pools[view.pool]
        remaining = len(view.available) - 1
        if view.pool == borrower.pool or remaining < MIN_HELD_INSTANCES:
            continue
        if (
            max(pool_history.mean, pool_history.recent)
            > OVERLOAD_SHARE * remaining * view.slots
        ):
            continue
        lenders.append(view)
    lenders.sort(key=lambda v: (not v.spare, v.demand / v.capacity, v.pool))
    return lenders


def _choose_instance(
    snapshot: LendingSnapshot, lender: PoolView, borrower: PoolView
) -> PoolInstance | None:
    """Chooses the instance that keeps both pools spread over the zones."""
    lent, epochs = snapshot.loans.active, snapshot.loans.epochs
    # An instance whose last loan ended without a move keeps its ownership
    # epoch, and the fold would ignore another loan of that epoch.
    free = [
        i
        for i in lender.available
        if i.instance not in lent and i.epoch > epochs.get(i.instance, -1)
    ]
    if not free:
        return None
    borrower_zones = [i.zone for i in borrower.available]
    lender_zones = [i.zone for i in lender.available]
    # Prefers zones where the lender keeps another instance, then the zone where
    # the borrower has the fewest instances, then where the lender has the most.
    return min(
        free,
        key=lambda i: (
            lender_zones.count(i.zone) == 1,
            borrower_zones.count(i.zone),
            -lender_zones.count(i.zone),
            i.instance,
        ),
    )


def _move_intents(snapshot: LendingSnapshot) -> Iterator[MoveIntent]:
    owners = owners_of(snapshot)
    for name, loan in sorted(snapshot.loans.active.items()):
        owner = owners.get(name)
        if owner is None:
            continue
        pool, instance = owner
        target = loan.home if loan.returning else loan.borrower
        if pool != target:
            yield MoveIntent(name, instance.epoch, pool, target)
