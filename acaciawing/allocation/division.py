"""Division of a fleet's machines between its pools.

Answers the load of days on which demand goes round the pools and exceeds the
fleet: a pool whose work has lost its value yields machines to pools whose work
still has some. Without this, each pool keeps its machines for a backlog that
came too late, and makes the next pool's work late in turn.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class PoolDemand:
    """Machines that a pool can use, by what its customers gain from them.

    Attributes:
        floor: Machines that it has in any case, so that no pool starves.
        on_time: Machines for work that ends in time to have some value,
            including the floor.
        late: Further machines, for work that will end too late for that.
    """

    floor: int
    on_time: int
    late: int


def divide_machines(
    demands: Mapping[str, PoolDemand], machines: int
) -> dict[str, int]:
    """Divides machines between pools.

    Floors come first, then work in time, then work that is too late. Where the
    machines don't suffice, each pool gets the same share of what it lacks.

    Args:
        demands: Demand by pool.
        machines: Number of machines of the fleet.

    Returns:
        The number of machines of each pool; less than `machines` in sum if the
        demands are lower.

    >>> divide_machines(
    ...     {"a": PoolDemand(3, 4, 90), "b": PoolDemand(3, 20, 0)}, 30
    ... )
    {'a': 10, 'b': 20}
    """
    divided = dict.fromkeys(demands, 0)
    for wanted in (
        {pool: demand.floor for pool, demand in demands.items()},
        {pool: d.on_time - d.floor for pool, d in demands.items()},
        {pool: demand.late for pool, demand in demands.items()},
    ):
        left = machines - sum(divided.values())
        for pool, count in _proportional(wanted, left).items():
            divided[pool] += count
    return divided


def _proportional(wanted: Mapping[str, int], machines: int) -> dict[str, int]:
    """Gives each pool what it wants, or its share (largest remainder)."""
    wanted = {pool: max(0, count) for pool, count in wanted.items()}
    total = sum(wanted.values())
    if total <= machines:
        return wanted
    shares = {
        pool: divmod(count * machines, total) for pool, count in wanted.items()
    }
    given = {pool: whole for pool, (whole, _) in shares.items()}
    by_remainder = sorted(shares, key=lambda pool: (-shares[pool][1], pool))
    for pool in by_remainder[: machines - sum(given.values())]:
        given[pool] += 1
    return given
