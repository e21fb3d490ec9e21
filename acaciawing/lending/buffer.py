"""Common buffer: instances held for requests, and targets of spill-over."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from acaciawing.lending.demand import DemandHistory, PoolView

# Share of a pool's held slots that spill-over leaves for its own requests.
_OWN_REQUESTS_SHARE = 0.25

# Minimum of instances that each pool holds, in different zones if possible.
MIN_HELD_INSTANCES = 2

# Ratio of held slots to the demand in the history; the margin covers the
# variance of random arrivals.
_HEADROOM_FACTOR = 1.25


@dataclass(frozen=True)
class Spill:
    """Target pools for requests that exceed a pool's capacity.

    Attributes:
        pool: Pool that the requests are for.
        targets: Other pools, each with its slots for spill-over, best first.
    """

    pool: str
    targets: tuple[tuple[str, int], ...]


def compute_held_instances(
    pools: Mapping[str, PoolView], history: DemandHistory
) -> Mapping[str, int]:
    """Computes how many instances each pool holds for requests.

    Each pool holds enough for its own recent demand. All pools together hold
    enough for the decaying peak of the summed demand; what is missing is held
    in spare pools first. Since bursts occur in different pools by turns, this
    takes the peak of the sum and not the sum of the peaks.
    """
    held = {}
    for name, view in pools.items():
        required = _HEADROOM_FACTOR * history.pools[name].recent / view.slots
        size = len(view.available)
        held[name] = min(size, max(MIN_HELD_INSTANCES, math.ceil(required)))
    missing_slots = _HEADROOM_FACTOR * history.total_peak - sum(
        held[name] * view.slots for name, view in pools.items()
    )
    order = sorted(pools.values(), key=lambda v: (not v.spare, v.pool))
    for view in order:
        remaining = len(view.available) - held[view.pool]
        added = (
            min(remaining, math.ceil(missing_slots / view.slots))
            if missing_slots > 0
            else 0
        )
        held[view.pool] += added
        missing_slots -= added * view.slots
    return held


def spill_targets(
    pools: Mapping[str, PoolView], held: Mapping[str, int]
) -> Iterator[Spill]:
    """Yields the spill-over targets of each pool.

    The targets stay in force until the next round, so that requests of a burst
    spill over without waiting for a round.
    """
    free_slots = {}
    for name, view in pools.items():
        slots = held[name] * view.slots
        own_slots = (
            max(float(view.running), view.demand) + _OWN_REQUESTS_SHARE * slots
        )
        free_slots[name] = max(0, math.floor(slots - own_slots))
    order = sorted(
        pools.values(), key=lambda v: (not v.spare, -free_slots[v.pool], v.pool)
    )
    targets = tuple(
        (v.pool, free_slots[v.pool]) for v in order if free_slots[v.pool] > 0
    )
    rank = {pool: number for number, (pool, _) in enumerate(targets)}
    for name in sorted(pools):
        # Slicing is fast enough to copy 349 targets for each of 349 pools.
        own_rank = rank.get(name, len(targets))
        yield Spill(name, targets[:own_rank] + targets[own_rank + 1 :])
