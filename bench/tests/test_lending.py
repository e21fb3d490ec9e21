"""Tests of the lending simulation."""

from bench.bursts import arrivals
from bench.lending import POLICIES, compare, simulate


class TestSimulate:
    """Guards against comparing policies on different requests."""

    def test_same_seed_same_figures(self) -> None:
        first, second = (simulate(6, "alternating", "naive", 1) for _ in "ab")
        assert first == second

    def test_mean_demand_is_a_fifth_of_the_peak(self) -> None:
        drawn_requests = arrivals(6, "alternating", 1)
        work_s = sum(
            run_s for _, service, run_s in drawn_requests if service == 0
        )
        assert 0.9 < work_s / 600.0 / 12.0 < 1.1

    def test_policies_get_equal_request_counts(self) -> None:
        figures = tuple(
            simulate(6, "alternating", policy, 2) for policy in POLICIES
        )
        assert len({f.requests for f in figures}) == 1
        assert all(0 < f.success_rate <= 1 for f in figures)
        assert len(compare(figures)) == len(POLICIES) - 1
