"""Tests of admission, with a limit of limit / n as baseline."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from acaciawing.admission import (
    Admission,
    AdmissionState,
    Arrival,
    DemandHistory,
    EntryView,
    admit,
    end,
    integer_share,
    leave,
    may_start,
    observe_demand,
    published_demand,
    sample_demand,
    share,
    start,
)
from acaciawing.admission.tests.fleet import (
    Event,
    Fleet,
    Policy,
    equal_share,
    max_admission_ratio,
    newest_demand,
    windowed_demand,
)
from acaciawing.configuration import Plan
from acaciawing.outcomes import NotRun

GOLD = Plan("gold", 0.99, 3600.0, 1.0, 10.0, 4, 2, ())
IRON = replace(GOLD, name="iron")
NAMES = tuple(f"e{i}" for i in range(9))
PARTITIONS = (
    Event(15.0, "cut", NAMES[:3]),
    Event(15.0, "cut", NAMES[3:6]),
    Event(35.0, "heal", ()),
)


def harmonic(count: int) -> float:
    return sum(1.0 / i for i in range(1, count + 1))


def even(name: str, now: float) -> float:
    return 60.0


def simultaneous(name: str, now: float) -> float:
    """Demand that rises on all members at the same time."""
    return 400.0 if now % 20.0 >= 10.0 else 5.0


def on_one(name: str, now: float) -> float:
    return 400.0 if name == "e0" else 0.0


DEMANDS = {"even": even, "together": simultaneous, "one": on_one}


def max_ratio(bound: float, members: int, seconds: float = 10.0) -> float:
    """Returns the maximum ratio of admitted requests to the limit in a window.

    The buckets refill during the window and may be full at its start, and each
    member may admit one more request.
    """
    return bound * (1.0 + 1.0 / seconds) + members / (200.0 * seconds) + 1e-9


class TestBound:
    """Guards against a fleet that together admits more than a plan's limit."""

    @pytest.mark.parametrize("demand", [even, simultaneous, on_one])
    def test_partitioned_zones_stay_within_the_limit(
        self, demand: Callable[[str, float], float]
    ) -> None:
        def rate(policy: Policy) -> float:
            return max_admission_ratio(
                Fleet(9, policy, demand, PARTITIONS, 0.3).run(50.0), 10.0
            )

        if demand is not on_one:
            assert rate(equal_share) > 2.0
            assert rate(newest_demand) > 2.0
        assert rate(windowed_demand) <= max_ratio(1.0, 9)

    def test_simultaneous_rise_stays_within_the_limit(self) -> None:
        rise = Fleet(9, newest_demand, simultaneous, loss=0.3).run(50.0)
        assert max_admission_ratio(rise, 10.0) > max_ratio(1.0, 9)
        rise = Fleet(9, windowed_demand, simultaneous, loss=0.3).run(50.0)
        assert max_admission_ratio(rise, 10.0) <= max_ratio(1.0, 9)

    def test_member_replacement_stays_within_the_limit(self) -> None:
        events = tuple(
            event
            for i in range(1, 5)
            for event in (
                Event(15.0 + i, "vanish", (f"e{i}",)),
                Event(16.0 + i, "join", (f"e{i + 9}",)),
                Event(20.0 + i, "ended", (f"e{i}",)),
            )
        )
        admitted = Fleet(9, windowed_demand, even, events, 0.3).run(50.0)
        # At any time, at most one join is not known to all members.
        assert max_admission_ratio(admitted, 10.0) <= max_ratio(
            1.0 + 0.5 / 9, 10
        )
        assert sum(admitted[200:]) >= 0.85 * 200.0 * 40.0

    @given(
        st.sampled_from(sorted(DEMANDS)),
        st.floats(0.0, 0.3),
        st.integers(0, 999),
        st.lists(
            st.tuples(
                st.sampled_from(["join", "leave", "vanish", "cut", "one-way"]),
                st.floats(10.0, 25.0),
                st.integers(0, 5),
            ),
            max_size=4,
        ),
    )
    @settings(derandomize=True, deadline=None, max_examples=15)
    def test_random_member_changes_stay_within_the_bound(
        self,
        demand: str,
        loss: float,
        seed: int,
        changes: list[tuple[str, float, int]],
    ) -> None:
        events, joins, departures = [Event(26.0, "heal", ())], 0, 0
        for kind, at, number in changes:
            name = f"e{number}"
            if kind == "join":
                joins += 1
                events.append(Event(at, "join", (f"e{8 + joins}",)))
            elif kind in ("cut", "one-way"):
                side = NAMES[: number + 1]
                events.append(Event(at, "cut", side, kind == "one-way"))
            else:
                departures += 1
                events.append(Event(at, kind, (name,)))
        fleet = Fleet(
            6, windowed_demand, DEMANDS[demand], tuple(events), loss, seed
        )
        admitted = fleet.run(32.0)
        members = 6 + joins
        bound = 0.5 + 0.5 * harmonic(members) + 0.5 * joins / 6
        assert max_admission_ratio(admitted, 10.0) <= max_ratio(bound, members)

    @given(
        st.lists(st.floats(0.0, 100.0), min_size=2, max_size=9),
        st.data(),
    )
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_sum_of_shares_stays_within_the_bound(
        self, demand: list[float], data: st.DataObject
    ) -> None:
        members = [f"e{i}" for i in range(len(demand))]
        either = st.booleans()
        symmetric = data.draw(either)
        receives: dict[tuple[int, int], bool] = {}
        for i in range(len(demand)):
            for j in range(i):
                receives[i, j] = data.draw(either)
                receives[j, i] = (
                    receives[i, j] if symmetric else data.draw(either)
                )
        total = 0.0
        for i, own in enumerate(demand):
            demand_by_member = {
                members[j]: {"gold": demand[j] * data.draw(st.floats(1.0, 3.0))}
                for j in range(len(demand))
                if j != i and receives[i, j]
            }
            lowest = own * data.draw(st.floats(0.0, 1.0))
            total += share(
                EntryView(members[i], demand_by_member, members), "gold", lowest
            )
        bound = 1.0 if symmetric else 0.5 + 0.5 * harmonic(len(demand))
        assert total <= bound + 1e-9


