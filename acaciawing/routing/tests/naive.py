"""Naive routers and recomputations that the tests compare with."""

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
from acaciawing.routing.pool import Cell, Pool, advance


def listed(
    number: int,
    incarnation: int = 1,
    state: str = "live",
    zones: int = 2,
    pool: str = "visits",
) -> ListedInstance:
    """An instance ``w<number>``; two to a rack, zones in turn."""
    return ListedInstance(
        f"w{number}",
        incarnation,
        pool,
        f"z{number % zones}",
        f"r{number // (2 * zones)}",
        f"192.0.2.{number}:80",
        state,
    )


def listing(as_of: float, *instances: ListedInstance) -> Listing:
    return Listing(as_of, instances)


class LastListRouter:
    """Trusts the last list that arrived, whatever its time."""

    def __init__(self) -> None:
        """Starts without a list."""
        self.live: dict[str, ListedInstance] = {}

    def observe(self, seen: Listing) -> None:
        self.live = {i.instance: i for i in seen.instances if i.state == "live"}

    def leaving(self, instance: str) -> None:
        self.live.pop(instance, None)

    def choose(self, random: Random) -> str:
        return random.choice(sorted(self.live))


def allowed(endpoint: Endpoint, avoid: AvoidedDomains) -> bool:
    return endpoint.instance not in avoid.instances


def scan(pool: Pool, request: RouteRequest) -> list[Cell]:
    """All endpoints that could take the request, by a full scan."""
    return [
        cell
        for cell in pool.endpoint_states.values()
        if cell.status is EndpointStatus.OPEN
        and cell.in_flight < cell.credit.slots
        and (not request.long or cell.long_in_flight < cell.credit.long)
        and allowed(cell.endpoint, request.avoid)
    ]


def check_views(state: RoutingState) -> None:
    """Compares each view of each pool with a recomputation."""
    for pool in state.pools.values():
        endpoint_states = pool.endpoint_states.values()
        out = (
            EndpointStatus.EJECTED,
            EndpointStatus.PROBE_DUE,
            EndpointStatus.PROBING,
        )
        assert pool.size == sum(
            c.status is not EndpointStatus.LEAVING for c in endpoint_states
        )
        assert pool.ejected == sum(c.status in out for c in endpoint_states)
        assert pool.ejected <= pool.size // 2
        timed = {
            c.endpoint.instance
            for c in endpoint_states
            if c.status in (EndpointStatus.EJECTED, EndpointStatus.RESTING)
        }
        assert sorted(i for _, i in pool.timers) == sorted(timed)
        due = [
            c.endpoint.instance
            for c in endpoint_states
            if c.status is EndpointStatus.PROBE_DUE
        ]
        assert sorted(pool.probes_due) == sorted(due)
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
    pool = advance(state.pools[request.pool], now)
    if isinstance(choice, NoEndpoint):
        assert not scan(pool, request), choice
    elif not choice.probe:
        assert choice.endpoint in [c.endpoint for c in scan(pool, request)]
