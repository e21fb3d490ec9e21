"""Number of machines that each pool needs, from its load and the trend."""

import math
from collections import deque

from acaciawing.allocation import PoolDemand
from acaciawing.jobs.fleet import FleetSnapshot, PoolLoad

# Factor on the expected load of a pool: subtasks don't use machines evenly, and
# some machines are slow.
HEADROOM_FACTOR = 1.2

# Minimum size of a pool, in machines and as a share of the fleet, whichever is
# larger: long-running subtasks use two machines, and the first subtasks of a
# load peak need room until more machines arrive.
MIN_MACHINES = 3
MIN_MACHINES_SHARE = 0.03

# The rate at which work arrives is computed over this time.
ARRIVAL_WINDOW_S = 0.6

# Minimum time between the first and the last observation of a rate.
MIN_ARRIVAL_WINDOW_S = 0.3

# Waiting work is to be done in this time. Machines for all of it at once would
# arrive after 1.5 s, when others have done most of it.
BACKLOG_DRAIN_S = 2.5

# While the machines don't suffice for all pools, the share of each follows what
# its waiting work needs to be on time.
SCARCE_BACKLOG_DRAIN_S = 1.0

# A pool retains surplus machines for this time; moving a machine away and back
# costs as much as 2.3 s of its running time.
SURPLUS_RETENTION_S = 2.0

# A pool does not shrink before its load has been observed for this time; until
# then the size that it needs is not known.
MIN_OBSERVATION_S = 6.0


class PoolSizing:
    """Computes the sizes of all pools from their observed loads."""

    def __init__(self) -> None:
        """Creates the sizing without observed loads."""
        self._arrivals: dict[str, deque[tuple[float, float]]] = {}
        self._surplus_since: dict[str, float] = {}
        self._active_since: dict[str, float] = {}

    def observe(self, snapshot: FleetSnapshot, now: float) -> None:
        """Records the work that has arrived in all pools."""
        for service, pool in snapshot.pools.items():
            arrivals = self._arrivals.setdefault(service, deque())
            if arrivals and pool.arrived_work < arrivals[-1][1]:
                # A new holder of the cell counts from zero.
                arrivals.clear()
            arrivals.append((now, pool.arrived_work))
            if pool.used.cpu or pool.waiting.cpu:
                self._active_since.setdefault(service, now)
            while now - arrivals[0][0] > ARRIVAL_WINDOW_S:
                arrivals.popleft()

    def needed_cpu(
        self, service: str, pool: PoolLoad, *, scarce: bool = False
    ) -> float:
        """Returns the cpu that a pool's load needs, in thousandths of a core.

        By Little's law, the cpu in use tends to the rate at which work
        arrives; a backlog needs more until it is done.
        """
        drain_s = SCARCE_BACKLOG_DRAIN_S if scarce else BACKLOG_DRAIN_S
        on_time_work = pool.waiting_work - pool.late_work
        backlog = on_time_work / drain_s + pool.late_work / BACKLOG_DRAIN_S
        # Long-running subtasks have no amount of work.
        at_least = float(pool.used.cpu)
        if not pool.waiting_work:
            at_least += pool.waiting.cpu
        return max(at_least, 1000 * (self._arrival_rate(service) + backlog))

    def _arrival_rate(self, service: str) -> float:
        """Returns the work that arrives in a second, in core-seconds."""
        arrivals = self._arrivals.get(service)
        if not arrivals:
            return 0.0
        first_at, first = arrivals[0]
        last_at, last = arrivals[-1]
        return (last - first) / max(last_at - first_at, MIN_ARRIVAL_WINDOW_S)

    def demand(
        self, service: str, snapshot: FleetSnapshot, *, scarce: bool = False
    ) -> PoolDemand:
        """Returns the machines that a pool can use.

        Args:
            service: The pool's service.
            snapshot: Machines and loads.
            scarce: Whether the machines don't suffice for all pools.
        """
        pool = snapshot.pools.get(service)
        sizes = [
            m.capacity
            for m in snapshot.machines
            if m.capacity.cpu and m.service == service
        ] or [m.capacity for m in snapshot.machines if m.capacity.cpu]
        if pool is None or not sizes:
            return PoolDemand(0, 0, 0)
        cpu = sum(size.cpu for size in sizes) / len(sizes)
        memory_mb = sum(size.memory_mb for size in sizes) / len(sizes)
        needed_cpu = self.needed_cpu(service, pool, scarce=scarce)
        needed_machines = max(
            needed_cpu / cpu, _needed_memory_mb(pool, needed_cpu) / memory_mb
        )
        late_machines = (
            pool.late_cpu + 1000 * pool.late_work / BACKLOG_DRAIN_S
        ) / cpu
        floor = max(
            MIN_MACHINES, round(MIN_MACHINES_SHARE * len(snapshot.machines))
        )
        size = max(floor, math.ceil(needed_machines * HEADROOM_FACTOR))
        on_time = math.ceil((needed_machines - late_machines) * HEADROOM_FACTOR)
        on_time = min(size, max(floor, on_time))
        return PoolDemand(floor, on_time, size - on_time)

    def may_shrink(self, service: str, surplus: int, now: float) -> bool:
        """Whether a pool has had a surplus for long enough to give it up."""
        observed_s = now - self._active_since.get(service, now)
        if surplus <= 0 or observed_s < MIN_OBSERVATION_S:
            self._surplus_since.pop(service, None)
            return False
        return (
            now - self._surplus_since.setdefault(service, now)
            >= SURPLUS_RETENTION_S
        )


def _needed_memory_mb(pool: PoolLoad, needed_cpu: float) -> float:
    """Returns the memory that goes with the cpu that a pool needs, in MiB."""
    if not pool.waiting.cpu:
        return pool.used.memory_mb + pool.waiting.memory_mb
    started = (needed_cpu - pool.used.cpu) / pool.waiting.cpu
    return pool.used.memory_mb + pool.waiting.memory_mb * min(1.0, started)
