"""The common buffer: instances held for requests, and where excess goes."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from acaciawing.lending.demand import DemandHistory, PoolView

# Share of a buffer pool's slots kept from spill-over for its own requests.
_OWN_SHARE = 0.25

# Instances that each pool holds in any case, in different zones if it can.
LEAST_HELD = 2

# Held slots over the remembered demand; covers the spread of random arrivals.
_HEADROOM = 1.25


@dataclass(frozen=True)
class Spill:
    """Where requests above a pool's capacity go.

    Attributes:
        pool: The pool.
        targets: Pools and the slots that they have for others, best first.
    """

    pool: str
    targets: tuple[tuple[str, int], ...]


def held_instances(
    pools: Mapping[str, PoolView], history: DemandHistory
) -> Mapping[str, int]:
    """Instances that each pool holds for requests.

    Each pool holds what its recent demand needs. Over all pools together,
    the remembered peak of the summed demand is held, in spare pools first:
    bursts by turns need the peak of the sum, not the sum of the peaks.
    """
    held = {}
    for name, view in pools.items():
        wanted = _HEADROOM * history.pools[name].recent / view.slots
        size = len(view.available)
        held[name] = min(size, max(LEAST_HELD, math.ceil(wanted)))
    short = _HEADROOM * history.total_peak - sum(
        held[name] * view.slots for name, view in pools.items()
    )
    order = sorted(pools.values(), key=lambda v: (not v.spare, v.pool))
    for view in order:
        rest = len(view.available) - held[view.pool]
        more = min(rest, math.ceil(short / view.slots)) if short > 0 else 0
        held[view.pool] += more
        short -= more * view.slots
    return held


def spills(
    pools: Mapping[str, PoolView], held: Mapping[str, int]
) -> Iterator[Spill]:
    """Standing orders, so that a burst need not wait for a round."""
    room = {}
    for name, view in pools.items():
        slots = held[name] * view.slots
        kept = max(float(view.running), view.demand) + _OWN_SHARE * slots
        room[name] = max(0, math.floor(slots - kept))
    order = sorted(
        pools.values(), key=lambda v: (not v.spare, -room[v.pool], v.pool)
    )
    targets = tuple((v.pool, room[v.pool]) for v in order if room[v.pool] > 0)
    place = {pool: number for number, (pool, _) in enumerate(targets)}
    for name in sorted(pools):
        # Slices copy 349 targets for each of 349 pools at C speed.
        own = place.get(name, len(targets))
        yield Spill(name, targets[:own] + targets[own + 1 :])
