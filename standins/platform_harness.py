"""Test harness: stand-ins for the platform, and job servers as processes."""

import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import urllib3
from cheroot import wsgi

from standins.job_store import JobStore
from standins.job_worker import JobWorker
from standins.server import Handler, json_response, make_server
from standins.store_view import StoreView

PARTITIONS = 8
SERVICE = "visits"
HOST = "jobs.example"
PREFIX = "/next/"

# Maximum wait for a condition; leaves room for a busy machine.
WAIT_TIMEOUT_S = 60.0

# A crashed worker stays down for this time, so that connections that are being
# reset are closed before it starts again.
_WORKER_DOWNTIME_S = 0.1

# A process that was told to stop is killed after this time; the platform's bound
# `GraceS`.
_STOP_GRACE_S = 6.0

# Full capacity of a worker, and capacity that each run uses, in thousandths of a
# core.
_WORKER_CPU = 8000
RUN_CPU = 1000
FULL_RUNS = _WORKER_CPU // RUN_CPU

_STORE_PORT, _WORKER_PORT, _MACHINES_PORT = 7800, 7900, 7700
_FRONT_PORT, _READY_PORT, _PEER_PORT = 8624, 8622, 7060

# Group in which the instances are members.
_GROUP = "cells"

# Number of threads of a stand-in, and of the store's view of one instance, which
# serves many late requests when a silent link passes them on.
_THREADS = 24
_VIEW_THREADS = 48

# Number of connections to one instance that clients keep open.
_CLIENT_CONNECTIONS = 16


def wait_for(condition: Callable[[], Any], description: str) -> Any:
    """Waits until a condition is true and returns its value."""
    until = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not within {WAIT_TIMEOUT_S} s: {description}")


