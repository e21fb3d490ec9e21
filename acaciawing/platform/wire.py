"""Decoding of jobs, configurations, workers and machines from the wire.

Each decoder returns what it read, or a `Finding` with the place of the fault.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from acaciawing.jobs import (
    Configuration,
    Incarnation,
    Job,
    Pool,
    Queue,
    Resources,
    Schedule,
    Step,
    Worker,
)

# Most subtasks of one job, so that a bad submission can't exhaust memory.
MAX_SUBTASKS = 100_000

_JOB_ID_LENGTH = 16
_HEX = frozenset("0123456789abcdef")


@dataclass(frozen=True)
class Finding:
    """A fault in received data.

    Attributes:
        place: Path of the field.
        fault: What is wrong with it.
    """

    place: str
    fault: str


class _WireStep(msgspec.Struct):
    """A step as clients write it; absent fields are 0, false or empty."""

    Count: int
    Cpu: int = 0
    MemMb: int = 0
    Gpu: int = 0
    EstimatedMs: int = 0
    DependsOn: list[int] = []
    SavesProgress: bool = False
    Gang: bool = False
    SameRack: bool = False
    Requirements: str = ""
    Affinity: str = ""
    AntiAffinity: int = 0
    Speculative: bool = False
    LongRunning: bool = False
    Image: str = ""
    TargetMs: int = 0
    Fills: bool = False
    MayMiss: int = 0


class _WireJob(msgspec.Struct):
    TaskSpec: str
    Steps: list[_WireStep]
    RepeatCount: int = 0
    FirstMs: int = 0
    IntervalMs: int = 0


class _WireRoute(msgspec.Struct):
    Name: str
    Host: str
    PathPrefix: str
    Service: str
    Priority: int = 0
    MaxAttempts: int = 1
    Stretch: float = 1.0
    TargetLatencyMs: float = 0
    TimeoutMs: float = 3000
    Advice: dict[str, Any] | None = None


class _WireService(msgspec.Struct):
    Name: str
    RejectsOverload: bool = True
    Spare: bool = False


class _WireConfiguration(msgspec.Struct):
    Version: int
    Routes: list[_WireRoute]
    Services: list[_WireService]


class _WireCapacity(msgspec.Struct):
    Cpu: int = 0
    MemMb: int = 0
    Gpu: int = 0


class _WireWorker(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    State: str
    Capacity: _WireCapacity
    Labels: list[str]
    born: int
    ColdLeftMs: float = 0


class _WireMachine(msgspec.Struct):
    Machine: str
    Pool: str
    State: str
    Zone: str = ""
    Labels: list[str] = []
    Capacity: _WireCapacity = msgspec.field(default_factory=_WireCapacity)
    Id: str | None = None


class _WireWave(msgspec.Struct):
    Wave: int
    Machines: list[str]
    DurationS: float
    MaxCount: int


@dataclass(frozen=True)
class Wave:
    """The operator's order to maintain machines.

    Attributes:
        number: Its number.
        machines: Ids of the machines.
        duration_s: Time in which all have to be maintained, in seconds.
        max_down: Most machines down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_down: int


@dataclass(frozen=True)
class Machine:
    """A machine as the platform lists it.

    Attributes:
        id: Its id.
        service: Pool that it belongs to.
        state: ``up``, ``moving``, ``upkeep`` or ``down``.
        zone: Availability zone.
        rack: Label of its rack.
        capacity: Amounts that it has in all.
        worker: Id of the worker that runs on it; empty while it is off.
    """

    id: str
    service: str
    state: str
    zone: str
    rack: str
    capacity: Resources
    worker: str


_JOB = msgspec.json.Decoder(_WireJob, strict=False)
_CONFIGURATION = msgspec.json.Decoder(_WireConfiguration, strict=False)
_WORKER = msgspec.json.Decoder(_WireWorker)
_WAVE = msgspec.json.Decoder(_WireWave, strict=False)


def is_job_id(text: str) -> bool:
    """Whether a path's last part is an id of a job.

    >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("5c0e")
    (True, False)
    """
    return len(text) == _JOB_ID_LENGTH and set(text) <= _HEX


