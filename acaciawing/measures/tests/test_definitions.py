"""Tests of the measures."""

import pytest

from acaciawing.measures import (
    CapacitySample,
    ShortWait,
    buffer_cost,
    moves,
    short_behind_long_wait,
)


class TestBufferCost:
    """Guards against samples that count equally whatever their duration."""

    def test_is_weighted_by_time(self) -> None:
        samples = [CapacitySample(9, 10, 10), CapacitySample(1, 10, 0)]
        naive = sum(s.held_slots - s.busy_slots for s in samples) / 2
        assert naive == 5
        assert buffer_cost(samples).mean == pytest.approx(1, rel=0.01)

    def test_offered_slots_are_not_spare(self) -> None:
        assert buffer_cost([CapacitySample(1, 48, 8, 40)]).mean == 0


class TestMoves:
    """Guards against minutes without moves being left out of the mean."""

    def test_quiet_minutes_count(self) -> None:
        summary = moves([5.0], 0.0, 600.0)
        assert (summary.count, summary.mean, summary.p50) == (10, 0.1, 0)


class TestShortBehindLongWait:
    """Guards against blaming long work for waits behind short work."""

    def test_only_time_behind_long_work_counts(self) -> None:
        waits = [ShortWait(8.0, 0.0), ShortWait(2.0, 3.0)]
        assert short_behind_long_wait(waits).mean == pytest.approx(1, rel=0.01)
