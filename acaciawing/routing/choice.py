"""The routing decision."""

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
from acaciawing.routing.pool import Cell, Pool, ZoneView, advance
from acaciawing.routing.sampled import SampledSet
from acaciawing.routing.state import RoutingState

# The own zone is left only when it is this busy and another is clearly less
# so. Without the margin two equally busy zones would exchange their requests.
SPILL_AT = 0.8
SPILL_MARGIN = 0.2


def choose(
    state: RoutingState, request: RouteRequest, now: float, random: Random
) -> Choice:
    """Chooses an endpoint for a request.

    Within a zone it takes the less loaded of two random endpoints with a free
    slot ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher
    2001), so the cost does not grow with the pool.

    Args:
        state: What is known of the endpoints.
        request: The request.
        now: Time in seconds.
        random: Source of random numbers.

    Returns:
        The route, or the reason why there is none. Nothing is reserved.
    """
    failed: tuple[str, ...] = ()
    for name in (request.pool, *request.spill):
        pool = state.pools.get(name)
        if pool is None:
            failed += (f"{name}:unknown-pool",)
            continue
        pool = advance(pool, now)
        found = _probe(pool, request) or _choose_in(pool, request, random)
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
    """Time in seconds, after `now`, at which a rest or ejection ends next.

    A queue that got `NoEndpoint` tries again then, since no release of a slot
    may come before. Ends that have passed are left out: `choose` counts them as
    over already, and a caller that waited for them would never wait.
    """
    known = state.pools.get(pool)
    if known is None:
        return None
    return next((at for at, _ in known.timers if at > now), None)


def _probe(pool: Pool, request: RouteRequest) -> Route | None:
    if not pool.probes_due or not request.may_probe:
        return None
    for instance in pool.probes_due:
        cell = pool.endpoint_states[instance]
        free = cell.in_flight < cell.credit.slots
        if request.long:
            free = free and cell.long_in_flight < cell.credit.long
        if free and _is_allowed(cell.endpoint, request.avoid):
            return Route(cell.endpoint, request.long, True, ("probe",))
    return None


def _is_allowed(endpoint: Endpoint, avoid: AvoidedDomains) -> bool:
    return (
        endpoint.instance not in avoid.instances
        and endpoint.zone not in avoid.zones
        and (endpoint.zone, endpoint.rack) not in avoid.racks
    )


def _relaxed(
    avoid: AvoidedDomains,
) -> Iterator[tuple[AvoidedDomains, tuple[str, ...]]]:
    yield avoid, ()
    if avoid.zones:
        yield (
            AvoidedDomains(avoid.instances, avoid.racks),
            ("zone-not-avoided",),
        )
    if avoid.racks:
        yield AvoidedDomains(avoid.instances), ("rack-not-avoided",)


def _zones(
    pool: Pool, request: RouteRequest, avoid: AvoidedDomains
) -> list[tuple[str, ZoneView]]:
    """Orders the zones that have a free slot."""
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
        if load < SPILL_AT or load - views[0][1].load < SPILL_MARGIN:
            views.remove(own)
            views.insert(0, own)
    return views


def _choose_in(
    pool: Pool, request: RouteRequest, random: Random
) -> Route | str:
    for avoid, relaxed in _relaxed(request.avoid):
        for zone, view in _zones(pool, request, avoid):
            free = view.free_long if request.long else view.free
            picked = _two_choices(pool, free, avoid, random)
            if picked is not None:
                where = (
                    "own-zone" if zone == request.zone else f"spill-zone:{zone}"
                )
                cell, why = picked
                return Route(
                    cell.endpoint, request.long, False, (*relaxed, where, why)
                )
    return _why_none(pool, request)


def _why_none(pool: Pool, request: RouteRequest) -> str:
    if not pool.size:
        return "empty-pool"
    views = pool.zones.values()
    if any(len(v.free_long if request.long else v.free) for v in views):
        return "avoided"
    if request.long and any(len(v.free) for v in views):
        return "no-long-slot"
    return "no-free-slot"


def _two_choices(
    pool: Pool, free: SampledSet, avoid: AvoidedDomains, random: Random
) -> tuple[Cell, str] | None:
    count = len(free)
    start = int(random.random() * count)
    first = _walk(pool, free, avoid, start, "")
    if first is None:
        return None
    if count == 1:
        return first, "only-choice"
    skip = 1 + int(random.random() * (count - 1))
    second = _walk(
        pool, free, avoid, (start + skip) % count, first.endpoint.instance
    )
    if second is None:
        return first, "only-choice"
    if second.score < first.score:
        first, second = second, first
    return first, f"less-loaded-than:{second.endpoint.instance}"


def _walk(
    pool: Pool, free: SampledSet, avoid: AvoidedDomains, start: int, other: str
) -> Cell | None:
    """Finds the first allowed endpoint from a random place on.

    Costs at most one step more than there are endpoints to avoid.
    """
    count = len(free)
    for step in range(count):
        instance = free.by_index[(start + step) % count]
        if instance == other:
            continue
        cell = pool.endpoint_states[instance]
        if _is_allowed(cell.endpoint, avoid):
            return cell
    return None
