"""Tests of the placement bench."""

from bench.placement import fleet, measure


class TestPlacementBench:
    """Guards against a bench that measures another fleet than the target."""

    def test_target_size_has_its_accelerators(self) -> None:
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
