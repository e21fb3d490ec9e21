"""What a snapshot of the fleet says of a machine."""

from collections import Counter

from acaciawing.jobs.fleet import FleetSnapshot, MachineState

# A zone is treated as unreachable when at least this many of its workers are
# silent and none answers.
MIN_SILENT_WORKERS = 2


def is_evacuated(machine: MachineState, snapshot: FleetSnapshot) -> bool:
    """Whether a machine has no runs and gets no new ones."""
    if not machine.worker:
        return True
    load = snapshot.workers.get(machine.worker)
    return (
        load is not None
        and load.contacted
        and load.runs == 0
        and machine.worker in snapshot.evacuating
    )


def evacuation_priority(
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


def has_lasting(machine: MachineState, snapshot: FleetSnapshot) -> bool:
    """Whether long-running subtasks run on a machine."""
    load = snapshot.workers.get(machine.worker)
    return load is not None and load.lasting > 0


def is_silent(machine: MachineState, snapshot: FleetSnapshot) -> bool:
    """Whether a machine's worker has answered before and does not now."""
    load = snapshot.workers.get(machine.worker)
    return load is not None and load.silent


def unreachable_zones(snapshot: FleetSnapshot) -> frozenset[str]:
    """Returns the zones with several known workers of which none answers."""
    answering: set[str] = set()
    silent: Counter[str] = Counter()
    for machine in snapshot.machines:
        if machine.worker not in snapshot.workers:
            continue
        if is_silent(machine, snapshot):
            silent[machine.zone] += 1
        else:
            answering.add(machine.zone)
    return frozenset(
        zone
        for zone, count in silent.items()
        if count >= MIN_SILENT_WORKERS and zone not in answering
    )
