"""A small deployment on loopback: store, machines, workers and job servers.

The store is the project's own stand-in. Workers and job servers are separate
processes, the latter with the command of `deploy/system.toml`.
"""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import urllib3
from cheroot import wsgi

from standins.job_store import JobStore
from standins.server import Handler, json_response, wsgi_application

ROOT = Path(__file__).resolve().parents[2]

# Longest time that a case may take, in seconds.
MAX_PLAY_S = 110

PARTITIONS = 32
SERVICE = "visits"
HOST = "jobs.example"
PREFIX = "/next/"
ZONES = ("ljubljana-a", "maribor-b", "koper-c")

_FRONT, _READY, _CONTROL, _PEER, _STORE, _CLOUD, _ADVICE, _WORKER = (
    8624,
    8622,
    8623,
    7060,
    8621,
    8620,
    8619,
    7900,
)

_BOUNDS = """
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
HoldMaxMs = 10000
StopGraceMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
NoticeMs = 4500
MoveS = 1.5
MaintenanceS = 2
FencingRequired = true
LeaseMs = 3000
PaceMs = 100
HarmMs = 4000
"""


class CouldNotRunError(Exception):
    """The case could not be brought to the point that it tests."""


def trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        """Begins an empty record."""
        self._path = folder / "record.txt"
        self._began_at = time.monotonic()
        self._rows: list[tuple[float, str]] = []
        self._lock = threading.Lock()

    def write(self, text: str, at: float | None = None) -> None:
        """Adds a line, at the given or the present monotonic time."""
        with self._lock:
            self._rows.append((time.monotonic() if at is None else at, text))

    def save(self) -> None:
        """Writes all lines in order of time."""
        lines = [
            f"{at - self._began_at:9.3f}  {text}\n"
            for at, text in sorted(self._rows)
        ]
        self._path.write_text("".join(lines), "utf-8")


