"""Decisions for the fleet: maintenance waves and machine loans between pools.

A machine is evacuated before it is maintained or moved: the holder of its cell
starts no new runs there and moves the long-running ones. A machine that is
turned off needs no evacuation.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from acaciawing.allocation import PoolDemand, divide_machines
from acaciawing.jobs.fleet import (
    Evacuation,
    FleetOrder,
    FleetSnapshot,
    MachineState,
    Maintain,
    MaintenanceWave,
    Move,
)
from acaciawing.jobs.pool_sizing import PoolSizing

# The evacuation of a machine for a loan is cancelled after this time: the load
# peak that needed the machine is over by then.
LOAN_TIMEOUT_S = 4.0

# Minimum time between two log events about the size of a pool.
LOG_INTERVAL_S = 1.0

# An order without an answer may be carried out up to this much later; the
# platform's documentation gives this limit for orders to workers.
MAX_ORDER_DELAY_S = 12.0

# Usual time of an evacuation that moves long-running subtasks in batches, as
# their disruption budget allows.
LASTING_EVACUATION_S = 6.0

# Factor on the number of machines that a wave maintains at the same time: some
# take longer than `MAINTENANCE_STEP_S`.
MAINTENANCE_HEADROOM_FACTOR = 1.3

# Minimum number of machines that a wave may maintain at the same time.
MIN_MAINTAINED_AT_ONCE = 2

# A wave is late when less than this many maintenance steps are left.
LATE_MAINTENANCE_STEPS = 2

# A zone is treated as unreachable when at least this many of its workers are
# silent and none answers.
MIN_SILENT_WORKERS = 2

# Usual time of an evacuation and the maintenance after it; determines how many
# machines of a wave have to be down at once.
MAINTENANCE_STEP_S = 5.0


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
        self._pending_orders: dict[str, PendingOrder] = {}
        self._sizing = PoolSizing()
        self._target_sizes: dict[str, int] = {}
        self._refused_moves: set[tuple[str, str]] = set()
        self._unconfirmed: dict[str, UnconfirmedOrder] = {}
        # Until when, in seconds, a move may be carried out once more by a call
        # that was not answered, by machine.
        self._late_moves_until: dict[str, float] = {}

    def evacuate(self, snapshot: FleetSnapshot) -> Evacuation:
        """Returns the workers to evacuate."""
        orders = {
            machine.worker: self._pending_orders[machine.id].order
            for machine in snapshot.machines
            if machine.id in self._pending_orders and machine.worker
        }
        in_waves = {m for wave in snapshot.waves for m in wave.machines}
        return Evacuation(
            frozenset(orders),
            frozenset(w for w, o in orders.items() if isinstance(o, Maintain)),
            frozenset(m.worker for m in snapshot.machines if m.id in in_waves),
            self._expected_cpu(snapshot),
        )

    def _expected_cpu(self, snapshot: FleetSnapshot) -> dict[str, int]:
        """Returns the cpu of each pool once all ordered moves have ended."""
        expected: Counter[str] = Counter()
        for machine in snapshot.machines:
            pending = self._pending_orders.get(machine.id)
            if pending is not None:
                if isinstance(pending.order, Move):
                    expected[pending.order.service] += machine.capacity.cpu
            elif machine.up or machine.up_soon:
                expected[machine.service] += machine.capacity.cpu
        return dict(expected)

    def discard_order(self, machine: str) -> None:
        """Discards a machine's order after it was carried out or refused."""
        self._pending_orders.pop(machine, None)
        self._unconfirmed.pop(machine, None)

    def record_unconfirmed(self, order: FleetOrder, now: float) -> None:
        """Records an unanswered order, which may be carried out later.

        The machine stays evacuated and the order is repeated until it is
        answered, because a late execution ends everything that runs there.
        """
        until = now + MAX_ORDER_DELAY_S
        self._unconfirmed[order.machine] = UnconfirmedOrder(order, until)
        if isinstance(order, Move):
            self._late_moves_until[order.machine] = until

    def record_refusal(self, order: FleetOrder) -> None:
        """Records a refused order; a refused move is not ordered again."""
        self.discard_order(order.machine)
        if isinstance(order, Move):
            self._refused_moves.add((order.machine, order.service))

    def decide(
        self, snapshot: FleetSnapshot, now: float
    ) -> tuple[FleetOrder, ...]:
        """Chooses machines to evacuate, and returns the orders to give now."""
        machines = {m.id: m for m in snapshot.machines}
        self._sizing.observe(snapshot, now)
        self._late_moves_until = {
            m: until
            for m, until in self._late_moves_until.items()
            if now < until
        }
        self._target_sizes = self._divide(snapshot)
        self._drop_obsolete_orders(snapshot, machines, now)
        self._choose_maintenance(snapshot, machines, now)
        self._choose_loans(snapshot, now)
        self._choose_releases(snapshot, now)
        down = self._count_down(snapshot, now)
        orders: list[FleetOrder] = []
        for machine_id, pending_order in self._pending_orders.items():
            machine = machines[machine_id]
            if not machine.up or not _is_evacuated(machine, snapshot):
                continue
            order = pending_order.order
            if isinstance(order, Maintain):
                wave = next(w for w in snapshot.waves if w.number == order.wave)
                if not self._may_be_maintained(machine_id):
                    if down >= wave.max_down:
                        continue
                    down += 1
            orders.append(order)
        return tuple(orders)

    def _drop_obsolete_orders(
        self,
        snapshot: FleetSnapshot,
        machines: Mapping[str, MachineState],
        now: float,
    ) -> None:
        """Drops orders for removed or maintained machines and expired loans."""
        in_waves = {m for wave in snapshot.waves for m in wave.machines}
        for machine_id, pending_order in list(self._pending_orders.items()):
            order = pending_order.order
            removed = machine_id not in machines
            maintained = (
                isinstance(order, Maintain) and machine_id not in in_waves
            )
            moved = (
                not removed
                and isinstance(order, Move)
                and machines[machine_id].service == order.service
            )
            expired = (
                isinstance(order, Move)
                and order.service not in snapshot.spare
                and now - pending_order.since > LOAN_TIMEOUT_S
                and machine_id not in self._unconfirmed
            )
            if removed or maintained or moved or expired:
                del self._pending_orders[machine_id]
                if not maintained:
                    self._unconfirmed.pop(machine_id, None)

    def _count_down(self, snapshot: FleetSnapshot, now: float) -> int:
        """Counts machines in maintenance, and unconfirmed orders for it."""
        for machine, unconfirmed in list(self._unconfirmed.items()):
            if now > unconfirmed.until:
                del self._unconfirmed[machine]
        return sum(
            1
            for m in snapshot.machines
            if m.in_maintenance or self._may_be_maintained(m.id)
        )

    def _may_be_maintained(self, machine: str) -> bool:
        """Whether an unconfirmed order may maintain a machine."""
        unconfirmed = self._unconfirmed.get(machine)
        return unconfirmed is not None and isinstance(
            unconfirmed.order, Maintain
        )

    def _choose_maintenance(
        self,
        snapshot: FleetSnapshot,
        machines: Mapping[str, MachineState],
        now: float,
    ) -> None:
        for wave in snapshot.waves:
            pending = [
                machines[m]
                for m in wave.machines
                if m in machines
                and not self._is_maintenance_pending(m)
                and m not in self._unconfirmed
            ]
            steps_left = max(1.0, (wave.due_at - now) / MAINTENANCE_STEP_S)
            at_once = min(
                wave.max_down,
                max(
                    MIN_MAINTAINED_AT_ONCE,
                    math.ceil(
                        len(pending) * MAINTENANCE_HEADROOM_FACTOR / steps_left
                    ),
                ),
            )
            late = (
                wave.due_at - now < LATE_MAINTENANCE_STEPS * MAINTENANCE_STEP_S
            )
            for machine in sorted(
                pending, key=lambda m: _evacuation_priority(m, snapshot)
            ):
                if _has_lasting(machine, snapshot):
                    allowed = late or self._may_evacuate_lasting(
                        machine, wave, machines, snapshot, now
                    )
                else:
                    allowed = self._count_evacuating(snapshot) < at_once
                if machine.up and allowed:
                    order = Maintain(machine.id, wave.number)
                    self._pending_orders[machine.id] = PendingOrder(order, now)

    def _is_maintenance_pending(self, machine: str) -> bool:
        """Whether a machine is being evacuated for maintenance."""
        pending_order = self._pending_orders.get(machine)
        return pending_order is not None and isinstance(
            pending_order.order, Maintain
        )

    def _count_evacuating(self, snapshot: FleetSnapshot) -> int:
        """Counts machines in a wave without long-running subtasks."""
        return sum(
            self._is_maintenance_pending(m.id) and not _has_lasting(m, snapshot)
            for m in snapshot.machines
        )

    def _may_evacuate_lasting(
        self,
        machine: MachineState,
        wave: MaintenanceWave,
        machines: Mapping[str, MachineState],
        snapshot: FleetSnapshot,
        now: float,
    ) -> bool:
        """Whether a machine with long-running subtasks may be evacuated.

        These subtasks move in small batches, so such machines begin early, and
        a pool evacuates as few at the same time as the wave's end allows.
        """
        left = [
            machines[m]
            for m in wave.machines
            if m in machines
            and machines[m].service == machine.service
            and _has_lasting(machines[m], snapshot)
        ]
        evacuating = sum(self._is_maintenance_pending(m.id) for m in left)
        time_left = max(
            LASTING_EVACUATION_S, wave.due_at - now - MAINTENANCE_STEP_S
        )
        at_once = math.ceil(len(left) * LASTING_EVACUATION_S / time_left)
        return evacuating < max(1, at_once)

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
                self._order_move(machine, service, now)
                shortage -= 1

    def _divide(self, snapshot: FleetSnapshot) -> dict[str, int]:
        """Returns the number of machines that each pool should have."""
        available = sum(
            (m.up or m.up_soon) and not _is_silent(m, snapshot)
            for m in snapshot.machines
        )
        demands = self._demands(snapshot, scarce=False)
        if sum(d.on_time + d.late for d in demands.values()) > available:
            demands = self._demands(snapshot, scarce=True)
        return divide_machines(demands, available)

    def _demands(
        self, snapshot: FleetSnapshot, *, scarce: bool
    ) -> dict[str, PoolDemand]:
        return {
            service: self._sizing.demand(service, snapshot, scarce=scarce)
            for service in snapshot.pools
            if service not in snapshot.spare
        }

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
            late_cpu=pool.late_cpu,
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
            if m.service == service and self._is_release_pending(m, snapshot)
        ][:shortage]
        for machine in cancelled:
            del self._pending_orders[machine]
        return len(cancelled)

    def _is_release_pending(
        self, machine: MachineState, snapshot: FleetSnapshot
    ) -> bool:
        """Whether a machine is evacuated to be turned off, but not yet told."""
        pending_order = self._pending_orders.get(machine.id)
        return (
            pending_order is not None
            and machine.id not in self._unconfirmed
            and isinstance(pending_order.order, Move)
            and pending_order.order.service in snapshot.spare
        )

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
                if (machine.id, spare) not in self._refused_moves:
                    self._order_move(machine, spare, now)

    def _order_move(
        self, machine: MachineState, service: str, now: float
    ) -> None:
        self._pending_orders[machine.id] = PendingOrder(
            Move(machine.id, service), now
        )

    def _shortage(self, service: str, snapshot: FleetSnapshot) -> int:
        """Returns the number of missing machines; negative for a surplus."""
        if service in snapshot.spare:
            return 0
        incoming = sum(
            1
            for pending in self._pending_orders.values()
            if isinstance(pending.order, Move)
            and pending.order.service == service
        )
        present = [
            m
            for m in snapshot.machines
            if m.service == service
            and (m.up or m.up_soon)
            and m.id not in self._pending_orders
            and not _is_silent(m, snapshot)
        ]
        shortage = self._target_sizes.get(service, 0) - len(present)
        # Long-running subtasks fill their machines, so those of a machine in
        # evacuation find room only on a machine without such subtasks.
        evacuating = sum(
            m.service == service
            and self._is_maintenance_pending(m.id)
            and _has_lasting(m, snapshot)
            for m in snapshot.machines
        )
        if evacuating:
            room = sum(not _has_lasting(m, snapshot) for m in present)
            shortage = max(shortage, evacuating - room)
        return shortage - incoming

    def _donors(
        self, service: str, snapshot: FleetSnapshot
    ) -> Iterable[MachineState]:
        """Returns machines to lend: those turned off, then idle ones."""
        unreachable = _unreachable_zones(snapshot)
        chosen = [
            m
            for m in snapshot.machines
            if m.service in snapshot.spare
            and not m.worker
            and m.up
            and self._may_move(m)
            and m.zone not in unreachable
        ]
        chosen += [
            m
            for m in snapshot.machines
            if self._is_release_pending(m, snapshot)
        ]
        for other in sorted(snapshot.pools):
            surplus = -self._shortage(other, snapshot)
            if other != service and surplus > 0:
                chosen += self._idle_machines(other, snapshot)[:surplus]
        return [m for m in chosen if (m.id, service) not in self._refused_moves]

    def _may_move(self, machine: MachineState) -> bool:
        """Whether no earlier order can take the machine away again.

        An unanswered move is repeated until it is answered; the first call may
        still be carried out after that, which only matters in another pool.
        """
        return (
            machine.id not in self._pending_orders
            and machine.id not in self._late_moves_until
        )

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
                and self._may_move(machine)
                and machine.id not in in_waves
                and load is not None
                and not load.lasting
                and not load.silent
            ):
                idle.append((load.cpu, machine.id, machine))
        return [machine for _, _, machine in sorted(idle, key=lambda i: i[:2])]


