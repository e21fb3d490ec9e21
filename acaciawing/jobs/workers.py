"""State of a cell's workers and of the runs on them."""

from collections import deque
from enum import Enum

from acaciawing.jobs.model import (
    Incarnation,
    Resources,
    Step,
    SubtaskId,
    Worker,
)

# A worker that has not answered for this time gets no new runs; twice the
# maximum wait of a lease renewal.
CONTACT_TIMEOUT_S = 2.0


class Phase(Enum):
    """Phase of a run, as far as the cell's holder knows.

    Attributes:
        ORDERED: The start was ordered; there is no result yet.
        UNCONFIRMED: The result left open whether the run was started.
        CLOSING: A stop was ordered for an unconfirmed run that the worker does
            not report, so that a start that arrives late is rejected.
        RUNNING: The worker has confirmed or reported the run.
        STOPPING: A stop was ordered for the run.
        ENDED: The worker does not run it any more, and has not listed its end
            yet, because it has more ends than it lists at a time.
    """

    ORDERED = "ordered"
    UNCONFIRMED = "unconfirmed"
    CLOSING = "closing"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class StopReason(Enum):
    """Why a run is ordered to stop; the values are written to the log.

    Attributes:
        EVACUATION: Its worker is evacuated.
        GANG_INCOMPLETE: Another member of its gang did not start in time.
        JOB_ENDED: Its job has ended.
        LEASE_LAPSED: Its worker is silent, and the start may still be queued.
        NO_PROGRESS: Its worker answers, but no run there makes progress.
        NOT_NEEDED: Its subtask is done, or has another run.
        REPEATED: An earlier stop has not ended it.
        UNCONFIRMED: Its start was not answered, and the worker does not
            report it.
    """

    EVACUATION = "evacuation"
    GANG_INCOMPLETE = "gang incomplete"
    JOB_ENDED = "job ended"
    LEASE_LAPSED = "lease lapsed"
    NO_PROGRESS = "no progress"
    NOT_NEEDED = "not needed"
    REPEATED = "repeated"
    UNCONFIRMED = "unconfirmed"


class Run:
    """A run that uses a worker's capacity, or may use it.

    Attributes:
        subtask: The subtask.
        number: Its run number.
        step: The subtask's step.
        phase: Its phase.
        since: When that phase began, in seconds.
        ordered_at: When its start was ordered, in seconds.
        answered_at: When the last order was answered, in seconds; None while
            it is unanswered.
        percent: As in the worker's last `RunningRow` of the run.
        progressed_at: When the percent last changed, in seconds.
        load_metric: As in the worker's last `RunningRow` of the run.
        confirmed: Whether the worker has answered its start, or reported it.
        reported_at: When the renewal was sent whose answer reported it last,
            in seconds; None if this incarnation has not reported it.
        may_be_stopping: Whether an order to stop it, of this holder or an
            earlier one, may still take effect.
        pace: Share of its full speed that was ordered last, in percent.
        isolated: Whether it was started on a worker kept for its subtask.
    """

    __slots__ = (
        "answered_at",
        "confirmed",
        "isolated",
        "load_metric",
        "may_be_stopping",
        "number",
        "ordered_at",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "reported_at",
        "since",
        "step",
        "subtask",
    )

    def __init__(
        self, subtask: SubtaskId, number: int, step: Step, now: float
    ) -> None:
        """Creates a run whose start is being ordered."""
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
        self.confirmed = False
        self.reported_at: float | None = None
        self.may_be_stopping = False
        self.pace = 100
        self.isolated = False

    def enter(
        self, phase: Phase, now: float, answered_at: float | None
    ) -> None:
        """Changes the phase."""
        self.phase = phase
        self.since = now
        self.answered_at = answered_at