class TestShare:
    """Guards against unused shares while another instance needs them."""

    def test_single_busy_instance_can_use_most_of_the_limit(self) -> None:
        busy = Fleet(9, windowed_demand, on_one).run(40.0)
        equal = Fleet(9, equal_share, on_one).run(40.0)
        assert sum(busy[400:]) >= 0.54 * 200.0 * 20.0
        assert sum(equal[400:]) <= 0.12 * 200.0 * 20.0

    def test_simultaneous_rise_keeps_the_limit_usable(self) -> None:
        def rise(name: str, now: float) -> float:
            return 30.0 if now >= 20.0 else 5.0

        admitted = Fleet(9, windowed_demand, rise).run(26.0)
        # Without smoothing this is 0.75: each share falls until the instance uses
        # its own new demand.
        assert sum(admitted[400:]) >= 0.95 * 200.0 * 6.0

    def test_shares_follow_demand_that_moves_to_one_instance(self) -> None:
        def moves(name: str, now: float) -> float:
            return 400.0 if name == "e0" and now >= 20.0 else 5.0

        admitted = Fleet(9, windowed_demand, moves).run(62.0)
        assert sum(admitted[1200:]) >= 0.6 * 200.0 * 2.0

    def test_gap_in_the_samples_resets_the_window(self) -> None:
        history = DemandHistory()
        for step in range(20):
            history = observe_demand(history, 50.0, step * 0.5)
        assert history.lowest(9.5) == 50.0
        history = observe_demand(history, 50.0, 30.0)
        assert history.lowest(30.0) is None


def make_arrival(plan: Plan = GOLD, **changes: object) -> Arrival:
    base = Arrival(plan, 1.0, True, 0.0, 0.0, 1.0)
    return structs.replace(base, **changes)


