"""Tests of moves by several instances under faults."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from acaciawing.control import (
    Call,
    ControlLoop,
    ControlView,
    LiveInstancesChanged,
)
from acaciawing.control.moves import LEAVE_S, move_steps
from acaciawing.control.tests.fakes import (
    POOLS,
    Fleet,
    Lend,
    count_types,
    holders,
    make_fleet,
    unaccepted_effects,
)
from acaciawing.control.tests.naive import BelievesItsAppends
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
    """Guards against a move that is lost, half done or done twice."""

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
        fleet = make_fleet(3, Lend("worker-0", "portal"))
        fleet.run(40.0)
        self._assert_moved(fleet)
        at = {}
        for entry in fleet.log.entries(CONTROL_STREAM):
            envelope = decode(entry.payload)
            assert isinstance(envelope, Envelope)
            at[type(envelope.record)] = entry.position.appended_at
        assert at[MoveFinished] - at[MoveBegun] >= LEAVE_S

    @pytest.mark.parametrize("at", [2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0])
    def test_another_instance_continues_it(self, at: float) -> None:
        fleet = make_fleet(3, Lend("worker-0", "portal"))
        fleet.run(at)
        visits = holders(fleet.folded(), fleet.log.time).get("pool:visits")
        if visits is not None:
            fleet.paused.add(int(visits[len("entry-")]))
        fleet.run(60.0)
        fleet.paused.clear()  # The paused holder wakes up past its lease.
        fleet.run(20.0)
        self._assert_moved(fleet)

    def test_lost_answers_repeat_nothing(self) -> None:
        fleet = make_fleet(3, Lend("worker-0", "portal"))
        fleet.log.lose_answers = 20
        fleet.platform.lose_answers = 4
        fleet.run(80.0)
        self._assert_moved(fleet)

    def test_nothing_is_called_before_the_move_was_read_back(self) -> None:
        fleet = make_fleet(1, Lend("worker-0", "portal"))
        while "MoveBegun" not in count_types(fleet.log):
            fleet.run(0.5)
        for _ in range(10):  # The reader of the control stream is stuck.
            fleet.time += 0.5
            assert not fleet.loops[0].round().calls
        assert not fleet.platform.effects

    def test_drain_that_never_answers_is_given_up(self) -> None:
        fleet = make_fleet(1, Lend("worker-0", "portal"))
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
        for log_now, wanted in ((102.9, "drain"), (103.0, "reboot")):
            (call,) = move_steps(state, replace(view, log_now=log_now), 1.0)
            assert isinstance(call, Call)
            assert call.operation == wanted


class TestReadBack:
    """Guards against an action for a record that the fold ignored."""

    def _race(self, loop_type: type[ControlLoop]) -> Fleet:
        """Runs two instances that don't see each other on one platform."""
        fleet = Fleet(2, (Lend("worker-0", "portal"),), loop_type)
        for number in range(3):
            fleet.platform.put(number, POOLS[number])
        fleet.start()
        for number, loop in enumerate(fleet.loops):
            loop.handle(LiveInstancesChanged((f"entry-{number}",)))
        fleet.run(30.0)
        return fleet

    def test_believing_own_appends_drains_for_an_ignored_move(self) -> None:
        assert unaccepted_effects(self._race(BelievesItsAppends))

    def test_reading_back_does_not(self) -> None:
        fleet = self._race(ControlLoop)
        assert not unaccepted_effects(fleet)
        moved = fleet.folded().ownership.instances["worker-0"]
        assert (moved.pool, moved.phase) == ("portal", "serving")

    def test_slow_append_ends_the_round_before_the_lease(self) -> None:
        fleet = make_fleet(1)
        fleet.run(12.0)
        for number in (20, 21):
            fleet.platform.put(number, "visits")
        append = fleet.log.append

        def slow(stream: str, payload: bytes) -> AppendOutcome:
            fleet.time += 9.5
            return append(stream, payload)

        fleet.log.append = slow  # type: ignore[method-assign]
        before = fleet.log.head(CONTROL_STREAM)
        fleet.turn(fleet.loops[0])
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


def _break(fleet: Fleet, kind: str, number: int) -> None:
    if kind == "pause":
        fleet.paused.add(number)
    elif kind == "resume":
        fleet.paused.discard(number)
    elif kind == "restart":
        incarnation = 2 + fleet.log.head(CONTROL_STREAM)
        fleet.loops[number] = fleet.started(number, incarnation)
    elif kind == "outage":
        fleet.log.away = not fleet.log.away
    elif kind == "lost":
        fleet.log.lose_answers += 3
    elif kind == "unsure":
        fleet.platform.lose_answers += 3


class TestFaults:
    """Guards against faults that together lose a move or an instance."""

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(FAULTS)
    def test_moves_complete_once_the_faults_are_over(
        self, faults: list[tuple[str, int, float]]
    ) -> None:
        fleet = make_fleet(
            3, Lend("worker-0", "portal"), Lend("worker-1", "visits")
        )
        for kind, number, seconds in faults:
            _break(fleet, kind, number)
            fleet.run(seconds)
        fleet.paused.clear()
        fleet.log.away = False
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
    """Guards against harm when two instances do the same round."""

    def test_second_copy_of_each_record_changes_nothing(self) -> None:
        fleet = make_fleet(3, Lend("worker-0", "portal"))
        fleet.run(40.0)
        state, twice = FleetState(), FleetState()
        for entry in fleet.log.entries(CONTROL_STREAM):
            state = step(state, entry.payload, entry.position).state
            first = step(twice, entry.payload, entry.position).state
            offset = entry.position.offset  # Lets the fold take it again.
            again = step(
                replace(first, offset=offset), entry.payload, entry.position
            )
            assert again.state.ownership == first.ownership
            twice = first
        assert twice == state

    def test_two_instances_with_one_lease_do_the_calls_once(self) -> None:
        fleet = make_fleet(1, Lend("worker-0", "portal"))
        twin = fleet.started(0)  # A process that believes it is the holder.
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
