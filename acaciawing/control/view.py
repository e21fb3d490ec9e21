"""Inputs of a control round besides the state, and its result."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from acaciawing.control.move_cost import DEFAULT_MOVE_COST_S
from acaciawing.leases import Fence, HeldLease, may_act
from acaciawing.lending import DemandHistory
from acaciawing.platform import (
    ListedInstance,
    Listing,
    ReportedTask,
    TaskStart,
)

DRAIN = "drain"
REBOOT = "reboot"
RETURN = "return"
STATUS = "status"

START_TASK = "start-task"
CHECKPOINT_TASK = "checkpoint-task"
THROTTLE_TASK = "throttle-task"
STOP_TASK = "stop-task"
TASKS = "tasks"
TASK_OPERATIONS = frozenset(
    {START_TASK, CHECKPOINT_TASK, THROTTLE_TASK, STOP_TASK, TASKS}
)


@dataclass(frozen=True)
class WorkerCall:
    """A call to the worker interface, made under a lease.

    Attributes:
        operation: `DRAIN`, `REBOOT`, `RETURN`, `STATUS`, or one on tasks:
            `START_TASK`, `CHECKPOINT_TASK`, `THROTTLE_TASK`, `STOP_TASK` or
            `TASKS`.
        instance: Id of the instance.
        operation_id: Id derived from the instance and its ownership epoch, or
            from the task and its attempt. It is the same in each round and for
            every entry instance that makes the call.
        fence: Lease under which the call is made.
        pool: Pool to serve in, for `RETURN`.
        start: Task to start, for `START_TASK`.
        attempts: Task and attempt of the placements that an operation on tasks
            applies to.
    """

    operation: str
    instance: str
    operation_id: str
    fence: Fence
    pool: str = ""
    start: TaskStart | None = None
    attempts: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class Round:
    """Decisions of a round.

    Attributes:
        records: Records to append, most urgent first.
        calls: Calls for steps that were read back as accepted.
        snapshot: Lease under which to write a snapshot, or None.
        subjects: Lease subjects that have to be held by some instance.
        history: Demand history for the next round, or None if unchanged.
    """

    records: tuple[object, ...] = ()
    calls: tuple[WorkerCall, ...] = ()
    snapshot: Fence | None = None
    subjects: tuple[str, ...] = ()
    history: DemandHistory | None = None


@dataclass(frozen=True)
class ControlView:
    """Observations of one entry instance that the state doesn't hold.

    Times are in seconds on its monotonic clock unless stated otherwise.

    Attributes:
        writer: ``instance/incarnation`` of this process.
        live: Ids of the live entry instances, from gossip.
        held: Leases of this process by subject.
        counted_from: Start of the leases' current term, or None without a
            lease.
        renewal_sent_at: Time of the last renewal sent, or None.
        sequence: Number for the next renewal.
        free_since: Time since which a subject has been observed without a
            lease.
        log_now: Lower bound of the time on the log's clock.
        first_offset: Oldest offset that the control stream retains.
        listing: The platform's newest list, or None.
        absent_since: Time since which an owned instance has been off the list.
        unknown_instances: Instances that the platform reported as unknown.
        finished: Ids of operations that have taken effect.
        statuses: Instances as last reported by the worker interface.
        status_at: Time of that report, by instance.
        tasks: Placements as last reported, by worker.
        tasks_at: Time of the last call about tasks, by worker.
        pending_records: Records sent recently and not read back yet.
        snapshot_sent_at: Time of the last snapshot attempt, or None.
        demand: Newest demand of all pools; empty before the first.
        demand_at: Time at which the demand was received, or None.
        history: Demand history of earlier rounds.
        move_cost_s: Mean time for which a move takes an instance out of
            service.
        stopping: Whether this process is about to end.
    """

    writer: str
    live: tuple[str, ...] = ()
    held: Mapping[str, HeldLease] = field(default_factory=dict)
    counted_from: float | None = None
    renewal_sent_at: float | None = None
    sequence: int = 0
    free_since: Mapping[str, float] = field(default_factory=dict)
    log_now: float = 0.0
    first_offset: int = 0
    listing: Listing | None = None
    absent_since: Mapping[str, float] = field(default_factory=dict)
    unknown_instances: frozenset[str] = frozenset()
    finished: frozenset[str] = frozenset()
    statuses: Mapping[str, ListedInstance] = field(default_factory=dict)
    status_at: Mapping[str, float] = field(default_factory=dict)
    tasks: Mapping[str, tuple[ReportedTask, ...]] = field(default_factory=dict)
    tasks_at: Mapping[str, float] = field(default_factory=dict)
    pending_records: frozenset[object] = frozenset()
    snapshot_sent_at: float | None = None
    demand: Mapping[str, float] = field(default_factory=dict)
    demand_at: float | None = None
    history: DemandHistory = DemandHistory()
    move_cost_s: float = DEFAULT_MOVE_COST_S
    stopping: bool = False

    @property
    def instance(self) -> str:
        """Id of this entry instance."""
        return self.writer.rpartition("/")[0]

    def fresh_status(
        self, instance: str, now: float, age_s: float
    ) -> ListedInstance | None:
        """Returns the status of an instance if it is at most `age_s` old."""
        at = self.status_at.get(instance)
        if at is None or now - at > age_s:
            return None
        return self.statuses.get(instance)

    def fence(self, subject: str, now: float) -> Fence | None:
        """Returns the fence of a subject if this process may act under it."""
        lease = self.held.get(subject)
        if lease is None or not may_act(lease, now):
            return None
        return lease.fence
