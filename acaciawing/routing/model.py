"""Types of the routing decision."""

from enum import Enum
from typing import TypeAlias

from msgspec import Struct, field


class Endpoint(Struct, frozen=True):
    """One incarnation of an instance; a new incarnation is a new endpoint.

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

    `NOT_RUN` means that the endpoint refused the request because it had no free
    slot. This is a sign of load, so it does not lower the success rate.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    CANCELLED = "cancelled"


class EndpointStatus(Enum):
    """Availability of an endpoint for new requests.

    An open endpoint receives requests. A resting one is paused after a "not run",
    an ejected one after failures. When the ejection ends, the endpoint waits for a
    probe request, and the result of the probe opens or ejects it again. A leaving
    endpoint gets no new requests.
    """

    OPEN = "open"
    RESTING = "resting"
    EJECTED = "ejected"
    PROBE_PENDING = "probe-due"
    PROBING = "probing"
    LEAVING = "leaving"


class Credit(Struct, frozen=True):
    """Slots of one endpoint that this entry instance may use.

    Attributes:
        slots: Maximum number of requests in flight.
        long: Maximum number of long requests among them.
    """

    slots: int
    long: int


class AvoidedDomains(Struct, frozen=True):
    """Failure domains of the earlier attempts of a request.

    An avoided instance is never chosen. An avoided rack or zone is chosen only if
    no other endpoint is free.

    Attributes:
        instances: Ids of instances.
        racks: Pairs of zone and rack, since rack names repeat in each zone.
        zones: Availability zones.
    """

    instances: frozenset[str] = frozenset()
    racks: frozenset[tuple[str, str]] = frozenset()
    zones: frozenset[str] = frozenset()


class RouteRequest(Struct, frozen=True):
    """Properties of a request that the routing decision depends on.

    Attributes:
        pool: Pool of the service.
        zone: Zone of this entry instance.
        long: Whether the work is of the long class.
        avoid: Failure domains of earlier attempts.
        spill: Pools to try in this order when `pool` has no free slot.
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
        reasons: Reason codes for the log line, in decision order.
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
