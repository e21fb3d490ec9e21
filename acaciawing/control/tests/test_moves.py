"""Tests of moves that several entry instances perform under faults."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from acaciawing.control import (
    ControlLoop,
    ControlView,
    LiveInstancesChanged,
    WorkerCall,
)
from acaciawing.control.moves import LEAVE_GRACE_S, move_steps
from acaciawing.control.tests.baseline import AppendTrustingLoop
from acaciawing.control.tests.fakes import (
    POOLS,
    Fleet,
    MoveInstance,
    count_types,
    holders,
    make_fleet,
    unaccepted_effects,
)
from acaciawing.fold import FleetState, step
from acaciawing.leases import Fence, HeldLease
from acaciawing.ownership import (
    RETURNING,
    MoveBegun,
    MoveFinished,
    OwnedInstance,
    Ownership,
)
from acaciawing.platform import CONTROL_STREAM, AppendOutcome
from acaciawing.records import Envelope, decode


class TestMoves:
    """Guards against a move that is lost, incomplete or repeated."""

    def _assert_moved(self, fleet: Fleet) -> None:
        state = fleet.folded()
        moved = state.ownership.instances["worker-0"]
        assert (moved.pool, moved.phase) == ("portal", "serving")
        assert dict(state.ownership.counts) == {
            "visits": 3,
            "routing": 4,
            "portal": 5,
        }
        listed = fleet.platform.instances["worker-0"]
        assert (listed.pool, listed.state) == ("portal", "live")
        assert set(fleet.platform.effects.values()) == {1}
        assert len(fleet.platform.effects) == 3  # Drain, reboot, return.

    def test_move_is_completed(self) -> None:
        fleet = make_fleet(3, MoveInstance("worker-0", "portal"))
        fleet.run(40.0)
        self._assert_moved(fleet)
        at = {}
        for entry in fleet.log.entries(CONTROL_STREAM):
            envelope = decode(entry.payload)
            assert isinstance(envelope, Envelope)
            at[type(envelope.record)] = entry.position.appended_at
        assert at[MoveFinished] - at[MoveBegun] >= LEAVE_GRACE_S

    @pytest.mark.parametrize("at", [2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0])
    def test_another_entry_instance_continues_the_move(self, at: float) -> None:
        fleet = make_fleet(3, MoveInstance("worker-0", "portal"))
        fleet.run(at)
        visits = holders(fleet.folded(), fleet.log.time).get("pool:visits")
        if visits is not None:
            fleet.paused.add(int(visits[len("entry-")]))
        fleet.run(60.0)
        fleet.paused.clear()  # The paused holder resumes after its lease ended.
        fleet.run(20.0)
        self._assert_moved(fleet)

    def test_lost_answers_repeat_no_operation(self) -> None:
        fleet = make_fleet(3, MoveInstance("worker-0", "portal"))
        fleet.log.lose_answers = 20
        fleet.platform.lose_answers = 4
        fleet.run(80.0)
        self._assert_moved(fleet)

    def test_nothing_is_called_before_the_move_was_read_back(self) -> None:
        fleet = make_fleet(1, MoveInstance("worker-0", "portal"))
        while "MoveBegun" not in count_types(fleet.log):
            fleet.run(0.5)
        for _ in range(10):  # The loop reads no further steps.
            fleet.time += 0.5
            assert not fleet.loops[0].round().calls
        assert not fleet.platform.effects

    def test_unconfirmed_drain_cancels_the_move(self) -> None:
        fleet = make_fleet(1, MoveInstance("worker-0", "portal"))
        fleet.platform.lose_answers = 10_000
        fleet.run(640.0)
        assert count_types(fleet.log)["MoveCancelled"] == 1
        assert "MoveFinished" not in count_types(fleet.log)

    def test_cancelled_move_drains_before_the_reboot(self) -> None:
        fence = Fence("pool:visits", 0)
        place = ("zone", "rack", "192.0.2.1:80", 1.0)
        owned = OwnedInstance(
            "worker-0", 1, "visits", *place, 5, RETURNING, changed_at=100.0
        )
        state = FleetState(
            ownership=Ownership(Map({"worker-0": owned}), Map(visits=1))
        )
        view = ControlView(
            "entry-0/1",
            held={"pool:visits": HeldLease(fence, 0.0, 10.0)},
            finished=frozenset({"worker-0/5/drain"}),
        )
        for log_now, expected in ((102.9, "drain"), (103.0, "reboot")):
            (call,) = move_steps(state, replace(view, log_now=log_now), 1.0)
            assert isinstance(call, WorkerCall)
            assert call.operation == expected


class TestReadBack:
    """Guards against an operation for a record that the fold ignored."""

    def _race(self, loop_type: type[ControlLoop]) -> Fleet:
        """Runs two instances on one platform, neither of which knows the other."""
        fleet = Fleet(2, (MoveInstance("worker-0", "portal"),), loop_type)
        for number in range(3):
            fleet.platform.add_instance(number, POOLS[number])
        fleet.start()
        for number, loop in enumerate(fleet.loops):
            loop.handle(LiveInstancesChanged((f"entry-{number}",)))
        fleet.run(30.0)
        return fleet

    def test_baseline_drains_for_an_ignored_move(self) -> None:
        assert unaccepted_effects(self._race(AppendTrustingLoop))

    def test_reading_back_drains_only_for_accepted_moves(self) -> None:
        fleet = self._race(ControlLoop)
        assert not unaccepted_effects(fleet)
        moved = fleet.folded().ownership.instances["worker-0"]
        assert (moved.pool, moved.phase) == ("portal", "serving")

    def test_slow_append_stops_appends_before_the_lease_ends(self) -> None:
        fleet = make_fleet(1)
        fleet.run(12.0)
        for number in (20, 21):
            fleet.platform.add_instance(number, "visits")
        append = fleet.log.append

        def slow(stream: str, payload: bytes) -> AppendOutcome:
            fleet.time += 9.5
            return append(stream, payload)

        fleet.log.append = slow  # type: ignore[method-assign]
        before = fleet.log.head(CONTROL_STREAM)
        fleet.run_round(fleet.loops[0])
        assert fleet.log.head(CONTROL_STREAM) == before + 1


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ("pause", "resume", "restart", "outage", "lost", "unsure", "run")
        ),
        st.integers(0, 2),
        st.sampled_from((0.5, 1.0, 3.0, 7.0, 14.0)),
    ),
    max_size=14,
)


def _inject_fault(fleet: Fleet, kind: str, number: int) -> None:
    """Injects a fault; ``lost`` and ``unsure`` lose answers, ``run`` is none."""
    if kind == "pause":
        fleet.paused.add(number)
    elif kind == "resume":
        fleet.paused.discard(number)
    elif kind == "restart":
        incarnation = 2 + fleet.log.head(CONTROL_STREAM)
        fleet.loops[number] = fleet.make_loop(number, incarnation)
    elif kind == "outage":
        fleet.log.unavailable = not fleet.log.unavailable
    elif kind == "lost":
        fleet.log.lose_answers += 3
    elif kind == "unsure":
        fleet.platform.lose_answers += 3


class TestFaults:
    """Guards against combined faults that lose a move or an instance."""

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(FAULTS)
    def test_moves_complete_once_the_faults_are_over(
        self, faults: list[tuple[str, int, float]]
    ) -> None:
        fleet = make_fleet(
            3,
            MoveInstance("worker-0", "portal"),
            MoveInstance("worker-1", "visits"),
        )
        for kind, number, seconds in faults:
            _inject_fault(fleet, kind, number)
            fleet.run(seconds)
        fleet.paused.clear()
        fleet.log.unavailable = False
        fleet.log.lose_answers = fleet.platform.lose_answers = 0
        fleet.run(90.0)
        ownership = fleet.folded().ownership
        assert dict(ownership.counts) == {
            "visits": 4,
            "routing": 3,
            "portal": 5,
        }
        assert {i.phase for i in ownership.instances.values()} == {"serving"}
        assert set(fleet.platform.effects.values()) == {1}
        assert not unaccepted_effects(fleet)


class TestSameRound:
    """Guards against repeated effects when two instances run the same round."""

    def test_repeated_record_does_not_change_ownership(self) -> None:
        fleet = make_fleet(3, MoveInstance("worker-0", "portal"))
        fleet.run(40.0)
        state, twice = FleetState(), FleetState()
        for entry in fleet.log.entries(CONTROL_STREAM):
            state = step(state, entry.payload, entry.position).state
            first = step(twice, entry.payload, entry.position).state
            offset = entry.position.offset  # So that the fold applies it again.
            again = step(
                replace(first, offset=offset), entry.payload, entry.position
            )
            assert again.state.ownership == first.ownership
            twice = first
        assert twice == state

    def test_calls_of_two_instances_with_one_lease_take_effect_once(
        self,
    ) -> None:
        fleet = make_fleet(1, MoveInstance("worker-0", "portal"))
        # A second process gets a copy of the holder's state.
        twin = fleet.make_loop(0)
        while "MoveBegun" not in count_types(fleet.log):
            fleet.run(0.5)
        vars(twin).update(vars(fleet.loops[0]))
        fleet.loops.append(twin)
        vars(twin)["_call"] = lambda timed: fleet.calls.append((1, timed))
        fleet.run(40.0)
        moved = fleet.folded().ownership.instances["worker-0"]
        assert (moved.pool, moved.phase) == ("portal", "serving")
        assert set(fleet.platform.effects.values()) == {1}
        assert len(fleet.platform.effects) == 3
