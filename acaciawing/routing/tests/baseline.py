"""Baseline router and full recomputations that the tests compare with."""

from random import Random

from acaciawing.platform import ListedInstance, Listing
from acaciawing.routing import (
    AvoidedDomains,
    Endpoint,
    EndpointStatus,
    NoEndpoint,
    Route,
    RouteRequest,
    RoutingState,
)
from acaciawing.routing.pool import EndpointState, Pool, end_expired_periods


def make_instance(
    number: int,
    incarnation: int = 1,
    state: str = "live",
    zones: int = 2,
    pool: str = "visits",
) -> ListedInstance:
    """Returns instance ``w<number>``, with two instances of a zone in each rack."""
    return ListedInstance(
        f"w{number}",
        incarnation,
        pool,
        f"z{number % zones}",
        f"r{number // (2 * zones)}",
        f"192.0.2.{number}:80",
        state,
    )


def make_listing(as_of: float, *instances: ListedInstance) -> Listing:
    return Listing(as_of, instances)


class LastListRouter:
    """Router that uses the last list received, regardless of its age."""

    def __init__(self) -> None:
        """Starts without a list."""
        self.live: dict[str, ListedInstance] = {}

    def observe(self, listing: Listing) -> None:
        self.live = {
            i.instance: i for i in listing.instances if i.state == "live"
        }

    def leaving(self, instance: str) -> None:
        self.live.pop(instance, None)

    def choose(self, random: Random) -> str:
        return random.choice(sorted(self.live))


def is_allowed(endpoint: Endpoint, avoid: AvoidedDomains) -> bool:
    return endpoint.instance not in avoid.instances


def scan(pool: Pool, request: RouteRequest) -> list[EndpointState]:
    """Finds all endpoints that the request can use, by a full scan."""
    return [
        endpoint_state
        for endpoint_state in pool.endpoint_states.values()
        if endpoint_state.status is EndpointStatus.OPEN
        and endpoint_state.in_flight < endpoint_state.credit.slots
        and (
            not request.long
            or endpoint_state.long_in_flight < endpoint_state.credit.long
        )
        and is_allowed(endpoint_state.endpoint, request.avoid)
    ]


def check_views(state: RoutingState) -> None:
    """Compares each view of each pool with a recomputation."""
    for pool in state.pools.values():
        endpoint_states = pool.endpoint_states.values()
        ejection_statuses = (
            EndpointStatus.EJECTED,
            EndpointStatus.PROBE_PENDING,
            EndpointStatus.PROBING,
        )
        assert pool.size == sum(
            s.status is not EndpointStatus.LEAVING for s in endpoint_states
        )
        assert pool.ejected == sum(
            s.status in ejection_statuses for s in endpoint_states
        )
        assert pool.ejected <= pool.size // 2
        timed = {
            s.endpoint.instance
            for s in endpoint_states
            if s.status in (EndpointStatus.EJECTED, EndpointStatus.RESTING)
        }
        assert sorted(i for _, i in pool.timers) == sorted(timed)
        pending = [
            s.endpoint.instance
            for s in endpoint_states
            if s.status is EndpointStatus.PROBE_PENDING
        ]
        assert sorted(pool.pending_probes) == sorted(pending)
        for zone, view in pool.zones.items():
            here = [s for s in endpoint_states if s.endpoint.zone == zone]
            opened = [s for s in here if s.status is EndpointStatus.OPEN]
            free = {s.endpoint.instance for s in here if s.free}
            free_long = {s.endpoint.instance for s in here if s.free_long}
            assert set(view.free.index_of) == free
            assert set(view.free_long.index_of) == free_long
            assert sorted(view.free.by_index) == list(range(len(free)))
            assert view.in_flight == sum(s.in_flight for s in opened)
            assert view.slots == sum(s.credit.slots for s in opened)


def check_choice(
    state: RoutingState,
    request: RouteRequest,
    now: float,
    choice: Route | NoEndpoint,
) -> None:
    """Compares a choice with a full scan of the pool."""
    pool = end_expired_periods(state.pools[request.pool], now)
    if isinstance(choice, NoEndpoint):
        assert not scan(pool, request), choice
    elif not choice.probe:
        assert choice.endpoint in [s.endpoint for s in scan(pool, request)]
