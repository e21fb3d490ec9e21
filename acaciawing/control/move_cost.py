"""Measured cost of a move: the time an instance is out of service.

All processes read the same records and therefore measure the same cost.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from acaciawing.fold import Step
from acaciawing.outcomes import Accepted
from acaciawing.ownership import InstanceReturned, MoveBegun

# Used until the first move has ended: a drain for the longest usual deadline
# and a restart.
DEFAULT_MOVE_COST_S = 30.0

# Weight of the newest move in the mean (exponential smoothing).
_NEWEST_WEIGHT = 0.25


@dataclass(frozen=True)
class MoveCost:
    """Mean cost of a move, and the moves in progress.

    Attributes:
        cost_s: Mean time from the start of a move to the return to service,
            in seconds.
        begun: Start time of each move in progress on the log's clock, by
            instance.
    """

    cost_s: float = DEFAULT_MOVE_COST_S
    begun: Map[str, float] = field(default_factory=Map)


def observe_move(previous: MoveCost, step: Step) -> MoveCost:
    """Updates the cost with a folded record.

    A cancelled move is included, because its instance was out of service too.
    """
    record, at = step.record, step.position.appended_at
    if not isinstance(step.outcome, Accepted):
        return previous
    if isinstance(record, MoveBegun):
        return replace(previous, begun=previous.begun.set(record.instance, at))
    if not isinstance(record, InstanceReturned):
        return previous
    begun = previous.begun.get(record.instance)
    if begun is None:
        return previous
    cost = previous.cost_s + _NEWEST_WEIGHT * (at - begun - previous.cost_s)
    return MoveCost(cost, previous.begun.delete(record.instance))
