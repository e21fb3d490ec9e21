"""Types of the routing decision."""

from enum import Enum
from typing import TypeAlias

from msgspec import Struct, field


class Endpoint(Struct, frozen=True):
    """One incarnation of an instance; a new incarnation is another endpoint.

    Attributes:
        instance: Id of the instance.
        incarnation: Start number of the instance.
        pool: Pool that the instance belongs to, by the ownership table.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port``.
    """

    instance: str
    incarnation: int
    pool: str
    zone: str
    rack: str
    address: str


class Result(Enum):
    """How an exchange with an endpoint ended.

    `NOT_RUN` is the endpoint's own refusal for lack of a slot. It is load, not
    failure, and does not count against the success rate.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    CANCELLED = "cancelled"


class EndpointStatus(Enum):
    """Whether an endpoint takes requests."""

    OPEN = "open"
    RESTING = "resting"
    EJECTED = "ejected"
    PROBE_DUE = "probe-due"
    PROBING = "probing"
    LEAVING = "leaving"


class Credit(Struct, frozen=True):
    """Slots of one endpoint that this entry instance may use.

    Attributes:
        slots: Requests in flight at most.
        long: Long requests among them at most.
    """

    slots: int
    long: int


class AvoidedDomains(Struct, frozen=True):
    """Failure domains of earlier attempts.

    Instances are never used again for the request. Racks and zones are used
    again only if nothing else is free.

    Attributes:
        instances: Ids of instances.
        racks: Pairs of zone and rack, since rack names repeat in each zone.
        zones: Availability zones.
    """

    instances: frozenset[str] = frozenset()
    racks: frozenset[tuple[str, str]] = frozenset()
    zones: frozenset[str] = frozenset()


class RouteRequest(Struct, frozen=True):
    """What the decision needs to know of a request.

    Attributes:
        pool: Pool of the service.
        zone: Zone of this entry instance.
        long: Whether the work is of the long class.
        avoid: Failure domains of earlier attempts.
        spill: Pools to use when `pool` has no free slot, in this order.
        may_probe: Whether the request may probe an ejected endpoint. Pass
            False for work that must not run twice and can't be retried.
    """

    pool: str
    zone: str
    long: bool = False
    avoid: AvoidedDomains = field(default_factory=AvoidedDomains)
    spill: tuple[str, ...] = ()
    may_probe: bool = True


class Route(Struct, frozen=True):
    """The chosen endpoint.

    Attributes:
        endpoint: Where to send the request.
        long: Class of work that the slot is reserved for.
        probe: Whether the request probes an ejected endpoint.
        reasons: Codes for the log line, in the order of the decision.
    """

    endpoint: Endpoint
    long: bool
    probe: bool
    reasons: tuple[str, ...]


class NoEndpoint(Struct, frozen=True):
    """No endpoint can take the request now.

    Attributes:
        reasons: One code for each pool that was tried, ``pool:code``. Codes
            are ``unknown-pool``, ``empty-pool``, ``no-free-slot``,
            ``no-long-slot`` and ``avoided``.
    """

    reasons: tuple[str, ...]


Choice: TypeAlias = Route | NoEndpoint
