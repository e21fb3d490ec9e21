"""Division of each worker's slots among the entry instances.

The slots of a pool's workers are numbered worker by worker in turn, and each
member gets a run of consecutive numbers in proportion to its weight. A run of k
slots is spread over min(k, workers) workers, and since the runs do not overlap,
members with the same view never promise more than a worker has. A member with
little demand thereby gets a subset of the workers. Members with different views
promise too much for a moment; the endpoint's own "not run" corrects that.
"""

from collections.abc import Mapping, Sequence
from itertools import accumulate

import xxhash

from acaciawing.routing.model import Credit

# Part of the slots that is divided evenly. Smaller than the floor of admission:
# a wrong credit costs one refused exchange, not a broken limit.
FLOOR = 0.2


def long_slots(slots: int) -> int:
    """Slots that long work may hold: all but the last quarter.

    >>> [long_slots(slots) for slots in (1, 2, 4, 8)]
    [1, 1, 3, 6]
    """
    # A worker with one slot would otherwise never run long work.
    return max(1, slots - -(-slots // 4)) if slots else 0


def _run(weights: Sequence[float], index: int, total: int) -> tuple[int, int]:
    """Returns the numbers [start, end) of member `index` out of `total`."""
    # One running sum, so that neighbours agree on their common bound.
    bounds = [0.0, *accumulate(weights)]
    whole = bounds[-1]
    return (
        round(total * bounds[index] / whole),
        round(total * bounds[index + 1] / whole),
    )


def _in_run(start: int, end: int, place: int, workers: int) -> int:
    """Counts the numbers n in [start, end) with n mod workers = place."""
    return (end - place + workers - 1) // workers - (
        start - place + workers - 1
    ) // workers


def divide_credits(
    pool: str,
    workers: Sequence[str],
    slots: int,
    member: str,
    demand_of: Mapping[str, float],
    own_zone: bool = True,
) -> dict[str, Credit]:
    """Computes the credits of one entry instance in one pool and zone.

    The slots that long work may use and the last quarter of each worker are
    divided separately by the same weights, so that the reserve holds for each
    worker over all entry instances without any message. In its own zone each member
    has at least one slot for short work, and one for long work, even if there are
    fewer slots than members.

    Args:
        pool: Name of the pool; varies the order of the workers.
        workers: Instances of the pool in one zone, in any order.
        slots: Slots of each worker.
        member: Id of this entry instance.
        demand_of: Gossiped demand of each live entry instance, this one
            included, in requests running in this zone or waiting for it.
        own_zone: Whether the workers are in the zone of this entry instance.

    Returns:
        Credit by instance.

    >>> demand = {"entry-1": 3.0, "entry-2": 0.0}
    >>> divide_credits("visits", ["w1", "w2"], 8, "entry-1", demand)
    {'w1': Credit(slots=8, long=6), 'w2': Credit(slots=7, long=5)}
    """
    if not workers:
        return {}
    order = sorted(
        workers, key=lambda w: xxhash.xxh64_intdigest(f"{pool}/{w}".encode())
    )
    members = sorted(demand_of)
    index = members.index(member)
    total = sum(demand_of.values())
    even = 1.0 / len(members)
    weights = [
        FLOOR * even + (1.0 - FLOOR) * (demand_of[m] / total if total else even)
        for m in members
    ]
    count = len(order)
    reserve = (slots - long_slots(slots)) * count
    for_long = _run(weights, index, long_slots(slots) * count)
    for_short = _run(weights, index, reserve)
    if own_zone:
        for_long = _at_least_one(for_long, index, count)
    if own_zone and reserve:
        for_short = _at_least_one(for_short, index + count // 2, count)
    credit_of = {}
    for place, worker in enumerate(order):
        long = _in_run(*for_long, place, count)
        short = _in_run(*for_short, place, count)
        credit_of[worker] = Credit(min(slots, long + short), long)
    return credit_of


def _at_least_one(
    run: tuple[int, int], index: int, count: int
) -> tuple[int, int]:
    start, end = run
    if end > start:
        return run
    place = index % count
    return place, place + 1
