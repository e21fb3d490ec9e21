"""Choice of an endpoint for a request."""

from acaciawing.routing.choice import choose, next_opening
from acaciawing.routing.credits import divide_credits, long_slots
from acaciawing.routing.model import (
    Avoid,
    Choice,
    Credit,
    Endpoint,
    NoEndpoint,
    Result,
    Route,
    RouteRequest,
    Status,
)
from acaciawing.routing.state import (
    LeaveMark,
    RoutingState,
    observe_leaving,
    observe_listing,
    observe_put_back,
    observe_result,
    release,
    reserve,
    set_credits,
)

__all__ = [
    "Avoid",
    "Choice",
    "Credit",
    "Endpoint",
    "LeaveMark",
    "NoEndpoint",
    "Result",
    "Route",
    "RouteRequest",
    "RoutingState",
    "Status",
    "choose",
    "divide_credits",
    "long_slots",
    "next_opening",
    "observe_leaving",
    "observe_listing",
    "observe_put_back",
    "observe_result",
    "release",
    "reserve",
    "set_credits",
]
