"""Tests of the ownership fold with concurrent, late and repeated records."""

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
from acaciawing.ownership.tests.schedules import SCHEDULES, WRITERS, Simulation
from acaciawing.records import Envelope, LogPosition, decode, encode
from acaciawing.snapshots import decode_state, encode_state

Schedule = list[tuple[str, int, int, int]]


def _assert_counted_once(table: Ownership) -> None:
    pools = Counter(i.pool for i in table.instances.values())
    assert dict(table.counts) == dict(pools)
    assert sum(table.counts.values()) == len(table.instances)


def _baseline_duplicates_instance(schedule: Schedule) -> bool:
    simulation, baseline = Simulation(), LastWriterWins()
    simulation.run(schedule)
    for payload, _ in simulation.log:
        envelope = decode(payload)
        if isinstance(envelope, Envelope):
            baseline.apply(envelope.record)
        if baseline.has_duplicate():
            return True
    return False


class TestRaces:
    """Guards against concurrent writers that lose or duplicate an instance."""

    def test_schedules_that_break_last_writer_wins_do_not_break_the_fold(
        self,
    ) -> None:
        # The baseline fails on this schedule, so such faults can be found.
        schedule = find(
            SCHEDULES,
            _baseline_duplicates_instance,
            settings=settings(
                derandomize=True, max_examples=300, phases=[Phase.generate]
            ),
        )
        simulation = Simulation()
        simulation.run(schedule)
        for folded in simulation.steps:
            _assert_counted_once(folded.state.ownership)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(SCHEDULES)
    def test_fold_agrees_with_the_reference_at_every_offset(
        self, schedule: Schedule
    ) -> None:
        simulation, reference = Simulation(), Reference()
        simulation.run(schedule)
        for folded, (payload, position) in zip(
            simulation.steps, simulation.log, strict=True
        ):
            envelope = decode(payload)
            accepted = isinstance(envelope, Envelope) and reference.apply(
                envelope.record, envelope.writer, position
            )
            assert accepted == isinstance(folded.outcome, Accepted), folded
            table = folded.state.ownership
            _assert_counted_once(table)
            assert {
                i.instance: (i.pool, i.phase, i.epoch)
                for i in table.instances.values()
            } == {
                name: (owned["pool"], owned["phase"], owned["epoch"])
                for name, owned in reference.owned.items()
            }

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(SCHEDULES)
    def test_reader_that_starts_from_any_snapshot_reaches_the_same_state(
        self, schedule: Schedule
    ) -> None:
        simulation = Simulation()
        simulation.run(schedule)
        starts = [FleetState(), *(folded.state for folded in simulation.steps)]
        for start in starts:
            state = decode_state(encode_state(start), FleetState)
            assert isinstance(state, FleetState)
            # Reads some records twice, as after a lost response.
            for payload, position in simulation.log[max(0, start.offset - 3) :]:
                state = step(state, payload, position).state
            assert state == simulation.newest


def _fold(*entries: tuple[object, str, float]) -> list[Ignored | Accepted]:
    state, outcomes = FleetState(), []
    for offset, (record, writer, at) in enumerate(entries):
        folded = step(state, encode(record, writer), LogPosition(offset, at))
        state = folded.state
        outcomes.append(folded.outcome)
    return outcomes


_A, _B, _ = WRITERS
_FENCE = Fence("pool:visits", 0)
_CLAIM = LeaseClaimed("pool:visits", _A, -1, 10.0)
_PLACE = ("zone", "rack", "192.0.2.1:80")
_ADOPT = InstanceAdopted("worker-1", 1, "visits", *_PLACE, 5.0, _FENCE)


class TestReasons:
    """Guards against an ignored record with a missing or wrong reason."""

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
    def test_ignored_record_has_its_reason(
        self, record: object, writer: str, at: float, reason: str
    ) -> None:
        outcome = _fold(
            (_CLAIM, _A, 0.0), (_ADOPT, _A, 0.5), (record, writer, at)
        )[-1]
        assert isinstance(outcome, Ignored)
        assert outcome.reason == reason

    def test_record_with_the_fence_of_another_pool_is_ignored(self) -> None:
        other = LeaseClaimed("pool:portal", _B, -1, 10.0)
        fence = Fence("pool:portal", 2)
        outcome = _fold(
            (_CLAIM, _A, 0.0),
            (_ADOPT, _A, 0.5),
            (other, _B, 0.6),
            (MoveBegun("worker-1", 1, "portal", "lent", fence), _B, 0.7),
        )[-1]
        assert outcome == Ignored("wrong-subject", "pool:portal")

    def test_stale_list_does_not_readopt_a_retired_instance(self) -> None:
        retired = InstanceRetired("worker-1", 1, 6.0, _FENCE)
        outcomes = _fold(
            (_CLAIM, _A, 0.0),
            (_ADOPT, _A, 0.5),
            (retired, _A, 1.0),
            (_ADOPT, _A, 1.5),
        )
        assert outcomes[2:] == [
            Accepted(),
            Ignored("stale-listing", "worker-1"),
        ]
