"""One control round of an entry instance."""

from collections.abc import Iterable, Sequence
from random import Random

from acaciawing.control import claims as lease_claims
from acaciawing.control.decisions import DECISIONS, Decide
from acaciawing.control.listed import adoptions, retirements
from acaciawing.control.moves import move_steps
from acaciawing.control.view import Call, ControlView, Round
from acaciawing.fold import FleetState
from acaciawing.leases import Fence
from acaciawing.lending import LoanBegun, LoanExtended
from acaciawing.ownership import (
    InstanceAdopted,
    InstanceReplaced,
    InstanceRetired,
)
from acaciawing.snapshots import snapshot_due

# Records that all entry instances together append in one round, two rounds a
# second. The log takes several hundred appends a second and claims of keys may
# use 200 of them.
_FLEET_RECORDS = 90

# Records that name a time, which differs in each round.
_TIMED = (
    InstanceAdopted,
    InstanceReplaced,
    InstanceRetired,
    LoanBegun,
    LoanExtended,
)

# A snapshot is written again if its mark was not read back by then.
_SNAPSHOT_RETRY_S = 10.0


def decide_round(
    state: FleetState,
    view: ControlView,
    now: float,
    random: Random,
    decisions: Sequence[Decide] = DECISIONS,
) -> Round:
    """Decides what this instance should do next.

    It depends on nothing that an earlier round decided, except what the view
    says was sent and not read back yet.

    Args:
        state: The newest state.
        view: What this instance knows besides.
        now: Monotonic time in seconds.
        random: Source of the order of claims.
        decisions: Decisions of other packages.

    Returns:
        Records, calls and whether to write a snapshot.
    """
    if view.stopping:
        return Round(tuple(lease_claims.releases(view, [])))
    proposals = [decide(state, view, now, random) for decide in decisions]
    wanted = lease_claims.subjects(state, view)
    wanted += [s for proposal in proposals for s in proposal.subjects]
    steps = [*retirements(state, view, now), *move_steps(state, view, now)]
    calls = [s for s in steps if isinstance(s, Call)]
    renewed = tuple(lease_claims.renewals(view, now))
    others: list[object] = [
        *(s for s in steps if not isinstance(s, Call)),
        *(r for proposal in proposals for r in proposal.records),
        *lease_claims.releases(view, wanted),
        *lease_claims.claims(state, view, wanted, now, random),
        *adoptions(state, view, now),
    ]
    limit = max(1, _FLEET_RECORDS // max(1, len(view.live)))
    return Round(
        (*renewed, *_unsent(others, view)[:limit]),
        (*calls, *(c for proposal in proposals for c in proposal.calls)),
        _snapshot(state, view, now),
        tuple(wanted),
        next((p.history for p in proposals if p.history is not None), None),
    )


def _unsent(records: Iterable[object], view: ControlView) -> list[object]:
    """Leaves out repeats, and records that are on their way to the log."""
    unread = {_key(record) for record in view.unread}
    kept = {_key(record): record for record in records}
    return [record for key, record in kept.items() if key not in unread]


def _key(record: object) -> object:
    """Identifies a record by its instance where it names a changing time."""
    if isinstance(record, _TIMED):
        return type(record), record.instance
    return record


def _snapshot(state: FleetState, view: ControlView, now: float) -> Fence | None:
    sent = view.snapshot_sent_at
    if sent is not None and now - sent < _SNAPSHOT_RETRY_S:
        return None
    due = snapshot_due(state.offset, state.snapshot.offset, view.first_offset)
    return view.fence(lease_claims.SNAPSHOTS, now) if due else None