class WorkerProcess:
    """A machine's worker: a process that is killed and started again."""

    def __init__(self, deployment: "Deployment", number: int) -> None:
        """Starts its first life."""
        self.id = f"w-{number}"
        self._deployment = deployment
        self._number = number
        self._path = deployment.folder / f"{self.id}.events"
        self._process: subprocess.Popen[str] | None = None
        self.start()

    def start(self) -> None:
        """Starts a life of the worker."""
        deployment, number = self._deployment, self._number
        arguments = {
            "id": self.id,
            "address": f"{deployment.network}.{100 + number}:{_WORKER}",
            "store": deployment.store_address,
            "service": SERVICE,
            "zone": deployment.worker_zones[number],
            "rack": deployment.racks[number],
            "cpu": str(deployment.worker_cpu),
        }
        with self._path.open("a") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    str(Path(__file__).with_name("worker.py")),
                    *[f"--{k}={v}" for k, v in arguments.items()],
                ],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=subprocess.STDOUT,
                text=True,
            )

    def kill(self) -> None:
        """Crashes it; what runs there ends."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None
            row = {"t": time.monotonic(), "worker": self.id, "event": "crash"}
            with self._path.open("a") as log:
                log.write(json.dumps(row) + "\n")

    def command(self, line: str) -> None:
        """Sends it a command."""
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(line + "\n")
        self._process.stdin.flush()

    def events(self) -> list[dict[str, Any]]:
        """Returns what it has logged so far, in order."""
        if not self._path.exists():
            return []
        rows = self._path.read_text("utf-8").splitlines()
        return [json.loads(row) for row in rows if row.endswith("}")]


class AdviceService:
    """The service that gives tickets, one call at a time.

    Args:
        record: Record of the case.
        allowed: Workers that may run the steps of a job; all may run those of
            the jobs that are missing here.
    """

    DECIDE_S = 0.2
    PER_ITEM_S = 0.05
    VALID_S = 3.0

    def __init__(self, record: Record, allowed: dict[str, set[str]]) -> None:
        """Begins with no call waiting."""
        self._record = record
        self._allowed = allowed
        self._turn = threading.Lock()

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> tuple[int, dict[str, str], bytes]:
        """Handles a call; the policy of a step does not change."""
        del method, path, query, environ
        request = json.loads(body)
        step, workers = request["Step"], request["Workers"]
        with self._turn:
            time.sleep(self.DECIDE_S + self.PER_ITEM_S * len(workers))
        allowed = self._allowed.get(step.partition(".")[0], set(workers))
        good = [w for w in workers if w in allowed]
        text = f"advice on {step} of {', '.join(workers)}: {', '.join(good)}"
        self._record.write(text)
        now = time.monotonic()
        rows = [[w, f"{step}|{w}|{now}|{now + self.VALID_S}"] for w in good]
        valid_ms = round(self.VALID_S * 1000)
        return json_response(200, {"Good": rows, "ValidMs": valid_ms})


class Deployment:
    """A small deployment.

    Args:
        record: Record of the case.
        instances: Number of entry instances.
        workers: Number of workers.
        worker_cpu: Capacity of each, in thousandths of a core.
        advice: Service that gives the tickets for starts, if they need any.
        zones: Zones of the instances.
        worker_zones: Zone of each worker; the instances' in turn by default.
        racks: Rack of each worker; one for four workers by default.
    """

    def __init__(
        self,
        record: Record,
        instances: int = 3,
        workers: int = 4,
        worker_cpu: int = 32_000,
        advice: AdviceService | None = None,
        zones: Sequence[str] = ZONES,
        worker_zones: Sequence[str] = (),
        racks: Sequence[str] = (),
    ) -> None:
        """Starts everything, and waits until all instances are ready."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        rng = random.SystemRandom()
        self.network = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        self.store = JobStore(PARTITIONS)
        self.store_address = f"{self.network}.1:{_STORE}"
        self.worker_cpu = worker_cpu
        # Id of the worker on each machine; empty while it is down.
        self.machine_lives = {f"m-{n}": f"w-{n}" for n in range(workers)}
        self._servers: list[wsgi.Server] = []
        self._instances: dict[int, subprocess.Popen[bytes]] = {}
        self.workers: list[WorkerProcess] = []
        self._serve(1, _STORE, self.store.handle)
        self._serve(1, _CLOUD, self._list_machines)
        self._zones = zones
        self.racks = racks or [f"r1-{n // 4}" for n in range(workers)]
        self.worker_zones = worker_zones or [
            zones[n % len(zones)] for n in range(workers)
        ]
        self._advice = advice
        if advice is not None:
            self._serve(1, _ADVICE, advice.handle)
        self.publish_configuration(0, [PREFIX])
        self.numbers = [2 + n for n in range(instances)]
        try:
            self._start_processes(workers)
        except BaseException:
            self.close()
            raise

    def _start_processes(self, workers: int) -> None:
        """Starts workers and instances; returns when all are ready."""
        for number in range(workers):
            self.workers.append(WorkerProcess(self, number))
        for number in self.numbers:
            self.start_instance(number)
        for number in self.numbers:
            self.wait(lambda n=number: self._is_ready(n), "readiness", 30.0)

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for process in self._instances.values():
            process.kill()
            process.wait()
        for worker in self.workers:
            worker.kill()
        for server in self._servers:
            server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_instance(self, number: int) -> None:
        """Starts an entry instance with the command of the deploy file."""
        path = self.folder / f"local-{number}.toml"
        path.write_text(self._settings(number), "utf-8")
        deps = os.pathsep.join((str(ROOT), str(ROOT / "target" / "deps")))
        with (self.folder / f"entry-{number}.log").open("ab") as log:
            self._instances[number] = subprocess.Popen(
                ["python3", "-m", "acaciawing.jobserver"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.folder),
                    "PYTHONPATH": deps,
                    "ACACIAWING_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def instance(self, number: int) -> "subprocess.Popen[bytes]":
        """Returns the process of an instance."""
        return self._instances[number]

    def instance_log(self, number: int) -> list[dict[str, Any]]:
        """Returns the lines that an instance has logged."""
        path = self.folder / f"entry-{number}.log"
        rows = path.read_text("utf-8", "replace").splitlines()
        return [json.loads(row) for row in rows if row.endswith("}")]

    def holder(self) -> int:
        """Returns the instance that recovered the service's cell last."""
        found: tuple[int, int] = (-1, -1)
        for number in self._instances:
            for row in self.instance_log(number):
                if row.get("number") == "AW3102":
                    found = max(found, (int(row["fence"]), number))
        return found[1]

    def wait(
        self, condition: Callable[[], Any], what: str, limit_s: float
    ) -> Any:
        """Waits for a condition; raises `CouldNotRunError` after the limit."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            value = condition()
            if value:
                return value
            time.sleep(0.01)
        raise CouldNotRunError(f"not within {limit_s} s: {what}")

    def call(
        self, number: int, method: str, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Sends a client's request; status 0 means no answer."""
        sent_at = time.monotonic()
        try:
            answer = urllib3.request(
                method,
                f"http://{self.network}.{number}:{_FRONT}{path}",
                body=None if body is None else json.dumps(body).encode(),
                headers={
                    "Host": HOST,
                    "Time-Budget": "3000",
                    "Content-Type": "application/json",
                },
                retries=False,
                timeout=3.0,
            )
            status, data = answer.status, json.loads(answer.data or b"{}")
        except (urllib3.exceptions.HTTPError, OSError):
            status, data = 0, {}
        text = f"client: {method} {path} at entry-{number}"
        self.record.write(f"{text} sent", sent_at)
        self.record.write(f"{text} answered {status} {json.dumps(data)}")
        return status, data

    def submit(
        self,
        number: int,
        job: str,
        *steps: Any,
        spec: str,
        prefix: str = PREFIX,
    ) -> None:
        """Hands a job in; raises `CouldNotRunError` if it is not accepted."""
        body = {"TaskSpec": spec, "Steps": list(steps)}
        status = self.call(number, "POST", prefix + job, body)[0]
        if status != 200:
            raise CouldNotRunError(f"{job} was answered {status}")

    def state(self, number: int, job: str) -> str:
        """Returns the state of a job that an instance shows, or ''."""
        return str(self.call(number, "GET", PREFIX + job)[1].get("State", ""))

    def events(self) -> list[dict[str, Any]]:
        """Returns what all workers have logged, in order of time."""
        rows = [row for worker in self.workers for row in worker.events()]
        return sorted(rows, key=lambda row: float(row["t"]))

    def restart_workers(self, workers: list[WorkerProcess]) -> None:
        """Crashes workers that are cut off, and starts them again."""
        for worker in workers:
            self.machine_lives[f"m-{worker.id[2:]}"] = ""
            worker.command("reborn")
        for worker in workers:
            self.wait(
                lambda w=worker: any(
                    row.get("line") == "reborn" for row in w.events()
                ),
                f"the next life of {worker.id}",
                5.0,
            )
            self.machine_lives[f"m-{worker.id[2:]}"] = worker.id

    def runs(self) -> list["RunSeen"]:
        """Returns all runs that the workers have carried out."""
        return runs_of(self.events(), time.monotonic())

    def save_events(self) -> None:
        """Adds what the workers have logged to the record."""
        for row in self.events():
            fields = [
                f"{k}={v}" for k, v in row.items() if k not in ("t", "worker")
            ]
            self.record.write(f"{row['worker']}: {' '.join(fields)}", row["t"])

    def _is_ready(self, number: int) -> bool:
        try:
            url = f"http://{self.network}.{number}:{_READY}/v1/readiness"
            return urllib3.request("GET", url, retries=False).status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False

    def _serve(self, host: int, port: int, handler: Handler) -> None:
        server = wsgi.Server(
            (f"{self.network}.{host}", port),
            wsgi_application(handler),
            numthreads=96,
            request_queue_size=256,
        )
        server.shutdown_timeout = 1
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self._servers.append(server)

    def _list_machines(
        self, method: str, path: str, *_: Any
    ) -> tuple[int, dict[str, str], bytes]:
        if method != "GET" or path != "/v1/machines":
            return json_response(409, {"Reason": "busy"})
        rows = [
            {
                "Machine": machine,
                "Pool": SERVICE,
                "State": "up" if worker else "down",
                "Zone": self.worker_zones[int(machine[2:])],
                "Labels": ["kind-a", self.racks[int(machine[2:])]],
                "Capacity": {"Cpu": self.worker_cpu, "MemMb": 131072},
                "Id": worker or None,
            }
            for machine, worker in self.machine_lives.items()
        ]
        return json_response(200, {"Machines": rows, "NextToken": None})

    def publish_configuration(self, version: int, prefixes: list[str]) -> None:
        """Publishes a configuration with a queue for each prefix of paths."""
        routes = [
            {
                "Name": f"queue-{prefix.strip('/')}",
                "Host": HOST,
                "PathPrefix": prefix,
                "Service": SERVICE,
                "MaxAttempts": 2,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
                "TimeoutMs": 3000,
            }
            for prefix in prefixes
        ]
        if self._advice is not None:
            for route in routes:
                route["Advice"] = {
                    "DecideMs": self._advice.DECIDE_S * 1000,
                    "PerItemMs": self._advice.PER_ITEM_S * 1000,
                    "ValidMs": self._advice.VALID_S * 1000,
                }
        services = [{"Name": SERVICE, "RejectsOverload": True}]
        self.store.put(
            "keyed.op",
            "config",
            {"Version": version, "Routes": routes, "Services": services},
        )

    def _settings(self, number: int) -> str:
        ip = f"{self.network}.{number}"
        zone = self._zones[number % len(self._zones)]
        return f"""
Node = "edge-{zone}-{number}"
Role = "jobserver"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "{zone}"
Region = "slovenija"
InternalPorts = [{_PEER}, {_PEER + 15}]
Discovery = "platform"
HeartbeatMs = 1500
Orders = "rpc"
Advice = "{self.network}.1:{_ADVICE}"
[Listen]
Front = "{ip}:{_FRONT}"
Ready = "{ip}:{_READY}"
Control = "{ip}:{_CONTROL}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
{_BOUNDS}
[platform]
Address = "{self.store_address}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = {PARTITIONS}
keep_s = 300
TtlMinMs = 1000
[Cloud]
Address = "{self.network}.1:{_CLOUD}"
RatePerS = 64.0
DutiesPerS = 64.0
"""


class RunSeen:
    """A run as its worker has carried it out.

    Attributes:
        subtask: Its subtask.
        number: Its run number.
        worker: Id of the worker.
        started_at: Monotonic time of its start, in seconds.
        ended_at: Monotonic time of its end; now if it goes on.
        how: How it ended; ``crash`` with its worker, ``running`` if it goes
            on.
        noted: Whether its end was taken note of, with no lapse before that.
    """

    def __init__(self, row: dict[str, Any], now: float) -> None:
        """Begins with a logged start."""
        self.subtask, self.number = row["subtask"], row["run"]
        self.worker, self.started_at = row["worker"], row["t"]
        self.ended_at, self.how, self.noted = now, "running", False

    def __str__(self) -> str:
        """Describes it in a line."""
        return f"{self.subtask} run {self.number} on {self.worker}: {self.how}"


def runs_of(events: list[dict[str, Any]], now: float) -> list[RunSeen]:
    """Returns the runs that the events of all workers describe."""
    runs: list[RunSeen] = []
    newest: dict[tuple[str, str, int], RunSeen] = {}
    for row in events:
        if row["event"] == "start":
            run = RunSeen(row, now)
            runs.append(run)
            newest[row["worker"], row["subtask"], row["run"]] = run
        elif row["event"] == "crash":
            for run in runs:
                if run.worker == row["worker"] and run.how == "running":
                    run.how, run.ended_at = "crash", row["t"]
        elif row["event"] in ("end", "noted"):
            key = row["worker"], row["subtask"], row["run"]
            if row["event"] == "noted":
                newest[key].noted = True
            else:
                newest[key].how, newest[key].ended_at = row["how"], row["t"]
    return runs


def find_doubles(runs: list[RunSeen], slack_s: float = 0.05) -> list[str]:
    """Returns the breaks of the rule TWICE.

    Two runs of a subtask at the same time on workers that are up, or a start
    after a run that has ended as done, and whose end was taken note of.
    """
    by_subtask: dict[str, list[RunSeen]] = {}
    for run in runs:
        by_subtask.setdefault(run.subtask, []).append(run)
    found = []
    for same in by_subtask.values():
        for first in same:
            for second in same:
                if second is first or second.started_at < first.started_at:
                    continue
                overlap_s = (
                    min(first.ended_at, second.ended_at) - second.started_at
                )
                if overlap_s > slack_s:
                    found.append(
                        f"at the same time for {overlap_s:.2f} s: "
                        f"{first}; {second}"
                    )
                elif (
                    first.how == "done"
                    and first.noted
                    and second.started_at > first.ended_at + slack_s
                ):
                    found.append(f"again after its end: {first}; {second}")
    return found


def _stop_early(number: int, *_: object) -> None:
    raise CouldNotRunError(f"ended by {signal.Signals(number).name}")


def play(folder: Path, case: Callable[[Record], list[str]]) -> int:
    """Plays a case.

    Args:
        folder: Folder of the case.
        case: Plays the case and returns the breaks of its rule.

    Returns:
        1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    record = Record(folder)
    signal.signal(signal.SIGALRM, _stop_early)
    signal.signal(signal.SIGTERM, _stop_early)
    signal.alarm(MAX_PLAY_S)
    try:
        breaks = case(record)
    except Exception as error:  # Anything unexpected says nothing of the rule.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        record.save()
    for line in breaks[:10]:
        print(line)
    print(f"broken {len(breaks)} times" if breaks else "held")
    return 1 if breaks else 0
