"""Deterministic fold of the control stream.

Each subject package defines a frozen table and an ``apply`` function. This
module dispatches a record to the table that its type changes.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from acaciawing.budgets import ledger
from acaciawing.configuration import publication
from acaciawing.fold import marks
from acaciawing.fold.state import FleetState
from acaciawing.leases import Fence, check_fence
from acaciawing.leases import records as lease_records
from acaciawing.leases import table as leases
from acaciawing.lending import loans
from acaciawing.maintenance import records as wave_records
from acaciawing.maintenance import waves
from acaciawing.membership import roster
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.ownership import records as ownership_records
from acaciawing.ownership import table as ownership
from acaciawing.placement import records as task_records
from acaciawing.placement import table as tasks
from acaciawing.records import Envelope, LogPosition, Malformed, decode

ApplyFunction = Callable[[Any, Any, LogPosition], tuple[Any, RecordOutcome]]

# Field of FleetState that each record type changes, and its apply function.
_TABLES: dict[type, tuple[str, ApplyFunction]] = {
    publication.ConfigurationPublished: ("configuration", publication.apply),
    roster.EntryJoined: ("roster", roster.apply),
    roster.EntryLeft: ("roster", roster.apply),
    lease_records.LeaseClaimed: ("leases", leases.apply),
    lease_records.LeasesRenewed: ("leases", leases.apply),
    lease_records.LeasesReleased: ("leases", leases.apply),
    ownership_records.InstanceAdopted: ("ownership", ownership.apply),
    ownership_records.InstanceReplaced: ("ownership", ownership.apply),
    ownership_records.InstanceRetired: ("ownership", ownership.apply),
    ownership_records.MoveBegun: ("ownership", ownership.apply),
    ownership_records.MoveFinished: ("ownership", ownership.apply),
    ownership_records.MoveCancelled: ("ownership", ownership.apply),
    ownership_records.InstanceReturned: ("ownership", ownership.apply),
    marks.SnapshotWritten: ("snapshot", marks.apply),
    ledger.PlanCounts: ("budgets", ledger.apply),
    ledger.BudgetReserved: ("budgets", ledger.apply),
    ledger.BudgetReleased: ("budgets", ledger.apply),
    wave_records.WavePlanned: ("waves", waves.apply),
    wave_records.WaveRequested: ("waves", waves.apply),
    wave_records.WaveStep: ("waves", waves.apply),
    wave_records.OutageChanged: ("waves", waves.apply),
    wave_records.WaveStopped: ("waves", waves.apply),
    wave_records.WaveResumed: ("waves", waves.apply),
    loans.LoanBegun: ("loans", loans.apply),
    loans.LoanExtended: ("loans", loans.apply),
    loans.LoanReturnBegun: ("loans", loans.apply),
    loans.LoanClosed: ("loans", loans.apply),
    task_records.TaskSubmitted: ("tasks", tasks.apply),
    task_records.TaskRefused: ("tasks", tasks.apply),
    task_records.TaskPlaced: ("tasks", tasks.apply),
    task_records.TaskLeasesRenewed: ("tasks", tasks.apply),
    task_records.TaskStarted: ("tasks", tasks.apply),
    task_records.TaskFinished: ("tasks", tasks.apply),
    task_records.TaskFailed: ("tasks", tasks.apply),
    task_records.TasksCancelled: ("tasks", tasks.apply),
    task_records.TaskPreempted: ("tasks", tasks.apply),
    task_records.TaskStopped: ("tasks", tasks.apply),
}

_LEASE_RECORDS = (
    lease_records.LeaseClaimed,
    lease_records.LeasesRenewed,
    lease_records.LeasesReleased,
)


@dataclass(frozen=True)
class Step:
    """Result of folding one record.

    Attributes:
        state: State after the record.
        outcome: Whether the record took effect, or the reason why not.
        record: The decoded record, or None if it was malformed.
        writer: ``instance/incarnation`` of its writer, or an empty string.
        position: Position of the record in the log.
    """

    state: FleetState
    outcome: RecordOutcome
    record: Any
    writer: str
    position: LogPosition


def step(state: FleetState, payload: bytes, position: LogPosition) -> Step:
    """Folds one record of the control stream.

    Args:
        state: State before the record.
        payload: The record as read from the log.
        position: Position of the record in the stream.

    Returns:
        The step. A record below ``state.offset`` is ignored, so reading a range
        twice has no effect. A record with a field ``fence`` is ignored unless
        the fence matches the current lease of its subject.
    """
    if position.offset < state.offset:
        return Step(state, Ignored("already-applied", ""), None, "", position)
    advanced = replace(state, offset=position.offset + 1)
    envelope = decode(payload)
    if isinstance(envelope, Malformed):
        ignored = Ignored(envelope.reason, envelope.detail)
        return Step(advanced, ignored, None, "", position)
    entry = _TABLES.get(type(envelope.record))
    if entry is None:
        ignored = Ignored("other-stream", type(envelope.record).__name__)
        return Step(
            advanced, ignored, envelope.record, envelope.writer, position
        )
    rejection = _check_writer(envelope, state, position)
    if rejection is not None:
        return Step(
            advanced, rejection, envelope.record, envelope.writer, position
        )
    name, apply = entry
    table, outcome = apply(envelope.record, getattr(state, name), position)
    if table is not getattr(state, name):
        advanced = replace(advanced, **{name: table})
    if isinstance(envelope.record, roster.EntryLeft) and isinstance(
        outcome, Accepted
    ):
        ended = f"{envelope.record.instance}/{envelope.record.incarnation}"
        advanced = replace(
            advanced, leases=leases.without_holder(state.leases, ended)
        )
    return Step(advanced, outcome, envelope.record, envelope.writer, position)


def _check_writer(
    envelope: Envelope, state: FleetState, position: LogPosition
) -> Ignored | None:
    """Checks a record's holder and fence against its writer and the leases.

    This is the only check across tables. It is made here so that a subject
    package depends on no table but its own.
    """
    record, writer = envelope.record, envelope.writer
    if isinstance(record, _LEASE_RECORDS) and record.holder != writer:
        return Ignored("not-holder", f"{record.holder} named by {writer}")
    fence = getattr(record, "fence", None)
    if isinstance(fence, Fence):
        return check_fence(state.leases, fence, writer, position)
    return None
