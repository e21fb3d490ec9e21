"""A small deployment on loopback: stand-ins, and job servers as processes."""

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(Path(__file__).resolve().parent))

from server import Endpoint  # noqa: E402
from store import Store  # noqa: E402
from worker import CPU, MEMORY_MB, Worker  # noqa: E402

HOST = "jobs.example"
PREFIX = "/visits/"
PREFIXES = {"next-visit": PREFIX, "care-home-roster": "/rosters/"}
SERVICES = ("visits", "routing")
RACK_SIZE = 4
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
CLIENT_TIMEOUT_S = 3.0
GRACE_S = 6.0
SETTLING_S = 2.0

# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """Node = "{name}"
Role = "jobserver"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "a"
Region = "r"
InternalPorts = [7060, 7075]
Seeds = []
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1500
Orders = "rpc"
[Zones]
a = "r"
[Listen]
Front = "{ip}:8624"
Ready = "{ip}:8622"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
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
[platform]
Address = "{store}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = {parts}
AppendMs = 2.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = {keep_s}
PartMb = 200
TtlMinMs = 1000
[Cloud]
Address = "{machines}"
RatePerS = 64.0
DutiesPerS = 64.0
"""


class CannotRunError(Exception):
    """The case could not be played."""


class Machines:
    """The platform's machines: a list, and no orders that succeed."""

    def __init__(self, workers):
        """Stores the workers."""
        self._workers = workers

    def handle(self, method, path, query, body, headers):
        """Answers one request."""
        del query, body, headers
        if method != "GET" or path != "/v1/machines":
            return 409, {"Reason": "busy"}
        rows = []
        for worker in self._workers:
            row = {
                "Machine": f"m-{worker.name}",
                "Pool": worker.service,
                "State": "up" if worker.is_up else "down",
                "Zone": "a",
                "Labels": ["c32", worker.rack],
                "Capacity": {"Cpu": CPU, "MemMb": MEMORY_MB},
            }
            if worker.is_up:
                row["Id"] = worker.name
            rows.append(row)
        return 200, {"Machines": rows, "NextToken": None}


