"""Budget reservations of moves, and loans that have ended."""

from collections.abc import Iterator, Mapping

from acaciawing.budgets import (
    Action,
    BudgetReleased,
    BudgetReserved,
    DisruptionRequest,
    Granted,
    authorize_disruption,
)
from acaciawing.lending.demand import PoolInstance
from acaciawing.lending.loans import LoanClosed
from acaciawing.lending.snapshot import (
    LendingRequest,
    LendingSnapshot,
    Postponed,
    owners_of,
)

# A loan is due after this many move costs, and extended by as much.
LOAN_MULTIPLE = 20.0


def reservation_id(instance: str, epoch: int, back: bool = False) -> str:
    """Id of the reservation for the move there or back."""
    return f"loan/{instance}/{epoch}/{'return' if back else 'begin'}"


def closings(
    snapshot: LendingSnapshot, request: LendingRequest
) -> Iterator[LoanClosed | BudgetReleased]:
    """Closes loans that have ended and releases what they reserved."""
    owners = owners_of(snapshot)
    for name, loan in sorted(snapshot.loans.active.items()):
        owner = owners.get(name)
        # A lent instance that is at home without a return begun has not moved
        # yet, and one that does not serve may be on its way to the borrower.
        # One that is owned by nobody was replaced under another id.
        if owner is None or (
            loan.returning and owner[0] == loan.home and owner[1].available
        ):
            yield LoanClosed(name, loan.epoch, request.fence)
    needed = _needed_reservations(snapshot, owners)
    for name, made in sorted(snapshot.budgets.ledger.reservations.items()):
        ours = name.startswith("loan/") and not made.released
        if ours and name not in needed:
            yield BudgetReleased(name, request.fence)


def _needed_reservations(
    snapshot: LendingSnapshot, owners: Mapping[str, tuple[str, PoolInstance]]
) -> set[str]:
    """Reservations of moves that may still begin or have not ended."""
    needed = set()
    for name, (pool, instance) in owners.items():
        loan = snapshot.loans.active.get(name)
        if loan is None:
            needed.add(reservation_id(name, instance.epoch))
        elif loan.returning or pool == loan.borrower:
            needed.add(reservation_id(name, loan.epoch, back=True))
        else:
            needed.add(reservation_id(name, loan.epoch))
    return needed


def reserve(
    snapshot: LendingSnapshot,
    request: LendingRequest,
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
    decision = authorize_disruption(snapshot.budgets, asked, now)
    if not isinstance(decision, Granted):
        codes = ", ".join(f"{r.code}:{r.plan}" for r in decision.reasons)
        return Postponed(borrower, "budget", codes)
    duration = LOAN_MULTIPLE * snapshot.move_cost_s
    return BudgetReserved(
        reservation, decision.amounts, duration, request.fence
    )
