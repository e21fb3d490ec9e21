"""Number of machines that each pool needs, from its load and the trend."""

import math
from collections import deque

from acaciawing.allocation import PoolDemand
from acaciawing.jobs.fleet import FleetSnapshot

# Factor on the expected load of a pool: subtasks don't use machines evenly, and
# some machines are slow.
HEADROOM_FACTOR = 1.2

# Minimum size of a pool, in machines and as a share of the fleet, whichever is
# larger: long-running subtasks use two machines, and the first subtasks of a
# load peak need room until more machines arrive.
MIN_MACHINES = 3
MIN_MACHINES_SHARE = 0.03

# A rising load is extrapolated by a lead time. The base applies to a load of up
# to three machines, where a single large job looks like a trend; the lead time
# grows with the load up to the maximum, the time that a move takes.
BASE_LEAD_S = 0.7
MAX_LEAD_S = 1.7

# The trend of a load is computed over this time.
TREND_WINDOW_S = 1.0

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
        self._loads: dict[str, deque[tuple[float, int]]] = {}
        self._surplus_since: dict[str, float] = {}
        self._active_since: dict[str, float] = {}

    def observe(self, snapshot: FleetSnapshot, now: float) -> None:
        """Records the current loads of all pools."""
        for service, pool in snapshot.pools.items():
            loads = self._loads.setdefault(service, deque())
            load = pool.used.cpu + pool.waiting.cpu
            loads.append((now, load))
            if load:
                self._active_since.setdefault(service, now)
            while now - loads[0][0] > TREND_WINDOW_S:
                loads.popleft()

    def expected_cpu(self, service: str, machine_cpu: float) -> float:
        """Returns the cpu load expected when an ordered machine would arrive.

        Args:
            service: The pool's service.
            machine_cpu: Cpu of a machine, in thousandths of a core.
        """
        loads = self._loads.get(service)
        if not loads:
            return 0.0
        first_at, first = loads[0]
        last_at, last = loads[-1]
        if last_at - first_at < TREND_WINDOW_S / 4:
            return last
        growth = (last - first) / (last_at - first_at)
        # The noise of a load of n machines grows with the square root of n, so
        # its relative size shrinks and a longer lead time is reliable.
        lead_scale = math.sqrt(max(1.0, last / machine_cpu / 3))
        return last + max(0.0, growth) * min(
            MAX_LEAD_S, BASE_LEAD_S * lead_scale
        )

    def demand(self, service: str, snapshot: FleetSnapshot) -> PoolDemand:
        """Returns the machines that a pool can use."""
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
        load = pool.used + pool.waiting
        needed_machines = max(
            self.expected_cpu(service, cpu) / cpu,
            load.memory_mb / max(1, memory_mb),
        )
        late_machines = max(
            pool.late.cpu / cpu, pool.late.memory_mb / max(1, memory_mb)
        )
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
