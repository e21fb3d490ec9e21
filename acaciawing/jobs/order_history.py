"""Recent machine orders of earlier holders of the fleet's cell.

The platform treats orders of two holders for one machine within a lease as a
fault. A new holder therefore gives no orders for recently ordered machines.
"""

from collections.abc import Iterable

import msgspec

# The clocks of two instances may differ by this much: the wall clock of an
# instance may jump by 2 s.
MAX_CLOCK_DIFFERENCE_MS = 2500


class LastMachineOrder(msgspec.Struct, frozen=True):
    """The last order for a machine, stored before the order is given.

    Attributes:
        machine: Its id.
        holder: Name of the instance that gave the order.
        fence: Fence of that instance.
        at_ms: When the order was stored, Unix time in milliseconds.
    """

    machine: str
    holder: str
    fence: int
    at_ms: int


def recently_ordered_machines(
    orders: Iterable[LastMachineOrder], fence: int, lease_ms: int, unix_ms: int
) -> frozenset[str]:
    """Returns the machines for which a new holder must not give orders yet.

    Args:
        orders: Last order for each machine.
        fence: Fence of the new holder.
        lease_ms: Minimum time between orders of two holders.
        unix_ms: Current Unix time in milliseconds.

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
