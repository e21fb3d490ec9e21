"""Tests of the lending replay."""

from bench.bursts import arrivals
from bench.lending import POLICIES, compare, replay


class TestReplay:
    """Guards against policies that are compared on different requests."""

    def test_same_seed_same_figures(self) -> None:
        first, second = (replay(6, "alternating", "naive", 1) for _ in "ab")
        assert first == second

    def test_mean_demand_is_a_fifth_of_the_peak(self) -> None:
        drawn = arrivals(6, "alternating", 1)
        work = sum(run for _, service, run in drawn if service == 0)
        assert 0.9 < work / 600.0 / 12.0 < 1.1

    def test_every_request_ends(self) -> None:
        figures = tuple(
            replay(6, "alternating", policy, 2) for policy in POLICIES
        )
        assert len({f.requests for f in figures}) == 1
        assert all(0 < f.success_rate <= 1 for f in figures)
        assert len(compare(figures)) == len(POLICIES) - 1
