"""How many machines each pool needs, by its load and where that is going."""

import math
from collections import deque

from acaciawing.jobs.fleet import FleetSnapshot

# A pool is given machines for this many times its expected load: subtasks
# don't fill machines evenly, and some machines are slow.
HEADROOM_FACTOR = 1.2

# Machines that a pool keeps: lasting work is on two, and the first work of a
# peak needs room until others arrive. In a large fleet, a share of it.
MIN_MACHINES = 3
MIN_MACHINES_SHARE = 0.03

# A rising load is followed ahead by this time, in seconds: at a load of three
# machines, where single large jobs look like a rise, and at most, which is the
# time that a move takes.
BASE_LEAD_S = 0.7
MAX_LEAD_S = 1.7

# The trend of a load is taken over this time, in seconds.
TREND_WINDOW_S = 1.0

# A pool keeps a surplus for this time, in seconds; moving a machine away and
# back costs as much as 2.3 s of it at work.
SURPLUS_RETENTION_S = 2.0


# A pool does not shrink before its work has been watched for this time, in
# seconds: what it needs is not known yet.
MIN_OBSERVATION_S = 6.0


class PoolSizing:
    """Follows the loads of all pools."""

    def __init__(self) -> None:
        """Starts without a reading."""
        self._loads: dict[str, deque[tuple[float, int]]] = {}
        self._surplus_since: dict[str, float] = {}
        self._active_since: dict[str, float] = {}

    def observe(self, snapshot: FleetSnapshot, now: float) -> None:
        """Takes a reading of all loads."""
        for service, pool in snapshot.pools.items():
            loads = self._loads.setdefault(service, deque())
            load = pool.used.cpu + pool.waiting.cpu
            loads.append((now, load))
            if load:
                self._active_since.setdefault(service, now)
            while now - loads[0][0] > TREND_WINDOW_S:
                loads.popleft()

    def expected_cpu(self, service: str, machine_cpu: float) -> float:
        """Returns the load by the time at which a machine could arrive.

        Args:
            service: The pool's service.
            machine_cpu: What a machine has, in thousandths of a core.
        """
        loads = self._loads.get(service)
        if not loads:
            return 0.0
        first_at, first = loads[0]
        last_at, last = loads[-1]
        if last_at - first_at < TREND_WINDOW_S / 4:
            return last
        growth = (last - first) / (last_at - first_at)
        # The noise of a load of n machines grows with the root of n.
        lead_scale = math.sqrt(max(1.0, last / machine_cpu / 3))
        return last + max(0.0, growth) * min(
            MAX_LEAD_S, BASE_LEAD_S * lead_scale
        )

    def target_size(self, service: str, snapshot: FleetSnapshot) -> int:
        """Returns the number of machines that a pool should have."""
        pool = snapshot.pools.get(service)
        sizes = [
            m.capacity
            for m in snapshot.machines
            if m.capacity.cpu and m.service == service
        ] or [m.capacity for m in snapshot.machines if m.capacity.cpu]
        if pool is None or not sizes:
            return 0
        cpu = sum(size.cpu for size in sizes) / len(sizes)
        memory_mb = sum(size.memory_mb for size in sizes) / len(sizes)
        load = pool.used + pool.waiting
        needed_machines = max(
            self.expected_cpu(service, cpu) / cpu,
            load.memory_mb / max(1, memory_mb),
        )
        minimum = max(
            MIN_MACHINES, round(MIN_MACHINES_SHARE * len(snapshot.machines))
        )
        return max(minimum, math.ceil(needed_machines * HEADROOM_FACTOR))

    def may_shrink(self, service: str, surplus: int, now: float) -> bool:
        """Whether a pool has had a surplus for long enough."""
        observed_s = now - self._active_since.get(service, now)
        if surplus <= 0 or observed_s < MIN_OBSERVATION_S:
            self._surplus_since.pop(service, None)
            return False
        return (
            now - self._surplus_since.setdefault(service, now)
            >= SURPLUS_RETENTION_S
        )
