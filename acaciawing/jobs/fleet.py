"""Decisions for the fleet: upkeep in waves, and machines lent between pools.

Both empty a machine before they take it: the holder of its cell stops giving
it work and moves what lasts. A machine that is off needs no emptying.
"""

import math
from collections.abc import Iterable, Mapping, Set
from typing import NamedTuple, TypeAlias

import msgspec

from acaciawing.jobs.model import Resources

# A pool is given machines for this many times its present load, so that work
# that comes meanwhile finds room.
HEADROOM = 1.7

# Machines that a pool keeps for lasting work and for the first work of a peak.
LEAST_MACHINES = 3

# Emptying a machine for a loan is given up after this time, in seconds: the
# peak that asked for it is over by then.
LOAN_PATIENCE_S = 4.0

# Time that emptying and upkeep take together, as a rule, in seconds; decides
# how many machines of a wave have to be down at once.
WAVE_STEP_S = 5.0


class WorkerLoad(msgspec.Struct, frozen=True):
    """Load of a worker as the holder of its cell sees it.

    Attributes:
        runs: Runs that are or may be there.
        lasting: Those of them that last.
        cpu: Thousandths of a core that they are charged.
    """

    runs: int
    lasting: int
    cpu: int


class PoolLoad(msgspec.Struct, frozen=True):
    """Load of a service as the holder of its cell sees it.

    Attributes:
        waiting: What waiting subtasks ask for.
        used: What runs are charged.
        capacity: What usable workers have.
    """

    waiting: Resources
    used: Resources
    capacity: Resources


class CellReport(msgspec.Struct, frozen=True):
    """What the holder of a cell tells about it.

    Attributes:
        holder: Whether it holds the cell and has recovered it.
        pools: Load by service.
        workers: Load by id of the worker.
        evacuating: Workers that get no new work for the fleet's sake.
    """

    holder: bool
    pools: dict[str, PoolLoad] = {}
    workers: dict[str, WorkerLoad] = {}
    evacuating: tuple[str, ...] = ()


class MachineState(msgspec.Struct, frozen=True):
    """A machine as the platform lists it.

    Attributes:
        id: Its id.
        service: Pool that it belongs to.
        up: Whether it is neither moving nor in upkeep nor down.
        worker: Id of the worker that runs on it; empty while it is off.
        capacity: Amounts that it has in all.
    """

    id: str
    service: str
    up: bool
    worker: str
    capacity: Resources


class WaveOrder(msgspec.Struct, frozen=True):
    """A wave of upkeep that is under way.

    Attributes:
        number: Its number.
        machines: Machines that still need it.
        max_down: Most machines down at the same time.
        due_at: When all have to be done, in seconds.
    """

    number: int
    machines: tuple[str, ...]
    max_down: int
    due_at: float


class Maintain(msgspec.Struct, frozen=True):
    """Take a machine down for the upkeep of a wave."""

    machine: str
    wave: int


class Move(msgspec.Struct, frozen=True):
    """Move a machine to the pool of a service."""

    machine: str
    service: str


FleetOrder: TypeAlias = Maintain | Move


class FleetSnapshot(NamedTuple):
    """What a round of decisions looks at.

    Attributes:
        machines: The platform's list.
        pools: Load by service.
        workers: Load by id of the worker.
        evacuating: Workers whose cells have confirmed that they get no work.
        waves: Waves under way.
        spare: Services whose machines are off.
    """

    machines: tuple[MachineState, ...]
    pools: Mapping[str, PoolLoad]
    workers: Mapping[str, WorkerLoad]
    evacuating: Set[str]
    waves: tuple[WaveOrder, ...]
    spare: Set[str]


class Emptying(NamedTuple):
    """A machine that is being emptied.

    Attributes:
        order: What follows once it is empty.
        since: When it began, in seconds.
    """

    order: FleetOrder
    since: float


