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

    def observe(self, current_list: Listing) -> None:
        self.live = {
            i.instance: i for i in current_list.instances if i.state == "live"
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
            c.status is not EndpointStatus.LEAVING for c in endpoint_states
        )
        assert pool.ejected == sum(
            c.status in ejection_statuses for c in endpoint_states
        )
        assert pool.ejected <= pool.size // 2
        timed = {
            c.endpoint.instance
            for c in endpoint_states
            if c.status in (EndpointStatus.EJECTED, EndpointStatus.RESTING)
        }
        assert sorted(i for _, i in pool.timers) == sorted(timed)
        pending = [
            c.endpoint.instance
            for c in endpoint_states
            if c.status is EndpointStatus.PROBE_PENDING
        ]
        assert sorted(pool.pending_probes) == sorted(pending)
        for zone, view in pool.zones.items():
            here = [c for c in endpoint_states if c.endpoint.zone == zone]
            opened = [c for c in here if c.status is EndpointStatus.OPEN]
            free = {c.endpoint.instance for c in here if c.free}
            free_long = {c.endpoint.instance for c in here if c.free_long}
            assert set(view.free.index_of) == free
            assert set(view.free_long.index_of) == free_long
            assert sorted(view.free.by_index) == list(range(len(free)))
            assert view.in_flight == sum(c.in_flight for c in opened)
            assert view.slots == sum(c.credit.slots for c in opened)


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
        assert choice.endpoint in [c.endpoint for c in scan(pool, request)]
