"""Tests of the routing decision against baseline implementations."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from acaciawing.platform import Listing
from acaciawing.routing import (
    AvoidedDomains,
    Credit,
    Endpoint,
    EndpointStatus,
    NoEndpoint,
    Result,
    Route,
    RouteRequest,
    RoutingState,
    choose,
    next_reopening_time,
    observe_leaving,
    observe_listing,
    observe_result,
    release,
    reserve,
    set_credits,
)
from acaciawing.routing.pool import end_expired_periods
from acaciawing.routing.tests.baseline import (
    LastListRouter,
    check_choice,
    check_views,
    make_instance,
    make_listing,
)

REQUEST = RouteRequest("visits", "z0")
SEEDED = settings(derandomize=True, deadline=None, max_examples=150)


def make_fleet(count: int, zones: int = 2, as_of: float = 0.0) -> RoutingState:
    listing = make_listing(
        as_of, *(make_instance(i, zones=zones) for i in range(count))
    )
    return observe_listing(RoutingState(), listing, {}, 0.0)


def endpoint_status(state: RoutingState, instance: str) -> EndpointStatus:
    return state.pools["visits"].endpoint_states[instance].status


def route_request(
    state: RoutingState, request: RouteRequest, now: float
) -> Route:
    route = choose(state, request, now, Random(0))
    assert isinstance(route, Route), route
    return route


STEP = st.tuples(
    st.sampled_from(
        ["choose", "choose-long", "result", "list", "old-list", "leave", "wait"]
    ),
    st.integers(0, 7),
    st.sampled_from(list(Result)),
)


class TestViews:
    """Guards against cached views that differ from the endpoint states.

    A stale view routes requests to a full, leaving or ejected endpoint, or refuses
    requests while a slot is free.
    """

    @given(st.lists(STEP, max_size=60), st.integers(0, 2**32))
    @SEEDED
    def test_views_and_choices_match_a_full_scan(
        self, steps: list[tuple[str, int, Result]], seed: int
    ) -> None:
        random = Random(seed)
        state = set_credits(
            make_fleet(6), {f"w{i}": Credit(2, 1) for i in range(6)}
        )
        now, open_routes, incarnations = 0.0, list[Route](), dict[int, int]()
        for action, number, result in steps:
            now += 0.3
            if action.startswith("choose"):
                request = replace(REQUEST, long=action == "choose-long")
                choice = choose(state, request, now, random)
                check_choice(state, request, now, choice)
                if isinstance(choice, Route):
                    state = reserve(state, choice, now)
                    open_routes.append(choice)
            elif action == "result" and open_routes:
                route = open_routes.pop(number % len(open_routes))
                state = observe_result(state, route.endpoint, result, 0.1, now)
                state = release(state, route, now)
            elif action == "list":
                incarnations[number] = incarnations.get(number, 1) + number % 2
                present = [
                    make_instance(i, incarnations.get(i, 1))
                    for i in range(8)
                    if i != (number + 1) % 8
                ]
                state = observe_listing(
                    state, make_listing(now, *present), {}, now
                )
            elif action == "old-list":
                old = make_listing(
                    now - 9,
                    make_instance(number),
                    make_instance(1, 1, "leaving"),
                )
                state = observe_listing(state, old, {}, now)
            elif action == "leave":
                state = observe_leaving(
                    state, f"w{number}", incarnations.get(number, 1), now
                )
            else:
                now += 5.0
                for name, pool in state.pools.items():
                    pools = state.pools.set(
                        name, end_expired_periods(pool, now)
                    )
                    state = replace(state, pools=pools)
            check_views(state)


class TestLeaving:
    """Guards against new requests to a leaving endpoint (invariant 6)."""

    LISTS = (
        make_listing(10.0, make_instance(0, 1, "leaving"), make_instance(2)),
        make_listing(8.0, make_instance(0), make_instance(2)),
        make_listing(11.0, make_instance(2)),
        make_listing(12.0, make_instance(0), make_instance(2)),
    )

    def baseline_routes(self) -> set[str]:
        router, random = LastListRouter(), Random(1)
        routes = set()
        for listing in self.LISTS:
            router.observe(listing)
            routes |= {router.choose(random) for _ in range(20)}
        return routes

    def production_routes(self) -> set[str]:
        state, random = make_fleet(4, zones=2, as_of=1.0), Random(1)
        routes = set()
        for now, listing in enumerate(self.LISTS):
            state = observe_listing(state, listing, {}, float(now))
            for _ in range(20):
                choice = choose(state, REQUEST, float(now), random)
                assert isinstance(choice, Route)
                routes.add(choice.endpoint.instance)
        return routes

    def test_lagging_list_does_not_reopen_a_leaving_endpoint(self) -> None:
        assert "w0" in self.baseline_routes()
        assert "w0" not in self.production_routes()

    def test_older_list_adds_only_its_leave_signals(self) -> None:
        state = make_fleet(4, as_of=20.0)
        old = make_listing(
            5.0, make_instance(0, 1, "leaving"), make_instance(9)
        )
        state = observe_listing(state, old, {}, 1.0)
        assert endpoint_status(state, "w0") is EndpointStatus.LEAVING
        assert "w9" not in state.pool_of

    def test_leave_signal_applies_before_the_instance_is_listed(self) -> None:
        state = observe_leaving(make_fleet(2), "w5", 3, 0.0)
        listing = make_listing(2.0, make_instance(0), make_instance(5, 3))
        state = observe_listing(state, listing, {}, 0.0)
        assert endpoint_status(state, "w5") is EndpointStatus.LEAVING

    def test_new_incarnation_at_the_same_address_is_a_new_endpoint(
        self,
    ) -> None:
        state = make_fleet(1)
        old = route_request(state, REQUEST, 0.0)
        state = reserve(state, old, 0.0)
        state = observe_leaving(state, "w0", 1, 0.0)
        state = observe_listing(
            state, make_listing(1.0, make_instance(0, 2)), {}, 1.0
        )
        assert route_request(state, REQUEST, 1.0).endpoint.incarnation == 2
        state = observe_result(state, old.endpoint, Result.FAILURE, 1.0, 2.0)
        state = release(state, old, 2.0)
        endpoint_state = state.pools["visits"].endpoint_states["w0"]
        assert (endpoint_state.in_flight, endpoint_state.answers) == (0, 0)

    def test_late_leave_signal_of_an_old_incarnation_is_ignored(self) -> None:
        state = observe_listing(
            make_fleet(1), make_listing(1.0, make_instance(0, 2)), {}, 1.0
        )
        state = observe_leaving(state, "w0", 1, 2.0)
        assert endpoint_status(state, "w0") is EndpointStatus.OPEN

    def test_ownership_table_overrides_the_listed_pool(self) -> None:
        listing = make_listing(1.0, make_instance(0), make_instance(2))
        state = observe_listing(make_fleet(4), listing, {"w0": "portal"}, 1.0)
        assert route_request(state, REQUEST, 1.0).endpoint.instance == "w2"
        assert state.pools["portal"].size == 1


class TestHealth:
    """Guards against an endpoint that attracts requests by failing fast."""

    def count_failures(self, informed: bool) -> int:
        """Counts failures of 2,000 requests with one failing endpoint of six.

        Args:
            informed: Whether results are passed to the router.
        """
        state, random, failed = make_fleet(6, zones=1), Random(3), 0
        running: list[tuple[float, Route]] = []
        for step in range(2000):
            now = step * 0.01
            while running and running[0][0] <= now:
                route = running.pop(0)[1]
                if informed:
                    state = observe_result(
                        state, route.endpoint, Result.SUCCESS, 0.2, now
                    )
                state = release(state, route, now)
            choice = choose(state, REQUEST, now, random)
            assert isinstance(choice, Route)
            state = reserve(state, choice, now)
            if choice.endpoint.instance != "w0":
                running.append((now + 0.2, choice))
                continue
            failed += 1
            if informed:
                state = observe_result(
                    state, choice.endpoint, Result.FAILURE, 0.0, now
                )
            state = release(state, choice, now)
        return failed

    def test_failing_endpoint_is_ejected(self) -> None:
        assert self.count_failures(informed=False) > 400
        # Ten answers until the ejection, then a probe after 5 s and another one
        # 10 s later.
        assert self.count_failures(informed=True) <= 14

    def fail_endpoint(self, state: RoutingState, instance: str) -> RoutingState:
        endpoint = state.pools["visits"].endpoint_states[instance].endpoint
        for _ in range(12):
            state = observe_result(state, endpoint, Result.FAILURE, 0.0, 0.0)
        return state

    def make_healthy_pool(self, count: int) -> RoutingState:
        state = make_fleet(count, zones=1)
        for endpoint_state in state.pools["visits"].endpoint_states.values():
            for _ in range(12):
                state = observe_result(
                    state, endpoint_state.endpoint, Result.SUCCESS, 0.0, 0.0
                )
        return state

    def test_at_most_half_of_a_pool_is_ejected(self) -> None:
        state = self.make_healthy_pool(5)
        for number in range(4):
            state = self.fail_endpoint(state, f"w{number}")
        assert state.pools["visits"].ejected == 2

    def test_shrinking_pool_reopens_ejected_endpoints(self) -> None:
        state = self.fail_endpoint(
            self.fail_endpoint(self.make_healthy_pool(4), "w0"), "w1"
        )
        assert state.pools["visits"].ejected == 2
        state = observe_leaving(state, "w2", 1, 0.0)
        assert state.pools["visits"].ejected == 1

    def test_pool_that_fails_entirely_ejects_no_endpoint(self) -> None:
        state = make_fleet(4, zones=1)
        for _ in range(3):
            for number in range(4):
                state = self.fail_endpoint(state, f"w{number}")
        assert state.pools["visits"].ejected == 0

    def test_single_probe_and_ejection_period_doubles_up_to_60_s(self) -> None:
        state = self.fail_endpoint(self.make_healthy_pool(3), "w0")
        now = 0.0
        for period in (5, 10, 20, 40, 60, 60):
            before = choose(state, REQUEST, now + period - 0.01, Random(0))
            assert isinstance(before, Route) and not before.probe
            now += period
            probe = route_request(state, REQUEST, now)
            assert probe.probe and probe.endpoint.instance == "w0"
            state = reserve(state, probe, now)
            assert not route_request(state, REQUEST, now).probe
            state = observe_result(
                state, probe.endpoint, Result.FAILURE, 0.0, now
            )
            state = release(state, probe, now)

    def test_cancelled_probe_is_retried(self) -> None:
        state = self.fail_endpoint(self.make_healthy_pool(3), "w0")
        probe = route_request(state, REQUEST, 5.0)
        state = release(reserve(state, probe, 5.0), probe, 5.1)
        assert route_request(state, REQUEST, 5.2).probe

    def test_not_run_pauses_the_endpoint_without_a_failure(self) -> None:
        state = make_fleet(1, zones=1)
        first = route_request(state, REQUEST, 0.0).endpoint
        state = observe_result(state, first, Result.NOT_RUN, 0.0, 0.0)
        assert choose(state, REQUEST, 0.01, Random(0)) == NoEndpoint(
            ("visits:no-free-slot",)
        )
        assert route_request(state, REQUEST, 0.06).endpoint == first
        assert state.pools["visits"].answers == 0.0

    def test_next_reopening_time_is_in_the_future(self) -> None:
        """Guards against a past time, which makes a queue retry in a busy loop."""
        state = make_fleet(2, zones=1)
        for number, at in ((0, 0.0), (1, 0.04)):
            endpoint = (
                state.pools["visits"].endpoint_states[f"w{number}"].endpoint
            )
            state = observe_result(state, endpoint, Result.NOT_RUN, 0.0, at)
        assert next_reopening_time(state, "visits", 0.04) == 0.05
        assert next_reopening_time(state, "visits", 0.05) == 0.09
        assert next_reopening_time(state, "visits", 0.09) is None
        assert next_reopening_time(state, "portal", 0.0) is None


class TestZones:
    """Guards against requests that leave their zone too early or too late."""

    def fill_own_zone(self, in_flight: int) -> RoutingState:
        """Fills slots of z0; each of z0 and z1 has four endpoints and 32 slots.

        Args:
            in_flight: Number of requests to reserve slots for in z0.
        """
        state = make_fleet(8)
        for _ in range(in_flight):
            request = replace(
                REQUEST, avoid=AvoidedDomains(zones=frozenset({"z1"}))
            )
            state = reserve(state, route_request(state, request, 0.0), 0.0)
        return state

    def test_own_zone_is_preferred_until_it_is_loaded(self) -> None:
        assert (
            route_request(self.fill_own_zone(20), REQUEST, 0.0).endpoint.zone
            == "z0"
        )
        route = route_request(self.fill_own_zone(26), REQUEST, 0.0)
        assert route.reasons[0] == "spill-zone:z1"

    def test_two_random_choices_balance_better_than_one(self) -> None:
        random = Random(5)
        one = [0] * 32
        for _ in range(128):
            one[random.randrange(32)] += 1
        state = make_fleet(32, zones=1)
        for _ in range(128):
            choice = choose(state, REQUEST, 0.0, random)
            assert isinstance(choice, Route)
            state = reserve(state, choice, 0.0)
        two = [
            s.in_flight for s in state.pools["visits"].endpoint_states.values()
        ]
        assert max(two) < max(one) and max(two) <= 6

    def test_retry_avoids_the_instance_and_rack(self) -> None:
        state = make_fleet(8)
        avoid = AvoidedDomains(
            frozenset({"w0"}), frozenset({("z0", "r0")}), frozenset()
        )
        for seed in range(30):
            choice = choose(
                state, replace(REQUEST, avoid=avoid), 0.0, Random(seed)
            )
            assert isinstance(choice, Route)
            assert choice.endpoint.zone == "z0"
            assert choice.endpoint.rack == "r1"

    def test_avoided_domains_are_used_only_without_alternative(self) -> None:
        state = make_fleet(3, zones=1)
        domains = AvoidedDomains(
            frozenset({"w0"}),
            frozenset({("z0", "r0")}),
            frozenset({"z0"}),
        )
        route = route_request(state, replace(REQUEST, avoid=domains), 0.0)
        assert route.endpoint.instance == "w2"
        assert "zone-not-avoided" in route.reasons
        only = make_fleet(1, zones=1)
        assert choose(
            only, replace(REQUEST, avoid=domains), 0.0, Random(0)
        ) == NoEndpoint(("visits:avoided",))

    def test_full_pool_spills_over_to_the_spare_pool(self) -> None:
        listing = make_listing(
            1.0, make_instance(0), make_instance(1, pool="portal")
        )
        state = observe_listing(RoutingState(), listing, {}, 0.0)
        request = replace(REQUEST, spill=("portal",))
        for _ in range(8):
            state = reserve(state, route_request(state, request, 0.0), 0.0)
        route = route_request(state, request, 0.0)
        assert route.endpoint.instance == "w1"
        assert route.reasons[:2] == (
            "visits:no-free-slot",
            "spill-pool:portal",
        )


class TestReserve:
    """Guards against long work in the last quarter of an instance's slots."""

    def test_long_work_leaves_two_of_eight_slots(self) -> None:
        state = make_fleet(1, zones=1)
        long = replace(REQUEST, long=True)
        for _ in range(6):
            state = reserve(state, route_request(state, long, 0.0), 0.0)
        assert choose(state, long, 0.0, Random(0)) == NoEndpoint(
            ("visits:no-long-slot",)
        )
        assert route_request(state, REQUEST, 0.0).endpoint.instance == "w0"


def test_unknown_pool_is_named_in_the_reason() -> None:
    """Guards against an exception for a pool without listed instances."""
    state = observe_listing(RoutingState(), Listing(0.0, ()), {}, 0.0)
    assert choose(state, REQUEST, 0.0, Random(0)) == NoEndpoint(
        ("visits:unknown-pool",)
    )
    unknown = Endpoint("w9", 1, "visits", "z0", "r0", "192.0.2.9:80")
    assert observe_result(state, unknown, Result.FAILURE, 0.0, 0.0) is state
