"""Runs one seed of the soak test."""

import random
import tempfile
import threading
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from soak.checks import (
    FINAL_STATES,
    JobObservations,
    find_violations,
    wait_until_idle,
)
from soak.faults import MAX_FAULT_DURATION_S, FaultInjector
from soak.proxy import Fault, Proxy, ProxyHost
from standins.job_worker import DEADLY_PAYLOAD, SHRINK_GRACE_S
from standins.platform_harness import (
    PREFIX,
    RUN_CPU,
    SERVICE,
    PlatformHarness,
)

# Number of submissions of a job after which its caller gives up.
_MAX_SUBMISSIONS = 6

# Maximum time after the last fault until all accepted jobs are completed: a
# takeover, the longest time for which a lease is unconfirmed, and the run time.
_RECOVERY_TIMEOUT_S = 40.0

_READY_TIMEOUT_S = 30.0

# Services between which the queue moves, and range of the time between two moves.
_SERVICES = (SERVICE, "routing")
_MOVE_INTERVAL_S = (0.3, 2.0)

# Time after which every instance has to know an accepted job; the platform's
# bound `visible_ms`.
MAX_VISIBILITY_DELAY_S = 3.0


@dataclass(frozen=True)
class Size:
    """Size of the run of one seed.

    Attributes:
        instances: Number of job server processes.
        workers: Number of stand-in workers.
        clients: Number of concurrent callers.
        seconds: Time for which faults are injected, in seconds.
        deadly_share: Share of jobs with a subtask that crashes its workers.
        moves_queue: Whether the queue moves between two services, each with
            half of the workers.
    """

    instances: int = 3
    workers: int = 4
    clients: int = 3
    seconds: float = 10.0
    deadly_share: float = 0.03
    moves_queue: bool = False


@dataclass(frozen=True)
class SeedResult:
    """Result of the run of one seed.

    Attributes:
        seed: Seed of the run.
        jobs: Number of submitted jobs.
        accepted: Number of jobs that were accepted.
        faults: Injected faults in order, with monotonic times.
        violations: A message for each violated guarantee.
        logs: Folder with the logs of the processes.
    """

    seed: int
    jobs: int
    accepted: int
    faults: list[str]
    violations: list[str]
    logs: Path


def _has_fault(proxy: Proxy) -> bool:
    return proxy.fault is not Fault.NONE


