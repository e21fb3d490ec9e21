"""Tests of the division of machines between pools."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.allocation import PoolDemand, divide_machines

_SEEDED = settings(derandomize=True, deadline=None)
_COUNTS = st.integers(0, 60)


@st.composite
def _demands(draw: st.DrawFn) -> dict[str, PoolDemand]:
    demands = {}
    for number in range(draw(st.integers(1, 6))):
        floor = draw(st.integers(0, 5))
        on_time = floor + draw(_COUNTS)
        demands[f"p{number}"] = PoolDemand(floor, on_time, draw(_COUNTS))
    return demands


class TestDivideMachines:
    """Guards against lost, doubled and badly placed machines."""

    @_SEEDED
    @given(_demands(), st.integers(0, 200))
    def test_no_machine_is_counted_twice_or_left_beside_a_need(
        self, demands: dict[str, PoolDemand], machines: int
    ) -> None:
        divided = divide_machines(demands, machines)
        wanted = sum(d.on_time + d.late for d in demands.values())
        assert sum(divided.values()) == min(machines, wanted)

    @_SEEDED
    @given(_demands(), st.integers(0, 200))
    def test_late_work_gets_nothing_before_all_work_that_can_be_on_time(
        self, demands: dict[str, PoolDemand], machines: int
    ) -> None:
        divided = divide_machines(demands, machines)
        if any(divided[p] < d.on_time for p, d in demands.items()):
            assert all(divided[p] <= d.on_time for p, d in demands.items())

    @_SEEDED
    @given(_demands(), st.integers(0, 200))
    def test_no_pool_starves(
        self, demands: dict[str, PoolDemand], machines: int
    ) -> None:
        divided = divide_machines(demands, machines)
        if machines >= sum(d.floor for d in demands.values()):
            assert all(divided[p] >= d.floor for p, d in demands.items())

    def test_equal_demands_get_equal_shares(self) -> None:
        demands = {name: PoolDemand(2, 30, 0) for name in "abc"}
        assert divide_machines(demands, 60) == {"a": 20, "b": 20, "c": 20}
