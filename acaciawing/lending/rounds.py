"""One control round of lending.

Requests above a pool's capacity spill over into a common buffer at once. An
instance moves only for demand that has outlasted a multiple of the measured
cost of a move (hysteresis, as in the ski-rental problem of Karlin et al. 1988:
waiting as long as a move costs bounds the regret).
"""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.budgets import BudgetReleased, BudgetReserved
from acaciawing.lending.buffer import (
    LEAST_HELD,
    Spill,
    held_instances,
    spills,
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
    LOAN_MULTIPLE,
    closings,
    reservation_id,
    reserve,
)
from acaciawing.lending.snapshot import (
    LendingRequest,
    LendingSnapshot,
    Postponed,
    owners_of,
)

# A move there and back costs two moves.
_MOVE_COST_MULTIPLE = 2.0

# Pools below this size prefer spill-over: one worker is an eighth or more of
# them, and a move needs demand that lasts twice as long (design 5.13).
SMALL_POOL = 8
_SMALL_POOL_MULTIPLE = 4.0


@dataclass(frozen=True)
class MoveIntent:
    """An instance that should change its pool, through ownership records.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that was seen.
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
    """What to do in a round.

    Attributes:
        history: Demand with this round's observation.
        records: Records to append, in order.
        moves: Moves that accepted loans call for; the same in each round
            until ownership has followed.
        spills: Where requests above capacity go.
        held: Instances that each pool keeps for its requests; the others may
            run lower-class tasks until they are recalled.
        postponed: Loans and returns that wait, and why.
    """

    history: DemandHistory
    records: tuple[LendingRecord, ...]
    moves: tuple[MoveIntent, ...]
    spills: tuple[Spill, ...]
    held: Mapping[str, int]
    postponed: tuple[Postponed, ...] = ()


def decide(
    snapshot: LendingSnapshot, request: LendingRequest, now: float
) -> LendingDecision:
    """Decides one round over all pools.

    Args:
        snapshot: Loans, pools, demand and budgets.
        request: The fence.
        now: Time on the log's clock, in seconds.

    Returns:
        The decision; at most one new loan in a round.
    """
    history = observe(
        snapshot.history, snapshot.pools, snapshot.move_cost_s, now
    )
    closing = tuple(closings(snapshot, request))
    returns = tuple(_returns(snapshot, history, request, now))
    lent = tuple(_lend(snapshot, history, request, now))
    proposed = (*returns, *lent)
    held = held_instances(snapshot.pools, history)
    return LendingDecision(
        history,
        (*closing, *_one_reservation(proposed)),
        tuple(_moves(snapshot)),
        tuple(spills(snapshot.pools, held)),
        held,
        tuple(p for p in proposed if isinstance(p, Postponed)),
    )


def _one_reservation(
    proposed: tuple["LendingRecord | Postponed", ...],
) -> Iterator["LendingRecord"]:
    """Keeps the first reservation; a second would name a used up epoch."""
    reserves = False
    for record in proposed:
        if isinstance(record, Postponed):
            continue
        if isinstance(record, BudgetReserved):
            if reserves:
                continue
            reserves = True
        yield record


def lasting_s(view: PoolView, move_cost_s: float) -> float:
    """Time that demand must last before an instance moves for it, seconds."""
    small = len(view.instances) < SMALL_POOL
    multiple = _SMALL_POOL_MULTIPLE if small else _MOVE_COST_MULTIPLE
    return multiple * move_cost_s


def _returns(
    snapshot: LendingSnapshot,
    history: DemandHistory,
    request: LendingRequest,
    now: float,
) -> Iterator[LoanReturnBegun | LoanExtended | BudgetReserved | Postponed]:
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
                # The move there never took place; there is nothing to move
                # back, so that no budget is needed.
                yield LoanReturnBegun(
                    name, loan.epoch, "never-moved", request.fence
                )
            continue
        reason = _return_reason(snapshot, history, loan, now)
        if reason is None:
            continue
        if reason == "extend":
            due = now + LOAN_MULTIPLE * snapshot.move_cost_s
            yield LoanExtended(name, loan.epoch, due, request.fence)
        elif loan.borrower not in returned:
            # One at a time, since idleness is judged for one instance less.
            returned.add(loan.borrower)
            back = reservation_id(name, loan.epoch, back=True)
            obstacle = reserve(
                snapshot, request, name, back, loan.borrower, now
            )
            yield obstacle or LoanReturnBegun(
                name, loan.epoch, reason, request.fence
            )


def _return_reason(
    snapshot: LendingSnapshot, history: DemandHistory, loan: Loan, now: float
) -> str | None:
    cost = snapshot.move_cost_s
    borrower = snapshot.pools[loan.borrower]
    past = history.pools[loan.borrower]
    home = history.pools.get(loan.home)
    if home is not None and _lasted(home.over_since, now) >= lasting_s(
        snapshot.pools[loan.home], cost
    ):
        return "home-needs-it"
    if _lasted(past.idle_since, now) >= lasting_s(borrower, cost):
        return "idle"
    if now >= loan.due_at:
        rest = borrower.capacity - borrower.slots
        needed = past.mean > OVERLOAD_SHARE * rest
        return "extend" if needed else "due"
    return None


def _lasted(since: float | None, now: float) -> float:
    return -1.0 if since is None else now - since


def _lend(
    snapshot: LendingSnapshot,
    history: DemandHistory,
    request: LendingRequest,
    now: float,
) -> Iterator[LendingRecord | Postponed]:
    for name, past in sorted(history.pools.items()):
        view = snapshot.pools[name]
        if past.over_since is None:
            continue
        needed = lasting_s(view, snapshot.move_cost_s)
        lasted = now - past.over_since
        if lasted < needed:
            detail = f"overload for {lasted:.0f} s of {needed:.0f} s"
            yield Postponed(name, "spill-over-first", detail)
        elif _missing(snapshot, view, past) > 0:
            outcome = _loan(snapshot, history, request, view, now)
            yield outcome
            if not isinstance(outcome, Postponed):
                return


def _missing(
    snapshot: LendingSnapshot, view: PoolView, past: PoolHistory
) -> int:
    """Instances that the pool lacks, less those on their way to it."""
    coming = sum(
        loan.borrower == view.pool
        and not loan.returning
        and all(i.instance != loan.instance for i in view.available)
        for loan in snapshot.loans.active.values()
    )
    wanted = past.mean / OVERLOAD_SHARE / view.slots
    return math.ceil(wanted - 1e-9) - len(view.available) - coming


def _loan(
    snapshot: LendingSnapshot,
    history: DemandHistory,
    request: LendingRequest,
    view: PoolView,
    now: float,
) -> LoanBegun | BudgetReserved | Postponed:
    for lender in _lenders(snapshot, history, view):
        instance = _choose(snapshot, lender, view)
        if instance is None:
            continue
        name = reservation_id(instance.instance, instance.epoch)
        obstacle = reserve(
            snapshot, request, instance.instance, name, view.pool, now
        )
        if obstacle is not None:
            return obstacle
        due = now + LOAN_MULTIPLE * snapshot.move_cost_s
        return LoanBegun(
            instance.instance,
            instance.epoch,
            lender.pool,
            view.pool,
            due,
            request.fence,
        )
    return Postponed(view.pool, "no-lender", "no pool has an instance to spare")


def _lenders(
    snapshot: LendingSnapshot, history: DemandHistory, borrower: PoolView
) -> list[PoolView]:
    """Pools that can do without an instance, spare pools first."""
    able = []
    for view in snapshot.pools.values():
        past = history.pools[view.pool]
        rest = len(view.available) - 1
        if view.pool == borrower.pool or rest < LEAST_HELD:
            continue
        if max(past.mean, past.recent) > OVERLOAD_SHARE * rest * view.slots:
            continue
        able.append(view)
    able.sort(key=lambda v: (not v.spare, v.demand / v.capacity, v.pool))
    return able


def _choose(
    snapshot: LendingSnapshot, lender: PoolView, borrower: PoolView
) -> PoolInstance | None:
    """Picks the instance that keeps both pools spread over the zones."""
    lent, epochs = snapshot.loans.active, snapshot.loans.epochs
    # An instance whose last loan ended without a move keeps its ownership
    # epoch, and the fold would refuse another loan of that epoch.
    free = [
        i
        for i in lender.available
        if i.instance not in lent and i.epoch > epochs.get(i.instance, -1)
    ]
    if not free:
        return None
    here = [i.zone for i in borrower.available]
    there = [i.zone for i in lender.available]
    # The borrower's emptiest zone, and of those the lender's fullest.
    return min(
        free,
        key=lambda i: (
            there.count(i.zone) == 1,
            here.count(i.zone),
            -there.count(i.zone),
            i.instance,
        ),
    )


def _moves(snapshot: LendingSnapshot) -> Iterator[MoveIntent]:
    owners = owners_of(snapshot)
    for name, loan in sorted(snapshot.loans.active.items()):
        owner = owners.get(name)
        if owner is None:
            continue
        pool, instance = owner
        target = loan.home if loan.returning else loan.borrower
        if pool != target:
            yield MoveIntent(name, instance.epoch, pool, target)
