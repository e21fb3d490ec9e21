"""Decoders for jobs, configurations, workers, machines and waves.

Each decoder returns the decoded object, or a `Finding` that locates the fault.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from acaciawing.decoding import (
    DECODE_ERRORS,
    MAX_WHOLE_NUMBER,
    is_address,
)
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

# Maximum for all occurrences of one job, so that a submission can't exhaust
# memory.
MAX_SUBTASKS = 100_000

# Maximum length of a worker's id, which is sent in a header.
_MAX_ID_LENGTH = 200

# Maximum of a resource; a larger one is a fault of its sender.
_MAX_AMOUNT = 1e12

# Not always whole: a worker may offer a share of its full capacity.
_Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]

_WholeAmount = Annotated[int, msgspec.Meta(ge=0, le=int(_MAX_AMOUNT))]
_Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
_SignedMs = Annotated[
    int, msgspec.Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)
]

_JOB_ID_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdef")


@dataclass(frozen=True)
class Finding:
    """A fault in received data.

    Attributes:
        place: Path of the faulty field.
        fault: Description of the fault.
    """

    place: str
    fault: str


class _WireStep(msgspec.Struct):
    """A step as clients submit it; absent fields are 0, false or empty."""

    Count: _Whole
    Cpu: _WholeAmount = 0  # In thousandths of a core.
    MemMb: _WholeAmount = 0
    Gpu: _WholeAmount = 0
    EstimatedMs: _WholeAmount = 0
    DependsOn: list[int] = []
    SavesProgress: bool = False
    Gang: bool = False
    SameRack: bool = False
    Requirements: str = ""  # Label that the worker must have.
    Affinity: str = ""  # Rack that holds the data.
    AntiAffinity: _Whole = 0  # Maximum of them on a worker; 0 is no limit.
    Speculative: bool = False
    LongRunning: bool = False  # Runs until the job is cancelled.
    Image: str = ""
    TargetMs: _WholeAmount = 0  # Latency objective of a long-running subtask.
    Fills: bool = False  # Best-effort: uses only CPU left by others.
    MayMiss: _Whole = 0  # Disruption budget: maximum of subtasks away at once.


class _WireJob(msgspec.Struct):
    TaskSpec: str  # Payload of each subtask.
    Steps: list[_WireStep]
    RepeatCount: _Whole = 0
    FirstMs: _SignedMs = 0
    IntervalMs: _SignedMs = 0


class _WireRoute(msgspec.Struct):
    """A queue; the platform calls it a route."""

    Name: str
    Host: str
    PathPrefix: str
    Service: str
    Priority: int = 0
    MaxAttempts: int = 1
    Stretch: float = 1.0  # Allowed factor on the critical path of a job.
    TargetLatencyMs: _Amount = 0  # In addition to the stretched critical path.
    TimeoutMs: _Amount = 3000
    Advice: dict[str, Any] | None = None  # Present if starts need a ticket.


class _WireService(msgspec.Struct):
    """A pool; the platform calls it a service."""

    Name: str
    RejectsOverload: bool = False  # False values may be left out.
    Spare: bool = False


class _WireConfiguration(msgspec.Struct):
    Version: int
    Routes: list[_WireRoute]
    Services: list[_WireService]


class _WireCapacity(msgspec.Struct):
    Cpu: _Amount = 0  # In thousandths of a core.
    MemMb: _Amount = 0
    Gpu: _Amount = 0


class _WireWorker(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    State: str
    Capacity: _WireCapacity
    Labels: list[str]  # The second label is the rack.
    born: _Whole  # Start time of the incarnation, in milliseconds.
    ColdLeftMs: float = 0  # Remaining warm-up time.


class _WireMachine(msgspec.Struct):
    Machine: str
    Pool: str  # Name of a service.
    State: str
    Zone: str = ""
    Labels: list[str] = []  # The second label is the rack.
    Capacity: _WireCapacity = msgspec.field(default_factory=_WireCapacity)
    Id: str | None = None  # Id of the worker on the machine.


class _WireWave(msgspec.Struct):
    Wave: _Whole
    Machines: list[str]
    DurationS: _Amount
    MaxCount: _Whole  # Maximum number of machines down at the same time.


@dataclass(frozen=True)
class Wave:
    """An operator's order to maintain a set of machines.

    Attributes:
        number: Number of the wave.
        machines: Ids of the machines.
        duration_s: Time within which all machines have to be maintained.
        max_down: Maximum number of machines down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_down: int


