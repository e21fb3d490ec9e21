"""The users' platform in small: stand-ins on loopback and real processes."""

import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3
from cheroot import wsgi

from standins.job_store import JobStore
from standins.job_worker import JobWorker
from standins.server import Handler, json_answer, wsgi_application

PARTITIONS = 8
SERVICE = "visits"
HOST = "jobs.example"
PREFIX = "/next/"

# Longest wait for a condition, in seconds; generous for a busy machine.
PATIENCE_S = 60.0

# A crashed worker is down for this time, in seconds, in which connections that
# are being reset come to their end.
_DOWN_S = 0.1

_STORE_PORT, _WORKER_PORT, _MACHINES_PORT = 7800, 7900, 7700
_FRONT, _READY, _PEER = 8624, 8622, 7060


def wait_for(condition: Callable[[], Any], what: str) -> Any:
    """Waits until a condition holds and returns its value."""
    until = time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not within {PATIENCE_S} s: {what}")


class PlatformHarness:
    """A store, workers, machines and any number of instances.

    Args:
        folder: For settings files and logs.
        workers: Number of workers.
        run_s: How long each subtask runs, in seconds.
        route: Returns the address at which instances reach a stand-in, by the
            instance's number (0 for all) and the stand-in's address.
    """

    def __init__(
        self,
        folder: Path,
        workers: int = 2,
        run_s: float = 0.05,
        route: Callable[[int, str], str] = lambda _, address: address,
    ):
        """Starts the stand-ins."""
        self._folder = folder
        self._route = route
        # An address of the loopback range of its own, so that tests that run
        # beside each other can use the same ports.
        pick = random.SystemRandom()
        self._net = f"127.{pick.randint(1, 250)}.{pick.randint(1, 250)}"
        self._servers: list[wsgi.Server] = []
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self.store = JobStore(PARTITIONS)
        self.workers = [JobWorker(run_s) for _ in range(workers)]
        self._serve(1, _STORE_PORT, self.store.handle)
        self._serve(1, _MACHINES_PORT, self._list_machines)
        for number, worker in enumerate(self.workers):
            self._serve(100 + number, _WORKER_PORT, worker.handle)
        self._publish()

    def close(self) -> None:
        """Ends the processes that the rig started, and the stand-ins."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        for server in self._servers:
            server.stop()

    def start_instance(self, number: int) -> None:
        """Starts an instance as a process of its own."""
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

    def kill_instance(self, number: int) -> None:
        """Ends an instance without warning."""
        process = self._processes.pop(number)
        process.kill()
        process.wait()

    def pause_instance(self, number: int) -> Callable[[], None]:
        """Stops a process; returns what lets it go on."""
        process = self._processes[number]
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def restart_worker(self, number: int, reset: Callable[[], None]) -> None:
        """A worker crashes and starts again, with nothing running.

        Args:
            number: Which one.
            reset: Ends all connections to it, as a crash does.
        """
        self.workers[number].down = True
        reset()
        time.sleep(_DOWN_S)
        self.workers[number].crash()
        self.workers[number].down = False
        self._list_worker(number)

    @property
    def running(self) -> list[int]:
        """Numbers of the instances whose processes were started."""
        return sorted(self._processes)

    def signal_instance(self, number: int, signum: int) -> int:
        """Sends a signal and waits for the end of the process."""
        process = self._processes.pop(number)
        process.send_signal(signum)
        return process.wait(PATIENCE_S)

    def call(
        self, number: int, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Calls an instance as a client; status 0 without an answer."""
        try:
            answer = urllib3.request(
                method,
                f"http://{self._net}.{number}:{_FRONT}{path}",
                body=None if body is None else json.dumps(body).encode(),
                headers={"Host": HOST, "Time-Budget": "3000"},
                retries=False,
                timeout=5.0,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, {}
        return answer.status, json.loads(answer.data or b"{}")

    def is_ready(self, number: int) -> bool:
        """Whether an instance tells the balancer that it is ready."""
        try:
            url = f"http://{self._net}.{number}:{_READY}/v1/readiness"
            return urllib3.request("GET", url, retries=False).status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False

    def state(self, number: int, job: str) -> str:
        """Asks an instance for the state of a job."""
        return str(self.call(number, "GET", PREFIX + job)[1].get("State", ""))

    def submit(self, number: int, job: str, *steps: dict[str, Any]) -> int:
        """Hands in a job."""
        body = {"TaskSpec": "payload", "Steps": list(steps)}
        return self.call(number, "POST", PREFIX + job, body)[0]

    def _serve(self, host: int, port: int, handler: Handler) -> None:
        server = wsgi.Server(
            (f"{self._net}.{host}", port),
            wsgi_application(handler),
            numthreads=24,
        )
        server.shutdown_timeout = 1
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self._servers.append(server)

    def _list_machines(self, *_: Any) -> tuple[int, dict[str, str], bytes]:
        rows = [
            {
                "Machine": f"m-{n}",
                "Pool": SERVICE,
                "State": "up",
                "Capacity": {"Cpu": 8000, "MemMb": 8192},
                "Id": f"w-{n}",
            }
            for n in range(len(self.workers))
        ]
        return json_answer(200, {"Machines": rows, "NextToken": None})

    def _publish(self) -> None:
        route = {
            "Name": "next-visit",
            "Host": HOST,
            "PathPrefix": PREFIX,
            "Service": SERVICE,
            "MaxAttempts": 2,
            "Stretch": 1.6,
            "TargetLatencyMs": 600,
            "TimeoutMs": 3000,
        }
        services = [{"Name": SERVICE, "RejectsOverload": True}]
        self.store.put(
            "keyed.op",
            "config",
            {"Version": 1, "Routes": [route], "Services": services},
        )
        for number in range(len(self.workers)):
            self._list_worker(number)

    def _list_worker(self, number: int) -> None:
        address = f"{self._net}.{100 + number}:{_WORKER_PORT}"
        self.store.put(
            "keyed.servers",
            f"w-{number}",
            {
                "Service": SERVICE,
                "Address": self._route(0, address),
                "Zone": "a",
                "State": "ready",
                "Capacity": {"Cpu": 8000, "MemMb": 8192},
                "Labels": ["a", "r1-1"],
                "born": self.workers[number].born,
            },
        )

    def _settings(self, number: int) -> str:
        ip = f"{self._net}.{number}"
        store = self._route(number, f"{self._net}.1:{_STORE_PORT}")
        return "\n".join(
            [
                f'Node = "entry-{number}"',
                f'Ip = "{ip}"',
                'Zone = "a"',
                f"InternalPorts = [{_PEER}, {_PEER + 15}]",
                "[Listen]",
                f'Front = "{ip}:{_FRONT}"',
                f'Ready = "{ip}:{_READY}"',
                "[platform]",
                f'Address = "{store}"',
                f"parts = {PARTITIONS}",
                "[Cloud]",
                f'Address = "{self._net}.1:{_MACHINES_PORT}"',
            ]
        )
