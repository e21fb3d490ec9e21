"""Tests of the ownership fold under racing, late and repeated records."""

from collections import Counter

import pytest
from hypothesis import Phase, find, given, settings

from acaciawing.fold import FleetState, step
from acaciawing.leases import Fence, LeaseClaimed
from acaciawing.outcomes import Accepted, Ignored
from acaciawing.ownership import (
    InstanceAdopted,
    InstanceRetired,
    MoveBegun,
    MoveFinished,
    Ownership,
)
from acaciawing.ownership.tests.reference import LastWriterWins, Reference
from acaciawing.ownership.tests.schedules import SCHEDULES, WRITERS, World
from acaciawing.records import Envelope, LogPosition, decode, encode
from acaciawing.snapshots import decode_state, encode_state

Schedule = list[tuple[str, int, int, int]]


def _assert_counted_once(table: Ownership) -> None:
    pools = Counter(i.pool for i in table.instances.values())
    assert dict(table.counts) == dict(pools)
    assert sum(table.counts.values()) == len(table.instances)


def _naive_counts_twice(schedule: Schedule) -> bool:
    world, naive = World(), LastWriterWins()
    world.run(schedule)
    for payload, _ in world.log:
        envelope = decode(payload)
        if isinstance(envelope, Envelope):
            naive.apply(envelope.record)
        if naive.counted_twice():
            return True
    return False


class TestRaces:
    """Guards against an instance lost or counted twice."""

    def test_last_writer_wins_counts_an_instance_twice(self) -> None:
        # The same schedules break the naive version, so they can find faults.
        found = find(
            SCHEDULES,
            _naive_counts_twice,
            settings=settings(
                derandomize=True, max_examples=300, phases=[Phase.generate]
            ),
        )
        world = World()
        world.run(found)
        for taken in world.steps:
            _assert_counted_once(taken.state.ownership)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(SCHEDULES)
    def test_every_offset_agrees_with_the_reference(
        self, schedule: Schedule
    ) -> None:
        world, reference = World(), Reference()
        world.run(schedule)
        for taken, (payload, position) in zip(
            world.steps, world.log, strict=True
        ):
            envelope = decode(payload)
            accepted = isinstance(envelope, Envelope) and reference.apply(
                envelope.record, envelope.writer, position
            )
            assert accepted == isinstance(taken.outcome, Accepted), taken
            table = taken.state.ownership
            _assert_counted_once(table)
            assert {
                i.instance: (i.pool, i.phase, i.epoch)
                for i in table.instances.values()
            } == {
                name: (known["pool"], known["phase"], known["epoch"])
                for name, known in reference.owned.items()
            }

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(SCHEDULES)
    def test_a_reader_from_a_snapshot_at_any_offset_reaches_the_same_state(
        self, schedule: Schedule
    ) -> None:
        world = World()
        world.run(schedule)
        starts = [FleetState(), *(taken.state for taken in world.steps)]
        for start in starts:
            state = decode_state(encode_state(start), FleetState)
            assert isinstance(state, FleetState)
            # Reads some records again, as after a lost answer.
            for payload, position in world.log[max(0, start.offset - 3) :]:
                state = step(state, payload, position).state
            assert state == world.newest


def _fold(*entries: tuple[object, str, float]) -> list[Ignored | Accepted]:
    state, verdicts = FleetState(), []
    for offset, (record, writer, at) in enumerate(entries):
        taken = step(state, encode(record, writer), LogPosition(offset, at))
        state = taken.state
        verdicts.append(taken.outcome)
    return verdicts


_A, _B, _ = WRITERS
_FENCE = Fence("pool:visits", 0)
_CLAIM = LeaseClaimed("pool:visits", _A, -1, 10.0)
_PLACE = ("zone", "rack", "192.0.2.1:80")
_ADOPT = InstanceAdopted("worker-1", 1, "visits", *_PLACE, 5.0, _FENCE)


class TestReasons:
    """Guards against a refused record whose writer can't tell why."""

    @pytest.mark.parametrize(
        ("record", "writer", "at", "reason"),
        [
            (MoveBegun("worker-1", 1, "portal", "lent", _FENCE), _B, 1.0, "not-holder"),
            (MoveBegun("worker-1", 1, "portal", "lent", _FENCE), _A, 10.5, "lease-ended"),
            (MoveBegun("worker-1", 0, "portal", "lent", _FENCE), _A, 1.0, "stale-epoch"),
            (MoveBegun("worker-1", 9, "portal", "lent", _FENCE), _A, 1.0, "malformed"),
            (MoveBegun("worker-1", 1, "visits", "lent", _FENCE), _A, 1.0, "malformed"),
            (MoveBegun("worker-9", 1, "portal", "lent", _FENCE), _A, 1.0, "unknown-instance"),
            (MoveBegun("worker-1", 1, "portal", "lent", Fence("pool:visits", 3)), _A, 1.0, "stale-token"),
            (MoveFinished("worker-1", 1, _FENCE), _A, 1.0, "no-move"),
            (InstanceRetired("worker-1", 1, 5.0, _FENCE), _A, 1.0, "stale-listing"),
            (_ADOPT, _A, 1.0, "already-owned"),
        ],
    )  # fmt: skip
    def test_reason(
        self, record: object, writer: str, at: float, reason: str
    ) -> None:
        outcome = _fold(
            (_CLAIM, _A, 0.0), (_ADOPT, _A, 0.5), (record, writer, at)
        )[-1]
        assert isinstance(outcome, Ignored)
        assert outcome.reason == reason

    def test_fence_of_another_pool_does_not_cover_the_instance(self) -> None:
        other = LeaseClaimed("pool:portal", _B, -1, 10.0)
        fence = Fence("pool:portal", 2)
        outcome = _fold(
            (_CLAIM, _A, 0.0),
            (_ADOPT, _A, 0.5),
            (other, _B, 0.6),
            (MoveBegun("worker-1", 1, "portal", "lent", fence), _B, 0.7),
        )[-1]
        assert outcome == Ignored("wrong-subject", "pool:portal")

    def test_stale_list_does_not_adopt_a_retired_instance_again(self) -> None:
        retired = InstanceRetired("worker-1", 1, 6.0, _FENCE)
        verdicts = _fold(
            (_CLAIM, _A, 0.0),
            (_ADOPT, _A, 0.5),
            (retired, _A, 1.0),
            (_ADOPT, _A, 1.5),
        )
        assert verdicts[2:] == [
            Accepted(),
            Ignored("stale-listing", "worker-1"),
        ]
