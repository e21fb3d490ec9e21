"""Carries out orders for machines, several at the same time."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue

from acaciawing.jobs.fleet import FleetOrder, Maintain
from acaciawing.platform.machines import MachineClient, MachineOrderOutcome

# Calls at the same time: an order takes 10 to 16 ms, and a peak of a large pool
# asks for a hundred machines within a second.
PARALLEL_ORDERS = 8


class MachineOrders:
    """Clients of the machines' interface, one for each call in flight.

    Args:
        address: ``ip:port`` of the interface.
        holder: Names the instance that gives the orders.
    """

    def __init__(self, address: str, holder: str) -> None:
        """Starts without a connection."""
        self._clients: SimpleQueue[MachineClient] = SimpleQueue()
        for _ in range(PARALLEL_ORDERS):
            self._clients.put(MachineClient(address, holder))
        self._threads = ThreadPoolExecutor(PARALLEL_ORDERS, "machine orders")

    def carry_out(
        self, orders: Sequence[FleetOrder], fence: int
    ) -> list[MachineOrderOutcome]:
        """Gives orders for different machines; returns how each ended."""
        return list(
            self._threads.map(lambda order: self._give(order, fence), orders)
        )

    def _give(self, order: FleetOrder, fence: int) -> MachineOrderOutcome:
        client = self._clients.get()
        try:
            if isinstance(order, Maintain):
                return client.maintain(order.machine, order.wave, fence)
            return client.move(order.machine, order.service, fence)
        finally:
            self._clients.put(client)
