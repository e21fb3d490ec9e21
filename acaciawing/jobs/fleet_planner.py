"""Decisions for the fleet: upkeep in waves, and machines lent between pools.

Both empty a machine before they take it: the holder of its cell stops giving
it work and moves what lasts. A machine that is off needs no emptying.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from acaciawing.jobs.fleet import (
    Evacuation,
    FleetOrder,
    FleetSnapshot,
    MachineState,
    Maintain,
    Move,
)
from acaciawing.jobs.pool_sizing import PoolSizes

# Emptying a machine for a loan is given up after this time, in seconds: the
# peak that asked for it is over by then.
LOAN_PATIENCE_S = 4.0

# The sizes of a pool are logged at most this often, in seconds.
LOG_INTERVAL_S = 1.0

# An order without an answer may be carried out up to this much later, in
# seconds, as the platform's pages say of orders to workers.
LATE_ORDER_S = 12.0

# A zone is taken for cut off when at least this many of its workers are silent
# and none answers.
LEAST_SILENT = 2

# Time that emptying and upkeep take together, as a rule, in seconds; decides
# how many machines of a wave have to be down at once.
WAVE_STEP_S = 5.0


class Emptying(NamedTuple):
    """A machine that is being emptied.

    Attributes:
        order: What follows once it is empty.
        since: When it began, in seconds.
    """

    order: FleetOrder
    since: float


class FleetPlanner:
    """Chooses machines to empty, and orders for those that are empty.

    Args:
        on_event: Called with a name and values for each decision to log.
    """

    def __init__(
        self, on_event: Callable[..., None] = lambda *_, **__: None
    ) -> None:
        """Starts with nothing under way."""
        self._log = on_event
        self._logged: dict[str, tuple[float, int]] = {}
        self._emptying: dict[str, Emptying] = {}
        self._sizes = PoolSizes()
        self._unfit: set[tuple[str, str]] = set()
        # Machines whose upkeep may still begin, and until when, in seconds.
        self._unanswered: dict[str, float] = {}

    def evacuate(self, snapshot: FleetSnapshot) -> Evacuation:
        """Returns the workers that are to be emptied."""
        orders = {
            machine.worker: self._emptying[machine.id].order
            for machine in snapshot.machines
            if machine.id in self._emptying and machine.worker
        }
        due = {m for wave in snapshot.waves for m in wave.machines}
        return Evacuation(
            frozenset(orders),
            frozenset(w for w, o in orders.items() if isinstance(o, Maintain)),
            frozenset(m.worker for m in snapshot.machines if m.id in due),
        )

    def discard_order(self, machine: str) -> None:
        """Forgets a machine, after its order was carried out or refused."""
        self._emptying.pop(machine, None)

    def record_unconfirmed(self, order: FleetOrder, now: float) -> None:
        """Takes note that an order was not answered and may be late."""
        self.discard_order(order.machine)
        if isinstance(order, Maintain):
            self._unanswered[order.machine] = now + LATE_ORDER_S

    def record_refusal(self, order: FleetOrder) -> None:
        """Never moves a machine again to a pool that can't have it."""
        self.discard_order(order.machine)
        if isinstance(order, Move):
            self._unfit.add((order.machine, order.service))

    def decide(
        self, snapshot: FleetSnapshot, now: float
    ) -> tuple[FleetOrder, ...]:
        """Returns orders that may be given now."""
        machines = {m.id: m for m in snapshot.machines}
        self._sizes.observe(snapshot, now)
        self._forget(snapshot, machines, now)
        self._choose_for_waves(snapshot, machines, now)
        self._choose_loans(snapshot, now)
        self._choose_releases(snapshot, now)
        down = self._down(snapshot, now)
        orders: list[FleetOrder] = []
        for machine_id, emptying in self._emptying.items():
            machine = machines[machine_id]
            if not machine.up or not _is_empty(machine, snapshot):
                continue
            order = emptying.order
            if isinstance(order, Maintain):
                wave = next(w for w in snapshot.waves if w.number == order.wave)
                if down >= wave.max_down:
                    continue
                down += 1
            orders.append(order)
        return tuple(orders)

    def _forget(
        self,
        snapshot: FleetSnapshot,
        machines: Mapping[str, MachineState],
        now: float,
    ) -> None:
        pending = {m for wave in snapshot.waves for m in wave.machines}
        for machine_id, emptying in list(self._emptying.items()):
            order = emptying.order
            gone = machine_id not in machines
            done = isinstance(order, Maintain) and machine_id not in pending
            stale = (
                isinstance(order, Move)
                and order.service not in snapshot.spare
                and now - emptying.since > LOAN_PATIENCE_S
            )
            if gone or done or stale:
                del self._emptying[machine_id]

    def _down(self, snapshot: FleetSnapshot, now: float) -> int:
        """Machines that are in upkeep, or may be by an unanswered order."""
        for machine, until in list(self._unanswered.items()):
            if now > until:
                del self._unanswered[machine]
        return sum(
            1
            for m in snapshot.machines
            if m.in_upkeep or m.id in self._unanswered
        )

    def _choose_for_waves(
        self,
        snapshot: FleetSnapshot,
        machines: Mapping[str, MachineState],
        now: float,
    ) -> None:
        for wave in snapshot.waves:
            due = [
                machines[m]
                for m in wave.machines
                if m in machines and not self._is_due(m)
            ]
            turns = max(1.0, (wave.due_at - now) / WAVE_STEP_S)
            at_once = min(
                wave.max_down, max(2, math.ceil(len(due) * 1.3 / turns))
            )
            late = wave.due_at - now < 2 * WAVE_STEP_S
            for machine in sorted(due, key=lambda m: _trouble(m, snapshot)):
                if machine.up and self._may_empty(
                    machine, snapshot, at_once, late
                ):
                    order = Maintain(machine.id, wave.number)
                    self._emptying[machine.id] = Emptying(order, now)

    def _is_due(self, machine: str) -> bool:
        """Whether a machine is being emptied for its upkeep."""
        known = self._emptying.get(machine)
        return known is not None and isinstance(known.order, Maintain)

    def _may_empty(
        self,
        machine: MachineState,
        snapshot: FleetSnapshot,
        at_once: int,
        late: bool,
    ) -> bool:
        """Whether the pool can do without a machine for its upkeep.

        Lasting work leaves a machine run by run, so its machines begin early,
        one of a pool at a time; others go as fast as the wave needs it.
        """
        if not machine.worker:
            return True
        lasting = _has_lasting(machine, snapshot)
        same = [
            m
            for m in snapshot.machines
            if self._is_due(m.id) and _has_lasting(m, snapshot) == lasting
        ]
        if lasting:
            return late or all(m.service != machine.service for m in same)
        return len(same) < at_once

    def _choose_loans(self, snapshot: FleetSnapshot, now: float) -> None:
        for service, _ in sorted(
            snapshot.pools.items(), key=lambda item: -item[1].waiting.cpu
        ):
            missing = self._missing(service, snapshot)
            self._note_size(service, missing, snapshot, now)
            if missing > 0:
                missing -= self._keep(service, missing, snapshot)
            for machine in self._donors(service, snapshot):
                if missing <= 0:
                    break
                self._move(machine, service, now)
                missing -= 1

    def _note_size(
        self, service: str, missing: int, snapshot: FleetSnapshot, now: float
    ) -> None:
        """Logs what decides about a pool's size when it has changed."""
        wanted = self._sizes.wanted(service, snapshot)
        noted_at, noted = self._logged.get(service, (now - LOG_INTERVAL_S, -1))
        if service in snapshot.spare or wanted == noted:
            return
        if now - noted_at < LOG_INTERVAL_S:
            return
        self._logged[service] = (now, wanted)
        pool = snapshot.pools[service]
        self._log(
            "POOL_SIZED",
            service=service,
            wanted=wanted,
            missing=missing,
            present=sum(m.service == service for m in snapshot.machines),
            used_cpu=pool.used.cpu,
            waiting_cpu=pool.waiting.cpu,
        )

    def _keep(self, service: str, missing: int, snapshot: FleetSnapshot) -> int:
        """Gives up releases of a pool that needs its machines after all."""
        kept = [
            m.id
            for m in snapshot.machines
            if m.service == service and self._is_released(m, snapshot)
        ][:missing]
        for machine in kept:
            del self._emptying[machine]
        return len(kept)

    def _is_released(
        self, machine: MachineState, snapshot: FleetSnapshot
    ) -> bool:
        """Whether a machine is being emptied to be turned off."""
        emptying = self._emptying.get(machine.id)
        return (
            emptying is not None
            and isinstance(emptying.order, Move)
            and emptying.order.service in snapshot.spare
        )

    def _choose_releases(self, snapshot: FleetSnapshot, now: float) -> None:
        """Turns machines off that their pool has not needed for a while."""
        if not snapshot.spare:
            return
        spare = min(snapshot.spare)
        for service in snapshot.pools:
            surplus = -self._missing(service, snapshot)
            if not self._sizes.may_shrink(service, surplus, now):
                continue
            for machine in self._idle(service, snapshot)[:surplus]:
                if (machine.id, spare) not in self._unfit:
                    self._move(machine, spare, now)

    def _move(self, machine: MachineState, service: str, now: float) -> None:
        self._emptying[machine.id] = Emptying(Move(machine.id, service), now)

    def _missing(self, service: str, snapshot: FleetSnapshot) -> int:
        """Machines that a pool's load asks for beyond those under way."""
        if service in snapshot.spare:
            return 0
        coming = sum(
            1
            for e in self._emptying.values()
            if isinstance(e.order, Move) and e.order.service == service
        )
        present = sum(
            1
            for m in snapshot.machines
            if m.service == service
            and (m.up or m.coming)
            and m.id not in self._emptying
            and not _is_silent(m, snapshot)
        )
        return self._sizes.wanted(service, snapshot) - present - coming

    def _donors(
        self, service: str, snapshot: FleetSnapshot
    ) -> Iterable[MachineState]:
        """Machines that may be lent: those that are off, then idle ones."""
        cut = _cut_zones(snapshot)
        chosen = [
            m
            for m in snapshot.machines
            if m.service in snapshot.spare
            and not m.worker
            and m.up
            and m.id not in self._emptying
            and m.zone not in cut
        ]
        chosen += [
            m for m in snapshot.machines if self._is_released(m, snapshot)
        ]
        for other in sorted(snapshot.pools):
            surplus = -self._missing(other, snapshot)
            if other != service and surplus > 0:
                chosen += self._idle(other, snapshot)[:surplus]
        return [m for m in chosen if (m.id, service) not in self._unfit]

    def _idle(
        self, service: str, snapshot: FleetSnapshot
    ) -> list[MachineState]:
        """Machines of a pool that can be emptied soon, idlest first."""
        due = {m for wave in snapshot.waves for m in wave.machines}
        idle = []
        for machine in snapshot.machines:
            load = snapshot.workers.get(machine.worker)
            if (
                machine.service == service
                and machine.up
                and machine.id not in self._emptying
                and machine.id not in due
                and load is not None
                and not load.lasting
                and not load.silent
            ):
                idle.append((load.cpu, machine.id, machine))
        return [machine for _, _, machine in sorted(idle, key=lambda i: i[:2])]


def _is_empty(machine: MachineState, snapshot: FleetSnapshot) -> bool:
    """Whether an order ends no work on the machine."""
    if not machine.worker:
        return True
    load = snapshot.workers.get(machine.worker)
    return (
        load is not None
        and load.runs == 0
        and machine.worker in snapshot.evacuating
    )


def _trouble(
    machine: MachineState, snapshot: FleetSnapshot
) -> tuple[bool, int, int, str]:
    """Orders machines for upkeep: off ones, then the slowest to empty."""
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


def _cut_zones(snapshot: FleetSnapshot) -> frozenset[str]:
    """Returns the zones none of whose workers answer, of several known."""
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
        if count >= LEAST_SILENT and zone not in answering
    )