def admit_requests(
    state: AdmissionState, count: int, plan: Plan = GOLD, now: float = 0.0
) -> AdmissionState:
    """Admits and starts `count` requests, one every 0.1 s before `now`."""
    for number in range(count):
        state, decision = admit(
            state, make_arrival(plan), now - 0.1 * (count - number)
        )
        assert isinstance(decision, Admission), decision
        state = start(state, plan, 1.0, now - 0.1 * (count - number))
    return state


def expect_refusal(decision: object) -> NotRun:
    assert isinstance(decision, NotRun), decision
    return decision


class TestRefusals:
    """Guards against refusals with a wrong reason or retry time."""

    def test_requests_above_the_rate_wait_or_are_refused(self) -> None:
        # At a rate of 10 per second, the bucket starts with 2.5 of 10 tokens. Two
        # requests start; those that get a token within a second wait.
        plan = replace(GOLD, queue=100, concurrency=100)
        state = AdmissionState()
        for number in range(12):
            state, decision = admit(state, make_arrival(plan), 0.0)
            assert isinstance(decision, Admission)
            assert may_start(state, plan, 1.0, 0.0) == (number < 2)
            if number < 2:
                state = start(state, plan, 1.0, 0.0)
        _, decision = admit(state, make_arrival(plan), 0.0)
        assert expect_refusal(decision).code == "rate-limit"
        assert expect_refusal(decision).status == 429
        assert expect_refusal(decision).retry_after_s == 0.5
        assert not may_start(state, plan, 1.0, 0.04)
        assert may_start(state, plan, 1.0, 0.05)

    def test_queue_limit_applies_after_the_concurrency_limit(self) -> None:
        state = admit_requests(AdmissionState(), 4)
        assert not may_start(state, GOLD, 1.0, 1.0)
        for _ in range(2):
            state, decision = admit(state, make_arrival(), 1.0)
            assert isinstance(decision, Admission)
        _, decision = admit(state, make_arrival(), 2.0)
        assert expect_refusal(decision).code == "queue-limit"
        state = end(leave(leave(state, "gold"), "gold"), "gold")
        assert may_start(state, GOLD, 1.0, 1.0)
        _, decision = admit(state, make_arrival(), 3.0)
        assert isinstance(decision, Admission)

    def test_unreachable_deadline_is_refused(self) -> None:
        late = make_arrival(
            can_start=False, wait_s=3.0, min_run_time_s=0.5, remaining_s=1.0
        )
        _, decision = admit(AdmissionState(), late, 0.0)
        assert expect_refusal(decision).code == "deadline-unreachable"
        assert expect_refusal(decision).retry_after_s == 2.5

    def test_refused_request_consumes_no_token(self) -> None:
        late = make_arrival(can_start=False, wait_s=3.0)
        state, _ = admit(AdmissionState(), late, 0.0)
        state, decision = admit(state, make_arrival(), 0.0)
        assert isinstance(decision, Admission)
        assert may_start(state, GOLD, 1.0, 0.0)

    def test_overload_sheds_the_plan_above_its_allowance(self) -> None:
        state = admit_requests(AdmissionState(), 3)
        state, _ = admit(state, make_arrival(), 1.0)
        shares = {"gold": (GOLD, 1.0), "iron": (IRON, 1.0)}
        _, decision = admit(
            state, make_arrival(IRON, overloaded=True), 1.0, shares
        )
        assert decision == Admission("gold", ("shed:gold",))
        _, decision = admit(state, make_arrival(overloaded=True), 2.0, shares)
        assert expect_refusal(decision).code == "overload"

    def test_refused_requests_count_as_demand(self) -> None:
        state = sample_demand(AdmissionState(), 0.0)
        for _ in range(50):
            state, _ = admit(state, make_arrival(), 0.1)
        assert published_demand(sample_demand(state, 0.5)) == {"gold": 100.0}

    @given(st.integers(1, 500), st.lists(st.floats(0.001, 1.0), min_size=1))
    @settings(derandomize=True, deadline=None)
    def test_integer_shares_exceed_the_limit_by_at_most_one_each(
        self, limit: int, weights: list[float]
    ) -> None:
        total = sum(weights)
        allocated = sum(integer_share(limit, w / total) for w in weights)
        assert allocated <= limit + len(weights)
