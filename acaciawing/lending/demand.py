"""Demand of the pools over time, as observed by one control instance.

The history is lost when the instance ends. Its successor starts with an empty
history, which only delays its first loans.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from immutables import Map

# A pool is overloaded if its demand exceeds the upper share of its capacity. It
# is idle if its demand is below the lower share of its capacity without one
# instance. The gap keeps a loan from being returned only because the capacity
# that it added makes the borrower look idle.
OVERLOAD_SHARE = 0.9
IDLE_SHARE = 0.5

# Time constants of the exponential decay. The peak of the summed demand is
# retained over several cycles of bursts (about a minute each), the recent
# demand of a pool until the next control rounds.
_PEAK_DECAY_S = 600.0
_RECENT_DECAY_S = 10.0


@dataclass(frozen=True)
class PoolInstance:
    """An instance that a pool owns.

    Attributes:
        instance: Its id.
        zone: Availability zone.
        epoch: Ownership epoch.
        available: Whether it serves and is neither draining, nor moving, nor
            in a maintenance wave.
    """

    instance: str
    zone: str
    epoch: int
    available: bool = True


@dataclass(frozen=True)
class PoolView:
    """State of a pool at one time.

    Attributes:
        pool: Name of the pool.
        instances: Instances that it owns.
        slots: Slots of each instance.
        demand: Slots that requests of its own service use or wait for, in
            any pool.
        running: Slots of its instances that are in use, by any service.
        spare: Whether it lends first.
    """

    pool: str
    instances: tuple[PoolInstance, ...]
    slots: int
    demand: float
    running: int = 0
    spare: bool = False

    @property
    def available(self) -> tuple[PoolInstance, ...]:
        """Instances that serve."""
        return tuple(i for i in self.instances if i.available)

    @property
    def capacity(self) -> int:
        """Slots of the instances that serve."""
        return self.slots * len(self.available)


@dataclass(frozen=True)
class PoolHistory:
    """Demand of one pool.

    Attributes:
        mean: Exponentially weighted mean, in slots; its time constant is the
            cost of a move.
        recent: Decaying maximum over the last seconds, in slots.
        overloaded_since: Start of the current overload, or None.
        idle_since: Start of the current idle period, or None.
    """

    mean: float
    recent: float
    overloaded_since: float | None = None
    idle_since: float | None = None


@dataclass(frozen=True)
class DemandHistory:
    """Demand of all pools.

    Attributes:
        pools: History by pool.
        total_peak: Decaying maximum of the sum over all pools, in slots.
        updated_at: Time of the last observation, in seconds.
    """

    pools: Map[str, PoolHistory] = field(default_factory=Map)
    total_peak: float = 0.0
    updated_at: float = 0.0


def observe(
    history: DemandHistory,
    pools: Mapping[str, PoolView],
    move_cost_s: float,
    now: float,
) -> DemandHistory:
    """Adds an observation to the history.

    Args:
        history: History so far.
        pools: Current state of all pools.
        move_cost_s: Measured time for which a move takes an instance out of
            service.
        now: Time of the observation, in seconds.

    Returns:
        The history with the observation.
    """
    elapsed = max(0.0, now - history.updated_at)
    observed: Map[str, PoolHistory] = Map()  # without removed pools
    for name, view in pools.items():
        previous = history.pools.get(name)
        is_new = previous is None
        old = previous or PoolHistory(view.demand, view.demand)
        weight = 1.0 if is_new else 1.0 - math.exp(-elapsed / move_cost_s)
        recent = old.recent * math.exp(-elapsed / _RECENT_DECAY_S)
        updated = PoolHistory(
            old.mean + weight * (view.demand - old.mean),
            max(view.demand, recent),
            _period_start(old.overloaded_since, _overloaded(view, old), now),
            _period_start(old.idle_since, _idle(view), now),
        )
        observed = observed.set(name, updated)
    total = sum(view.demand for view in pools.values())
    peak = history.total_peak * math.exp(-elapsed / _PEAK_DECAY_S)
    return replace(
        history, pools=observed, total_peak=max(total, peak), updated_at=now
    )


def _period_start(
    start: float | None, active: bool, now: float
) -> float | None:
    if not active:
        return None
    return now if start is None else start


def _overloaded(view: PoolView, old: PoolHistory) -> bool:
    """Overload begins above the upper share and ends at the lower one."""
    share = OVERLOAD_SHARE if old.overloaded_since is None else IDLE_SHARE
    return view.demand > share * view.capacity


def _idle(view: PoolView) -> bool:
    return view.demand < IDLE_SHARE * (view.capacity - view.slots)
