"""What a control round looks at besides the state, and what it returns."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from acaciawing.control.move_times import MOVE_COST_S
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
class Call:
    """A call to the worker interface, made under a lease.

    Attributes:
        operation: `DRAIN`, `REBOOT`, `RETURN`, `STATUS`, or one on tasks:
            `START_TASK`, `CHECKPOINT_TASK`, `THROTTLE_TASK`, `STOP_TASK` or
            `TASKS`.
        instance: Id of the instance.
        operation_id: Id derived from the instance and its ownership epoch, or
            from the task and its attempt; the same for every instance that makes the call, and in each round.
        fence: Lease that the call is made under.
        pool: Pool to serve in, for `RETURN`.
        start: Task to start, for `START_TASK`.
        attempts: Placements that an operation on tasks is about.
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
    """What to do in a round.

    Attributes:
        records: Records to append, the most urgent first.
        calls: Calls for steps that were read back as accepted.
        snapshot: Lease under which to write a snapshot, or None.
        subjects: Lease subjects that someone has to hold.
        history: Demand to keep for the next round, or None if unchanged.
    """

    records: tuple[object, ...] = ()
    calls: tuple[Call, ...] = ()
    snapshot: Fence | None = None
    subjects: tuple[str, ...] = ()
    history: DemandHistory | None = None


@dataclass(frozen=True)
class ControlView:
    """What one entry instance knows besides the state.

    Times are on its monotonic clock unless said otherwise, in seconds.

    Attributes:
        writer: ``instance/incarnation`` of this process.
        live: Ids of the live entry instances, from gossip.
        held: Leases of this process by subject.
        counted_from: Time that the leases count from, or None without a lease.
        renewal_sent_at: Time of the last renewal sent, or None.
        sequence: Number for the next renewal.
        free_since: Since when a subject has been seen without a lease.
        log_now: Time on the log's clock; never ahead of it.
        first_offset: Oldest offset that the control stream keeps.
        listing: Newest answer of the platform's list, or None.
        absent_since: Since when an owned instance has been off the list.
        gone: Instances that the platform has said it doesn't know.
        finished: Ids of operations that have taken effect.
        statuses: Instances as last reported by the worker interface.
        status_at: Time of that report, by instance.
        tasks: Placements as last reported, by worker.
        tasks_at: Time of the last call about them, by worker.
        unread: Records sent lately and not read back yet.
        snapshot_sent_at: Time of the last snapshot attempt, or None.
        demand: Newest demand of all pools; empty before the first.
        demand_at: Time at which it was read, or None.
        history: Demand that earlier rounds have seen.
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
    gone: frozenset[str] = frozenset()
    finished: frozenset[str] = frozenset()
    statuses: Mapping[str, ListedInstance] = field(default_factory=dict)
    status_at: Mapping[str, float] = field(default_factory=dict)
    tasks: Mapping[str, tuple[ReportedTask, ...]] = field(default_factory=dict)
    tasks_at: Mapping[str, float] = field(default_factory=dict)
    unread: frozenset[object] = frozenset()
    snapshot_sent_at: float | None = None
    demand: Mapping[str, float] = field(default_factory=dict)
    demand_at: float | None = None
    history: DemandHistory = DemandHistory()
    move_cost_s: float = MOVE_COST_S
    stopping: bool = False

    @property
    def instance(self) -> str:
        """Id of this entry instance."""
        return self.writer.rpartition("/")[0]

    def fresh_status(
        self, instance: str, now: float, age_s: float
    ) -> ListedInstance | None:
        """Returns the status of an instance if it is at most so old."""
        at = self.status_at.get(instance)
        if at is None or now - at > age_s:
            return None
        return self.statuses.get(instance)

    def fence(self, subject: str, now: float) -> Fence | None:
        """Returns the fence of a subject if this process may act on it."""
        lease = self.held.get(subject)
        if lease is None or not may_act(lease, now):
            return None
        return lease.fence
