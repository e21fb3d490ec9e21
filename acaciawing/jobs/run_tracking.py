"""Tracking of the runs that workers report, and of their ends."""

from acaciawing.jobs.actions import (
    EndedRow,
    EndKind,
    RunningRow,
    StartOutcome,
    WorkerReport,
)
from acaciawing.jobs.crashes import Suspicion
from acaciawing.jobs.disruptions import DisruptionBudgets, is_at_work
from acaciawing.jobs.health import (
    SUSPECT_SUSPENSION_S,
    all_runs_failed,
    may_suspect,
    stalled_runs,
)
from acaciawing.jobs.limits import (
    FULL_SPEED_PERCENT,
    NO_ROOM_SUSPENSION_S,
    REFUSAL_SUSPENSION_S,
)
from acaciawing.jobs.model import Step, SubtaskId
from acaciawing.jobs.progress import JobProgress
from acaciawing.jobs.records import (
    JobFailed,
    RunFailed,
    SubtaskDone,
)
from acaciawing.jobs.workers import Phase, Run, StopReason, WorkerView


class RunTracking(DisruptionBudgets):
    """Tracking of the runs that workers report, and of their ends."""

    def _check_health(self, view: WorkerView, now: float) -> None:
        """Stops the runs of a worker that answers but makes no progress."""
        stalled = stalled_runs(view, now)
        if not stalled or not self._suspend_suspect(
            view, "runs make no progress", now
        ):
            return
        for run in stalled:
            self._avoided_workers[run.subtask] = view.incarnation.worker
            self._stop_run(view, run, StopReason.NO_PROGRESS, now)

    def _suspend_suspect(
        self, view: WorkerView, reason: str, now: float
    ) -> bool:
        """Suspends a worker, unless too much of its pool is suspected.

        Returns:
            Whether the worker was suspended.
        """
        service = view.registration.service
        pool = [
            v for v in self.views.values() if v.registration.service == service
        ]
        if not may_suspect(pool, now):
            return False
        view.suspended_until = now + SUSPECT_SUSPENSION_S
        self._log(
            "WORKER_SUSPECTED",
            worker=view.incarnation.worker,
            reason=reason,
            runs=len(view.runs),
        )
        return True

    def _refuse_start(
        self, view: WorkerView, run: Run, outcome: StartOutcome, now: float
    ) -> None:
        """Handles a refused start; the worker has certainly not started it."""
        if outcome is StartOutcome.NO_ROOM:
            view.suspended_until = now + NO_ROOM_SUSPENSION_S
        elif outcome is StartOutcome.REFUSED:
            view.suspended_until = now + REFUSAL_SUSPENSION_S
        elif outcome is StartOutcome.NO_TICKET:
            self._tickets.drop(run.subtask[:3], view.incarnation)
        self._log(
            "START_REFUSED",
            subtask=str(run.subtask),
            run=run.number,
            worker=view.incarnation.worker,
            outcome=outcome.value,
        )
        self._remove_run(view, run.subtask, now)

    def _process_running(
        self, view: WorkerView, row: RunningRow, now: float
    ) -> None:
        """Updates, adopts or stops a run that a worker reports as running."""
        run = view.runs.get(row.subtask)
        if row.checkpoint:
            self._checkpoints[row.subtask] = row.checkpoint
        if run is not None and run.number == row.run:
            if row.percent != run.percent:
                run.progressed_at = now
            run.percent, run.load_metric = row.percent, row.load_metric
            run.confirmed, run.reported_at = True, view.last_contact_at
            self.table.jobs[row.subtask.job].started = True
            self._unconfirmed_crashes.pop((row.subtask, row.run), None)
            if run.phase in (Phase.ORDERED, Phase.UNCONFIRMED, Phase.ENDED):
                run.enter(Phase.RUNNING, now, now)
            if run.phase is Phase.RUNNING and self._is_superfluous(run):
                self._stop_run(view, run, StopReason.NOT_NEEDED, now)
            return
        if run is not None and run.number > row.run:
            return
        if not self._still_needed(row.subtask):
            self._stop_reported_run(view, row, now)
            return
        other = self._runs.active_view(row.subtask)
        if other is None:
            self._adopt_run(view, row, now)
        elif other is not view and self._keeps_reported_run(row, other):
            self._stop_run(
                other, other.runs[row.subtask], StopReason.NOT_NEEDED, now
            )
            self._adopt_run(view, row, now)
        else:
            self._stop_reported_run(view, row, now)

    def _is_superfluous(self, run: Run) -> bool:
        """Whether a run goes on although its subtask needs none any more.

        The members of a gang end together, each on its own worker, so the end
        of one is known before the others report theirs.
        """
        progress = self.table.jobs[run.subtask.job]
        if run.step.gang and progress.is_done(run.subtask):
            return False
        return not self._still_needed(run.subtask)

    def _stop_reported_run(
        self, view: WorkerView, row: RunningRow, now: float
    ) -> None:
        """Stops a reported run that was not known and is not needed.

        It uses its worker's capacity until it has ended.
        """
        step = self.table.find_step(row.subtask)
        if step is None:
            self._order_stop(
                view, row.subtask, row.run, StopReason.NOT_NEEDED, row.percent
            )
            return
        self._runs.remove(view, row.subtask)
        run = _reported_run(view, row, step, now)
        self._runs.add(view, run)
        self._stop_run(view, run, StopReason.NOT_NEEDED, now)

    def _keeps_reported_run(self, row: RunningRow, other: WorkerView) -> bool:
        """Whether to keep a run that was not known instead of the known one.

        Of two runs of a long-running subtask, the one that is at work is kept.
        """
        active = other.runs[row.subtask]
        return (
            active.step.lasting
            and not active.step.gang
            and row.percent >= FULL_SPEED_PERCENT
            and not is_at_work(other, active)
        )

    def _adopt_run(self, view: WorkerView, row: RunningRow, now: float) -> None:
        """Takes over a run that this holder did not start or had given up."""
        step = self.table.find_step(row.subtask)
        assert step is not None
        adopted = _reported_run(view, row, step, now)
        adopted.may_be_stopping = True
        if self._suspicion(row.subtask) >= Suspicion.ISOLATED:
            adopted.isolated = not view.runs
            view.isolated_for = row.subtask
        self._runs.remove(view, row.subtask)
        self._runs.add(view, adopted, active=True)
        self._waiting.discard(row.subtask)
        self.table.jobs[row.subtask.job].started = True
        self._log(
            "RUN_ADOPTED",
            subtask=str(row.subtask),
            run=row.run,
            worker=view.incarnation.worker,
        )

    def _process_absent(
        self, view: WorkerView, run: Run, requested_at: float, now: float
    ) -> None:
        """Handles a known run that is missing from a worker's report.

        The report proves nothing if it was requested before the last order for
        the run was answered. If it lacks ends of the worker, it only proves that
        the run is over.
        """
        if run.answered_at is None or run.answered_at >= requested_at:
            return
        if run.phase is Phase.UNCONFIRMED:
            self._stop_run(view, run, StopReason.UNCONFIRMED, now)
            return
        # A long-running subtask starts again however its run has ended.
        if not view.ends_complete and not run.step.lasting:
            if run.phase is not Phase.ENDED:
                run.enter(Phase.ENDED, now, run.answered_at)
            return
        self._log(
            "RUN_ABSENT",
            subtask=str(run.subtask),
            run=run.number,
            worker=view.incarnation.worker,
            phase=run.phase.value,
        )
        self._remove_run(view, run.subtask, now)

    def _process_ends(
        self, view: WorkerView, report: WorkerReport, now: float
    ) -> None:
        """Handles the ends in a report that were not received before.

        An end of a job that may not be read yet, and those after it, wait for a
        later report: once acknowledged, it would be forgotten without a record.
        """
        complete = report.ends_complete
        for row in report.ended:
            if row.number <= view.newest_end:
                continue
            if self._may_be_unread(view, row, report, now):
                complete = False
                break
            view.newest_end = row.number
            self._end_run(view, row, now)
        self._acknowledge(view)
        if view.ends_complete and not complete:
            self._log(
                "ENDS_INCOMPLETE",
                worker=view.incarnation.worker,
                newest_end=view.newest_end,
                runs=len(view.runs),
            )
        view.ends_complete = complete

    def _may_be_unread(
        self, view: WorkerView, row: EndedRow, report: WorkerReport, now: float
    ) -> bool:
        """Whether an end is of a job that an earlier holder may have read.

        That job was submitted before its run ended. So it is unknown for good
        once all records were read of the time at which the end was listed.
        """
        if row.subtask.job in self.table.jobs:
            return False
        number, listed_at = view.listed_ends
        if row.number <= number:
            return self._records_current_at < listed_at
        view.listed_ends = (report.ended[-1].number, now)
        return True

    def _end_run(self, view: WorkerView, row: EndedRow, now: float) -> None:
        previous_number = self._last_record_number
        self._record_end(row, now)
        # The end is acknowledged when the record of this number is durable.
        record_number = (
            self._last_record_number
            if self._last_record_number > previous_number
            else 0
        )
        if not record_number and row.kind in (EndKind.DONE, EndKind.FAILED):
            record_number = self._job_record_numbers.get(row.subtask.job, 0)
        view.unacknowledged.append((row.number, record_number))
        run = view.runs.get(row.subtask)
        if run is None or run.number != row.run:
            self._settle_start(row.subtask, row.run)
            return
        if row.kind is EndKind.FAILED:
            view.failure_times.append(now)
            self._avoided_workers[row.subtask] = view.incarnation.worker
            if all_runs_failed(view, now):
                self._suspend_suspect(view, "runs fail", now)
        elif row.kind is EndKind.DONE:
            view.failure_times.clear()
        self._remove_run(view, row.subtask, now)

    def _record_end(self, row: EndedRow, now: float) -> None:
        """Saves the records that follow from the end of a run."""
        step = self.table.find_step(row.subtask)
        if step is None:
            return
        progress = self.table.jobs[row.subtask.job]
        progress.started = True
        if row.checkpoint:
            self._checkpoints[row.subtask] = row.checkpoint
        self._log(
            "RUN_ENDED",
            subtask=str(row.subtask),
            run=row.run,
            how=row.kind.value,
        )
        if step.lasting:
            return
        if row.kind is EndKind.DONE and not progress.is_done(row.subtask):
            self._record_done(progress, row, now)
        elif row.kind is EndKind.FAILED:
            self._record_failure(progress, row, now)

    def _record_done(
        self, progress: JobProgress, row: EndedRow, now: float
    ) -> None:
        record = SubtaskDone(str(row.subtask), row.run)
        self.table.apply(record)
        self._save_record(record, progress)
        gang = progress.job.steps[row.subtask.step].gang
        members = self._step_subtasks(row.subtask) if gang else [row.subtask]
        for member in members:
            self._waiting.discard(member)
            # The members of a gang have the same run number and end together.
            for other, run in self._runs.runs(member):
                if run.number != row.run and run.phase is not Phase.STOPPING:
                    self._stop_run(other, run, StopReason.NOT_NEEDED, now)
        if progress.finished:
            self._end_job(progress, now)
        else:
            self._queue_ready_steps(progress, now)

    def _record_failure(
        self, progress: JobProgress, row: EndedRow, now: float
    ) -> None:
        known = progress.failed_runs.get(row.subtask, set())
        if row.run not in known:
            record = RunFailed(str(row.subtask), row.run)
            self.table.apply(record)
            self._save_record(record, progress)
        queue = self._queue_of(progress.job)
        limit = queue.max_attempts if queue is not None else 1
        if (
            progress.failed_attempts(row.subtask) >= limit
            and not progress.failed
            and not progress.finished
        ):
            self._fail_job(progress, now)

    def _fail_job(self, progress: JobProgress, now: float) -> None:
        failure = JobFailed(progress.job.id)
        self.table.apply(failure)
        self._save_record(failure, progress)
        self._end_job(progress, now)

    def _queue_ready_steps(self, progress: JobProgress, now: float) -> None:
        """Queues the subtasks of all steps that may start now."""
        for number in range(progress.occurrence_count):
            if progress.due_ms(number) > self._unix_ms:
                break
            for step in list(progress.next_steps(number)):
                progress.occurrence(number).queued_steps.add(step)
                for index in range(progress.job.steps[step].count):
                    subtask = SubtaskId(progress.job.id, number, step, index)
                    if progress.is_needed(subtask):
                        self._enqueue(subtask, now)

    def _end_job(self, progress: JobProgress, now: float) -> None:
        """Stops the runs of an ended job, but those that are still needed."""
        job = progress.job.id
        if progress.finished:
            progress.finished_at_ms = self._unix_ms
        self._waiting.discard_unneeded(progress)
        for view, run in self._runs.runs_of_job(job):
            # A run of a done subtask has ended or was already ordered to stop.
            done = progress.is_done(run.subtask)
            needed = progress.is_needed(run.subtask)
            if run.phase is not Phase.STOPPING and not done and not needed:
                self._stop_run(view, run, StopReason.JOB_ENDED, now)
        self._log("JOB_ENDED", job=job, state=progress.state)


def _reported_run(
    view: WorkerView, row: RunningRow, step: Step, now: float
) -> Run:
    """Returns a run that a worker has reported and that was not known."""
    run = Run(row.subtask, row.run, step, now)
    run.enter(Phase.RUNNING, now, now)
    run.percent, run.load_metric = row.percent, row.load_metric
    run.confirmed, run.reported_at = True, view.last_contact_at
    return run
