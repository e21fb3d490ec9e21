"""Choice of an endpoint for a request."""

from collections.abc import Iterator
from random import Random

from acaciawing.routing.model import (
    AvoidedDomains,
    Choice,
    Endpoint,
    NoEndpoint,
    Route,
    RouteRequest,
)
from acaciawing.routing.pool import (
    EndpointState,
    Pool,
    ZoneView,
    end_expired_periods,
)
from acaciawing.routing.sampled_set import SampledSet
from acaciawing.routing.state import RoutingState

# While its own zone has a free slot, a request leaves it only if the load there is at
# least SPILL_MIN_LOAD and another zone is less loaded by SPILL_MIN_LOAD_GAP. Without
# the gap, two equally loaded zones would send each other their requests.
SPILL_MIN_LOAD = 0.8
SPILL_MIN_LOAD_GAP = 0.2


def choose(
    state: RoutingState, request: RouteRequest, now: float, random: Random
) -> Choice:
    """Chooses an endpoint for a request.

    Within a zone, this compares two random endpoints with a free slot and chooses
    the less loaded one ("The Power of Two Choices in Randomized Load Balancing",
    Mitzenmacher 2001), so the cost does not grow with the pool.

    Args:
        state: State of the endpoints.
        request: The request.
        now: Time in seconds.
        random: Source of random numbers.

    Returns:
        The route, or the reasons why there is none. No slot is reserved.
    """
    failed: tuple[str, ...] = ()
    for name in (request.pool, *request.spill):
        pool = state.pools.get(name)
        if pool is None:
            failed += (f"{name}:unknown-pool",)
            continue
        pool = end_expired_periods(pool, now)
        found = _find_probe(pool, request) or _choose_in_pool(
            pool, request, random
        )
        if isinstance(found, Route):
            if name != request.pool:
                return Route(
                    found.endpoint,
                    found.long,
                    found.probe,
                    (*failed, f"spill-pool:{name}", *found.reasons),
                )
            return found
        failed += (f"{name}:{found}",)
    return NoEndpoint(failed)


def next_reopening_time(
    state: RoutingState, pool: str, now: float
) -> float | None:
    """Returns the time in seconds at which the next rest or ejection ends.

    A queue that got `NoEndpoint` retries at this time, since it may be that no slot
    is released earlier. Only times after `now` are returned: `choose` already treats
    earlier rests and ejections as ended, and a caller that got a time in the past
    would retry without a pause.
    """
    known = state.pools.get(pool)
    if known is None:
        return None
    return next((at for at, _ in known.timers if at > now), None)


def _find_probe(pool: Pool, request: RouteRequest) -> Route | None:
    if not pool.pending_probes or not request.may_probe:
        return None
    for instance in pool.pending_probes:
        endpoint_state = pool.endpoint_states[instance]
        free = endpoint_state.in_flight < endpoint_state.credit.slots
        if request.long:
            free = (
                free
                and endpoint_state.long_in_flight < endpoint_state.credit.long
            )
        if free and _is_allowed(endpoint_state.endpoint, request.avoid):
            return Route(
                endpoint_state.endpoint, request.long, True, ("probe",)
            )
    return None


def _is_allowed(endpoint: Endpoint, avoid: AvoidedDomains) -> bool:
    return (
        endpoint.instance not in avoid.instances
        and endpoint.zone not in avoid.zones
        and (endpoint.zone, endpoint.rack) not in avoid.racks
    )


def _relaxations(
    avoid: AvoidedDomains,
) -> Iterator[tuple[AvoidedDomains, tuple[str, ...]]]:
    """Yields the domains to avoid, strictest first, with their reason codes."""
    yield avoid, ()
    if avoid.zones:
        yield (
            AvoidedDomains(avoid.instances, avoid.racks),
            ("zone-not-avoided",),
        )
    if avoid.racks:
        yield AvoidedDomains(avoid.instances), ("rack-not-avoided",)


def _order_zones(
    pool: Pool, request: RouteRequest, avoid: AvoidedDomains
) -> list[tuple[str, ZoneView]]:
    """Lists the zones with a free slot, the preferred one first."""
    views = [
        (zone, view)
        for zone, view in pool.zones.items()
        if len(view.free_long if request.long else view.free)
        and zone not in avoid.zones
    ]
    if len(views) < 2:
        return views
    views.sort(key=lambda item: (item[1].load, item[0]))
    own = next((item for item in views if item[0] == request.zone), None)
    if own is not None:
        load = own[1].load
        if (
            load < SPILL_MIN_LOAD
            or load - views[0][1].load < SPILL_MIN_LOAD_GAP
        ):
            views.remove(own)
            views.insert(0, own)
    return views


def _choose_in_pool(
    pool: Pool, request: RouteRequest, random: Random
) -> Route | str:
    for avoid, relaxed in _relaxations(request.avoid):
        for zone, view in _order_zones(pool, request, avoid):
            free = view.free_long if request.long else view.free
            picked = _choose_of_two(pool, free, avoid, random)
            if picked is not None:
                zone_reason = (
                    "own-zone" if zone == request.zone else f"spill-zone:{zone}"
                )
                endpoint_state, choice_reason = picked
                return Route(
                    endpoint_state.endpoint,
                    request.long,
                    False,
                    (*relaxed, zone_reason, choice_reason),
                )
    return _no_endpoint_reason(pool, request)


def _no_endpoint_reason(pool: Pool, request: RouteRequest) -> str:
    if not pool.size:
        return "empty-pool"
    views = pool.zones.values()
    if any(len(v.free_long if request.long else v.free) for v in views):
        return "avoided"
    if request.long and any(len(v.free) for v in views):
        return "no-long-slot"
    return "no-free-slot"


def _choose_of_two(
    pool: Pool, free: SampledSet, avoid: AvoidedDomains, random: Random
) -> tuple[EndpointState, str] | None:
    count = len(free)
    start = int(random.random() * count)
    first = _find_allowed(pool, free, avoid, start, "")
    if first is None:
        return None
    if count == 1:
        return first, "only-choice"
    skip = 1 + int(random.random() * (count - 1))
    second = _find_allowed(
        pool, free, avoid, (start + skip) % count, first.endpoint.instance
    )
    if second is None:
        return first, "only-choice"
    if second.score < first.score:
        first, second = second, first
    return first, f"less-loaded-than:{second.endpoint.instance}"


def _find_allowed(
    pool: Pool, free: SampledSet, avoid: AvoidedDomains, start: int, other: str
) -> EndpointState | None:
    """Finds the first allowed endpoint from index `start` on.

    Inspects at most one endpoint more than it has to skip.

    Args:
        pool: The pool.
        free: Endpoints to search.
        avoid: Failure domains to skip.
        start: Index to start from.
        other: Instance to skip, or an empty string.
    """
    count = len(free)
    for step in range(count):
        instance = free.by_index[(start + step) % count]
        if instance == other:
            continue
        endpoint_state = pool.endpoint_states[instance]
        if _is_allowed(endpoint_state.endpoint, avoid):
            return endpoint_state
    return None
