"""Tests of the placement benchmark."""

from bench.placement import fleet, measure


class TestPlacementBenchmark:
    """Guards against measuring a fleet that differs from the target."""

    def test_target_fleet_has_3300_accelerators(self) -> None:
        total = sum(w.total.accelerators for w in fleet(1400))
        assert total == 3300

    def test_each_step_is_measured(self) -> None:
        figures = measure(40)
        assert all(f.time_us.count > 0 for f in figures)
        assert {f.step for f in figures} == {
            "place",
            "place-naive",
            "fold-and-refresh",
            "no-room",
            "preempt",
            "build",
            "cancel-1000",
        }
