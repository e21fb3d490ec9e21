"""Measured cost of a move: how long it takes an instance out of service.

Every process reads the same records, so all of them measure the same cost.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from acaciawing.fold import Step
from acaciawing.outcomes import Accepted
from acaciawing.ownership import InstanceReturned, MoveBegun

# Used until the first move has ended: drain for the longest usual deadline,
# then a restart.
MOVE_COST_S = 30.0

# Weight of the newest move in the mean (exponential smoothing).
_WEIGHT = 0.25


@dataclass(frozen=True)
class MoveTimes:
    """Mean cost, and moves under way.

    Attributes:
        cost_s: Mean time from the begin of a move to the return to service,
            in seconds.
        begun: Begin of each move under way on the log's clock, by instance.
    """

    cost_s: float = MOVE_COST_S
    begun: Map[str, float] = field(default_factory=Map)


def observe_move(times: MoveTimes, step: Step) -> MoveTimes:
    """Takes note of a folded record.

    A move that was cancelled counts as well, since its instance was out of
    service all the same.
    """
    record, at = step.record, step.position.appended_at
    if not isinstance(step.outcome, Accepted):
        return times
    if isinstance(record, MoveBegun):
        return replace(times, begun=times.begun.set(record.instance, at))
    if not isinstance(record, InstanceReturned):
        return times
    begun = times.begun.get(record.instance)
    if begun is None:
        return times
    cost = times.cost_s + _WEIGHT * (at - begun - times.cost_s)
    return MoveTimes(cost, times.begun.delete(record.instance))
