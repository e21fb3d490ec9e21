"""Budget reservations for moves, and closing of loans."""

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
    Postponement,
    owners_of,
)

# Duration of a loan and of its extension, as a multiple of the move cost.
LOAN_DURATION_MULTIPLE = 20.0


def reservation_id(instance: str, epoch: int, is_return: bool = False) -> str:
    """Id of the reservation for the move to the borrower or for the return."""
    return f"loan/{instance}/{epoch}/{'return' if is_return else 'begin'}"


def closing_records(
    snapshot: LendingSnapshot, request: LendingRequest
) -> Iterator[LoanClosed | BudgetReleased]:
    """Closes ended loans and releases reservations that no move needs."""
    owners = owners_of(snapshot)
    for name, loan in sorted(snapshot.loans.active.items()):
        owner = owners.get(name)
        # Before its return has begun, an instance in its home pool has not yet
        # moved to the borrower. After that, an unavailable one may still be on
        # that move. An instance without owner was replaced under another id.
        if owner is None or (
            loan.returning and owner[0] == loan.home and owner[1].available
        ):
            yield LoanClosed(name, loan.epoch, request.fence)
    needed = _needed_reservations(snapshot, owners)
    for name, reservation in sorted(
        snapshot.budgets.ledger.reservations.items()
    ):
        is_unreleased_move = (
            name.startswith("loan/") and not reservation.released
        )
        if is_unreleased_move and name not in needed:
            yield BudgetReleased(name, request.fence)


def _needed_reservations(
    snapshot: LendingSnapshot, owners: Mapping[str, tuple[str, PoolInstance]]
) -> set[str]:
    """Ids of reservations for moves that may begin or have not ended."""
    needed = set()
    for name, (pool, instance) in owners.items():
        loan = snapshot.loans.active.get(name)
        if loan is None:
            needed.add(reservation_id(name, instance.epoch))
        elif loan.returning or pool == loan.borrower:
            needed.add(reservation_id(name, loan.epoch, is_return=True))
        else:
            needed.add(reservation_id(name, loan.epoch))
    return needed


def reserve_budget(
    snapshot: LendingSnapshot,
    request: LendingRequest,
    instance: str,
    reservation: str,
    borrower: str,
    now: float,
) -> BudgetReserved | Postponement | None:
    """Decides whether a move needs a reservation or must be postponed.

    Returns:
        The reservation to append before the move, the postponement if the
        budget is denied, or None if the budget is reserved already.
    """
    existing = snapshot.budgets.ledger.reservations.get(reservation)
    if (
        existing is not None
        and existing.expires_at > now + snapshot.move_cost_s
    ):
        return None
    disruption = DisruptionRequest(
        Action.MOVE, snapshot.impact.get(instance, {})
    )
    decision = authorize_disruption(snapshot.budgets, disruption, now)
    if not isinstance(decision, Granted):
        codes = ", ".join(f"{r.code}:{r.plan}" for r in decision.reasons)
        return Postponement(borrower, "budget", codes)
    duration = LOAN_DURATION_MULTIPLE * snapshot.move_cost_s
    return BudgetReserved(
        reservation, decision.amounts, duration, request.fence
    )
