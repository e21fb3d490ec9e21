"""Immutable view of the scheduler's state for other tasks."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from acaciawing.entry.counts import PlanCounts
from acaciawing.fold import FleetState


@dataclass(frozen=True)
class EngineView:
    """The scheduler's state at one time.

    Attributes:
        state: State of the fold.
        plans: Counts by plan.
        demand: Published demand by plan, in requests a second.
        loads: Requests running or waiting here, by pool.
        demand_by_pool: Requests running or waiting here, by the pool of their
            service; a request that spilled over counts for that pool too.
        waiting: Requests in the queues.
        in_flight: Attempts in flight.
        endpoints: Number of endpoints by status.
        members: Number of known entry instances, this one included.
        live: Ids of the live entry instances.
        attempts: Ended attempts by result.
        statuses: Pool and status of each endpoint, by instance.
        leave_signals: Leave signals of endpoints since the last demand sample.
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
    leave_signals: tuple[tuple[str, int], ...] = ()
