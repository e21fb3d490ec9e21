"""Sends orders for machines to the platform, several concurrently."""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue

from acaciawing.jobs.fleet import FleetOrder, Maintain
from acaciawing.jobserver.clock import steady_s
from acaciawing.platform.machines import MachineClient, MachineOrderOutcome

# An order takes 10 to 16 ms, and a peak of a large pool needs a hundred machines
# within a second.
MAX_PARALLEL_ORDERS = 8


class MachineOrderExecutor:
    """Sends machine orders, with one client for each call in flight.

    Args:
        address: ``ip:port`` of the platform's machine API.
        holder: Name of this instance.
    """

    def __init__(self, address: str, holder: str) -> None:
        """Creates the clients; they connect on first use."""
        self._clients: SimpleQueue[MachineClient] = SimpleQueue()
        for _ in range(MAX_PARALLEL_ORDERS):
            self._clients.put(MachineClient(address, holder))
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_ORDERS, "machine orders"
        )

    def carry_out(
        self,
        orders: Sequence[FleetOrder],
        fence: int,
        not_after: float,
        may_send: Callable[[], bool],
    ) -> list[MachineOrderOutcome]:
        """Sends orders for different machines.

        Args:
            orders: The orders.
            fence: Fencing token of the fleet's cell.
            not_after: Time in seconds after which no order is sent, because
                its machine may have new runs.
            may_send: Returns whether this instance still holds the fleet's
                cell under the fencing token.

        Returns:
            The outcomes in the order of `orders`.
        """
        return list(
            self._executor.map(
                lambda order: self._send(order, fence, not_after, may_send),
                orders,
            )
        )

    def _send(
        self,
        order: FleetOrder,
        fence: int,
        not_after: float,
        may_send: Callable[[], bool],
    ) -> MachineOrderOutcome:
        client = self._clients.get()
        try:
            if steady_s() > not_after or not may_send():
                return MachineOrderOutcome.NOT_DONE
            if isinstance(order, Maintain):
                return client.maintain(order.machine, order.wave, fence)
            return client.move(order.machine, order.service, fence)
        finally:
            self._clients.put(client)
