"""One seed of the soak."""

import random
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from soak.checks import JobStory, broken_promises, settle
from soak.faults import Faults
from soak.proxy import Proxy, ProxyHost
from standins.platform_harness import PREFIX, PlatformHarness

# Submissions of one job before its caller gives up.
_ATTEMPTS = 6

# Longest time after the last fault until all accepted jobs are completed, in
# seconds: a takeover, the longest doubt about a lease, and the work itself.
_RECOVERY_S = 40.0

_READY_S = 30.0

# Time after which an accepted job has to be known, in seconds; the platform's
# bound `visible_ms`.
VISIBLE_S = 3.0


@dataclass(frozen=True)
class Size:
    """How much one seed plays.

    Attributes:
        instances: Processes of the job server.
        workers: Stand-in workers.
        clients: Callers at the same time.
        seconds: How long faults are played.
    """

    instances: int = 3
    workers: int = 4
    clients: int = 3
    seconds: float = 10.0


@dataclass(frozen=True)
class Result:
    """What a seed showed.

    Attributes:
        seed: The seed.
        jobs: Jobs that were handed in.
        accepted: Those of them that were accepted.
        faults: Faults in order, with steady times.
        broken: A line for each promise that was broken.
        logs: Folder with the logs of the processes.
    """

    seed: int
    jobs: int
    accepted: int
    faults: list[str]
    broken: list[str]
    logs: Path


class _Soak:
    def __init__(self, seed: int, size: Size) -> None:
        self.seed = seed
        self.size = size
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.host = ProxyHost()
        self.stores: dict[int, Proxy] = {}
        self.workers: dict[str, Proxy] = {}
        self.stories: dict[str, JobStory] = {}
        self.stopped = threading.Event()
        self.rig = PlatformHarness(
            self.folder, size.workers, run_s=0.2, route=self._route
        )

    def _route(self, instance: int, address: str) -> str:
        if instance:
            if instance not in self.stores:
                self.stores[instance] = self.host.proxy(address)
            return self.stores[instance].address
        if address not in self.workers:
            self.workers[address] = self.host.proxy(address)
        return self.workers[address].address

    def play(self) -> Result:
        numbers = [2 + n for n in range(self.size.instances)]
        try:
            for number in numbers:
                self.rig.start_instance(number)
            self._await_ready(numbers)
            faults = Faults(
                self.rig, self.stores, list(self.workers.values()), self.seed
            )
            clients = [
                threading.Thread(target=self._client, args=(n, numbers))
                for n in range(self.size.clients)
            ]
            for client in clients:
                client.start()
            faults.start()
            time.sleep(self.size.seconds)
            faults.stop()
            self.stopped.set()
            for client in clients:
                client.join()
            self._await_completion(numbers)
            settle(self.rig.workers, 2.0)
            broken = broken_promises(self.stories, self.rig.workers)
        finally:
            self.rig.close()
            self.host.close()
        accepted = sum(s.accepted for s in self.stories.values())
        return Result(
            self.seed,
            len(self.stories),
            accepted,
            faults.played,
            broken,
            self.folder,
        )

    def _await_ready(self, numbers: list[int]) -> None:
        until = time.monotonic() + _READY_S
        while time.monotonic() < until:
            if all(self.rig.is_ready(n) for n in numbers):
                return
            time.sleep(0.05)

    def _client(self, number: int, instances: list[int]) -> None:
        rng = random.Random(self.seed * 1000 + number)
        count = 0
        while not self.stopped.is_set():
            job = f"{self.seed % 2**16:04x}{number:04x}{count:08x}"
            count += 1
            story = self.stories.setdefault(job, JobStory())
            steps = [
                {"Count": rng.randint(1, 4), "Cpu": 1000, "EstimatedMs": 200}
                for _ in range(rng.randint(1, 2))
            ]
            if len(steps) > 1:
                steps[1]["DependsOn"] = [0]  # type: ignore[assignment]
            for _ in range(_ATTEMPTS):
                status = self.rig.submit(rng.choice(instances), job, *steps)
                story.statuses.append(status)
                story.accepted_at = time.monotonic()
                if status == 200 or self.stopped.is_set():
                    break
                time.sleep(rng.uniform(0.05, 0.5))
            if story.accepted and rng.random() < 0.5:
                self._ask(job, rng.choice(instances))
            time.sleep(rng.uniform(0.0, 0.2))

    def _ask(self, job: str, instance: int) -> str:
        asked_at = time.monotonic()
        status, body = self.rig.call(instance, "GET", PREFIX + job)
        story = self.stories[job]
        # A job may be unknown for a while after it was accepted.
        fresh = asked_at - story.accepted_at < VISIBLE_S
        if status == 410 and fresh:
            return ""
        state = "gone" if status == 410 else str(body.get("State", ""))
        if state:
            story.states.append(state)
        return state

    def _await_completion(self, instances: list[int]) -> None:
        until = time.monotonic() + _RECOVERY_S
        left = [job for job, story in self.stories.items() if story.accepted]
        while left and time.monotonic() < until:
            left = [
                job
                for number, job in enumerate(left)
                if self._ask(job, instances[number % len(instances)])
                != "completed"
            ]
            time.sleep(0.1)


def play(seed: int, size: Size) -> Result:
    """Plays one seed."""
    return _Soak(seed, size).play()