class PlatformHarness:
    """Runs a store, workers, machines and any number of job server instances.

    Args:
        folder: Folder for settings files and logs.
        workers: Number of workers.
        run_s: Run time of each subtask, in seconds.
        guarded: Whether the configuration says that workers refuse what does
            not fit.
        services: Services, to which the workers belong by turns; the queue is
            the first one's.
        route: Returns the address at which an instance reaches a stand-in,
            given the number of the instance (0 for all instances) and the
            address of the stand-in.
        own_links: Whether each instance reaches each worker at an address of
            its own: the `route` of the one that all instances share.

    Attributes:
        views: The store as an instance sees it, by instance number; only with
            `own_links`.
        reset_worker: Resets all connections to a worker when a subtask has
            crashed it; given its index.
    """

    def __init__(
        self,
        folder: Path,
        workers: int = 2,
        run_s: float = 0.05,
        route: Callable[[int, str], str] = lambda _, address: address,
        *,
        guarded: bool = True,
        services: tuple[str, ...] = (SERVICE,),
        own_links: bool = False,
    ):
        """Starts the stand-ins."""
        self._folder = folder
        self._route = route
        # A random part of the loopback range, so that tests that run at the
        # same time can use the same ports.
        rng = random.SystemRandom()
        self._network = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        self._servers: list[wsgi.Server] = []
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self.store = JobStore(PARTITIONS)
        self._own_links = own_links
        self.views: dict[int, StoreView] = {}
        # Clients keep their connections to an instance until it is gone.
        self._http = urllib3.PoolManager(
            maxsize=_CLIENT_CONNECTIONS, retries=False
        )
        self._guarded = guarded
        self._services = services
        self._version = 0
        self.reset_worker: Callable[[int], None] = lambda _: None
        self.workers = [
            JobWorker(run_s, partial(self._crash_worker, number))
            for number in range(workers)
        ]
        self._cpu = [_WORKER_CPU] * workers
        self._serve(1, _STORE_PORT, self.store.handle)
        self._serve(1, _MACHINES_PORT, self._serve_machine_list)
        for number, worker in enumerate(self.workers):
            self._serve(100 + number, _WORKER_PORT, worker.handle)
        self.configure(services[0])
        for number in range(workers):
            self._publish_worker(number)

    @property
    def store_address(self) -> str:
        """Address of the store, ``ip:port``."""
        return f"{self._network}.1:{_STORE_PORT}"

    def close(self) -> None:
        """Kills the processes that were started and stops the stand-ins."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        self._http.clear()
        for server in self._servers:
            server.stop()

    def start_instance(self, number: int) -> None:
        """Starts an instance as a separate process."""
        path = self._folder / f"node-{number}.toml"
        path.write_text(self._settings(number), "utf-8")
        log = (self._folder / f"node-{number}.log").open("ab")
        self._processes[number] = subprocess.Popen(
            [sys.executable, "-m", "acaciawing.jobserver"],
            env={**os.environ, "ACACIAWING_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill_instance(self, number: int) -> bool:
        """Kills an instance with SIGKILL; returns whether it was running."""
        process = self._processes.pop(number, None)
        if process is None:
            return False
        process.kill()
        process.wait()
        return True

    def pause_instance(self, number: int) -> Callable[[], None] | None:
        """Suspends an instance.

        Returns:
            A function that resumes it; None if it isn't running.
        """
        process = self._processes.get(number)
        if process is None:
            return None
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def restart_worker(self, number: int, reset: Callable[[], None]) -> None:
        """Crashes a worker and starts it again, with nothing running.

        Args:
            number: Index of the worker.
            reset: Resets all connections to the worker, as a crash does.
        """
        self.workers[number].down = True
        reset()
        time.sleep(_WORKER_DOWNTIME_S)
        self.workers[number].crash()
        self.workers[number].down = False
        self._publish_worker(number)

    def resize_worker(self, number: int, runs: int) -> None:
        """Changes the capacity of a worker, which reports it at once.

        Args:
            number: Index of the worker.
            runs: New capacity, in runs of `RUN_CPU` each.
        """
        self.workers[number].resize(runs)
        self._cpu[number] = runs * RUN_CPU
        self._publish_worker(number)

    def _crash_worker(self, number: int) -> None:
        self.restart_worker(number, partial(self.reset_worker, number))

    @property
    def running_instances(self) -> list[int]:
        """Numbers of the instances that were started and not yet ended."""
        return sorted(self._processes)

    def signal_instance(self, number: int, signal_number: int) -> int | None:
        """Sends a signal and waits for the exit status of the process.

        A process that has not ended in time, such as a paused one, is killed.

        Returns:
            The exit status; None if the instance isn't running.
        """
        process = self._processes.pop(number, None)
        if process is None:
            return None
        process.send_signal(signal_number)
        try:
            return process.wait(_STOP_GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def call(
        self, number: int, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Sends a client request to an instance; status 0 means no answer."""
        try:
            answer = self._http.request(
                method,
                f"http://{self._network}.{number}:{_FRONT_PORT}{path}",
                body=None if body is None else json.dumps(body).encode(),
                headers={"Host": HOST, "Time-Budget": "3000"},
                timeout=5.0,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, {}
        return answer.status, json.loads(answer.data or b"{}")

    def is_ready(self, number: int) -> bool:
        """Whether an instance reports to the balancer that it is ready."""
        try:
            url = f"http://{self._network}.{number}:{_READY_PORT}/v1/readiness"
            return urllib3.request("GET", url, retries=False).status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False

    def state(self, number: int, job: str) -> str:
        """Returns the state of a job as an instance reports it."""
        return str(self.call(number, "GET", PREFIX + job)[1].get("State", ""))

    def submit(
        self,
        number: int,
        job: str,
        *steps: dict[str, Any],
        payload: str = "payload",
    ) -> int:
        """Submits a job and returns the HTTP status."""
        body = {"TaskSpec": payload, "Steps": list(steps)}
        return self.call(number, "POST", PREFIX + job, body)[0]

    def holder(self, cell: int) -> int | None:
        """Returns the instance that the store names as a cell's holder."""
        member = self.store.owner(_GROUP, cell)
        ip = member.partition(":")[0]
        return int(ip.rpartition(".")[2]) if ip else None

    def _serve(
        self, host: int, port: int, handler: Handler, threads: int = _THREADS
    ) -> None:
        server = make_server(f"{self._network}.{host}", port, handler, threads)
        server.shutdown_timeout = 1
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self._servers.append(server)

    def _serve_machine_list(self, *_: Any) -> tuple[int, dict[str, str], bytes]:
        rows = [
            {
                "Machine": f"m-{n}",
                "Pool": self._service(n),
                "State": "up",
                "Capacity": {"Cpu": _WORKER_CPU, "MemMb": 8192},
                "Id": f"w-{n}",
            }
            for n in range(len(self.workers))
        ]
        return json_response(200, {"Machines": rows, "NextToken": None})

    def configure(self, service: str | None) -> None:
        """Publishes the next version of the configuration.

        Args:
            service: Service of the queue; None removes the queue.
        """
        self._version += 1
        route = {
            "Name": "next-visit",
            "Host": HOST,
            "PathPrefix": PREFIX,
            "Service": service,
            "MaxAttempts": 2,
            "Stretch": 1.6,
            "TargetLatencyMs": 600,
            "TimeoutMs": 3000,
        }
        services = [
            {"Name": name, "RejectsOverload": self._guarded}
            for name in self._services
        ]
        self.store.put(
            "keyed.op",
            "config",
            {
                "Version": self._version,
                "Routes": [route] if service else [],
                "Services": services,
            },
        )

    def _publish_worker(self, number: int) -> None:
        address = f"{self._network}.{100 + number}:{_WORKER_PORT}"
        self.store.put(
            "keyed.servers",
            f"w-{number}",
            {
                "Service": self._service(number),
                "Address": self._route(0, address),
                "Zone": "a",
                "State": "ready",
                "Capacity": {"Cpu": self._cpu[number], "MemMb": 8192},
                "Labels": ["a", "r1-1"],
                "born": self.workers[number].born,
            },
        )

    def _service(self, worker: int) -> str:
        return self._services[worker % len(self._services)]

    def _store_address_of(self, number: int) -> str:
        if not self._own_links:
            return self.store_address
        port = _STORE_PORT + number
        if number not in self.views:
            view = StoreView(self.store, partial(self._route, number))
            self.views[number] = view
            self._serve(1, port, view.handle, _VIEW_THREADS)
        return f"{self._network}.1:{port}"

    def _settings(self, number: int) -> str:
        ip = f"{self._network}.{number}"
        store = self._route(number, self._store_address_of(number))
        return "\n".join(
            [
                f'Node = "entry-{number}"',
                f'Ip = "{ip}"',
                'Zone = "a"',
                f"InternalPorts = [{_PEER_PORT}, {_PEER_PORT + 15}]",
                "[Listen]",
                f'Front = "{ip}:{_FRONT_PORT}"',
                f'Ready = "{ip}:{_READY_PORT}"',
                "[platform]",
                f'Address = "{store}"',
                f"parts = {PARTITIONS}",
                "[Cloud]",
                f'Address = "{self._network}.1:{_MACHINES_PORT}"',
            ]
        )
