"""Decisions about instances and tasks, and audited changes, in folded records.

The records in the log are authoritative. Each instance retains a bounded copy
of the decisions that it has read since its start or its last snapshot.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from acaciawing.budgets import PlanCounts
from acaciawing.configuration import ConfigurationPublished
from acaciawing.entry.decision_recorder import Change, Decision
from acaciawing.fold import Step
from acaciawing.leases import Fence, LeasesRenewed
from acaciawing.maintenance import (
    OutageChanged,
    WavePlanned,
    WaveResumed,
    WaveStopped,
)
from acaciawing.outcomes import Ignored
from acaciawing.placement import TaskLeasesRenewed, TaskRefused, TasksCancelled
from acaciawing.records import record_type_name
from acaciawing.telemetry import Event

# Records that are appended every few seconds and contain no decision.
_PERIODIC_RECORDS = (PlanCounts, LeasesRenewed, TaskLeasesRenewed)

# Values of these types aren't copied from a record: they may hold a whole pool,
# a burst of tasks or the operators' lists. The record in the log has them.
_COLLECTION_TYPES = (list, dict)


def decisions_of(step: Step, writer: str) -> tuple[Decision, ...]:
    """Returns the decisions in one folded record.

    Args:
        step: The folded record.
        writer: ``instance/incarnation`` of this process. Only its own
            accepted records are logged, so that each decision has one line in
            the fleet's logs.

    Returns:
        One decision of the kind ``record``, and one for each instance and task
        that the record concerns; none for a record without a decision.
    """
    record = step.record
    if record is None or isinstance(record, _PERIODIC_RECORDS):
        return ()
    reasons = _reasons(step)
    at = step.position.appended_at
    event = Event.CONTROL_DECIDED
    own = step.writer == writer and not isinstance(step.outcome, Ignored)
    subjects = dict.fromkeys(_subjects(record))
    return (
        Decision(
            "record", record_type_name(record), at, event, reasons, logged=own
        ),
        *(
            Decision(kind, name, at, event, reasons, logged=False)
            for kind, name in subjects
        ),
    )


def change_of(step: Step) -> Change | None:
    """Returns the operator's change in one folded record, or None."""
    record = step.record
    if isinstance(record, ConfigurationPublished):
        author, subject = record.author, record.publication_id
    elif isinstance(record, WaveStopped | WaveResumed):
        author, subject = record.operator, record.pool
    else:
        return None
    ignored = step.outcome if isinstance(step.outcome, Ignored) else None
    return Change(
        step.position.offset,
        step.position.appended_at,
        record_type_name(record),
        subject,
        author,
        "refused" if ignored else "accepted",
        ignored.reason if ignored else "",
        ignored.detail if ignored else getattr(record, "reason", ""),
    )


def _subjects(record: Any) -> Iterator[tuple[str, str]]:
    if isinstance(record, WavePlanned):
        for place in record.members:
            yield ("instance", place.instance)
        return
    if isinstance(record, OutageChanged):
        yield ("instance", record.place.instance)
        return
    if isinstance(record, TasksCancelled):
        for task in record.tasks:
            yield ("task", task)
        return
    for kind, field in (
        ("instance", "instance"),
        ("instance", "worker"),
        ("task", "task"),
    ):
        name = getattr(record, field, "")
        if isinstance(name, str) and name:
            yield (kind, name)


def _reasons(step: Step) -> dict[str, Any]:
    record = step.record
    reasons: dict[str, Any] = {
        "record": record_type_name(record),
        "verdict": "accepted",
        "offset": step.position.offset,
        "writer": step.writer,
    }
    if isinstance(step.outcome, Ignored):
        reasons |= {
            "verdict": "ignored",
            "reason": step.outcome.reason,
            "detail": step.outcome.detail,
        }
    if isinstance(record, TaskRefused):
        reasons["reasons"] = "; ".join(record.reasons)
    for name, value in msgspec.to_builtins(record).items():
        if name == "fence" and isinstance(record.fence, Fence):
            reasons["token"] = record.fence.token
        elif name not in reasons and not isinstance(value, _COLLECTION_TYPES):
            reasons[name] = value
    return reasons
