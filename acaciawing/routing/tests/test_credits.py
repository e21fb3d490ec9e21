"""Tests of the division of slots among entry instances."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.routing import Credit, divide_credits, long_slots

DEMANDS = st.lists(st.integers(0, 50), min_size=1, max_size=12)


def even_credit(slots: int, members: int) -> Credit:
    """Naive version: each member gets the same whole number of slots."""
    each = slots // members
    return Credit(each, long_slots(each))


def divided(
    workers: int, demands: list[int], own_zone: bool = True
) -> list[dict[str, Credit]]:
    names = [f"w{i}" for i in range(workers)]
    demand_of = {f"e{i:02}": float(d) for i, d in enumerate(demands)}
    return [
        divide_credits("visits", names, 8, member, demand_of, own_zone)
        for member in demand_of
    ]


class TestDivision:
    """Guards against slots promised twice, and slots nobody may use."""

    @given(st.integers(12, 40), DEMANDS)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_no_worker_is_promised_twice(
        self, workers: int, demands: list[int]
    ) -> None:
        parts = divided(workers, demands)
        # With this many workers each member's floor is at least one slot for
        # long work, so that none is given out above the division.
        for worker in parts[0]:
            assert sum(part[worker].long for part in parts) == 6
        total = sum(c.slots for part in parts for c in part.values())
        # The last quarter may be too small for a slot for each member.
        assert workers * 8 <= total <= workers * 8 + len(demands)

    @given(st.integers(1, 40), DEMANDS)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_every_member_can_run_short_and_long_work(
        self, workers: int, demands: list[int]
    ) -> None:
        for part in divided(workers, demands):
            long = sum(c.long for c in part.values())
            assert long >= 1
            assert sum(c.slots for c in part.values()) >= min(
                long + 1, 8 * workers
            )

    @given(st.integers(1, 40), DEMANDS)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_other_zones_are_divided_without_a_guarantee(
        self, workers: int, demands: list[int]
    ) -> None:
        parts = divided(workers, demands, own_zone=False)
        for worker in parts[0]:
            assert sum(part[worker].long for part in parts) == 6
            assert sum(part[worker].slots for part in parts) == 8

    def test_one_busy_member_may_use_most_slots(self) -> None:
        naive = 6 * even_credit(8, 9).slots
        busy = divided(6, [0] * 8 + [10])[8]
        usable = sum(credit.slots for credit in busy.values())
        assert naive == 0
        assert usable >= 38

    def test_a_run_is_spread_over_the_workers(self) -> None:
        for part in divided(6, [1, 1, 1, 1]):
            assert max(c.slots for c in part.values()) <= 3
