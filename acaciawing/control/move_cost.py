"""Measured cost of a move: the time an instance is out of service.

All processes read the same records and therefore measure the same cost.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from acaciawing.fold import Step
from acaciawing.leases import LeaseClaimed, pool_subject
from acaciawing.outcomes import Accepted
from acaciawing.ownership import InstanceReturned, MoveBegun

# Used until the first move has ended: a drain for the longest usual deadline
# and a restart.
DEFAULT_MOVE_COST_S = 30.0

# Weight of the newest move in the mean (exponential smoothing).
_NEWEST_WEIGHT = 0.25


@dataclass(frozen=True)
class MoveInProgress:
    """Start of a move.

    Attributes:
        begun_at: Time of its first record on the log's clock, in seconds.
        subjects: Lease subjects of the pools that it leaves and joins.
    """

    begun_at: float
    subjects: frozenset[str]


@dataclass(frozen=True)
class MoveCost:
    """Mean cost of a move, and the moves in progress.

    Attributes:
        cost_s: Mean time from the start of a move to the return to service,
            in seconds.
        begun: Start of each move in progress, by instance.
    """

    cost_s: float = DEFAULT_MOVE_COST_S
    begun: Map[str, MoveInProgress] = field(default_factory=Map)


def observe_move(previous: MoveCost, step: Step) -> MoveCost:
    """Updates the cost with a folded record.

    A cancelled move is included, because its instance was out of service too.
    A move during which the lease of one of its pools was claimed is not: its
    time may contain the wait for the takeover, which lending would multiply
    for all later loans.
    """
    record, at = step.record, step.position.appended_at
    if not isinstance(step.outcome, Accepted):
        return previous
    if isinstance(record, LeaseClaimed):
        return _without_moves_of(previous, record.subject)
    if isinstance(record, MoveBegun):
        subjects = {record.fence.subject, pool_subject(record.to_pool)}
        move = MoveInProgress(at, frozenset(subjects))
        return replace(
            previous, begun=previous.begun.set(record.instance, move)
        )
    if not isinstance(record, InstanceReturned):
        return previous
    move_done = previous.begun.get(record.instance)
    if move_done is None:
        return previous
    error_s = at - move_done.begun_at - previous.cost_s
    return MoveCost(
        previous.cost_s + _NEWEST_WEIGHT * error_s,
        previous.begun.delete(record.instance),
    )


def _without_moves_of(cost: MoveCost, subject: str) -> MoveCost:
    disturbed = [i for i, m in cost.begun.items() if subject in m.subjects]
    remaining = cost.begun
    for instance in disturbed:
        remaining = remaining.delete(instance)
    return replace(cost, begun=remaining) if disturbed else cost