class Deployment:
    """Stand-ins, job servers and clients of one case.

    Args:
        folder: Folder of the case; gets ``record.txt``.
        instances: Number of job servers.
        workers: Number of workers.
        keep_s: Age at which records of the store expire, in seconds.
        parts: Partitions of a topic.
        both_services: Whether each second rack is of the second service.
    """

    def __init__(
        self,
        folder,
        instances=3,
        workers=6,
        keep_s=300,
        parts=32,
        both_services=False,
    ):
        """Starts the stand-ins; `start_instance` starts the job servers."""
        self._record_file = (Path(folder) / "record.txt").open("w")
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        rng = random.SystemRandom()
        self._net = f"127.{rng.randint(10, 250)}.{rng.randint(1, 250)}"
        self._keep_s = keep_s
        self._parts = parts
        self._processes = {}
        self._temporary = tempfile.TemporaryDirectory()
        self._closing = threading.Event()
        self.jobs = {}
        self.version = 0
        self.store = Store(parts, keep_s)
        self.workers = [
            Worker(
                f"w-{n}",
                SERVICES[n // RACK_SIZE % len(SERVICES)]
                if both_services
                else SERVICES[0],
                f"r1-{n // RACK_SIZE}",
                self.find_step,
                self.note,
            )
            for n in range(workers)
        ]
        self._store_endpoint = Endpoint(
            f"{self._net}.1", 8621, self.store.handle
        )
        self._machines_endpoint = Endpoint(
            f"{self._net}.2", 8621, Machines(self.workers).handle
        )
        self._worker_endpoints = [
            Endpoint(f"{self._net}.{100 + n}", 8586, worker.handle)
            for n, worker in enumerate(self.workers)
        ]
        self._silent_since = {}
        self._sequences = dict.fromkeys(range(workers), 0)
        self.configure("next-visit")
        for number in range(workers):
            self._publish(number)
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        for number in range(1, instances + 1):
            self.start_instance(number)

    def note(self, text):
        """Writes a line to the record."""
        with self._lock:
            age_s = time.monotonic() - self._began_at
            self._record_file.write(f"{age_s:9.3f} {text}\n")
            self._record_file.flush()

    def close(self):
        """Ends all processes and stand-ins."""
        self._closing.set()
        for process in self._processes.values():
            process.kill()
            process.wait()
        for endpoint in [
            self._store_endpoint,
            self._machines_endpoint,
            *self._worker_endpoints,
        ]:
            endpoint.down()
        self._temporary.cleanup()

    def find_step(self, name):
        """Returns the step of a subtask by the subtask's name.

        A list under ``run_s`` holds the work of each subtask.
        """
        job, _, number, index = name.split(".")
        step = self.jobs[job][int(number)]
        run_s = step.get("run_s")
        if isinstance(run_s, list):
            return {**step, "run_s": run_s[int(index)]}
        return step

    def configure(self, *queues, **moved):
        """Writes the next version of the configuration.

        Args:
            queues: Names of its queues.
            moved: Services of queues that aren't of the first service, by the
                queue's name with underscores.
        """
        self.version += 1
        services = {name: SERVICES[0] for name in queues}
        services |= {k.replace("_", "-"): v for k, v in moved.items()}
        routes = [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": PREFIXES[name],
                "Service": service,
                "Priority": 0,
                "MaxAttempts": 4,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
                "TimeoutMs": 3000,
            }
            for name, service in services.items()
        ]
        value = {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {"Name": name, "RejectsOverload": True} for name in SERVICES
            ],
        }
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.note(f"operator: configuration {self.version}: {services}")

    def _publish(self, number):
        self._sequences[number] += 1
        worker = self.workers[number]
        self.store.put(
            "keyed.servers",
            worker.name,
            worker.entry(
                f"{self._net}.{100 + number}:8586", self._sequences[number]
            ),
        )

    def _send_heartbeats(self):
        while not self._closing.wait(HEARTBEAT_S):
            for number, worker in enumerate(self.workers):
                if worker.is_up:
                    self._publish(number)
                    continue
                silent_s = time.monotonic() - self._silent_since[number]
                if silent_s > SILENT_HEARTBEATS * HEARTBEAT_S:
                    self.store.put("keyed.servers", worker.name, b"")

    def crash_worker(self, number, for_s):
        """Crashes a worker, which starts again after a time."""
        self.note(f"worker w-{number} crashes, down for {for_s} s")
        self._silent_since[number] = time.monotonic()
        self.workers[number].crash()
        self._worker_endpoints[number].down()
        threading.Timer(for_s, self._restart_worker, [number]).start()

    def _restart_worker(self, number):
        if self._closing.is_set():
            return
        self._sequences[number] = 0
        self.workers[number].restart()
        self._worker_endpoints[number].up()
        self._publish(number)
        self.note(f"worker w-{number} is back")

    def _ip(self, number):
        return f"{self._net}.{10 + number}"

    def start_instance(self, number):
        """Starts a job server with the command of the deploy file."""
        path = Path(self._temporary.name) / f"local-{number}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"edge-a-{number}",
                ip=self._ip(number),
                store=self._store_endpoint.address,
                machines=self._machines_endpoint.address,
                keep_s=self._keep_s,
                parts=self._parts,
            )
        )
        log_path = os.environ.get("LOG_FOLDER", self._temporary.name)
        with (Path(log_path) / f"edge-{number}.log").open("ab") as log:
            self._processes[number] = subprocess.Popen(
                ["python3", "-m", "acaciawing.jobserver"],
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ACACIAWING_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.note(f"instance {number} started")

    def stop_instance(self, number):
        """Stops an instance with SIGTERM, and SIGKILL after the grace time."""
        process = self._processes.pop(number)
        self.note(f"instance {number}: SIGTERM")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.note(f"instance {number} ended, status {process.returncode}")

    def kill_instance(self, number):
        """Kills an instance with SIGKILL."""
        process = self._processes.pop(number)
        process.kill()
        process.wait()
        self.note(f"instance {number}: SIGKILL")

    def instances(self):
        """Numbers of the instances that run."""
        return sorted(self._processes)

    def check_alive(self):
        """Raises an error if an instance has ended by itself."""
        for number, process in self._processes.items():
            if process.poll() is not None:
                raise CannotRunError(f"instance {number} has ended")

    def holder_of_jobs(self):
        """Returns the instance that holds the partition with the jobs."""
        partitions = self.store.filled_partitions("jobs")
        for partition in partitions:
            member = self.store.holder("cells", partition) or ""
            for number in self._processes:
                if member.startswith(f"{self._ip(number)}:"):
                    return number
        raise CannotRunError("no holder")

    def wait_ready(self, timeout_s=20.0):
        """Waits until all instances are ready."""
        for number in self.instances():
            wait_for(lambda n=number: self._is_ready(n), timeout_s, "not ready")
        self.note("all instances are ready")

    def _is_ready(self, number):
        self.check_alive()
        try:
            url = f"http://{self._ip(number)}:8622/v1/readiness"
            return urllib.request.urlopen(url, timeout=1).status == 200
        except OSError:
            return False

    def call(self, number, method, path, body=None, quiet=False):
        """Sends a client's request; status 0 stands for no answer."""
        request = urllib.request.Request(
            f"http://{self._ip(number)}:8624{path}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={
                "Host": HOST,
                "Content-Type": "application/json",
                "Time-Budget": "3000",
            },
        )
        try:
            with urllib.request.urlopen(
                request, timeout=CLIENT_TIMEOUT_S
            ) as answer:
                status, content = answer.status, answer.read()
        except urllib.error.HTTPError as error:
            status, content = error.code, error.read()
        except OSError:
            status, content = 0, b""
        try:
            values = json.loads(content or b"{}")
        except ValueError:
            values = {}
        if not quiet:
            self.note(f"client: {method} {path} at {number}: {status} {values}")
        return status, values

    def submit(self, number, job, *steps, payload="text", quiet=False):
        """Submits a job; a step's work is in ``run_s``, in seconds."""
        self.jobs[job] = steps
        wire_steps = [
            {k: v for k, v in step.items() if k != "run_s"} for step in steps
        ]
        body = {"TaskSpec": payload, "Steps": wire_steps}
        return self.call(number, "POST", PREFIX + job, body, quiet)[0]

    def state(self, number, job, quiet=False):
        """Returns status and state of a job, as an instance tells them."""
        status, values = self.call(number, "GET", PREFIX + job, quiet=quiet)
        return status, values.get("State", "")

    def starts(self, job):
        """Returns name, run, time and worker of each start of a job."""
        return sorted(
            (
                (name, run, at, number)
                for number, worker in enumerate(self.workers)
                for name, run, at in list(worker.starts)
                if name.startswith(job)
            ),
            key=lambda start: start[2],
        )

    def ends(self, job):
        """Returns name, run, kind and time of each end of a job's runs."""
        return [
            end
            for worker in self.workers
            for end in list(worker.ends)
            if end[0].startswith(job)
        ]

    def worker_of(self, name):
        """Number of the worker on which a subtask runs; None for none."""
        for number, worker in enumerate(self.workers):
            if name in worker.running:
                return number
        return None


def wait_for(condition, timeout_s, description):
    """Waits until a condition holds, and returns its value."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        value = condition()
        if value or value == 0 and value is not False:
            return value
        time.sleep(0.02)
    raise CannotRunError(f"not within {timeout_s} s: {description}")


def has_trouble():
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, case, **options):
    """Plays a case and returns its exit status.

    Args:
        folder: Folder of the case.
        case: Plays it on a deployment; returns why the rule is broken, or an
            empty text if it held.
        options: Arguments of the deployment.
    """
    try:
        deployment = Deployment(folder, **options)
    except OSError as error:
        print(f"cannot run: {error}")
        return NOT_RUN
    try:
        deployment.wait_ready()
        # Until the cells have settled on the instances.
        time.sleep(SETTLING_S)
        reason = case(deployment)
        deployment.check_alive()
    except Exception as error:
        # An uncaught error would end the script like a broken rule.
        deployment.note(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        return NOT_RUN
    finally:
        deployment.close()
    deployment.note(f"broken: {reason}" if reason else "held")
    print(f"broken: {reason}" if reason else "held")
    return BROKEN if reason else HELD
