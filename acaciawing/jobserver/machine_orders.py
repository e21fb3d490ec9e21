"""Carries out orders for machines, several at the same time."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue

from acaciawing.jobs.fleet import FleetOrder, Maintain
from acaciawing.platform.machines import MachineClient, MachineOrder

# Calls at the same time: an order takes 10 to 16 ms, and a peak of a large pool
# asks for a hundred machines within a second.
MAX_PARALLEL_ORDERS = 8


class MachineOrderExecutor:
    """Clients of the machines' interface, one for each call in flight.

    Args:
        address: ``ip:port`` of the interface.
        holder: Names the instance that gives the orders.
    """

    def __init__(self, address: str, holder: str) -> None:
        """Starts without a connection."""
        self._clients: SimpleQueue[MachineClient] = SimpleQueue()
        for _ in range(MAX_PARALLEL_ORDERS):
            self._clients.put(MachineClient(address, holder))
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_ORDERS, "machine orders"
        )

    def carry_out(
        self, orders: Sequence[FleetOrder], fence: int
    ) -> list[MachineOrder]:
        """Gives orders for different machines; returns how each ended."""
        return list(
            self._executor.map(lambda order: self._send(order, fence), orders)
        )

    def _send(self, order: FleetOrder, fence: int) -> MachineOrder:
        client = self._clients.get()
        try:
            if isinstance(order, Maintain):
                return client.maintain(order.machine, order.wave, fence)
            return client.move(order.machine, order.service, fence)
        finally:
            self._clients.put(client)
