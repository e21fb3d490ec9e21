"""Orders for machines that wait for an evacuation or for an answer."""

from collections.abc import Iterator, Mapping, Set
from typing import NamedTuple

from acaciawing.jobs.fleet import (
    FleetOrder,
    FleetSnapshot,
    MachineState,
    Maintain,
    Move,
)

# The evacuation of a machine for a loan is cancelled after this time: the load
# peak that needed the machine is over by then.
LOAN_TIMEOUT_S = 4.0

# An order without an answer may be carried out up to this much later.
MAX_ORDER_DELAY_S = 12.0


class PendingOrder(NamedTuple):
    """An order that waits for the evacuation of its machine.

    Attributes:
        order: The order.
        since: When the evacuation began, in seconds.
    """

    order: FleetOrder
    since: float


class UnconfirmedOrder(NamedTuple):
    """An order without an answer, which may still be carried out.

    Attributes:
        order: The order.
        until: After this time it is not carried out any more, in seconds.
    """

    order: FleetOrder
    until: float


class PendingOrders:
    """Orders that wait for an evacuation or for an answer, by machine."""

    def __init__(self) -> None:
        """Starts without orders."""
        self._pending: dict[str, PendingOrder] = {}
        self._unconfirmed: dict[str, UnconfirmedOrder] = {}
        # Until when, in seconds, a move may be carried out once more by a call
        # that was not answered, by machine.
        self._late_moves_until: dict[str, float] = {}
        self._refused_moves: set[tuple[str, str]] = set()

    def __iter__(self) -> Iterator[FleetOrder]:
        """Yields all pending orders, the oldest first."""
        for pending in self._pending.values():
            yield pending.order

    def __contains__(self, machine: str) -> bool:
        """Whether a machine has a pending order."""
        return machine in self._pending

    def find(self, machine: str) -> FleetOrder | None:
        """Returns the pending order of a machine."""
        pending = self._pending.get(machine)
        return pending.order if pending is not None else None

    def add(self, order: FleetOrder, now: float) -> None:
        """Adds an order; it replaces an earlier one of its machine."""
        self._pending[order.machine] = PendingOrder(order, now)

    def discard(self, machine: str) -> None:
        """Discards a machine's order after it was carried out or refused."""
        self._pending.pop(machine, None)
        self._unconfirmed.pop(machine, None)

    def refuse(self, order: FleetOrder) -> None:
        """Records a refused order; a refused move is not ordered again."""
        self.discard(order.machine)
        if isinstance(order, Move):
            self._refused_moves.add((order.machine, order.service))

    def leave_unconfirmed(self, order: FleetOrder, now: float) -> None:
        """Records an unanswered order, which may be carried out later.

        The machine stays evacuated and the order is repeated until it is
        answered, because a late execution ends everything that runs there.
        """
        until = now + MAX_ORDER_DELAY_S
        self._unconfirmed[order.machine] = UnconfirmedOrder(order, until)
        if isinstance(order, Move):
            self._late_moves_until[order.machine] = until

    def is_unconfirmed(self, machine: str) -> bool:
        """Whether a machine's order was sent and not answered."""
        return machine in self._unconfirmed

    def may_be_maintained(self, machine: str) -> bool:
        """Whether an unconfirmed order may maintain a machine."""
        unconfirmed = self._unconfirmed.get(machine)
        return unconfirmed is not None and isinstance(
            unconfirmed.order, Maintain
        )

    def is_maintenance(self, machine: str) -> bool:
        """Whether a machine is being evacuated for maintenance."""
        return isinstance(self.find(machine), Maintain)

    def is_release(self, machine: str, spare: Set[str]) -> bool:
        """Whether a machine is evacuated to be turned off, but not yet told."""
        order = self.find(machine)
        return (
            machine not in self._unconfirmed
            and isinstance(order, Move)
            and order.service in spare
        )

    def was_refused(self, machine: str, service: str) -> bool:
        """Whether the platform has refused a move as impossible."""
        return (machine, service) in self._refused_moves

    def may_move(self, machine: str) -> bool:
        """Whether no earlier order can take the machine away again.

        An unanswered move is repeated until it is answered; the first call may
        still be carried out after that, which only matters in another pool.
        """
        return (
            machine not in self._pending
            and machine not in self._late_moves_until
        )

    def moves_to(self, service: str) -> int:
        """Returns the number of pending moves to a pool."""
        return sum(
            isinstance(order, Move) and order.service == service
            for order in self
        )

    def drop_obsolete(
        self,
        snapshot: FleetSnapshot,
        machines: Mapping[str, MachineState],
        now: float,
    ) -> None:
        """Drops orders for removed or maintained machines and expired loans."""
        self._late_moves_until = {
            m: until
            for m, until in self._late_moves_until.items()
            if now < until
        }
        self._unconfirmed = {
            m: order
            for m, order in self._unconfirmed.items()
            if now <= order.until
        }
        in_waves = {m for wave in snapshot.waves for m in wave.machines}
        for machine, pending in list(self._pending.items()):
            order = pending.order
            if machine not in machines:
                self.discard(machine)
            elif isinstance(order, Maintain):
                if machine not in in_waves:
                    del self._pending[machine]
            elif machines[machine].service == order.service:
                self.discard(machine)
            elif (
                order.service not in snapshot.spare
                and now - pending.since > LOAN_TIMEOUT_S
                and machine not in self._unconfirmed
            ):
                del self._pending[machine]