def decode_job(body: bytes, job_id: str, queue: str) -> Job | Finding:
    """Decodes a submission."""
    try:
        wire = _JOB.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Finding("body", str(error))
    total = 0
    for number, step in enumerate(wire.Steps):
        if step.Count < 1:
            return Finding(f"Steps[{number}].Count", "must be at least 1")
        if any(not 0 <= d < number for d in step.DependsOn):
            return Finding(
                f"Steps[{number}].DependsOn", "must name earlier steps"
            )
        total += step.Count
    if not wire.Steps or total > MAX_SUBTASKS:
        return Finding("Steps", f"must have 1 to {MAX_SUBTASKS} subtasks")
    if wire.RepeatCount and wire.IntervalMs < 0:
        return Finding("IntervalMs", "must not be negative")
    return Job(
        job_id,
        queue,
        wire.TaskSpec,
        tuple(_step(s) for s in wire.Steps),
        Schedule(wire.RepeatCount, wire.FirstMs, wire.IntervalMs),
    )


def _step(wire: _WireStep) -> Step:
    return Step(
        count=wire.Count,
        request=Resources(wire.Cpu, wire.MemMb, wire.Gpu),
        estimated_ms=wire.EstimatedMs,
        depends_on=tuple(wire.DependsOn),
        saves_progress=wire.SavesProgress,
        gang=wire.Gang,
        same_rack=wire.SameRack,
        required_label=wire.Requirements,
        data_rack=wire.Affinity,
        max_per_worker=wire.AntiAffinity,
        speculative=wire.Speculative,
        lasting=wire.LongRunning,
        image=wire.Image,
        target_ms=wire.TargetMs,
        fills=wire.Fills,
        may_miss=wire.MayMiss,
    )


def decode_configuration(body: bytes) -> Configuration | Finding:
    """Decodes a version of the operator's configuration."""
    try:
        wire = _CONFIGURATION.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Finding("op/config", str(error))
    queues = {
        route.Name: Queue(
            name=route.Name,
            host=route.Host,
            path_prefix=route.PathPrefix,
            service=route.Service,
            priority=route.Priority,
            max_attempts=route.MaxAttempts,
            stretch=route.Stretch,
            objective_ms=int(route.TargetLatencyMs),
            timeout_ms=int(route.TimeoutMs),
            advice=route.Advice is not None,
        )
        for route in wire.Routes
    }
    pools = {
        s.Name: Pool(s.Name, s.RejectsOverload, s.Spare) for s in wire.Services
    }
    return Configuration(wire.Version, queues, pools)


def decode_worker(worker: str, body: bytes) -> Worker | Finding:
    """Decodes a worker's entry; its key is the worker's id."""
    try:
        wire = _WORKER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Finding(f"servers/{worker}", str(error))
    if wire.State not in ("ready", "draining"):
        return Finding(f"servers/{worker}.State", f"unknown: {wire.State}")
    host, _, port = wire.Address.rpartition(":")
    if not host or not port.isdecimal():
        return Finding(f"servers/{worker}.Address", "not ip:port")
    return Worker(
        incarnation=Incarnation(worker, wire.born),
        service=wire.Service,
        address=wire.Address,
        zone=wire.Zone,
        draining=wire.State == "draining",
        capacity=_capacity(wire.Capacity),
        labels=frozenset(wire.Labels),
        rack=wire.Labels[1] if len(wire.Labels) > 1 else "",
        cold_ms=int(wire.ColdLeftMs),
    )


def decode_wave(key: str, body: bytes) -> Wave | Finding:
    """Decodes an order for a wave."""
    try:
        wire = _WAVE.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Finding(f"op/{key}", str(error))
    return Wave(
        wire.Wave,
        tuple(wire.Machines),
        wire.DurationS,
        max(1, wire.MaxCount),
    )


def decode_machines(rows: list[Any]) -> Iterator[Machine | Finding]:
    """Decodes rows of the machines' list."""
    for number, row in enumerate(rows):
        try:
            wire = msgspec.convert(row, _WireMachine)
        except msgspec.ValidationError as error:
            yield Finding(f"Machines[{number}]", str(error))
            continue
        yield Machine(
            wire.Machine,
            wire.Pool,
            wire.State,
            wire.Zone,
            wire.Labels[1] if len(wire.Labels) > 1 else "",
            _capacity(wire.Capacity),
            wire.Id or "",
        )


def _capacity(wire: _WireCapacity) -> Resources:
    return Resources(wire.Cpu, wire.MemMb, wire.Gpu)
