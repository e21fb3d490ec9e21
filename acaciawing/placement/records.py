"""Records of tasks in the control stream."""

from dataclasses import dataclass
from enum import Enum

from acaciawing.leases import Fence
from acaciawing.records import record_type

# Competing placements are settled by the workers' epochs; the lease only keeps
# instances from doing the same work twice.
PLACEMENT_SUBJECT = "placement"


@dataclass(frozen=True)
class Resources:
    """An amount of each resource.

    Attributes:
        processors: Processor cores.
        memory_mb: Memory, in MB.
        accelerators: Accelerators.
    """

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Sums resource by resource."""
        return Resources(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Subtracts resource by resource; may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Whether each resource is at least the other's.

        >>> Resources(8, 1000, 1).covers(Resources(8, 1000, 0))
        True
        """
        return (
            self.processors >= other.processors
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


class Method(Enum):
    """How a task gives its resources to another one."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


@record_type("task-submitted", version=1)
@dataclass(frozen=True)
class TaskSubmitted:
    """A task that should run once.

    Attributes:
        task: Unique id.
        team: Team whose quota it counts against.
        kind: Name that tasks of equal behaviour share.
        size: Declared size.
        expected_s: Declared run time, in seconds.
        urgent: Whether it may stop or throttle lower classes.
        checkpointable: Whether it can go on where it was stopped.
        zones: Zones that it may run in; empty for all.
    """

    task: str
    team: str
    kind: str
    size: Resources
    expected_s: float
    urgent: bool = False
    checkpointable: bool = False
    zones: tuple[str, ...] = ()


@record_type("task-refused", version=1)
@dataclass(frozen=True)
class TaskRefused:
    """A task that can never run; it ends at once.

    Attributes:
        task: Id of the task.
        reasons: Every reason, for the submitter.
    """

    task: str
    reasons: tuple[str, ...]


@record_type("task-placed", version=1)
@dataclass(frozen=True)
class TaskPlaced:
    """A task is given to a worker, under a lease.

    Attributes:
        task: Id of the task.
        attempt: Number of the placement, from 1.
        worker: Id of the worker.
        worker_epoch: Placements on the worker that the writer saw.
        zone: Zone of the worker.
        rack: Rack of the worker.
        size: Size that was reckoned with.
        lease_s: Length of the lease from the append, in seconds.
        borrowed: Whether the team is above its quota with this task.
        fence: Lease of `PLACEMENT_SUBJECT`.
    """

    task: str
    attempt: int
    worker: str
    worker_epoch: int
    zone: str
    rack: str
    size: Resources
    lease_s: float
    borrowed: bool
    fence: Fence


@dataclass(frozen=True)
class TaskAttempt:
    """One placement of a task."""

    task: str
    attempt: int


@record_type("task-leases-renewed", version=1)
@dataclass(frozen=True)
class TaskLeasesRenewed:
    """Leases of tasks whose workers have reported them as running.

    Attributes:
        attempts: The placements.
        lease_s: Length from the append, in seconds.
        fence: Lease of `PLACEMENT_SUBJECT`.
    """

    attempts: tuple[TaskAttempt, ...]
    lease_s: float
    fence: Fence


@record_type("task-started", version=1)
@dataclass(frozen=True)
class TaskStarted:
    """The worker has started the task."""

    task: str
    attempt: int


@record_type("task-finished", version=1)
@dataclass(frozen=True)
class TaskFinished:
    """The task is done."""

    task: str
    attempt: int


@record_type("task-failed", version=1)
@dataclass(frozen=True)
class TaskFailed:
    """A placement ended without success.

    Attributes:
        task: Id of the task.
        attempt: Number of the placement.
        reason: ``LEASE_EXPIRED``, ``out-of-memory`` or a code of the worker.
    """

    task: str
    attempt: int
    reason: str


LEASE_EXPIRED = "lease-expired"


@record_type("tasks-cancelled", version=1)
@dataclass(frozen=True)
class TasksCancelled:
    """Tasks that nobody needs any more; one record for a whole burst."""

    tasks: tuple[str, ...]


@record_type("task-preempted", version=1)
@dataclass(frozen=True)
class TaskPreempted:
    """A task has to give way.

    Attributes:
        task: Id of the task.
        attempt: Number of its placement.
        method: How it gives way.
        reason: ``urgent``, ``quota`` or ``straggler``.
        fence: Lease of `PLACEMENT_SUBJECT`.
    """

    task: str
    attempt: int
    method: Method
    reason: str
    fence: Fence


@record_type("task-stopped", version=1)
@dataclass(frozen=True)
class TaskStopped:
    """The worker has confirmed that the placement runs no more."""

    task: str
    attempt: int