@dataclass(frozen=True)
class Machine:
    """A machine as the platform lists it.

    Attributes:
        id: Id of the machine.
        service: Service whose pool the machine belongs to.
        state: ``up``, ``moving``, ``upkeep`` (maintenance) or ``down``.
        zone: Availability zone.
        rack: Label of the rack.
        capacity: Total resources.
        worker: Id of the worker on the machine; empty while it is off.
    """

    id: str
    service: str
    state: str
    zone: str
    rack: str
    capacity: Resources
    worker: str


_JOB_DECODER = msgspec.json.Decoder(_WireJob, strict=False)
_CONFIGURATION_DECODER = msgspec.json.Decoder(_WireConfiguration, strict=False)
_WORKER_DECODER = msgspec.json.Decoder(_WireWorker)
_WAVE_DECODER = msgspec.json.Decoder(_WireWave, strict=False)


def is_job_id(text: str) -> bool:
    """Whether a path segment is a job id: 16 hexadecimal digits in lower case.

    >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("5c0e")
    (True, False)
    """
    return len(text) == _JOB_ID_LENGTH and set(text) <= _HEX_DIGITS


def decode_job(body: bytes, job_id: str, queue: str) -> Job | Finding:
    """Decodes a submitted job."""
    try:
        wire = _JOB_DECODER.decode(body)
    except DECODE_ERRORS as error:
        return Finding("body", str(error))
    total = 0
    for number, step in enumerate(wire.Steps):
        if step.Count < 1:
            return Finding(f"Steps[{number}].Count", "must be at least 1")
        if any(not 0 <= d < number for d in step.DependsOn):
            return Finding(
                f"Steps[{number}].DependsOn", "must refer to earlier steps"
            )
        total += step.Count
    if not wire.Steps or total * max(1, wire.RepeatCount) > MAX_SUBTASKS:
        return Finding("Steps", f"must have 1 to {MAX_SUBTASKS} subtasks")
    if wire.RepeatCount and wire.IntervalMs < 0:
        return Finding("IntervalMs", "must not be negative")
    return Job(
        job_id,
        queue,
        wire.TaskSpec,
        tuple(_decode_step(s) for s in wire.Steps),
        Schedule(wire.RepeatCount, wire.FirstMs, wire.IntervalMs),
    )


def _decode_step(wire: _WireStep) -> Step:
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
        wire = _CONFIGURATION_DECODER.decode(body)
    except DECODE_ERRORS as error:
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
    """Decodes a worker's registration; its key is the worker id."""
    try:
        wire = _WORKER_DECODER.decode(body)
    except DECODE_ERRORS as error:
        return Finding(f"servers/{worker}", str(error))
    if not _is_header_value(worker):
        return Finding(f"servers/{worker}", "not an id that a header can hold")
    if wire.State not in ("ready", "draining"):
        return Finding(f"servers/{worker}.State", f"unknown: {wire.State}")
    if not is_address(wire.Address, lowest_port=1):
        return Finding(
            f"servers/{worker}.Address",
            "must have the form ip:port, with a port up to 65535",
        )
    return Worker(
        incarnation=Incarnation(worker, wire.born),
        service=wire.Service,
        address=wire.Address,
        zone=wire.Zone,
        draining=wire.State == "draining",
        capacity=_decode_capacity(wire.Capacity),
        labels=frozenset(wire.Labels),
        rack=wire.Labels[1] if len(wire.Labels) > 1 else "",
        cold_ms=int(min(max(0.0, wire.ColdLeftMs), _MAX_AMOUNT)),
    )


def _is_header_value(text: str) -> bool:
    return (
        0 < len(text) <= _MAX_ID_LENGTH
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )


def decode_wave(key: str, body: bytes) -> Wave | Finding:
    """Decodes an operator's order for a wave."""
    try:
        wire = _WAVE_DECODER.decode(body)
    except DECODE_ERRORS as error:
        return Finding(f"op/{key}", str(error))
    return Wave(
        wire.Wave,
        tuple(wire.Machines),
        wire.DurationS,
        max(1, wire.MaxCount),
    )


def decode_machines(rows: list[Any]) -> Iterator[Machine | Finding]:
    """Decodes the rows of a machine list."""
    for number, row in enumerate(rows):
        try:
            wire = msgspec.convert(row, _WireMachine)
        except (msgspec.ValidationError, RecursionError) as error:
            yield Finding(f"Machines[{number}]", str(error))
            continue
        yield Machine(
            wire.Machine,
            wire.Pool,
            wire.State,
            wire.Zone,
            wire.Labels[1] if len(wire.Labels) > 1 else "",
            _decode_capacity(wire.Capacity),
            wire.Id or "",
        )


def _decode_capacity(wire: _WireCapacity) -> Resources:
    return Resources(int(wire.Cpu), int(wire.MemMb), int(wire.Gpu))