class FleetPlan:
    """Chooses machines to empty, and orders for those that are empty."""

    def __init__(self) -> None:
        """Starts with nothing under way."""
        self._emptying: dict[str, Emptying] = {}

    def evacuate(self, snapshot: FleetSnapshot) -> frozenset[str]:
        """Returns the workers that are to be emptied."""
        return frozenset(
            machine.worker
            for machine in snapshot.machines
            if machine.id in self._emptying and machine.worker
        )

    def abandon(self, machine: str) -> None:
        """Forgets a machine, after its order was carried out or refused."""
        self._emptying.pop(machine, None)

    def decide(
        self, snapshot: FleetSnapshot, now: float
    ) -> tuple[FleetOrder, ...]:
        """Returns orders that may be given now."""
        machines = {m.id: m for m in snapshot.machines}
        self._forget(snapshot, machines, now)
        self._choose_for_waves(snapshot, machines, now)
        self._choose_loans(snapshot, now)
        down = self._down(snapshot)
        orders: list[FleetOrder] = []
        for machine_id, emptying in self._emptying.items():
            machine = machines[machine_id]
            if not machine.up or not _is_empty(machine, snapshot):
                continue
            order = emptying.order
            if isinstance(order, Maintain):
                wave = next(w for w in snapshot.waves if w.number == order.wave)
                if down.get(order.wave, 0) >= wave.max_down:
                    continue
                down[order.wave] = down.get(order.wave, 0) + 1
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
                and now - emptying.since > LOAN_PATIENCE_S
            )
            if gone or done or stale:
                del self._emptying[machine_id]

    def _down(self, snapshot: FleetSnapshot) -> dict[int, int]:
        """Machines that are not up, charged to every wave under way."""
        down = sum(1 for m in snapshot.machines if not m.up)
        return {wave.number: down for wave in snapshot.waves}

    def _choose_for_waves(
        self,
        snapshot: FleetSnapshot,
        machines: Mapping[str, MachineState],
        now: float,
    ) -> None:
        for wave in snapshot.waves:
            due = [machines[m] for m in wave.machines if m in machines]
            turns = max(1.0, (wave.due_at - now) / WAVE_STEP_S)
            at_once = min(wave.max_down, max(2, -int(-len(due) * 1.3 // turns)))
            for machine in sorted(due, key=lambda m: _trouble(m, snapshot)):
                busy = sum(
                    1
                    for e in self._emptying.values()
                    if isinstance(e.order, Maintain)
                    and e.order.wave == wave.number
                )
                if busy >= at_once and machine.worker:
                    break
                self._empty_for_wave(machine, wave, snapshot, now)

    def _empty_for_wave(
        self,
        machine: MachineState,
        wave: WaveOrder,
        snapshot: FleetSnapshot,
        now: float,
    ) -> None:
        known = self._emptying.get(machine.id)
        if known is not None and isinstance(known.order, Maintain):
            return
        if not machine.up:
            return
        late = wave.due_at - now < 2 * WAVE_STEP_S
        if machine.worker and not late and self._taken(machine, snapshot) >= 1:
            return
        order = Maintain(machine.id, wave.number)
        self._emptying[machine.id] = Emptying(order, now)

    def _taken(self, like: MachineState, snapshot: FleetSnapshot) -> int:
        """Machines of the same pool that are away or will be."""
        return sum(
            1
            for m in snapshot.machines
            if m.service == like.service
            and m.id != like.id
            and (not m.up or m.id in self._emptying)
        )

    def _choose_loans(self, snapshot: FleetSnapshot, now: float) -> None:
        for service, _ in sorted(
            snapshot.pools.items(), key=lambda item: -item[1].waiting.cpu
        ):
            missing = self._missing(service, snapshot)
            for machine in self._donors(service, snapshot):
                if missing <= 0:
                    break
                order = Move(machine.id, service)
                self._emptying[machine.id] = Emptying(order, now)
                missing -= 1

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
            if m.service == service and m.id not in self._emptying
        )
        return _desired(service, snapshot) - present - coming

    def _donors(
        self, service: str, snapshot: FleetSnapshot
    ) -> Iterable[MachineState]:
        """Machines that may be lent: those that are off, then idle ones."""
        off, idle = [], []
        due = {m for wave in snapshot.waves for m in wave.machines}
        surplus = {s: -self._missing(s, snapshot) for s in snapshot.pools}
        for machine in snapshot.machines:
            if machine.service == service or machine.id in self._emptying:
                continue
            if not machine.up:
                continue
            if machine.service in snapshot.spare and not machine.worker:
                off.append(machine)
                continue
            load = snapshot.workers.get(machine.worker)
            if load is None or load.lasting or machine.id in due:
                continue
            idle.append((load.cpu, machine.id, machine))
        chosen = []
        for _, _, machine in sorted(idle, key=lambda i: i[:2]):
            if surplus.get(machine.service, 0) > 0:
                surplus[machine.service] -= 1
                chosen.append(machine)
        return [*off, *chosen]


def _desired(service: str, snapshot: FleetSnapshot) -> int:
    """Machines that a pool needs for its present load."""
    pool = snapshot.pools.get(service)
    sizes = [m.capacity for m in snapshot.machines if m.capacity.cpu]
    if pool is None or not sizes:
        return 0
    load = pool.used + pool.waiting
    need = max(
        load.cpu / sizes[0].cpu, load.memory_mb / max(1, sizes[0].memory_mb)
    )
    return max(LEAST_MACHINES, math.ceil(need * HEADROOM))


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
    """Orders machines by the work that their upkeep disturbs."""
    load = snapshot.workers.get(machine.worker)
    if load is None:
        return (bool(machine.worker), 0, 0, machine.id)
    return (True, load.lasting, load.cpu, machine.id)
