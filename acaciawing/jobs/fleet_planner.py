"""Decisions for the fleet: maintenance waves and machine loans between pools.

A machine is evacuated before it is maintained or moved: the holder of its cell
starts no new runs there and moves the long-running ones. A machine that is
turned off needs no evacuation.
"""

from collections.abc import Callable, Iterable

from acaciawing.allocation import divide_machines
from acaciawing.jobs.fleet import (
    Evacuation,
    FleetOrder,
    FleetSnapshot,
    MachineState,
    Maintain,
    Move,
)
from acaciawing.jobs.machine_states import (
    has_lasting,
    is_evacuated,
    is_silent,
    unreachable_zones,
)
from acaciawing.jobs.pending_orders import PendingOrders
from acaciawing.jobs.pool_sizing import PoolSizing
from acaciawing.jobs.wave_planning import choose_maintenance, count_down

# Minimum time between two log events about the size of a pool.
LOG_INTERVAL_S = 1.0


class FleetPlanner:
    """Chooses machines to evacuate, and issues orders for evacuated ones.

    Args:
        on_event: Called with the name and the values of each event to log.
    """

    def __init__(
        self, on_event: Callable[..., None] = lambda *_, **__: None
    ) -> None:
        """Creates a planner without pending orders."""
        self._log = on_event
        self._logged: dict[str, tuple[float, int]] = {}
        self._orders = PendingOrders()
        self._sizing = PoolSizing()
        self._target_sizes: dict[str, int] = {}

    def evacuate(self, snapshot: FleetSnapshot) -> Evacuation:
        """Returns the workers to evacuate."""
        orders = {
            machine.worker: order
            for machine in snapshot.machines
            if machine.worker
            and (order := self._orders.find(machine.id)) is not None
        }
        in_waves = {m for wave in snapshot.waves for m in wave.machines}
        return Evacuation(
            frozenset(orders),
            frozenset(w for w, o in orders.items() if isinstance(o, Maintain)),
            frozenset(m.worker for m in snapshot.machines if m.id in in_waves),
        )

    def discard_order(self, machine: str) -> None:
        """Discards a machine's order after it was carried out or refused."""
        self._orders.discard(machine)

    def record_unconfirmed(self, order: FleetOrder, now: float) -> None:
        """Records an unanswered order, which may be carried out later."""
        self._orders.leave_unconfirmed(order, now)

    def record_refusal(self, order: FleetOrder) -> None:
        """Records a refused order; a refused move is not ordered again."""
        self._orders.refuse(order)

    def decide(
        self, snapshot: FleetSnapshot, now: float
    ) -> tuple[FleetOrder, ...]:
        """Chooses machines to evacuate, and returns the orders to give now."""
        machines = {m.id: m for m in snapshot.machines}
        self._sizing.observe(snapshot, now)
        self._target_sizes = self._divide(snapshot)
        self._orders.drop_obsolete(snapshot, machines, now)
        choose_maintenance(snapshot, self._orders, now)
        self._choose_loans(snapshot, now)
        self._choose_releases(snapshot, now)
        down = count_down(snapshot, self._orders)
        orders: list[FleetOrder] = []
        for order in self._orders:
            machine = machines[order.machine]
            if not machine.up or not is_evacuated(machine, snapshot):
                continue
            if isinstance(order, Maintain):
                wave = next(w for w in snapshot.waves if w.number == order.wave)
                if not self._orders.may_be_maintained(order.machine):
                    if down >= wave.max_down:
                        continue
                    down += 1
            orders.append(order)
        return tuple(orders)

    def _choose_loans(self, snapshot: FleetSnapshot, now: float) -> None:
        for service, _ in sorted(
            snapshot.pools.items(), key=lambda item: -item[1].waiting.cpu
        ):
            shortage = self._shortage(service, snapshot)
            self._log_size(service, shortage, snapshot, now)
            if shortage > 0:
                shortage -= self._cancel_releases(service, shortage, snapshot)
            for machine in self._donors(service, snapshot):
                if shortage <= 0:
                    break
                self._orders.add(Move(machine.id, service), now)
                shortage -= 1

    def _divide(self, snapshot: FleetSnapshot) -> dict[str, int]:
        """Returns the number of machines that each pool should have."""
        demands = {
            service: self._sizing.demand(service, snapshot)
            for service in snapshot.pools
            if service not in snapshot.spare
        }
        available = sum(
            (m.up or m.up_soon) and not is_silent(m, snapshot)
            for m in snapshot.machines
        )
        return divide_machines(demands, available)

    def _log_size(
        self, service: str, shortage: int, snapshot: FleetSnapshot, now: float
    ) -> None:
        """Logs a pool's target size, and its reasons, when it has changed."""
        if service in snapshot.spare:
            return
        target_size = self._target_sizes[service]
        logged_at, logged = self._logged.get(
            service, (now - LOG_INTERVAL_S, -1)
        )
        if target_size == logged:
            return
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[service] = (now, target_size)
        pool = snapshot.pools[service]
        self._log(
            "POOL_SIZED",
            service=service,
            wanted=target_size,
            missing=shortage,
            present=sum(m.service == service for m in snapshot.machines),
            used_cpu=pool.used.cpu,
            waiting_cpu=pool.waiting.cpu,
            late_cpu=pool.late.cpu,
        )

    def _cancel_releases(
        self, service: str, shortage: int, snapshot: FleetSnapshot
    ) -> int:
        """Cancels pending releases of a pool that needs its machines again.

        Returns:
            The number of machines that the pool regains.
        """
        cancelled = [
            m.id
            for m in snapshot.machines
            if m.service == service
            and self._orders.is_release(m.id, snapshot.spare)
        ][:shortage]
        for machine in cancelled:
            self._orders.discard(machine)
        return len(cancelled)

    def _choose_releases(self, snapshot: FleetSnapshot, now: float) -> None:
        """Chooses surplus machines to move to a spare pool and turn off."""
        if not snapshot.spare:
            return
        spare = min(snapshot.spare)
        for service in snapshot.pools:
            surplus = -self._shortage(service, snapshot)
            if not self._sizing.may_shrink(service, surplus, now):
                continue
            for machine in self._idle_machines(service, snapshot)[:surplus]:
                if not self._orders.was_refused(machine.id, spare):
                    self._orders.add(Move(machine.id, spare), now)

    def _shortage(self, service: str, snapshot: FleetSnapshot) -> int:
        """Returns the number of missing machines; negative for a surplus."""
        if service in snapshot.spare:
            return 0
        present = [
            m
            for m in snapshot.machines
            if m.service == service
            and (m.up or m.up_soon)
            and m.id not in self._orders
            and not is_silent(m, snapshot)
        ]
        shortage = self._target_sizes.get(service, 0) - len(present)
        # Long-running subtasks fill their machines, so those of a machine in
        # evacuation find room only on a machine without such subtasks.
        evacuating = sum(
            m.service == service
            and self._orders.is_maintenance(m.id)
            and has_lasting(m, snapshot)
            for m in snapshot.machines
        )
        if evacuating:
            room = sum(not has_lasting(m, snapshot) for m in present)
            shortage = max(shortage, evacuating - room)
        return shortage - self._orders.moves_to(service)

    def _donors(
        self, service: str, snapshot: FleetSnapshot
    ) -> Iterable[MachineState]:
        """Returns machines to lend: those turned off, then idle ones."""
        unreachable = unreachable_zones(snapshot)
        chosen = [
            m
            for m in snapshot.machines
            if m.service in snapshot.spare
            and not m.worker
            and m.up
            and self._orders.may_move(m.id)
            and m.zone not in unreachable
        ]
        chosen += [
            m
            for m in snapshot.machines
            if self._orders.is_release(m.id, snapshot.spare)
        ]
        for other in sorted(snapshot.pools):
            surplus = -self._shortage(other, snapshot)
            if other != service and surplus > 0:
                chosen += self._idle_machines(other, snapshot)[:surplus]
        return [
            m for m in chosen if not self._orders.was_refused(m.id, service)
        ]

    def _idle_machines(
        self, service: str, snapshot: FleetSnapshot
    ) -> list[MachineState]:
        """Returns a pool's machines that can be evacuated soon, idlest first.

        These run no long-running subtask, are in no wave and have a worker that
        answers. The idlest has the least cpu reserved.
        """
        in_waves = {m for wave in snapshot.waves for m in wave.machines}
        idle = []
        for machine in snapshot.machines:
            load = snapshot.workers.get(machine.worker)
            if (
                machine.service == service
                and machine.up
                and self._orders.may_move(machine.id)
                and machine.id not in in_waves
                and load is not None
                and load.contacted
                and not load.lasting
                and not load.silent
            ):
                idle.append((load.cpu, machine.id, machine))
        return [machine for _, _, machine in sorted(idle, key=lambda i: i[:2])]
