"""State of a cell, and the operations that all its decisions share."""

from collections.abc import Callable
from typing import NamedTuple

from acaciawing.jobs.actions import (
    Acknowledge,
    Action,
    SaveRecord,
    StopRun,
    WorkerReport,
)
from acaciawing.jobs.crashes import (
    LostRun,
    SilentRuns,
    Suspicion,
    assess_suspicion,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobs.lease_bounds import LeaseBounds
from acaciawing.jobs.limits import (
    CAPACITY_VALIDITY_S,
    CONFIRMATION_VALIDITY_S,
    JOB_CONFIRMATION_VALIDITY_S,
)
from acaciawing.jobs.model import (
    Configuration,
    Incarnation,
    Job,
    Pool,
    Queue,
    SubtaskId,
)
from acaciawing.jobs.progress import JobProgress, JobTable
from acaciawing.jobs.records import (
    Record,
    RunCrashed,
    RunSettled,
)
from acaciawing.jobs.run_table import RunTable
from acaciawing.jobs.tickets import TicketBook
from acaciawing.jobs.waiting import StepKey, WaitingWork
from acaciawing.jobs.workers import Phase, Run, StopReason, WorkerView


class UnconfirmedWorker(NamedTuple):
    """A worker that may have runs of an earlier holder.

    Attributes:
        until: Time after which no such run can exist there, in seconds.
        started_before: Time at which its incarnation had certainly started, in
            seconds; an older list of machines may lack it for that reason.
    """

    until: float
    started_before: float


class Takeover(NamedTuple):
    """Runs of earlier holders that may still exist after a takeover.

    Attributes:
        unconfirmed: Engaged workers that have not listed all their ends yet.
        jobs: Jobs that an earlier holder may have read.
    """

    unconfirmed: dict[Incarnation, UnconfirmedWorker]
    jobs: set[str]


class CellState:
    """State of a cell, and the operations that all its decisions share.

    Args:
        fence: Fence of this holder, higher than that of any earlier holder.
        leases: How long leases may last on the workers.
        on_event: Called with the name and the values of each event to log.
        is_own: Returns whether the cell runs the jobs of a service.
    """

    def __init__(
        self,
        fence: int,
        leases: LeaseBounds,
        on_event: Callable[..., None] = lambda *_, **__: None,
        is_own: Callable[[str], bool] = lambda service: True,
    ) -> None:
        """Creates the state of a cell whose records were not read yet."""
        self.fence = fence
        self._leases = leases
        self.table = JobTable(is_own)
        self.views: dict[Incarnation, WorkerView] = {}
        self.recovered = False
        self.fenced = False
        self._log = on_event
        self._queues: dict[str, Queue] = {}
        self._pools: dict[str, Pool] = {}
        # When the list of workers was last known to be current, in seconds.
        self._workers_current_at = float("-inf")
        self._actions: list[Action] = []
        self._takeover = Takeover({}, set())
        self._waiting = WaitingWork()
        self._runs = RunTable()
        self._run_times_s: dict[StepKey, list[float]] = {}
        self._checkpoints: dict[SubtaskId, str] = {}
        self._run_counts: dict[SubtaskId, int] = {}
        self._last_durable_number = 0
        self._last_record_number = 0
        # Number of the last record of each job.
        self._job_record_numbers: dict[str, int] = {}
        # Number of the record with which each job was completed or failed.
        self._final_record_numbers: dict[str, int] = {}
        # Incarnations by the number of their record that is not durable yet.
        self._pending_engagements: dict[int, Incarnation] = {}
        self._unix_ms = 0
        self._confirmed_at = float("-inf")
        # When jobs were read that a later holder may run, in seconds.
        self._unconfirmed_jobs: dict[str, float] = {}
        # Until when an earlier holder may have read jobs, in seconds.
        self._earlier_holder_reads_until = float("-inf")
        # Time up to which all records of the cell were read, in seconds.
        self._records_current_at = float("-inf")
        # When the last engaged worker was removed, in seconds.
        self._engaged_removed_at = float("-inf")
        self._early_reports: dict[Incarnation, WorkerReport] = {}
        self._ended_incarnations: set[Incarnation] = set()
        # Runs of workers that were silent until their leases lapsed.
        self._silent_runs: dict[Incarnation, SilentRuns] = {}
        # Crashes under runs that may be on the worker's next incarnation.
        self._unconfirmed_crashes: dict[
            tuple[SubtaskId, int], tuple[Incarnation, LostRun]
        ] = {}
        self._crash_seen_at = float("-inf")
        # What the fleet's holder has requested last.
        self._evacuation = Evacuation()
        self._tickets = TicketBook()
        # The worker on which each subtask last failed or stalled.
        self._avoided_workers: dict[SubtaskId, str] = {}

    def configure(self, configuration: Configuration) -> None:
        """Applies a configuration."""
        # Jobs that do not record their queue keep the settings that it had last.
        self._queues.update(configuration.queues)
        self._pools.update(configuration.pools)
        self._limit_capacity_validity()

    def confirm_workers(self, current_at: float) -> None:
        """Records a time, in seconds, at which the list of workers was current."""
        self._workers_current_at = max(self._workers_current_at, current_at)
        self._limit_capacity_validity()

    def _limit_capacity_validity(self) -> None:
        for view in self.views.values():
            view.capacity_valid_until = self._capacity_valid_until(
                view.registration.service
            )

    def _capacity_valid_until(self, service: str) -> float:
        pool = self._pools.get(service)
        if pool is None or pool.rejects_overload:
            return float("inf")
        return self._workers_current_at + CAPACITY_VALIDITY_S

    def confirm_holder(self, confirmed_at: float) -> None:
        """Records a time, in seconds, at which no other holder existed."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self._unconfirmed_jobs = {
            job: read_at
            for job, read_at in self._unconfirmed_jobs.items()
            if not self._is_job_confirmed(read_at)
        }

    def begin_takeover(self, assigned_at: float) -> None:
        """Records when this holder was assigned the cell, in seconds."""
        self._earlier_holder_reads_until = (
            assigned_at + JOB_CONFIRMATION_VALIDITY_S
        )

    def confirm_records(self, current_at: float) -> None:
        """Records a time, in seconds, up to which all records were read."""
        self._records_current_at = max(self._records_current_at, current_at)

    def _is_job_confirmed(self, read_at: float) -> bool:
        """Whether a later holder would hold back a job that was read then."""
        return read_at - self._confirmed_at < JOB_CONFIRMATION_VALIDITY_S

    def _is_confirmed(self, now: float) -> bool:
        """Whether no later holder can exist yet."""
        return now - self._confirmed_at < CONFIRMATION_VALIDITY_S

    def state(self, job: str) -> str | None:
        """Returns the state to report to clients, or None for an unknown job.

        A completed or failed job is reported as running until its records are
        durable.
        """
        progress = self.table.jobs.get(job)
        if progress is None:
            return None
        state = progress.state
        if (
            state in ("completed", "failed")
            and self._final_record_numbers.get(job, 0)
            > self._last_durable_number
        ):
            return "running"
        return state

    def waiting_jobs(self, queue: str) -> int:
        """Returns the number of a queue's jobs of which no run has started."""
        return sum(
            1
            for progress in self.table.jobs.values()
            if progress.job.queue == queue
            and not progress.started
            and not progress.finished
        )

    @property
    def waiting(self) -> WaitingWork:
        """Subtasks that may start and have no run."""
        return self._waiting

    def _acknowledge(self, view: WorkerView) -> None:
        newest = 0
        while (
            view.unacknowledged
            and view.unacknowledged[0][1] <= self._last_durable_number
        ):
            newest = view.unacknowledged.popleft()[0]
        if newest:
            self._actions.append(Acknowledge(view.incarnation, newest))

    def _remove_run(
        self,
        view: WorkerView,
        subtask: SubtaskId,
        now: float,
        *,
        settled: bool = True,
    ) -> None:
        """Frees a run's capacity; queues its subtask if it is still needed.

        Args:
            view: The run's worker.
            subtask: The run's subtask.
            now: Current time in seconds.
            settled: Whether it is known how the run has ended.
        """
        removed = self._runs.remove(view, subtask)
        if removed is not None:
            if settled:
                self._settle_start(subtask, removed.number)
            self._unconfirmed_crashes.pop((subtask, removed.number), None)
        if self._still_needed(subtask):
            self._enqueue(subtask, now)

    def _settle_start(self, subtask: SubtaskId, run: int) -> None:
        """Records that a start, if it is recorded, has ended without a crash."""
        start = self.table.started.get(subtask)
        if start is not None and start.run == run:
            record = RunSettled(str(subtask), run)
            self.table.apply(record)
            self._save_record(record)

    def _still_needed(self, subtask: SubtaskId) -> bool:
        progress = self.table.jobs.get(subtask.job)
        return (
            progress is not None
            and self.table.find_step(subtask) is not None
            and progress.is_needed(subtask)
        )

    def _stop_run(
        self, view: WorkerView, run: Run, reason: StopReason, now: float
    ) -> None:
        if run.phase is Phase.ENDED:
            return
        closing = run.phase is Phase.CLOSING or reason is StopReason.UNCONFIRMED
        run.enter(Phase.CLOSING if closing else Phase.STOPPING, now, None)
        run.may_be_stopping = True
        self._order_stop(view, run.subtask, run.number, reason, run.percent)

    def _order_stop(
        self,
        view: WorkerView,
        subtask: SubtaskId,
        run: int,
        reason: StopReason,
        percent: int,
    ) -> None:
        self._actions.append(StopRun(view.incarnation, subtask, run))
        self._log(
            "RUN_STOPPED",
            subtask=str(subtask),
            run=run,
            worker=view.incarnation.worker,
            reason=reason.value,
            percent=percent,
        )

    def _suspicion(self, subtask: SubtaskId) -> Suspicion:
        if subtask not in self.table.suspects:
            return Suspicion.NONE
        return assess_suspicion(
            len(self._crashes(subtask)),
            len(self.table.unexplained_crashes(subtask)),
        )

    def _crashes(self, subtask: SubtaskId) -> list[RunCrashed]:
        progress = self.table.jobs[subtask.job]
        return list(progress.crashed_runs.get(subtask, {}).values())

    def _enqueue(self, subtask: SubtaskId, now: float) -> None:
        if subtask not in self._runs:
            self._waiting.add(subtask, self.table.jobs[subtask.job], now)

    def _step_subtasks(self, subtask: SubtaskId) -> list[SubtaskId]:
        step = self.table.find_step(subtask)
        assert step is not None
        return [subtask._replace(index=i) for i in range(step.count)]

    def _save_record(
        self, record: Record, progress: JobProgress | None = None
    ) -> int:
        self._last_record_number += 1
        self._actions.append(SaveRecord(self._last_record_number, record))
        if progress is not None:
            job, number = progress.job.id, self._last_record_number
            self._job_record_numbers[job] = number
            if progress.completed or progress.failed:
                self._final_record_numbers.setdefault(job, number)
        return self._last_record_number

    def _queue_of(self, job: Job) -> Queue | None:
        """Returns the queue of a job, with the settings that hold for it.

        A queue may be removed, or moved to another service. Its jobs then keep
        the settings with which it accepted them.
        """
        current, accepted_by = self._queues.get(job.queue), job.accepted_by
        if accepted_by is None:
            return current
        if current is None or current.service != accepted_by.service:
            return accepted_by
        return current
