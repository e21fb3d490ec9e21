"""Tests of the division of slots among entry instances."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.routing import Credit, divide_credits, long_slots

DEMANDS = st.lists(st.integers(0, 50), min_size=1, max_size=12)


def even_credit(slots: int, members: int) -> Credit:
    """Baseline: each entry instance gets the same whole number of slots."""
    each = slots // members
    return Credit(each, long_slots(each))


def divide_among(
    instances: int, demands: list[int], own_zone: bool = True
) -> list[dict[str, Credit]]:
    names = [f"w{i}" for i in range(instances)]
    demand_of = {f"e{i:02}": float(d) for i, d in enumerate(demands)}
    return [
        divide_credits("visits", names, 8, member, demand_of, own_zone)
        for member in demand_of
    ]


class TestDivision:
    """Guards against slots allocated twice, and slots allocated to nobody."""

    @given(st.integers(12, 40), DEMANDS)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_slots_are_not_allocated_twice(
        self, instances: int, demands: list[int]
    ) -> None:
        parts = divide_among(instances, demands)
        # With this many instances, the even share of each member is at least one
        # slot for long work, so no slots are added to guarantee the minimum.
        for instance in parts[0]:
            assert sum(part[instance].long for part in parts) == 6
        total = sum(c.slots for part in parts for c in part.values())
        # The reserve may have fewer slots than members; then each gets one anyway.
        assert instances * 8 <= total <= instances * 8 + len(demands)

    @given(st.integers(1, 40), DEMANDS)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_each_member_has_slots_for_short_and_long_work(
        self, instances: int, demands: list[int]
    ) -> None:
        for part in divide_among(instances, demands):
            long = sum(c.long for c in part.values())
            assert long >= 1
            assert sum(c.slots for c in part.values()) >= min(
                long + 1, 8 * instances
            )

    @given(st.integers(1, 40), DEMANDS)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_slots_of_other_zones_are_divided_exactly(
        self, instances: int, demands: list[int]
    ) -> None:
        parts = divide_among(instances, demands, own_zone=False)
        for instance in parts[0]:
            assert sum(part[instance].long for part in parts) == 6
            assert sum(part[instance].slots for part in parts) == 8

    def test_single_busy_member_can_use_most_slots(self) -> None:
        baseline = 6 * even_credit(8, 9).slots
        busy = divide_among(6, [0] * 8 + [10])[8]
        usable = sum(credit.slots for credit in busy.values())
        assert baseline == 0
        assert usable >= 38

    def test_slots_of_a_member_are_spread_over_the_instances(self) -> None:
        for part in divide_among(6, [1, 1, 1, 1]):
            assert max(c.slots for c in part.values()) <= 3
