"""Choice of the machines that are evacuated for maintenance waves."""

import math
from collections.abc import Mapping

from acaciawing.jobs.fleet import (
    FleetSnapshot,
    MachineState,
    Maintain,
    MaintenanceWave,
)
from acaciawing.jobs.machine_states import evacuation_priority, has_lasting
from acaciawing.jobs.pending_orders import PendingOrders

# Usual time of an evacuation and the maintenance after it; determines how many
# machines of a wave have to be down at once.
MAINTENANCE_STEP_S = 5.0

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


def choose_maintenance(
    snapshot: FleetSnapshot, orders: PendingOrders, now: float
) -> None:
    """Adds orders for the machines of all waves that are to be evacuated now."""
    machines = {m.id: m for m in snapshot.machines}
    for wave in snapshot.waves:
        waiting = [
            machines[m]
            for m in wave.machines
            if m in machines
            and not orders.is_maintenance(m)
            and not orders.is_unconfirmed(m)
        ]
        at_once = _count_at_once(wave, len(waiting), now)
        late = wave.due_at - now < LATE_MAINTENANCE_STEPS * MAINTENANCE_STEP_S
        for machine in sorted(
            waiting, key=lambda m: evacuation_priority(m, snapshot)
        ):
            if has_lasting(machine, snapshot):
                allowed = late or _may_evacuate_lasting(
                    machine, wave, machines, snapshot, orders, now
                )
            else:
                allowed = _count_evacuating(snapshot, orders) < at_once
            if machine.up and allowed:
                orders.add(Maintain(machine.id, wave.number), now)


def count_down(snapshot: FleetSnapshot, orders: PendingOrders) -> int:
    """Counts machines in maintenance, and unconfirmed orders for it."""
    return sum(
        m.in_maintenance or orders.may_be_maintained(m.id)
        for m in snapshot.machines
    )


def _count_at_once(wave: MaintenanceWave, waiting: int, now: float) -> int:
    """Returns how many machines have to be evacuated at the same time."""
    steps_left = max(1.0, (wave.due_at - now) / MAINTENANCE_STEP_S)
    needed = math.ceil(waiting * MAINTENANCE_HEADROOM_FACTOR / steps_left)
    return min(wave.max_down, max(MIN_MAINTAINED_AT_ONCE, needed))


def _count_evacuating(snapshot: FleetSnapshot, orders: PendingOrders) -> int:
    """Counts evacuated machines without long-running subtasks."""
    return sum(
        orders.is_maintenance(m.id) and not has_lasting(m, snapshot)
        for m in snapshot.machines
    )


def _may_evacuate_lasting(
    machine: MachineState,
    wave: MaintenanceWave,
    machines: Mapping[str, MachineState],
    snapshot: FleetSnapshot,
    orders: PendingOrders,
    now: float,
) -> bool:
    """Whether a machine with long-running subtasks may be evacuated.

    These subtasks move in small batches, so such machines begin early, and a
    pool evacuates as few at the same time as the wave's end allows.
    """
    left = [
        machines[m]
        for m in wave.machines
        if m in machines
        and machines[m].service == machine.service
        and has_lasting(machines[m], snapshot)
    ]
    evacuating = sum(orders.is_maintenance(m.id) for m in left)
    time_left = max(
        LASTING_EVACUATION_S, wave.due_at - now - MAINTENANCE_STEP_S
    )
    at_once = math.ceil(len(left) * LASTING_EVACUATION_S / time_left)
    return evacuating < max(1, at_once)
