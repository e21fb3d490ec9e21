"""Tests of the measured cost of a move."""

from acaciawing.control.move_cost import MoveCost, observe_move
from acaciawing.fold import FleetState, Step
from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.ownership import InstanceReturned, MoveBegun
from acaciawing.records import LogPosition

ACCEPTED = Accepted()
FENCE = Fence("pool:visits", 0)
BEGUN = MoveBegun("w", 1, "portal", "lent", FENCE)
RETURNED = InstanceReturned("w", 3, 2, FENCE)


def make_step(
    time: float, record: object, outcome: RecordOutcome = ACCEPTED
) -> Step:
    return Step(FleetState(), outcome, record, "e/1", LogPosition(0, time))


class TestMoveCost:
    """Guards against loan decisions with a wrong cost of a move."""

    def test_mean_is_updated_by_a_completed_move(self) -> None:
        cost = MoveCost(10.0)
        for step in (make_step(5.0, BEGUN), make_step(35.0, RETURNED)):
            cost = observe_move(cost, step)
        assert cost == MoveCost(15.0)

    def test_ignored_records_and_unknown_starts_are_not_measured(self) -> None:
        cost = MoveCost(10.0)
        ignored = Ignored("stale-epoch", "")
        for step in (make_step(5.0, BEGUN, ignored), make_step(35.0, RETURNED)):
            cost = observe_move(cost, step)
        assert cost == MoveCost(10.0)
