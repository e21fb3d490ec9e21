"""Tests of the measured cost of a move."""

from acaciawing.control.move_times import MoveTimes, observe_move
from acaciawing.fold import FleetState, Step
from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored, Verdict
from acaciawing.ownership import InstanceReturned, MoveBegun
from acaciawing.records import LogPosition

ACCEPTED = Accepted()
FENCE = Fence("pool:visits", 0)
BEGUN = MoveBegun("w", 1, "portal", "lent", FENCE)
RETURNED = InstanceReturned("w", 3, 2, FENCE)


def at(time: float, record: object, outcome: Verdict = ACCEPTED) -> Step:
    return Step(FleetState(), outcome, record, "e/1", LogPosition(0, time))


class TestMoveTimes:
    """Guards against loans weighed against a wrong cost of a move."""

    def test_mean_follows_the_moves(self) -> None:
        times = MoveTimes(10.0)
        for step in (at(5.0, BEGUN), at(35.0, RETURNED)):
            times = observe_move(times, step)
        assert times == MoveTimes(15.0)

    def test_ignored_records_and_unknown_begins_count_nothing(self) -> None:
        times = MoveTimes(10.0)
        late = Ignored("stale-epoch", "")
        for step in (at(5.0, BEGUN, late), at(35.0, RETURNED)):
            times = observe_move(times, step)
        assert times == MoveTimes(10.0)
