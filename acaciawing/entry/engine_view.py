"""State of the scheduler as other tasks see it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from acaciawing.entry.counts import PlanCounts
from acaciawing.fold import FleetState


@dataclass(frozen=True)
class EngineView:
    """State shown to other tasks.

    Attributes:
        state: State of the fold.
        plans: Counts by plan.
        demand: Published demand by plan, in requests a second.
        loads: Requests running or waiting here, by pool.
        demand_by_pool: The same by the pool of their service, wherever they
            run.
        waiting: Requests in the queues.
        in_flight: Attempts in flight.
        endpoints: Number of endpoints by status.
        members: Entry instances heard of, this one included.
        live: Their ids.
        attempts: Ended attempts by result.
        statuses: Pool and status of each endpoint, by instance.
        leaves: Leave signals of endpoints since the last demand sample.
    """

    state: FleetState
    plans: dict[str, PlanCounts]
    demand: dict[str, float]
    loads: dict[str, float]
    waiting: int
    in_flight: int
    endpoints: dict[str, int]
    members: int
    demand_by_pool: dict[str, float] = field(default_factory=dict)
    live: frozenset[str] = frozenset()
    attempts: Mapping[str, int] = field(default_factory=dict)
    statuses: Mapping[str, tuple[str, str]] = field(default_factory=dict)
    leaves: tuple[tuple[str, int], ...] = ()
