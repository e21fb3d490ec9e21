"""Deterministic fold of the control stream.

Each subject package offers a frozen table and a ``apply`` function; this module
only finds the table that a record type concerns.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from acaciawing.budgets import ledger
from acaciawing.configuration import publication
from acaciawing.fold.state import FleetState
from acaciawing.lending import loans
from acaciawing.maintenance import waves
from acaciawing.membership import roster
from acaciawing.outcomes import Ignored, Verdict
from acaciawing.placement import records as task_records
from acaciawing.placement import table as tasks
from acaciawing.records import LogPosition, Malformed, decode

Apply = Callable[[Any, Any, LogPosition], tuple[Any, Verdict]]

# Field of FleetState that each record type changes, and the function that
# changes it.
_SUBJECTS: dict[type, tuple[str, Apply]] = {
    publication.ConfigurationPublished: ("configuration", publication.apply),
    roster.EntryJoined: ("roster", roster.apply),
    roster.EntryLeft: ("roster", roster.apply),
    ledger.PlanCounts: ("budgets", ledger.apply),
    ledger.BudgetReserved: ("budgets", ledger.apply),
    ledger.BudgetReleased: ("budgets", ledger.apply),
    waves.WavePlanned: ("waves", waves.apply),
    waves.WaveStep: ("waves", waves.apply),
    waves.OutageChanged: ("waves", waves.apply),
    waves.WaveStopped: ("waves", waves.apply),
    waves.WaveResumed: ("waves", waves.apply),
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


@dataclass(frozen=True)
class Step:
    """Result of folding one record.

    Attributes:
        state: State after the record.
        verdict: Whether the record took effect, or why not.
        record: The decoded record, or None if it was malformed.
        writer: ``instance/incarnation`` of its writer, or an empty string.
    """

    state: FleetState
    verdict: Verdict
    record: Any
    writer: str


def step(state: FleetState, payload: bytes, position: LogPosition) -> Step:
    """Folds one record of the control stream.

    Args:
        state: State before the record.
        payload: The record as read from the log.
        position: Its place in the stream.

    Returns:
        The step. A record below ``state.offset`` is ignored, so that reading
        a range twice changes nothing.
    """
    if position.offset < state.offset:
        return Step(state, Ignored("already-applied", ""), None, "")
    moved = replace(state, offset=position.offset + 1)
    envelope = decode(payload)
    if isinstance(envelope, Malformed):
        ignored = Ignored(envelope.reason, envelope.detail)
        return Step(moved, ignored, None, "")
    subject = _SUBJECTS.get(type(envelope.record))
    if subject is None:
        ignored = Ignored("other-stream", type(envelope.record).__name__)
        return Step(moved, ignored, envelope.record, envelope.writer)
    name, apply = subject
    table, verdict = apply(envelope.record, getattr(state, name), position)
    if table is not getattr(state, name):
        moved = replace(moved, **{name: table})
    return Step(moved, verdict, envelope.record, envelope.writer)
