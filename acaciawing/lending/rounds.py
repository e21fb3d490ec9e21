"""One control round of lending.

Requests above a pool's capacity spill over into a common buffer at once. An
instance moves only for demand that has outlasted a multiple of the measured
cost of a move (hysteresis, as in the ski-rental problem of Karlin et al. 1988:
waiting as long as a move costs bounds the regret).
"""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from acaciawing.budgets import (
    Action,
    BudgetReleased,
    BudgetReserved,
    BudgetSnapshot,
    DisruptionRequest,
    Granted,
    ask,
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
    LoanTable,
)

# A move there and back costs two moves.
_MOVE_COST_MULTIPLE = 2.0

# Pools below this size prefer spill-over: one worker is an eighth or more of
# them, and a move needs demand that lasts twice as long (design 5.13).
SMALL_POOL = 8
_SMALL_POOL_MULTIPLE = 4.0

# A loan is due after this many move costs, and extended by as much.
_LOAN_MULTIPLE = 20.0

# Share of a buffer pool's slots kept from spill-over for its own requests.
_OWN_SHARE = 0.25

# Instances that each pool holds in any case, in different zones if it can.
_LEAST_HELD = 2

# Held slots over the remembered demand; covers the spread of random arrivals.
_HEADROOM = 1.25


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
        token: Fencing token of the lending lease.
    """

    token: int


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


@dataclass(frozen=True)
class Spill:
    """Where requests above a pool's capacity go.

    Attributes:
        pool: The pool.
        targets: Pools and the slots that they have for others, best first.
    """

    pool: str
    targets: tuple[tuple[str, int], ...]


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
        request: The fencing token.
        now: Time on the log's clock, in seconds.

    Returns:
        The decision; at most one new loan in a round.
    """
    history = observe(
        snapshot.history, snapshot.pools, snapshot.move_cost_s, now
    )
    closing = tuple(_closings(snapshot, request))
    returns = tuple(_returns(snapshot, history, request, now))
    lent = tuple(_lend(snapshot, history, request, now))
    proposed = (*returns, *lent)
    held = _held(snapshot, history)
    return LendingDecision(
        history,
        (*closing, *_one_reservation(proposed)),
        tuple(_moves(snapshot)),
        tuple(_spills(snapshot, held)),
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


def _owners(
    snapshot: LendingSnapshot,
) -> dict[str, tuple[str, PoolInstance]]:
    return {
        instance.instance: (view.pool, instance)
        for view in snapshot.pools.values()
        for instance in view.instances
    }


def _reservation_id(instance: str, epoch: int, back: bool = False) -> str:
    return f"loan/{instance}/{epoch}/{'return' if back else 'begin'}"


def _closings(
    snapshot: LendingSnapshot, request: LendingRequest
) -> Iterator[LoanClosed | BudgetReleased]:
    owners = _owners(snapshot)
    for name, loan in sorted(snapshot.loans.active.items()):
        owner = owners.get(name)
        home = owner is not None and owner[0] == loan.home
        # A lent instance that is at home without a return begun has not moved
        # yet. One that is owned by nobody was replaced under another id.
        if owner is None or (loan.returning and home):
            yield LoanClosed(name, loan.epoch, request.token)
    needed = _needed_reservations(snapshot, owners)
    for name, made in sorted(snapshot.budgets.ledger.reservations.items()):
        ours = name.startswith("loan/") and not made.released
        if ours and name not in needed:
            yield BudgetReleased(name)


def _needed_reservations(
    snapshot: LendingSnapshot, owners: Mapping[str, tuple[str, PoolInstance]]
) -> set[str]:
    """Reservations of moves that may still begin or have not ended."""
    needed = set()
    for name, (pool, instance) in owners.items():
        loan = snapshot.loans.active.get(name)
        if loan is None:
            needed.add(_reservation_id(name, instance.epoch))
        elif loan.returning or pool == loan.borrower:
            needed.add(_reservation_id(name, loan.epoch, back=True))
        else:
            needed.add(_reservation_id(name, loan.epoch))
    return needed


def _returns(
    snapshot: LendingSnapshot,
    history: DemandHistory,
    request: LendingRequest,
    now: float,
) -> Iterator[LoanReturnBegun | LoanExtended | BudgetReserved | Postponed]:
    owners = _owners(snapshot)
    returned: set[str] = set()
    for name, loan in sorted(
        snapshot.loans.active.items(), key=lambda item: item[1].due_at
    ):
        owner = owners.get(name)
        if loan.returning or owner is None or owner[0] != loan.borrower:
            continue
        reason = _return_reason(snapshot, history, loan, now)
        if reason is None:
            continue
        if reason == "extend":
            due = now + _LOAN_MULTIPLE * snapshot.move_cost_s
            yield LoanExtended(name, loan.epoch, due, request.token)
        elif loan.borrower not in returned:
            # One at a time, since idleness is judged for one instance less.
            returned.add(loan.borrower)
            back = _reservation_id(name, loan.epoch, back=True)
            obstacle = _reserve(snapshot, name, back, loan.borrower, now)
            yield obstacle or LoanReturnBegun(
                name, loan.epoch, reason, request.token
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
        name = _reservation_id(instance.instance, instance.epoch)
        obstacle = _reserve(snapshot, instance.instance, name, view.pool, now)
        if obstacle is not None:
            return obstacle
        due = now + _LOAN_MULTIPLE * snapshot.move_cost_s
        return LoanBegun(
            instance.instance,
            instance.epoch,
            lender.pool,
            view.pool,
            due,
            request.token,
        )
    return Postponed(view.pool, "no-lender", "no pool has an instance to spare")


def _reserve(
    snapshot: LendingSnapshot,
    instance: str,
    reservation: str,
    borrower: str,
    now: float,
) -> BudgetReserved | Postponed | None:
    """What must come before a move; None once its budget is reserved."""
    made = snapshot.budgets.ledger.reservations.get(reservation)
    if made is not None and made.expires_at > now + snapshot.move_cost_s:
        return None
    asked = DisruptionRequest(Action.MOVE, snapshot.impact.get(instance, {}))
    decision = ask(snapshot.budgets, asked, now)
    if not isinstance(decision, Granted):
        codes = ", ".join(f"{r.code}:{r.plan}" for r in decision.reasons)
        return Postponed(borrower, "budget", codes)
    duration = _LOAN_MULTIPLE * snapshot.move_cost_s
    return BudgetReserved(reservation, decision.amounts, duration)


def _lenders(
    snapshot: LendingSnapshot, history: DemandHistory, borrower: PoolView
) -> list[PoolView]:
    """Pools that can do without an instance, spare pools first."""
    able = []
    for view in snapshot.pools.values():
        past = history.pools[view.pool]
        rest = len(view.available) - 1
        if view.pool == borrower.pool or rest < _LEAST_HELD:
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
    lent = snapshot.loans.active
    free = [i for i in lender.available if i.instance not in lent]
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
    owners = _owners(snapshot)
    for name, loan in sorted(snapshot.loans.active.items()):
        owner = owners.get(name)
        if owner is None:
            continue
        pool, instance = owner
        target = loan.home if loan.returning else loan.borrower
        if pool != target:
            yield MoveIntent(name, instance.epoch, pool, target)


def _held(
    snapshot: LendingSnapshot, history: DemandHistory
) -> Mapping[str, int]:
    """Instances that each pool holds for requests.

    Each pool holds what its recent demand needs. Over all pools together,
    the remembered peak of the summed demand is held, in spare pools first:
    bursts by turns need the peak of the sum, not the sum of the peaks.
    """
    held = {}
    for name, view in snapshot.pools.items():
        wanted = _HEADROOM * history.pools[name].recent / view.slots
        size = len(view.available)
        held[name] = min(size, max(_LEAST_HELD, math.ceil(wanted)))
    short = _HEADROOM * history.total_peak - sum(
        held[name] * view.slots for name, view in snapshot.pools.items()
    )
    order = sorted(snapshot.pools.values(), key=lambda v: (not v.spare, v.pool))
    for view in order:
        rest = len(view.available) - held[view.pool]
        more = min(rest, math.ceil(short / view.slots)) if short > 0 else 0
        held[view.pool] += more
        short -= more * view.slots
    return held


def _spills(
    snapshot: LendingSnapshot, held: Mapping[str, int]
) -> Iterator[Spill]:
    """Standing orders, so that a burst need not wait for a round."""
    room = {}
    for name, view in snapshot.pools.items():
        slots = held[name] * view.slots
        kept = max(float(view.running), view.demand) + _OWN_SHARE * slots
        room[name] = max(0, math.floor(slots - kept))
    order = sorted(
        snapshot.pools.values(), key=lambda v: (not v.spare, -room[v.pool])
    )
    for name in sorted(snapshot.pools):
        targets = tuple(
            (view.pool, room[view.pool])
            for view in order
            if view.pool != name and room[view.pool] > 0
        )
        yield Spill(name, targets)
