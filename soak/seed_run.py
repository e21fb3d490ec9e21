"""Runs one seed of the soak test."""

import random
import tempfile
import threading
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from acaciawing.jobserver.membership import cell_of
from soak.checks import (
    FINAL_STATES,
    JobObservations,
    find_violations,
    wait_until_idle,
)
from soak.faults import MAX_FAULT_DURATION_S, MAX_PAUSE_S, FaultInjector
from soak.partings import MAX_PARTING_S, StorePartings
from soak.proxy import Fault, Proxy, ProxyHost
from standins.job_worker import DEADLY_PAYLOAD, SHRINK_GRACE_S
from standins.platform_harness import (
    PARTITIONS,
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

# Maximum pause between two other faults beside partings, so that there is mostly
# a next holder that gets jobs done.
_PAUSE_BESIDE_PARTINGS_S = 4.0

# Time between two looks at the state of any accepted job.
_WATCH_INTERVAL_S = 0.05


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
        parts_store: Whether instances are parted from the store and from
            workers for seconds.
    """

    instances: int = 3
    workers: int = 4
    clients: int = 3
    seconds: float = 10.0
    deadly_share: float = 0.03
    moves_queue: bool = False
    parts_store: bool = False


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


def _have_fault(proxies: list[Proxy]) -> bool:
    return any(proxy.fault is not Fault.NONE for proxy in proxies)


class _SeedRun:
    def __init__(self, seed: int, size: Size) -> None:
        self.seed = seed
        self.size = size
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.proxy_host = ProxyHost()
        self.stores: dict[int, Proxy] = {}
        self.workers: dict[str, Proxy] = {}
        # With `parts_store`, these proxies lie before the ones above.
        self.parted_stores: dict[int, Proxy] = {}
        self.links: dict[tuple[int, int], Proxy] = {}
        self.state_lock = threading.Lock()
        self.observations: dict[str, JobObservations] = {}
        self.stopped = threading.Event()
        self.harness = PlatformHarness(
            self.folder,
            size.workers,
            run_s=0.2,
            route=self._route,
            guarded=False,
            services=_SERVICES if size.moves_queue else _SERVICES[:1],
            own_links=size.parts_store,
        )
        self.harness.reset_worker = lambda number: list(self.workers.values())[
            number
        ].reset()
        for number, (worker, proxy) in enumerate(
            zip(self.harness.workers, self.workers.values(), strict=True)
        ):
            proxies = [proxy, *self._make_links(number, proxy)]
            worker.is_disturbed = partial(_have_fault, proxies)
            # A silent connection delays an order by up to a fault's duration.
            worker.shrink_grace_s = SHRINK_GRACE_S + MAX_FAULT_DURATION_S
            if size.parts_store:
                # A parted instance doesn't learn a new capacity.
                worker.shrink_grace_s += MAX_PARTING_S

    @property
    def instances(self) -> list[int]:
        """Numbers of the instances; 1 is the store's part of the address."""
        return [2 + n for n in range(self.size.instances)]

    def _make_links(self, worker: int, proxy: Proxy) -> list[Proxy]:
        """Starts a proxy to a worker for each instance."""
        if not self.size.parts_store:
            return []
        links = {
            (instance, worker): self.proxy_host.proxy(proxy.address)
            for instance in self.instances
        }
        self.links |= links
        return list(links.values())

    def _route(self, instance: int, address: str) -> str:
        if not instance:
            if address not in self.workers:
                self.workers[address] = self.proxy_host.proxy(address)
            return self.workers[address].address
        for worker, proxy in enumerate(self.workers.values()):
            if proxy.address == address:
                return self.links[instance, worker].address
        if instance not in self.stores:
            self.stores[instance] = self.proxy_host.proxy(address)
            if self.size.parts_store:
                self.parted_stores[instance] = self.proxy_host.proxy(
                    self.stores[instance].address
                )
        nearest = {**self.stores, **self.parted_stores}
        return nearest[instance].address

    def run(self) -> SeedResult:
        instances = self.instances
        try:
            for number in instances:
                self.harness.start_instance(number)
            self._await_ready(instances)
            fault_injector = FaultInjector(
                self.harness,
                self.stores,
                list(self.workers.values()),
                self.seed,
                _PAUSE_BESIDE_PARTINGS_S
                if self.size.parts_store
                else MAX_PAUSE_S,
            )
            clients = [
                threading.Thread(target=self._run_client, args=(n, instances))
                for n in range(self.size.clients)
            ]
            if self.size.moves_queue:
                clients.append(threading.Thread(target=self._move_queue))
            partings = self._make_partings(fault_injector)
            if self.size.parts_store:
                clients.append(threading.Thread(target=self._watch_jobs))
                partings.start()
            for client in clients:
                client.start()
            fault_injector.start()
            time.sleep(self.size.seconds)
            fault_injector.stop()
            if self.size.parts_store:
                partings.stop()
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
        self._write_runs(fault_injector.injected)
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

    def _write_runs(self, faults: list[str]) -> None:
        """Writes faults and runs beside the logs, to trace a violation."""
        # Logs have times of the wall clock.
        ahead_s = time.time() - time.monotonic()
        rows = [f"wall clock ahead of the monotonic one by {ahead_s:.3f} s"]
        rows += faults
        rows += [
            f"worker {number} {run.subtask} run {run.run}"
            f" {run.started_at:.3f} to {run.ended_at:.3f} {run.end_reason}"
            for number, worker in enumerate(self.harness.workers)
            for run in worker.ended_runs
        ]
        (self.folder / "runs.txt").write_text("\n".join(rows), "utf-8")

    def _make_partings(self, fault_injector: FaultInjector) -> StorePartings:
        # Independent of the other faults, which stay the same for a seed.
        return StorePartings(
            self.harness,
            self.instances,
            cell_of(SERVICE, PARTITIONS),
            self.parted_stores,
            self.links,
            self.seed + 2,
            fault_injector.record,
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
            observed.subtasks = sum(int(str(step["Count"])) for step in steps)
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

    def _watch_jobs(self) -> None:
        """Asks any instance for any accepted job, also after its end."""
        rng = random.Random(self.seed + 3)
        while not self.stopped.wait(_WATCH_INTERVAL_S):
            accepted = [
                job
                for job, observed in tuple(self.observations.items())
                if observed.accepted
            ]
            if accepted:
                self._query_state(
                    rng.choice(accepted), rng.choice(self.instances)
                )

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
            with self.state_lock:
                observed.record_state(state, requested_at, time.monotonic())
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
