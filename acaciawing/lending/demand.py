"""Demand of the pools over time, as one control instance has seen it.

The history is lost with the instance; its successor then only waits longer
before it lends, since no demand has outlasted anything yet.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from immutables import Map

# Demand above this share of a pool's capacity counts as overload, and an
# instance is idle only if the rest would stay below the lower share. The gap
# keeps a loan from being returned by the very capacity that it added.
OVERLOAD_SHARE = 0.9
IDLE_SHARE = 0.5

# Time constants in seconds: a peak is remembered over some turns of the bursts
# (about a minute each), the recent demand until the next control rounds.
_PEAK_MEMORY_S = 600.0
_RECENT_MEMORY_S = 10.0


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
    """A pool at one moment.

    Attributes:
        pool: Name of the pool.
        instances: Instances that it owns.
        slots: Slots of each instance.
        demand: Slots that its own service's requests use or wait for,
            wherever they run.
        running: Slots of its instances that run work of any service.
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
        mean: Exponentially weighted mean over the cost of a move, in slots.
        recent: Highest demand of the last seconds, decaying, in slots.
        over_since: Start of the present overload, or None.
        idle_since: Start of the present idle period, or None.
    """

    mean: float
    recent: float
    over_since: float | None = None
    idle_since: float | None = None


@dataclass(frozen=True)
class DemandHistory:
    """Demand of all pools.

    Attributes:
        pools: History by pool.
        total_peak: Highest sum over all pools, decaying, in slots.
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
        pools: All pools at present.
        move_cost_s: Measured time in which a moving instance serves nobody.
        now: Time of the observation, in seconds.

    Returns:
        The history with the observation.
    """
    elapsed = max(0.0, now - history.updated_at)
    observed: Map[str, PoolHistory] = Map()  # pools that are gone drop out
    for name, view in pools.items():
        known = history.pools.get(name)
        first = known is None
        old = known or PoolHistory(view.demand, view.demand)
        weight = 1.0 if first else 1.0 - math.exp(-elapsed / move_cost_s)
        recent = old.recent * math.exp(-elapsed / _RECENT_MEMORY_S)
        updated = PoolHistory(
            old.mean + weight * (view.demand - old.mean),
            max(view.demand, recent),
            _since(old.over_since, _overloaded(view, old), now),
            _since(old.idle_since, _idle(view), now),
        )
        observed = observed.set(name, updated)
    total = sum(view.demand for view in pools.values())
    peak = history.total_peak * math.exp(-elapsed / _PEAK_MEMORY_S)
    return replace(
        history, pools=observed, total_peak=max(total, peak), updated_at=now
    )


def _since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since


def _overloaded(view: PoolView, old: PoolHistory) -> bool:
    """Overload begins above the upper share and ends below the lower one."""
    share = OVERLOAD_SHARE if old.over_since is None else IDLE_SHARE
    return view.demand > share * view.capacity


def _idle(view: PoolView) -> bool:
    return view.demand < IDLE_SHARE * (view.capacity - view.slots)
