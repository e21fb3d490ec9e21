"""Division of the slots of a pool's instances among the entry instances.

Slots are numbered round-robin over the pool's n instances: slot s belongs to
instance s mod n. Each entry instance gets a range of consecutive slots in
proportion to its weight.

- A range of k slots covers min(k, n) instances, so an entry instance with little
  demand uses only a subset of the pool.
- Ranges do not overlap, so entry instances with the same view of the fleet never
  allocate more slots than an instance has.
- Entry instances with different views can overcommit an instance until their
  views agree. The instance then refuses the excess requests with "not run".
"""

from collections.abc import Mapping, Sequence
from itertools import accumulate

import xxhash

from acaciawing.routing.model import Credit

# Share of the slots that is divided evenly. Smaller than the even share of
# admission, since a wrong credit costs one refused exchange and breaks no limit.
EVEN_SHARE = 0.2


def long_slots(slots: int) -> int:
    """Returns how many slots long work may use: all but the last quarter.

    >>> [long_slots(slots) for slots in (1, 2, 4, 8)]
    [1, 1, 3, 6]
    """
    # Without the minimum of 1, an instance with one slot would never run long work.
    return max(1, slots - -(-slots // 4)) if slots else 0


def _slot_range(
    weights: Sequence[float], index: int, total: int
) -> tuple[int, int]:
    """Returns the range [start, end) of `total` slots for member `index`."""
    # Adjacent ranges share a bound, so both must compute it from the same sum.
    bounds = [0.0, *accumulate(weights)]
    weight_sum = bounds[-1]
    return (
        round(total * bounds[index] / weight_sum),
        round(total * bounds[index + 1] / weight_sum),
    )


def _count_slots(start: int, end: int, position: int, instances: int) -> int:
    """Counts the slots s in [start, end) with s mod instances = position."""
    return (end - position + instances - 1) // instances - (
        start - position + instances - 1
    ) // instances


def divide_credits(
    pool: str,
    instances: Sequence[str],
    slots: int,
    member: str,
    demand_of: Mapping[str, float],
    own_zone: bool = True,
) -> dict[str, Credit]:
    """Computes the credits of one entry instance in one pool and zone.

    The slots for long work and the reserve for short work (the last quarter of
    each instance) are divided separately by the same weights. The reserve of
    each instance therefore holds over all entry instances without coordination.
    In its own zone, each entry instance has at least one slot for short work and
    one for long work, even if there are fewer slots than entry instances.

    Args:
        pool: Name of the pool; part of the hash that orders the instances.
        instances: Instances of the pool in one zone, in any order.
        slots: Slots of each instance.
        member: Id of this entry instance.
        demand_of: Gossiped demand of each live entry instance, this one
            included, in requests running in this zone or waiting for it.
        own_zone: Whether the instances are in the zone of this entry instance.

    Returns:
        Credit by instance.

    >>> demand = {"entry-1": 3.0, "entry-2": 0.0}
    >>> divide_credits("visits", ["w1", "w2"], 8, "entry-1", demand)
    {'w1': Credit(slots=8, long=6), 'w2': Credit(slots=7, long=5)}
    """
    if not instances:
        return {}
    order = sorted(
        instances,
        key=lambda name: xxhash.xxh64_intdigest(f"{pool}/{name}".encode()),
    )
    members = sorted(demand_of)
    index = members.index(member)
    total = sum(demand_of.values())
    even = 1.0 / len(members)
    weights = [
        EVEN_SHARE * even
        + (1.0 - EVEN_SHARE) * (demand_of[m] / total if total else even)
        for m in members
    ]
    count = len(order)
    reserve = (slots - long_slots(slots)) * count
    long_range = _slot_range(weights, index, long_slots(slots) * count)
    reserve_range = _slot_range(weights, index, reserve)
    if own_zone:
        long_range = _at_least_one(long_range, index, count)
    if own_zone and reserve:
        reserve_range = _at_least_one(reserve_range, index + count // 2, count)
    credit_of = {}
    for position, instance in enumerate(order):
        long = _count_slots(*long_range, position, count)
        short = _count_slots(*reserve_range, position, count)
        credit_of[instance] = Credit(min(slots, long + short), long)
    return credit_of


def _at_least_one(
    slot_range: tuple[int, int], index: int, count: int
) -> tuple[int, int]:
    start, end = slot_range
    if end > start:
        return slot_range
    position = index % count
    return position, position + 1