class _SeedRun:
    def __init__(self, seed: int, size: Size) -> None:
        self.seed = seed
        self.size = size
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.proxy_host = ProxyHost()
        self.stores: dict[int, Proxy] = {}
        self.workers: dict[str, Proxy] = {}
        self.observations: dict[str, JobObservations] = {}
        self.stopped = threading.Event()
        self.harness = PlatformHarness(
            self.folder,
            size.workers,
            run_s=0.2,
            route=self._route,
            guarded=False,
            services=_SERVICES if size.moves_queue else _SERVICES[:1],
        )
        self.harness.reset_worker = lambda number: list(self.workers.values())[
            number
        ].reset()
        for worker, proxy in zip(
            self.harness.workers, self.workers.values(), strict=True
        ):
            worker.is_disturbed = partial(_has_fault, proxy)
            # A silent connection delays an order by up to a fault's duration.
            worker.shrink_grace_s = SHRINK_GRACE_S + MAX_FAULT_DURATION_S

    def _route(self, instance: int, address: str) -> str:
        if instance:
            if instance not in self.stores:
                self.stores[instance] = self.proxy_host.proxy(address)
            return self.stores[instance].address
        if address not in self.workers:
            self.workers[address] = self.proxy_host.proxy(address)
        return self.workers[address].address

    def run(self) -> SeedResult:
        # The number is the last part of the address; 1 is the store's.
        instances = [2 + n for n in range(self.size.instances)]
        try:
            for number in instances:
                self.harness.start_instance(number)
            self._await_ready(instances)
            fault_injector = FaultInjector(
                self.harness,
                self.stores,
                list(self.workers.values()),
                self.seed,
            )
            clients = [
                threading.Thread(target=self._run_client, args=(n, instances))
                for n in range(self.size.clients)
            ]
            if self.size.moves_queue:
                clients.append(threading.Thread(target=self._move_queue))
            for client in clients:
                client.start()
            fault_injector.start()
            time.sleep(self.size.seconds)
            fault_injector.stop()
            self.stopped.set()
            for client in clients:
                client.join()
            self._await_completion(instances)
            wait_until_idle(self.harness.workers, 2.0)
            violations = find_violations(
                self.observations, self.harness.workers
            )
        finally:
            self.harness.close()
            self.proxy_host.close()
        accepted = sum(
            observed.accepted for observed in self.observations.values()
        )
        return SeedResult(
            self.seed,
            len(self.observations),
            accepted,
            fault_injector.injected,
            violations,
            self.folder,
        )

    def _await_ready(self, instances: list[int]) -> None:
        until = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until:
            if all(self.harness.is_ready(n) for n in instances):
                return
            time.sleep(0.05)

    def _run_client(self, number: int, instances: list[int]) -> None:
        rng = random.Random(self.seed * 1000 + number)
        count = 0
        while not self.stopped.is_set():
            job = f"{self.seed % 2**16:04x}{number:04x}{count:08x}"
            count += 1
            observed = self.observations.setdefault(
                job,
                JobObservations(deadly=rng.random() < self.size.deadly_share),
            )
            payload = DEADLY_PAYLOAD if observed.deadly else "payload"
            steps = [
                {"Count": rng.randint(1, 4), "Cpu": RUN_CPU, "EstimatedMs": 200}
                for _ in range(rng.randint(1, 2))
            ]
            if len(steps) > 1:
                steps[1]["DependsOn"] = [0]  # type: ignore[assignment]
            for _ in range(_MAX_SUBMISSIONS):
                status = self.harness.submit(
                    rng.choice(instances), job, *steps, payload=payload
                )
                observed.statuses.append(status)
                observed.last_submission_at = time.monotonic()
                if status == 200 or self.stopped.is_set():
                    break
                time.sleep(rng.uniform(0.05, 0.5))
            if observed.accepted and rng.random() < 0.5:
                self._query_state(job, rng.choice(instances))
            time.sleep(rng.uniform(0.0, 0.2))

    def _move_queue(self) -> None:
        """Moves the queue to the other service, again and again."""
        # Independent of the faults, which stay the same for a seed.
        rng = random.Random(self.seed + 1)
        position = 0
        while not self.stopped.wait(rng.uniform(*_MOVE_INTERVAL_S)):
            position += 1
            self.harness.configure(_SERVICES[position % len(_SERVICES)])

    def _query_state(self, job: str, instance: int) -> str:
        requested_at = time.monotonic()
        status, body = self.harness.call(instance, "GET", PREFIX + job)
        observed = self.observations[job]
        # An accepted job may be unknown to an instance for a bounded time.
        recently_accepted = (
            requested_at - observed.last_submission_at < MAX_VISIBILITY_DELAY_S
        )
        if status == 410 and recently_accepted:
            return ""
        state = "gone" if status == 410 else str(body.get("State", ""))
        if state:
            observed.states.append(state)
        return state

    def _await_completion(self, instances: list[int]) -> None:
        until = time.monotonic() + _RECOVERY_TIMEOUT_S
        unfinished = [
            job
            for job, observed in self.observations.items()
            if observed.accepted
        ]
        while unfinished and time.monotonic() < until:
            unfinished = [
                job
                for number, job in enumerate(unfinished)
                if self._query_state(job, instances[number % len(instances)])
                not in FINAL_STATES
            ]
            time.sleep(0.1)


def run_seed(seed: int, size: Size) -> SeedResult:
    """Runs one seed and checks the guarantees."""
    return _SeedRun(seed, size).run()
