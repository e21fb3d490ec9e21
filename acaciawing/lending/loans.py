"""Loans of instances between pools, as agreed through the log.

A loan record carries its way back (home pool and due time), so any instance
can return what another one lent. The move itself is a pair of ownership
records; a loan only says where the instance should be.
"""

from dataclasses import dataclass, field, replace
from functools import singledispatch

from immutables import Map

from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition, record_type

# One lease for all loans, since a loan concerns two pools.
LENDING_SUBJECT = "lending"


@record_type("loan-begun", version=1)
@dataclass(frozen=True)
class LoanBegun:
    """An instance is lent to another pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch of the instance that the writer saw.
        home: Pool that it returns to.
        borrower: Pool that it is lent to.
        due_at: Time on the log's clock when it returns, in seconds.
        fence: Lease of `LENDING_SUBJECT`.
    """

    instance: str
    epoch: int
    home: str
    borrower: str
    due_at: float
    fence: Fence


@record_type("loan-extended", version=1)
@dataclass(frozen=True)
class LoanExtended:
    """A loan is due later, since the borrower still needs the instance.

    Attributes:
        instance: Id of the instance.
        epoch: Epoch of the loan.
        due_at: New due time, in seconds; must be later than the old one.
        fence: Lease of `LENDING_SUBJECT`.
    """

    instance: str
    epoch: int
    due_at: float
    fence: Fence


@record_type("loan-return-begun", version=1)
@dataclass(frozen=True)
class LoanReturnBegun:
    """The instance goes back to its home pool.

    Attributes:
        instance: Id of the instance.
        epoch: Epoch of the loan.
        reason: ``due``, ``idle``, ``home-needs-it`` or ``never-moved``.
        fence: Lease of `LENDING_SUBJECT`.
    """

    instance: str
    epoch: int
    reason: str
    fence: Fence


@record_type("loan-closed", version=1)
@dataclass(frozen=True)
class LoanClosed:
    """The instance is at home again, or exists no more.

    Attributes:
        instance: Id of the instance.
        epoch: Epoch of the loan.
        fence: Lease of `LENDING_SUBJECT`.
    """

    instance: str
    epoch: int
    fence: Fence


@dataclass(frozen=True)
class Loan:
    """A loan in progress.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch at which it was lent.
        home: Pool that it returns to.
        borrower: Pool that it is lent to.
        begun_at: Time of the record on the log's clock, in seconds.
        due_at: Time when it returns, in seconds.
        returning: Whether it is on its way back.
    """

    instance: str
    epoch: int
    home: str
    borrower: str
    begun_at: float
    due_at: float
    returning: bool = False


@dataclass(frozen=True)
class LoanTable:
    """All loans.

    Attributes:
        active: Loans that are not closed, by instance.
        epochs: Epoch of the last closed loan, by instance.
    """

    active: Map[str, Loan] = field(default_factory=Map)
    epochs: Map[str, int] = field(default_factory=Map)


@singledispatch
def apply(
    record: object, table: LoanTable, position: LogPosition
) -> tuple[LoanTable, RecordOutcome]:
    """Applies a record to the loans; see `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: LoanBegun, table: LoanTable, position: LogPosition
) -> tuple[LoanTable, RecordOutcome]:
    if record.fence.subject != LENDING_SUBJECT:
        return table, Ignored("wrong-subject", record.fence.subject)
    if record.instance in table.active:
        return table, Ignored("lent-already", record.instance)
    last = table.epochs.get(record.instance, -1)
    if record.epoch <= last:
        return table, Ignored("stale-epoch", f"{record.epoch}, last {last}")
    if record.home == record.borrower:
        return table, Ignored("invalid-loan", record.home)
    loan = Loan(
        record.instance,
        record.epoch,
        record.home,
        record.borrower,
        position.appended_at,
        record.due_at,
    )
    return _with_loan(table, loan), Accepted()


@apply.register
def _(
    record: LoanExtended, table: LoanTable, position: LogPosition
) -> tuple[LoanTable, RecordOutcome]:
    loan = _known(table, record.instance, record.epoch, record.fence)
    if isinstance(loan, Ignored):
        return table, loan
    if loan.returning or record.due_at <= loan.due_at:
        return table, Ignored("superseded", record.instance)
    extended = replace(loan, due_at=record.due_at)
    return _with_loan(table, extended), Accepted()


@apply.register
def _(
    record: LoanReturnBegun, table: LoanTable, position: LogPosition
) -> tuple[LoanTable, RecordOutcome]:
    loan = _known(table, record.instance, record.epoch, record.fence)
    if isinstance(loan, Ignored):
        return table, loan
    if loan.returning:
        return table, Ignored("duplicate", record.instance)
    returning = replace(loan, returning=True)
    return _with_loan(table, returning), Accepted()


@apply.register
def _(
    record: LoanClosed, table: LoanTable, position: LogPosition
) -> tuple[LoanTable, RecordOutcome]:
    loan = _known(table, record.instance, record.epoch, record.fence)
    if isinstance(loan, Ignored):
        return table, loan
    closed = replace(
        table,
        active=table.active.delete(record.instance),
        epochs=table.epochs.set(record.instance, record.epoch),
    )
    return closed, Accepted()


def _known(
    table: LoanTable, instance: str, epoch: int, fence: Fence
) -> Loan | Ignored:
    if fence.subject != LENDING_SUBJECT:
        return Ignored("wrong-subject", fence.subject)
    loan = table.active.get(instance)
    if loan is None or loan.epoch != epoch:
        return Ignored("stale-epoch", instance)
    return loan


def _with_loan(table: LoanTable, loan: Loan) -> LoanTable:
    return replace(table, active=table.active.set(loan.instance, loan))