def _is_evacuated(machine: MachineState, snapshot: FleetSnapshot) -> bool:
    """Whether a machine has no runs and gets no new ones."""
    if not machine.worker:
        return True
    load = snapshot.workers.get(machine.worker)
    return (
        load is not None
        and load.runs == 0
        and machine.worker in snapshot.evacuating
    )


def _evacuation_priority(
    machine: MachineState, snapshot: FleetSnapshot
) -> tuple[bool, int, int, str]:
    """Returns a sort key for maintenance; the smallest goes first.

    Machines that are turned off go first, then those that take longest to
    evacuate, which have the most long-running subtasks.
    """
    load = snapshot.workers.get(machine.worker)
    if load is None:
        return (bool(machine.worker), 0, 0, machine.id)
    return (True, -load.lasting, load.cpu, machine.id)


def _has_lasting(machine: MachineState, snapshot: FleetSnapshot) -> bool:
    load = snapshot.workers.get(machine.worker)
    return load is not None and load.lasting > 0


def _is_silent(machine: MachineState, snapshot: FleetSnapshot) -> bool:
    load = snapshot.workers.get(machine.worker)
    return load is not None and load.silent


def _unreachable_zones(snapshot: FleetSnapshot) -> frozenset[str]:
    """Returns the zones with several known workers of which none answers."""
    answering: set[str] = set()
    silent: Counter[str] = Counter()
    for machine in snapshot.machines:
        if machine.worker not in snapshot.workers:
            continue
        if _is_silent(machine, snapshot):
            silent[machine.zone] += 1
        else:
            answering.add(machine.zone)
    return frozenset(
        zone
        for zone, count in silent.items()
        if count >= MIN_SILENT_WORKERS and zone not in answering
    )
