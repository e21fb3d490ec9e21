"""Credits of this entry instance at all endpoints."""

from collections.abc import Iterable, Mapping

from acaciawing.configuration import Service
from acaciawing.routing import Credit, RoutingState, divide_credits

# Weight of a member of another zone. Requests go to the own zone first, so most
# slots of a zone go to its own entry instances; the rest lets others spill over.
_OTHER_ZONE = 0.25


def credits_of(
    state: RoutingState,
    services: Iterable[Service],
    member: str,
    zones: Mapping[str, str],
    loads: Mapping[str, Mapping[str, float]],
) -> dict[str, Credit]:
    """Computes the credits of one entry instance at all endpoints.

    Args:
        state: Endpoints by pool.
        services: Services; each names its pool and the slots of a worker.
        member: Id of the entry instance.
        zones: Zone of each live member, this one included.
        loads: Requests running or waiting, by pool and member.

    Returns:
        Credit by instance.
    """
    found: dict[str, Credit] = {}
    for service in services:
        pool = state.pools.get(service.pool)
        if pool is None:
            continue
        by_zone: dict[str, list[str]] = {}
        for instance, cell in pool.cells.items():
            by_zone.setdefault(cell.endpoint.zone, []).append(instance)
        demand = loads.get(service.pool, {})
        for zone, workers in by_zone.items():
            # One is added so that idle members still share by zone.
            weights = {
                name: (1.0 + demand.get(name, 0.0))
                * (1.0 if home == zone else _OTHER_ZONE)
                for name, home in zones.items()
            }
            found |= divide_credits(
                service.pool, workers, service.slots, member, weights
            )
    return found
