"""Jobs as customers submit them, and the queues and workers that run them.

A job is a graph of steps; a step consists of equal subtasks. All types are
immutable and independent of the platform; `acaciawing.platform` decodes its
messages into them.
"""

from typing import NamedTuple

import msgspec

from acaciawing.decoding import parse_digits


class SubtaskId(NamedTuple):
    """Identifier of a subtask.

    Attributes:
        job: Id of its job.
        occurrence: Repetition of a scheduled job, from 0.
        step: Number of its step, from 0.
        index: Number within the step, from 0.

    >>> str(SubtaskId("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """

    job: str
    occurrence: int
    step: int
    index: int  # type: ignore[assignment]  # Hides a tuple method not used.

    def __str__(self) -> str:
        """Returns the parts joined by dots."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


def parse_subtask_id(text: str) -> SubtaskId | None:
    """Parses the dotted form of a subtask's id.

    Returns:
        The id, or None if the text is not one.

    >>> parse_subtask_id("5c0e.0.1.17")
    SubtaskId(job='5c0e', occurrence=0, step=1, index=17)
    >>> parse_subtask_id("5c0e.x.1.17") is None
    True
    """
    parts = text.split(".")
    if len(parts) != 4:
        return None
    occurrence, step, index = (parse_digits(part) for part in parts[1:])
    if occurrence is None or step is None or index is None:
        return None
    return SubtaskId(parts[0], occurrence, step, index)


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """Amounts of cpu, memory and accelerators.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.

    >>> Resources(500, 256) + Resources(1000, 256, 1)
    Resources(cpu=1500, memory_mb=512, accelerators=1)
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Returns the sum of each amount."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Returns the difference of each amount."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Returns each amount multiplied by `count`."""
        return Resources(
            self.cpu * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def covers(self, other: "Resources") -> bool:
        """Whether each amount is at least that of `other`."""
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Equal subtasks of a job.

    Attributes:
        count: Number of subtasks.
        request: Resources that each subtask needs.
        estimated_ms: Rough estimate of a subtask's run time.
        depends_on: Earlier steps whose subtasks must all be done first.
        saves_progress: Whether subtasks write checkpoints.
        gang: Whether the subtasks make progress only while all of them run.
        same_rack: Whether a gang runs faster on a single rack.
        required_label: Label that the worker must have; empty for none.
        data_rack: Rack on which a subtask runs faster; empty for any.
        max_per_worker: Limit of subtasks of this step on a worker; 0 for none.
        speculative: Whether copies of a subtask may run at the same time.
        lasting: Whether subtasks run until the job is cancelled.
        image: Program that the subtasks run; equal images behave alike.
        target_ms: Latency objective of a long-running subtask; 0 for none.
        fills: Whether the subtasks are best-effort: they use only cpu that
            other runs leave free.
        may_miss: Disruption budget: number of subtasks that the scheduler may
            interrupt at the same time.
    """

    count: int
    request: Resources = Resources()
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources that a subtask reserves on its worker."""
        if not self.fills:
            return self.request
        return Resources(0, self.request.memory_mb, self.request.accelerators)


class Schedule(msgspec.Struct, frozen=True, omit_defaults=True):
    """Repetitions of a job; `repeat_count` 0 is one immediate occurrence.

    Attributes:
        repeat_count: Number of occurrences.
        first_ms: Unix time at which occurrence 0 is due, in milliseconds.
        interval_ms: Time between occurrences, in milliseconds.
    """

    repeat_count: int = 0
    first_ms: int = 0
    interval_ms: int = 0


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of the operators' configuration.

    It is stored with each job, as an array: new fields come last and have a
    default.

    Attributes:
        name: Its name.
        host: Host name of the clients' requests.
        path_prefix: Path prefix of the clients' requests.
        service: Pool of workers that run its subtasks.
        priority: 0 is the most urgent.
        max_attempts: Failed runs after which a subtask fails for good.
        stretch: Factor on a job's critical path in its latency objective.
        objective_ms: Constant part of the latency objective.
        timeout_ms: Time limit of a client's request.
        advice: Whether starts need a ticket of the advice service.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 3000
    advice: bool = False


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submitted job.

    Attributes:
        id: Chosen by the client; a repeated submission has the same id.
        queue: Name of the queue that accepted it.
        payload: Passed to each subtask unchanged.
        steps: The steps, in the client's order.
        schedule: Repetitions.
        accepted_by: The queue as it was when it accepted the job; None if that
            is not recorded.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()
    accepted_by: Queue | None = None


class Pool(msgspec.Struct, frozen=True):
    """The workers of a service.

    Attributes:
        service: Its name.
        rejects_overload: Whether its workers refuse runs that don't fit.
        spare: Whether its machines are turned off until moved to another pool.
    """

    service: str
    rejects_overload: bool = True
    spare: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """A version of the operators' configuration.

    Attributes:
        version: Rises with each change.
        queues: Queues by name.
        pools: Pools by service.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]

    def route(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of `path` on `host`."""
        best: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


class Incarnation(NamedTuple):
    """A worker as identified by one of its starts.

    Attributes:
        worker: Id of the worker; a restarted worker may keep it.
        born_ms: Unix time of its start, in milliseconds.
    """

    worker: str
    born_ms: int


class Worker(msgspec.Struct, frozen=True):
    """A worker as the platform lists it.

    Attributes:
        incarnation: Its id and start.
        service: Pool it belongs to.
        address: ``ip:port`` of its interface.
        zone: Availability zone.
        draining: Whether it accepts no new runs.
        capacity: Its total resources.
        labels: Labels for its kind and its rack.
        rack: The label for its rack; empty without one.
        cold_ms: Remaining time of reduced speed after its start.
    """

    incarnation: Incarnation
    service: str
    address: str
    zone: str
    draining: bool
    capacity: Resources
    labels: frozenset[str]
    rack: str = ""
    cold_ms: int = 0
