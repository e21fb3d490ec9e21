"""One control round of an entry instance."""

from collections.abc import Iterable, Sequence
from random import Random

from acaciawing.control import lease_claims
from acaciawing.control.adoption import adoptions, retirements
from acaciawing.control.decisions import DECISION_FUNCTIONS, DecisionFunction
from acaciawing.control.moves import move_steps
from acaciawing.control.view import ControlView, Round, WorkerCall
from acaciawing.fold import FleetState
from acaciawing.leases import Fence
from acaciawing.lending import LoanBegun, LoanExtended
from acaciawing.ownership import (
    InstanceAdopted,
    InstanceReplaced,
    InstanceRetired,
)
from acaciawing.snapshots import is_snapshot_due

# Limit of the records that all entry instances together append in one round.
# There are two rounds a second. The log accepts several hundred appends a
# second, of which claims of idempotency keys may use 200.
_MAX_FLEET_RECORDS = 90

# Records with a time that differs in each round.
_TIMESTAMPED_RECORDS = (
    InstanceAdopted,
    InstanceReplaced,
    InstanceRetired,
    LoanBegun,
    LoanExtended,
)

# A snapshot whose mark was not read back within this time is written again.
_SNAPSHOT_RETRY_S = 10.0


def decide_round(
    state: FleetState,
    view: ControlView,
    now: float,
    random: Random,
    decisions: Sequence[DecisionFunction] = DECISION_FUNCTIONS,
) -> Round:
    """Decides the records and calls of this instance's next round.

    Of earlier rounds it uses only what the view holds: mainly the records that
    were sent and not read back yet, and the demand history.

    Args:
        state: The newest state.
        view: Observations of this instance that the state doesn't hold.
        now: Monotonic time in seconds.
        random: Random source, for example for the order of claims.
        decisions: Decision functions of other packages.

    Returns:
        Records, calls and whether to write a snapshot.
    """
    if view.stopping:
        return Round(tuple(lease_claims.releases(view, [])))
    proposals = [decide(state, view, now, random) for decide in decisions]
    lease_subjects = lease_claims.required_subjects(state, view)
    lease_subjects += [s for proposal in proposals for s in proposal.subjects]
    steps = [*retirements(state, view, now), *move_steps(state, view, now)]
    calls = [s for s in steps if isinstance(s, WorkerCall)]
    renewals = tuple(lease_claims.renewals(view, now))
    other_records: list[object] = [
        *(s for s in steps if not isinstance(s, WorkerCall)),
        *(r for proposal in proposals for r in proposal.records),
        *lease_claims.releases(view, lease_subjects),
        *lease_claims.claims(state, view, lease_subjects, now, random),
        *adoptions(state, view, now),
    ]
    limit = max(1, _MAX_FLEET_RECORDS // max(1, len(view.live)))
    return Round(
        (*renewals, *_without_repeats(other_records, view)[:limit]),
        (*calls, *(c for proposal in proposals for c in proposal.calls)),
        _snapshot_fence(state, view, now),
        tuple(lease_subjects),
        next((p.history for p in proposals if p.history is not None), None),
    )


def _without_repeats(
    records: Iterable[object], view: ControlView
) -> list[object]:
    """Omits repeated records and those sent but not read back yet."""
    pending_records = {_record_key(record) for record in view.pending_records}
    unique = {_record_key(record): record for record in records}
    return [
        record for key, record in unique.items() if key not in pending_records
    ]


def _record_key(record: object) -> object:
    """Returns a key that is equal for records that differ only in a time."""
    if isinstance(record, _TIMESTAMPED_RECORDS):
        return type(record), record.instance
    return record


def _snapshot_fence(
    state: FleetState, view: ControlView, now: float
) -> Fence | None:
    sent = view.snapshot_sent_at
    if sent is not None and now - sent < _SNAPSHOT_RETRY_S:
        return None
    due = is_snapshot_due(
        state.offset, state.snapshot.offset, view.first_offset
    )
    return view.fence(lease_claims.SNAPSHOT_SUBJECT, now) if due else None
