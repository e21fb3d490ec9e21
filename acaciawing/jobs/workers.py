"""What a cell knows of its workers and of the runs on them."""

from collections import deque
from enum import Enum

from acaciawing.jobs.model import (
    Incarnation,
    Resources,
    Step,
    SubtaskId,
    Worker,
)

# A worker that has not answered for this time gets no new runs, in seconds;
# twice the longest wait of a lease renewal.
CONTACT_TIMEOUT_S = 2.0


class Phase(Enum):
    """Where a run stands, as far as its holder knows."""

    ORDERED = "ordered"
    UNCONFIRMED = "unconfirmed"
    CLOSING = "closing"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """A run that uses capacity, or may use it.

    Attributes:
        subtask: What runs.
        number: Its run number.
        step: Its step.
        phase: Where it stands.
        since: When that phase began, in seconds.
        ordered_at: When its start was ordered, in seconds.
        settled_at: When the last order was answered; None while unanswered.
        percent: Work as the worker reports it.
        moved_at: When that changed last, in seconds.
        reading: Tail latency or cpu as the worker reports it.
        listed: Whether this incarnation of the worker has listed it.
        pace: Share of its speed that was ordered, in percent.
    """

    __slots__ = (
        "answered_at",
        "load_metric",
        "number",
        "ordered_at",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "reported",
        "since",
        "step",
        "subtask",
    )

    def __init__(
        self, subtask: SubtaskId, number: int, step: Step, now: float
    ) -> None:
        """Starts as ordered."""
        self.subtask = subtask
        self.number = number
        self.step = step
        self.phase = Phase.ORDERED
        self.since = now
        self.ordered_at = now
        self.answered_at: float | None = None
        self.percent = 0
        self.progressed_at = now
        self.load_metric = 0.0
        self.reported = False
        self.pace = 100

    def enter(
        self, phase: Phase, now: float, answered_at: float | None
    ) -> None:
        """Moves to another phase."""
        self.phase = phase
        self.since = now
        self.answered_at = answered_at


class WorkerView:
    """A worker, its runs and its free capacity.

    Attributes:
        listed: Newest entry in the platform's list.
        life: Its incarnation.
        present: Whether the platform lists it.
        contacted: Whether it has answered under this holder's fence.
        reachable: Whether it has answered the last call.
        engaged: Whether the record that names it as ours is durable.
        contact_at: When it was last asked with success, in seconds.
        lease_until: When all leases granted to it have surely lapsed.
        runs: Runs by subtask.
        used: Sum of what they are charged.
        lasting: Number of lasting runs.
        newest_end: Highest number of an end that was read.
        unacknowledged: Pairs of an end's number and the record that notes it.
        evacuating: Whether it is to be emptied for a move or for upkeep.
        due: Whether its machine will be maintained soon.
        evacuating_since: When that began, in seconds.
        held_back_until: Gets no new runs before this time, in seconds.
        faults: Times of runs that failed here since the last one that was
            done, newest last.
        fill_pace: Pace of runs that fill, in percent.
        paced_at: When it was changed last, in seconds.
    """

    __slots__ = (
        "best_effort_pace",
        "contacted",
        "engaged",
        "evacuating",
        "evacuating_since",
        "failure_times",
        "incarnation",
        "last_contact_at",
        "lasting",
        "lease_until",
        "maintenance_pending",
        "newest_end",
        "paced_at",
        "present",
        "rack",
        "reachable",
        "registration",
        "runs",
        "runs_per_step",
        "suspended_until",
        "unacknowledged",
        "used",
    )

    def __init__(self, worker: Worker) -> None:
        """Starts uncontacted."""
        self.registration = worker
        self.incarnation: Incarnation = worker.incarnation
        self.present = True
        self.contacted = False
        self.reachable = False
        self.engaged = False
        self.last_contact_at = 0.0
        self.lease_until = 0.0
        self.runs: dict[SubtaskId, Run] = {}
        self.used = Resources()
        self.lasting = 0
        self.newest_end = 0
        self.unacknowledged: deque[tuple[int, int]] = deque()
        self.evacuating = False
        self.maintenance_pending = False
        self.evacuating_since = 0.0
        self.suspended_until = 0.0
        self.failure_times: deque[float] = deque(maxlen=8)
        self.best_effort_pace = 100
        self.paced_at = 0.0
        self.rack = worker.rack
        self.runs_per_step: dict[tuple[str, int, int], int] = {}

    @property
    def free(self) -> Resources:
        """Capacity that no run is charged for."""
        return self.registration.capacity - self.used

    def add(self, run: Run) -> None:
        """Charges a run."""
        self.runs[run.subtask] = run
        self.used = self.used + run.step.charged
        self.lasting += run.step.lasting
        key = run.subtask[:3]
        self.runs_per_step[key] = self.runs_per_step.get(key, 0) + 1

    def remove(self, subtask: SubtaskId) -> Run | None:
        """Frees what a run was charged."""
        run = self.runs.pop(subtask, None)
        if run is not None:
            self.used = self.used - run.step.charged
            self.lasting -= run.step.lasting
            key = subtask[:3]
            self.runs_per_step[key] -= 1
            if not self.runs_per_step[key]:
                del self.runs_per_step[key]
        return run

    def usable(self, now: float) -> bool:
        """Whether new runs may be ordered."""
        return (
            self.present
            and self.contacted
            and self.engaged
            and not self.registration.draining
            and not self.evacuating
            and now - self.last_contact_at < CONTACT_TIMEOUT_S
            and now >= self.suspended_until
        )
