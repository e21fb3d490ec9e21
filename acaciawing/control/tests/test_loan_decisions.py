"""Tests of the moves that loans require."""

from dataclasses import replace
from random import Random

import pytest
from immutables import Map

from acaciawing.control import ControlView, begin_moves
from acaciawing.fold import FleetState
from acaciawing.leases import Fence, HeldLease
from acaciawing.lending import Loan, LoanTable
from acaciawing.maintenance import Down, Place, Stage, WaveStep, WaveTable
from acaciawing.ownership import (
    LEAVING,
    SERVING,
    MoveBegun,
    OwnedInstance,
    Ownership,
)

FENCE = Fence("pool:portal", 0)
VIEW = ControlView("e/1", held={"pool:portal": HeldLease(FENCE, 0.0, 10.0)})
DRAINING = WaveStep("portal", 0, "w", 0, Stage.DRAINING, FENCE)


def make_state(phase: str = SERVING, **changes: object) -> FleetState:
    place = ("a", "r", "192.0.2.1:80", 1.0)
    owned = OwnedInstance("w", 1, "portal", *place, epoch=5, phase=phase)
    loan = Loan("w", 5, "portal", "visits", 0.0, 60.0)
    lent = FleetState(
        ownership=Ownership(Map(w=owned), Map(portal=1)),
        loans=LoanTable(Map(w=loan)),
    )
    return replace(lent, **changes)  # type: ignore[arg-type]


def moves(state: FleetState, view: ControlView = VIEW) -> tuple[object, ...]:
    return begin_moves(state, view, 1.0, Random(1)).records


class TestBeginMoves:
    """Guards against a move begun twice or during a maintenance wave."""

    def test_accepted_loan_begins_a_move(self) -> None:
        assert moves(make_state()) == (
            MoveBegun("w", 5, "visits", "lent", FENCE),
        )

    @pytest.mark.parametrize(
        "pending_records", [frozenset(), frozenset({DRAINING})]
    )
    def test_no_move_of_an_instance_under_maintenance(
        self, pending_records: frozenset[object]
    ) -> None:
        down = Map(w=Down("portal", Place("w", 1, "a", "r")))
        waves = WaveTable() if pending_records else WaveTable(in_progress=down)
        view = replace(VIEW, pending_records=pending_records)
        assert not moves(make_state(waves=waves), view)

    def test_no_second_move_and_none_without_the_lease(self) -> None:
        assert not moves(make_state(phase=LEAVING))
        assert not moves(make_state(), ControlView("e/1"))
