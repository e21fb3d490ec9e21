"""Credits of this entry instance at all endpoints."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from immutables import Map

from acaciawing.configuration import Service
from acaciawing.routing import Credit, RoutingState, divide_credits

# Weight of a member of another zone. Requests go to the own zone first, so most
# slots of a zone go to its own entry instances; the rest lets others spill over.
_OTHER_ZONE = 0.25


@dataclass
class CreditTable:
    """Computes credits again only for pools whose inputs have changed.

    At 349 pools and 60 members a whole pass costs some 0.1 s, and the gossip
    brings a view twice a second.

    Attributes:
        member: Id of this entry instance.
    """

    member: str
    _zones: Mapping[str, str] = field(default_factory=dict)
    _pool_of: Map[str, str] = Map()
    _services: tuple[Service, ...] = ()
    _loads: dict[str, Mapping[str, float]] = field(default_factory=dict)

    def changed(
        self,
        state: RoutingState,
        services: Iterable[Service],
        zones: Mapping[str, str],
        loads: Mapping[str, Mapping[str, float]],
    ) -> dict[str, Credit]:
        """Computes the credits that may have changed.

        Args:
            state: Endpoints by pool.
            services: Services; each names its pool and the slots of a worker.
            zones: Zone of each live member, this one included.
            loads: Requests running or waiting, by pool and member.

        Returns:
            Credit by instance.
        """
        listed = tuple(services)
        fresh = (
            zones != self._zones
            or state.pool_of is not self._pool_of
            or listed != self._services
        )
        self._zones = zones
        self._pool_of = state.pool_of
        self._services = listed
        found: dict[str, Credit] = {}
        for service in listed:
            demand = loads.get(service.pool, {})
            if fresh or demand != self._loads.get(service.pool, {}):
                self._loads[service.pool] = demand
                found |= self._of_pool(state, service, demand)
        return found

    def _of_pool(
        self, state: RoutingState, service: Service, demand: Mapping[str, float]
    ) -> dict[str, Credit]:
        pool = state.pools.get(service.pool)
        if pool is None:
            return {}
        by_zone: dict[str, list[str]] = {}
        for instance, cell in pool.endpoint_states.items():
            by_zone.setdefault(cell.endpoint.zone, []).append(instance)
        found: dict[str, Credit] = {}
        for zone, workers in by_zone.items():
            # One is added so that idle members still share by zone.
            weights = {
                name: (1.0 + demand.get(name, 0.0))
                * (1.0 if home == zone else _OTHER_ZONE)
                for name, home in self._zones.items()
            }
            found |= divide_credits(
                service.pool,
                workers,
                service.slots,
                self.member,
                weights,
                own_zone=zone == self._zones.get(self.member),
            )
        return found
