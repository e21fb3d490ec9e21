"""Choice of an endpoint for a request."""

from acaciawing.routing.choice import choose, next_reopening_time
from acaciawing.routing.credits import divide_credits, long_slots
from acaciawing.routing.model import (
    AvoidedDomains,
    Choice,
    Credit,
    Endpoint,
    EndpointStatus,
    NoEndpoint,
    Result,
    Route,
    RouteRequest,
)
from acaciawing.routing.state import (
    LeaveMark,
    RoutingState,
    observe_leaving,
    observe_listing,
    observe_reinstatement,
    observe_result,
    release,
    reserve,
    set_credits,
)

__all__ = [
    "AvoidedDomains",
    "Choice",
    "Credit",
    "Endpoint",
    "LeaveMark",
    "NoEndpoint",
    "Result",
    "Route",
    "RouteRequest",
    "RoutingState",
    "EndpointStatus",
    "choose",
    "divide_credits",
    "long_slots",
    "next_reopening_time",
    "observe_leaving",
    "observe_listing",
    "observe_reinstatement",
    "observe_result",
    "release",
    "reserve",
    "set_credits",
]
