"""Emulates pools whose demand goes round in turns, with a planner's moves.

Time advances in rounds of the fleet's planner. A job is a number of equal
subtasks that all start at once or wait; each machine runs several.
"""

import random
from dataclasses import dataclass, field

from acaciawing.jobs import Resources
from acaciawing.jobs.fleet import (
    FleetSnapshot,
    MachineState,
    Move,
    PoolLoad,
    WorkerLoad,
)
from acaciawing.jobs.fleet_planner import FleetPlanner

_ROUND_S = 0.15
_MOVE_S = 1.5
_SIZE = Resources(32_000, 131_072)
_SUBTASK = Resources(4_500, 1_000)
_SUBTASKS = 8
_RUN_S = 1.2
OBJECTIVE_S = 2.6

# A job that ends later than this has no value.
EXPIRY_S = 3 * OBJECTIVE_S
_SPARE = "portal"


@dataclass
class _Job:
    service: str
    arrived_at: float
    waiting: int = _SUBTASKS
    running: int = 0

    def is_late(self, now: float) -> bool:
        return now + _RUN_S > self.arrived_at + OBJECTIVE_S

    def has_expired(self, now: float) -> bool:
        return now + _RUN_S > self.arrived_at + EXPIRY_S


@dataclass
class _Machine:
    name: str
    service: str = _SPARE
    up_at: float = 0.0
    runs: list[tuple[float, _Job]] = field(default_factory=list)

    @property
    def free(self) -> int:
        return _SIZE.cpu // _SUBTASK.cpu - len(self.runs)


class PoolEmulator:
    """Plays turns of demand against a fleet and its planner.

    Args:
        machines: Number of machines.
        peak_rate: Jobs a second of the service whose turn it is.
        turn_s: Duration of a turn, in seconds.
        tells_late_work: Whether the planner learns which work is late.

    Attributes:
        latencies_s: Time from arrival to completion of each job, by service.
        unfinished: Number of jobs that did not complete.
    """

    services = ("visits", "routing", "supplies", "accounts")

    def __init__(  # noqa: D107
        self,
        machines: int,
        peak_rate: float,
        turn_s: float,
        *,
        tells_late_work: bool = True,
    ) -> None:
        self._peak_rate = peak_rate
        self._turn_s = turn_s
        self._tells_late_work = tells_late_work
        self._rng = random.Random(11)
        self._planner = FleetPlanner()
        self._jobs: list[_Job] = []
        self._machines = [_Machine(f"m{n:03}") for n in range(machines)]
        for number, machine in enumerate(self._machines[: machines // 2]):
            machine.service = self.services[number % len(self.services)]
        self.latencies_s: dict[str, list[float]] = {
            s: [] for s in self.services
        }
        self.unfinished = 0

    def served_share(self, limit_s: float) -> float:
        """Returns the share of all jobs that ended within a time."""
        done = [t for times in self.latencies_s.values() for t in times]
        return sum(t <= limit_s for t in done) / (len(done) + self.unfinished)

    def play(self, seconds: float) -> None:
        """Plays a number of seconds from time 0."""
        now = 0.0
        while now < seconds:
            now += _ROUND_S
            self._arrive(now)
            self._finish_runs(now)
            self._place(now)
            self._move(now)
        self.unfinished = len(self._jobs)

    def _arrive(self, now: float) -> None:
        turn = int(now / self._turn_s) % len(self.services)
        for number, service in enumerate(self.services):
            rate = self._peak_rate * (1.0 if number == turn else 0.01)
            if self._rng.random() < (rate * _ROUND_S) % 1:
                self._jobs.append(_Job(service, now))
            for _ in range(int(rate * _ROUND_S)):
                self._jobs.append(_Job(service, now))

    def _finish_runs(self, now: float) -> None:
        for machine in self._machines:
            for ends_at, job in machine.runs:
                if ends_at <= now:
                    job.running -= 1
            machine.runs = [r for r in machine.runs if r[0] > now]
        for job in [j for j in self._jobs if not j.waiting and not j.running]:
            self.latencies_s[job.service].append(now - job.arrived_at)
            self._jobs.remove(job)

    def _place(self, now: float) -> None:
        evacuation = self._planner.evacuate(self._snapshot(now))
        for job in sorted(
            self._jobs, key=lambda j: (j.is_late(now), j.arrived_at)
        ):
            for machine in self._machines:
                if (
                    machine.service == job.service
                    and machine.up_at <= now
                    and f"w-{machine.name}" not in evacuation.workers
                ):
                    count = min(job.waiting, machine.free)
                    machine.runs += [(now + _RUN_S, job)] * count
                    job.waiting -= count
                    job.running += count

    def _move(self, now: float) -> None:
        by_name = {m.name: m for m in self._machines}
        for order in self._planner.decide(self._snapshot(now), now):
            assert isinstance(order, Move)
            self._planner.discard_order(order.machine)
            machine = by_name[order.machine]
            assert not machine.runs
            machine.service, machine.up_at = order.service, now + _MOVE_S

    def _snapshot(self, now: float) -> FleetSnapshot:
        states = tuple(
            MachineState(
                m.name,
                m.service,
                m.up_at <= now,
                "" if m.service == _SPARE else f"w-{m.name}",
                _SIZE,
                m.up_at > now,
            )
            for m in self._machines
        )
        workers = {
            f"w-{m.name}": WorkerLoad(
                len(m.runs), 0, len(m.runs) * _SUBTASK.cpu, contacted=True
            )
            for m in self._machines
            if m.service != _SPARE
        }
        pools = {service: self._load(service, now) for service in self.services}
        snapshot = FleetSnapshot(
            states, pools, workers, frozenset(), (), frozenset({_SPARE})
        )
        return snapshot._replace(
            evacuating=self._planner.evacuate(snapshot).workers
        )

    def _load(self, service: str, now: float) -> PoolLoad:
        jobs = [j for j in self._jobs if j.service == service]
        late = sum(j.waiting + j.running for j in jobs if j.has_expired(now))
        return PoolLoad(
            _SUBTASK.times(sum(j.waiting for j in jobs)),
            _SUBTASK.times(sum(j.running for j in jobs)),
            Resources(),
            _SUBTASK.times(late if self._tells_late_work else 0),
        )
