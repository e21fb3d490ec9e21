"""Tests of the measured cost of a move."""

from acaciawing.control.move_cost import MoveCost, observe_move
from acaciawing.fold import FleetState, Step
from acaciawing.leases import Fence, LeaseClaimed
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.ownership import InstanceReturned, MoveBegun
from acaciawing.records import LogPosition

ACCEPTED = Accepted()
FENCE = Fence("pool:visits", 0)
BEGUN = MoveBegun("w", 1, "lent", "lent", Fence("pool:portal", 0))
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

    def test_takeover_during_a_move_is_not_a_cost(self) -> None:
        # With the takeover in the mean, a loan's return waited for a multiple
        # of it and missed the demonstration's limit.
        claims = [
            LeaseClaimed(subject, "entry-koper-1/1", 0, 5.0)
            for subject in ("pool:portal", "pool:lent")
        ]
        for claim in claims:
            cost = MoveCost(1.0)
            for at, record in ((5.0, BEGUN), (9.0, claim), (25.0, RETURNED)):
                cost = observe_move(cost, make_step(at, record))
            assert cost == MoveCost(1.0)

    def test_claim_for_another_pool_keeps_the_measurement(self) -> None:
        claim = LeaseClaimed("pool:visits", "entry-koper-1/1", 0, 5.0)
        cost = MoveCost(10.0)
        for at, record in ((5.0, BEGUN), (9.0, claim), (35.0, RETURNED)):
            cost = observe_move(cost, make_step(at, record))
        assert cost == MoveCost(15.0)