class WorkerView:
    """A worker with its runs and its free capacity.

    Attributes:
        registration: Newest entry in the platform's list.
        incarnation: Its incarnation.
        present: Whether the platform lists it.
        known_since: When this holder learned of it, in seconds.
        contacted: Whether it has answered under this holder's fence.
        ends_known: Whether it has listed all its ends to this holder since.
        ends_complete: Whether all its ends up to its last report were handled.
        listed_ends: Highest number of an end that was listed when one of an
            unknown job was found, and that time in seconds.
        reachable: Whether it has answered the last lease renewal.
        engaged: Whether its `WorkerEngaged` record is durable.
        last_contact_at: When the last answered renewal was sent, in seconds.
        lease_until: When all leases granted to it have certainly lapsed, in
            seconds.
        runs: Runs by subtask.
        used: Sum of the resources reserved for them.
        lasting: Number of long-running runs.
        newest_end: Highest number of an end that was received.
        unacknowledged: Pairs of an end's number and the number of the record
            that must be durable before the end is acknowledged.
        evacuating: Whether it is evacuated for a move or for maintenance.
        maintenance_pending: Whether its machine is scheduled for maintenance.
        evacuating_since: When the evacuation began, in seconds.
        suspended_until: It gets no new runs before this time, in seconds.
        failure_times: When runs failed here since the last one that was done,
            in seconds, newest last.
        best_effort_pace: Pace of best-effort runs, in percent.
        paced_at: When that pace last changed, in seconds.
        isolated_for: Subtask that alone may be started here, or None.
        capacity_valid_until: It gets no new runs after this time, in seconds,
            because its capacity may have shrunk since it was read.
        rack: Label of its rack.
        runs_per_step: Number of runs by step and occurrence.
    """

    __slots__ = (
        "best_effort_pace",
        "capacity_valid_until",
        "contacted",
        "ends_complete",
        "ends_known",
        "engaged",
        "evacuating",
        "evacuating_since",
        "failure_times",
        "incarnation",
        "isolated_for",
        "known_since",
        "last_contact_at",
        "lasting",
        "lease_until",
        "listed_ends",
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

    def __init__(self, worker: Worker, now: float) -> None:
        """Creates the view of a worker that was not contacted yet."""
        self.registration = worker
        self.known_since = now
        self.incarnation: Incarnation = worker.incarnation
        self.present = True
        self.contacted = False
        self.ends_known = False
        self.ends_complete = True
        self.listed_ends = (0, float("-inf"))
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
        self.isolated_for: SubtaskId | None = None
        self.capacity_valid_until = float("inf")
        self.rack = worker.rack
        self.runs_per_step: dict[tuple[str, int, int], int] = {}

    @property
    def free(self) -> Resources:
        """Capacity that is not reserved for a run."""
        return self.registration.capacity - self.used

    @property
    def leaving(self) -> bool:
        """Whether its end is expected: it drains or is being evacuated."""
        return self.registration.draining or self.evacuating

    def add(self, run: Run) -> None:
        """Reserves capacity for a run."""
        self.runs[run.subtask] = run
        self.used = self.used + run.step.reserved
        self.lasting += run.step.lasting
        key = run.subtask[:3]
        self.runs_per_step[key] = self.runs_per_step.get(key, 0) + 1

    def remove(self, subtask: SubtaskId) -> Run | None:
        """Frees the capacity that was reserved for a run."""
        run = self.runs.pop(subtask, None)
        if run is not None:
            self.used = self.used - run.step.reserved
            self.lasting -= run.step.lasting
            key = subtask[:3]
            self.runs_per_step[key] -= 1
            if not self.runs_per_step[key]:
                del self.runs_per_step[key]
        return run

    @property
    def silent_since(self) -> float:
        """When it answered last, or became known if it never did."""
        return self.last_contact_at if self.contacted else self.known_since

    def reports(self, run: Run) -> bool:
        """Whether the worker's last report has a run."""
        return run.reported_at == self.last_contact_at

    def usable(self, now: float) -> bool:
        """Whether new runs of any subtask may be ordered."""
        return self.isolated_for is None and self.accepts_runs(now)

    def accepts_runs(self, now: float) -> bool:
        """Whether new runs may be ordered."""
        return (
            self.present
            and self.contacted
            and self.engaged
            # What ends there is not known before earlier ends are durable, and
            # it uses capacity until then.
            and self.ends_complete
            and not self.registration.draining
            and not self.evacuating
            and now - self.last_contact_at < CONTACT_TIMEOUT_S
            and now >= self.suspended_until
            and now < self.capacity_valid_until
        )
