"""Records of tasks in the control stream."""

from dataclasses import dataclass
from enum import Enum

from acaciawing.leases import Fence
from acaciawing.records import record_type

# Subject of the lease under which tasks are placed. Conflicting placements are
# resolved by the workers' epochs; the lease only avoids duplicate work by
# several instances.
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
        """Returns whether each resource is at least the other's.

        >>> Resources(8, 1000, 1).covers(Resources(8, 1000, 0))
        True
        """
        return (
            self.processors >= other.processors
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


class Method(Enum):
    """How a task is made to release resources."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


@record_type("task-submitted", version=1)
@dataclass(frozen=True)
class TaskSubmitted:
    """Submits a task that is to run once.

    Attributes:
        task: Unique id.
        team: Team whose quota it uses.
        kind: Name shared by tasks that behave alike.
        size: Declared size.
        expected_s: Declared run time, in seconds.
        urgent: Whether it may preempt tasks that are not urgent.
        checkpointable: Whether it can resume from a checkpoint.
        zones: Zones in which it may run; empty means all.
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
    """Ends a waiting task that no worker can ever run.

    Attributes:
        task: Id of the task.
        reasons: Every reason, for the submitter.
    """

    task: str
    reasons: tuple[str, ...]


@record_type("task-placed", version=1)
@dataclass(frozen=True)
class TaskPlaced:
    """Assigns a task to a worker, under a lease.

    Attributes:
        task: Id of the task.
        attempt: Number of the placement, from 1.
        worker: Id of the worker.
        worker_epoch: `Load.epoch` of the worker when the writer decided.
        zone: Zone of the worker.
        rack: Rack of the worker.
        size: Size that the decision used.
        lease_s: Duration of the lease from the append, in seconds.
        borrowed: Whether this task takes the team above its quota.
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
    """Renews the leases of tasks that their workers report as running.

    Attributes:
        attempts: The placements.
        lease_s: Duration from the append, in seconds.
        fence: Lease of `PLACEMENT_SUBJECT`.
    """

    attempts: tuple[TaskAttempt, ...]
    lease_s: float
    fence: Fence


@record_type("task-started", version=1)
@dataclass(frozen=True)
class TaskStarted:
    """Records that the worker has started the task."""

    task: str
    attempt: int


@record_type("task-finished", version=1)
@dataclass(frozen=True)
class TaskFinished:
    """Records that the task has succeeded."""

    task: str
    attempt: int


@record_type("task-failed", version=1)
@dataclass(frozen=True)
class TaskFailed:
    """Records that a placement ended without success.

    Attributes:
        task: Id of the task.
        attempt: Number of the placement.
        reason: `LEASE_EXPIRED`, ``worker-ended``, ``stopped-by-worker``,
            ``out-of-memory`` or another error code from the worker.
    """

    task: str
    attempt: int
    reason: str


LEASE_EXPIRED = "lease-expired"


@record_type("tasks-cancelled", version=1)
@dataclass(frozen=True)
class TasksCancelled:
    """Cancels a batch of tasks with one record."""

    tasks: tuple[str, ...]


@record_type("task-preempted", version=1)
@dataclass(frozen=True)
class TaskPreempted:
    """Preempts a placed or running task.

    Attributes:
        task: Id of the task.
        attempt: Number of its placement.
        method: How it releases its resources.
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
    """Records the worker's confirmation that the placement has stopped."""

    task: str
    attempt: int
