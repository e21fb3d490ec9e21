"""Tests of the budget simulation."""

from bench.budgets import gate_cost, simulate


class TestSimulate:
    """Guards against figures that differ between runs with the same seed."""

    def test_same_seed_same_figures(self) -> None:
        assert simulate("gate", 1) == simulate("gate", 1)

    def test_gate_cost_is_measured(self) -> None:
        assert gate_cost(2, 2, rounds=3).time_us.count == 3
