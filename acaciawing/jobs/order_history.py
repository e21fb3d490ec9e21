"""Machines that an earlier holder of the fleet's cell has ordered lately.

The platform takes two holders' orders for one machine within a lease for a
fault. A new holder therefore leaves alone what was ordered shortly before it.
"""

from collections.abc import Iterable

import msgspec

# Clocks of two instances may differ by this much, in milliseconds: the time of
# day of an instance may jump by 2 s.
MAX_CLOCK_DIFFERENCE_MS = 2500


class LastMachineOrder(msgspec.Struct, frozen=True):
    """The last order for a machine, written before it was given.

    Attributes:
        machine: Its id.
        holder: Name of the instance that gave it.
        fence: That instance's fence.
        at_ms: Unix time, in milliseconds.
    """

    machine: str
    holder: str
    fence: int
    at_ms: int


def recently_ordered_machines(
    orders: Iterable[LastMachineOrder], fence: int, lease_ms: int, unix_ms: int
) -> frozenset[str]:
    """Returns the machines that a new holder has to leave alone for a lease.

    Args:
        orders: Last order for each machine.
        fence: Fence of the new holder.
        lease_ms: Shortest time between two holders' orders.
        unix_ms: Present time.

    >>> order = LastMachineOrder("m", "entry-1", 3, 10_000)
    >>> sorted(recently_ordered_machines([order], 4, 3000, 12_000))
    ['m']
    >>> sorted(recently_ordered_machines([order], 4, 3000, 16_000))
    []
    >>> sorted(recently_ordered_machines([order], 3, 3000, 12_000))
    []
    """
    limit = lease_ms + MAX_CLOCK_DIFFERENCE_MS
    return frozenset(
        order.machine
        for order in orders
        if order.fence != fence and unix_ms - order.at_ms < limit
    )
