"""Tests of the measures."""

import pytest

from acaciawing.measures import (
    CapacitySample,
    ShortWorkWait,
    buffer_cost,
    moves,
    short_behind_long_wait,
)


class TestBufferCost:
    """Guards against samples that are not weighted by their duration."""

    def test_is_weighted_by_time(self) -> None:
        samples = [CapacitySample(9, 10, 10), CapacitySample(1, 10, 0)]
        unweighted = sum(s.held_slots - s.busy_slots for s in samples) / 2
        assert unweighted == 5
        assert buffer_cost(samples).mean == pytest.approx(1, rel=0.01)

    def test_offered_slots_are_excluded(self) -> None:
        assert buffer_cost([CapacitySample(1, 48, 8, 40)]).mean == 0


class TestMoves:
    """Guards against a mean that excludes minutes without moves."""

    def test_minutes_without_moves_count(self) -> None:
        summary = moves([5.0], 0.0, 600.0)
        assert (summary.count, summary.mean, summary.p50) == (10, 0.1, 0)


class TestShortBehindLongWait:
    """Guards against attributing waits behind short work to long work."""

    def test_only_time_behind_long_work_counts(self) -> None:
        waits = [ShortWorkWait(8.0, 0.0), ShortWorkWait(2.0, 3.0)]
        assert short_behind_long_wait(waits).mean == pytest.approx(1, rel=0.01)
