"""Progress of a cell's jobs, computed by a fold of its records."""

from collections.abc import Callable, Iterator

import msgspec

from acaciawing.jobs.model import (
    Incarnation,
    Job,
    Step,
    SubtaskId,
    parse_subtask_id,
)
from acaciawing.jobs.records import (
    CancelRequested,
    JobFailed,
    JobSubmitted,
    JobSummary,
    Record,
    RunCrashed,
    RunFailed,
    RunSettled,
    RunStarted,
    SubmissionSource,
    SubtaskDone,
    SubtaskGivenUp,
    SuspicionCleared,
    WorkerEngaged,
    WorkerReleased,
    encode_record,
)
from acaciawing.jobs.urgency import critical_paths_ms


class Occurrence:
    """Progress of one occurrence of a job.

    Attributes:
        number: Its number, from 0; 0 for a job without a schedule.
        done: Indexes of done subtasks, by step.
        queued_steps: Steps whose subtasks were queued for placement.
    """

    __slots__ = ("done", "number", "queued_steps")

    def __init__(self, number: int, steps: int) -> None:
        """Creates an occurrence without progress."""
        self.number = number
        self.done: list[set[int]] = [set() for _ in range(steps)]
        self.queued_steps: set[int] = set()


class JobProgress:
    """Progress of a job in all its occurrences.

    Attributes:
        job: The job.
        submitted_ms: When it was submitted, Unix time in milliseconds.
        critical_paths_ms: Length of the remaining critical path from each step
            on; see `urgency.critical_paths_ms`.
        cancelled: Whether its cancellation was requested.
        failed: Whether a subtask has used up its attempts or was given up.
        started: Whether any subtask is known to have started.
        completed: Whether all subtasks are done.
        occurrences: Occurrences that are due or have progress.
        failed_runs: Numbers of the failed runs of each subtask.
        crashed_runs: Crashed runs, by number, of each subtask under which
            workers have crashed.
        given_up: Subtasks that were given up because of their crashes.
        finished_at_ms: When it was observed as finished, Unix time in
            milliseconds; 0 before.
        oldest_record_ms: When the oldest record that it needs was written, Unix
            time in milliseconds.
    """

    __slots__ = (
        "cancelled",
        "completed",
        "crashed_runs",
        "critical_paths_ms",
        "failed",
        "failed_runs",
        "finished_at_ms",
        "given_up",
        "job",
        "occurrences",
        "oldest_record_ms",
        "started",
        "submitted_ms",
    )

    def __init__(self, job: Job, at_ms: int) -> None:
        """Creates the progress of a job that was just submitted."""
        self.job = job
        self.submitted_ms = at_ms
        self.critical_paths_ms = critical_paths_ms(job)
        self.cancelled = False
        self.failed = False
        self.started = False
        self.completed = False
        self.occurrences: dict[int, Occurrence] = {}
        self.failed_runs: dict[SubtaskId, set[int]] = {}
        self.crashed_runs: dict[SubtaskId, dict[int, RunCrashed]] = {}
        self.given_up: set[SubtaskId] = set()
        self.finished_at_ms = 0
        self.oldest_record_ms = at_ms

    @property
    def finished(self) -> bool:
        """Whether no more runs of it may start.

        The long-running subtasks of a failed job run until it is cancelled.
        """
        return (
            self.cancelled
            or self.completed
            or (self.failed and not any(s.lasting for s in self.job.steps))
        )

    @property
    def state(self) -> str:
        """State to report to clients; a failed job stays so if cancelled."""
        if self.completed:
            return "completed"
        if self.failed:
            return "failed"
        if self.cancelled:
            return "cancelled"
        return "running" if self.started else "pending"

    @property
    def occurrence_count(self) -> int:
        """Total number of occurrences."""
        return max(1, self.job.schedule.repeat_count)

    def due_ms(self, number: int) -> int:
        """Returns the Unix time at which an occurrence is due, in ms."""
        schedule = self.job.schedule
        if schedule.repeat_count == 0:
            return 0
        return schedule.first_ms + number * schedule.interval_ms

    def occurrence(self, number: int) -> Occurrence:
        """Returns an occurrence; creates it on first use."""
        found = self.occurrences.get(number)
        if found is None:
            found = Occurrence(number, len(self.job.steps))
            self.occurrences[number] = found
        return found

    def is_done(self, subtask: SubtaskId) -> bool:
        """Whether a subtask is done."""
        found = self.occurrences.get(subtask.occurrence)
        return found is not None and subtask.index in found.done[subtask.step]

    def is_needed(self, subtask: SubtaskId) -> bool:
        """Whether a subtask has to run, now or when its turn comes."""
        step = self.job.steps[subtask.step]
        return not (
            self.finished
            or (self.failed and not step.lasting)
            or self.is_done(subtask)
            or self._is_given_up(subtask)
        )

    def _is_given_up(self, subtask: SubtaskId) -> bool:
        """Whether a subtask, or a member of its gang, was given up."""
        if not self.job.steps[subtask.step].gang:
            return subtask in self.given_up
        return any(other[:3] == subtask[:3] for other in self.given_up)

    def step_done(self, number: int, step: int) -> bool:
        """Whether all subtasks of a step are done."""
        found = self.occurrences.get(number)
        count = self.job.steps[step].count
        return found is not None and len(found.done[step]) >= count

    def mark_done(self, subtask: SubtaskId) -> None:
        """Marks a subtask as done; for a gang, all its members."""
        step = self.job.steps[subtask.step]
        done = self.occurrence(subtask.occurrence).done[subtask.step]
        if step.gang:
            done.update(range(step.count))
        else:
            done.add(subtask.index)
        self.started = True
        self.completed = self._all_done()

    def _all_done(self) -> bool:
        if any(step.lasting for step in self.job.steps):
            return False
        return all(
            self.step_done(number, step)
            for number in range(self.occurrence_count)
            for step in range(len(self.job.steps))
        )

    def failed_attempts(self, subtask: SubtaskId) -> int:
        """Returns the number of failed runs of a subtask, or of its gang."""
        if not self.job.steps[subtask.step].gang:
            return len(self.failed_runs.get(subtask, ()))
        runs: set[int] = set()
        for failed, numbers in self.failed_runs.items():
            if failed[:3] == subtask[:3]:
                runs |= numbers
        return len(runs)

    def next_steps(self, number: int) -> Iterator[int]:
        """Yields steps that may start and were not queued yet."""
        found = self.occurrence(number)
        for index, step in enumerate(self.job.steps):
            if index in found.queued_steps:
                continue
            if all(self.step_done(number, d) for d in step.depends_on):
                yield index


class JobTable:
    """All jobs of a cell, and the workers that may have their runs.

    A partition may also have submissions of jobs that other cells run. The
    first submission of an id decides which cell runs the job.

    Args:
        is_own: Returns whether the cell runs the jobs of a service.

    Attributes:
        jobs: Progress by id of the job.
        early_cancellations: Ids of jobs whose cancellation was read before
            their submission.
        engaged: Record of each worker on which runs may have been started.
        suspects: Subtasks that are not done and under which workers crashed.
        started: Newest start of each subtask that was started while workers
            crashed, until its outcome is known; the oldest start first.
        explained: Job of the subtask that is known to have crashed a worker, by
            the worker's incarnation.
        foreign: When each job that another cell runs was submitted, Unix time
            in milliseconds, by id of the job.
    """

    def __init__(
        self, is_own: Callable[[str], bool] = lambda service: True
    ) -> None:
        """Creates a table without jobs."""
        self._is_own = is_own
        self.jobs: dict[str, JobProgress] = {}
        self.early_cancellations: set[str] = set()
        self.engaged: dict[Incarnation, WorkerEngaged] = {}
        self.suspects: set[SubtaskId] = set()
        self.started: dict[SubtaskId, RunStarted] = {}
        self.explained: dict[Incarnation, str] = {}
        self.foreign: dict[str, int] = {}

    def find_step(self, subtask: SubtaskId) -> Step | None:
        """Returns the step of a subtask, or None if no job has it."""
        progress = self.jobs.get(subtask.job)
        if progress is None or subtask.step >= len(progress.job.steps):
            return None
        step = progress.job.steps[subtask.step]
        if (
            subtask.index >= step.count
            or subtask.occurrence >= progress.occurrence_count
        ):
            return None
        return step

    def apply(self, record: Record) -> JobProgress | None:
        """Applies a record.

        Returns:
            The progress of the job that the record changes, or None.
        """
        match record:
            case JobSubmitted():
                return self._submit(record)
            case SubmissionSource():
                # It matters to the reader of the records alone.
                return None
            case CancelRequested():
                return self._cancel(record.job)
            case SubtaskDone():
                return self._mark_done(record.subtask)
            case RunFailed():
                return self._mark_run_failed(record.subtask, record.run)
            case JobFailed():
                return self._mark_failed(record.job)
            case JobSummary():
                return self._apply_summary(record)
            case WorkerEngaged() | WorkerReleased():
                self._apply_engagement(record)
                return None
            case _:
                return self._apply_suspicion(record)

    def _apply_engagement(self, record: WorkerEngaged | WorkerReleased) -> None:
        incarnation = Incarnation(record.worker, record.born_ms)
        if isinstance(record, WorkerEngaged):
            self.engaged[incarnation] = record
        else:
            self.engaged.pop(incarnation, None)

    def _submit(self, record: JobSubmitted) -> JobProgress | None:
        job = record.job
        if job.id in self.foreign:
            return None
        accepted_by = job.accepted_by
        if (
            job.id not in self.jobs
            and accepted_by is not None
            and not self._is_own(accepted_by.service)
        ):
            self.foreign[job.id] = record.at_ms
            self.early_cancellations.discard(job.id)
            return None
        return self._add_job(job, record.at_ms)

    def _add_job(self, job: Job, at_ms: int) -> JobProgress:
        known = self.jobs.get(job.id)
        if known is not None:
            return known
        self.foreign.pop(job.id, None)
        progress = JobProgress(job, at_ms)
        progress.cancelled = job.id in self.early_cancellations
        self.jobs[job.id] = progress
        return progress

    def _cancel(self, job: str) -> JobProgress | None:
        known = self.jobs.get(job)
        if known is None:
            if job not in self.foreign:
                self.early_cancellations.add(job)
            return None
        if not known.finished:
            known.cancelled = True
            self._forget_suspects(job)
        return known

    def _mark_done(self, name: str) -> JobProgress | None:
        subtask = parse_subtask_id(name)
        if subtask is None or self.find_step(subtask) is None:
            return None
        progress = self.jobs[subtask.job]
        progress.mark_done(subtask)
        self.started.pop(subtask, None)
        for member in [s for s in self.suspects if s[:3] == subtask[:3]]:
            if progress.is_done(member):
                self._clear_suspicion(member)
        return progress

    def _apply_suspicion(
        self,
        record: RunCrashed
        | RunStarted
        | RunSettled
        | SubtaskGivenUp
        | SuspicionCleared,
    ) -> JobProgress | None:
        subtask = parse_subtask_id(record.subtask)
        if subtask is None or self.find_step(subtask) is None:
            return None
        progress = self.jobs[subtask.job]
        match record:
            case RunCrashed():
                crashes = progress.crashed_runs.setdefault(subtask, {})
                crashes[record.run] = record
                progress.started = True
                self.forget_start(subtask, record.run)
                if progress.is_needed(subtask):
                    self.suspects.add(subtask)
            case RunStarted():
                self.started.pop(subtask, None)  # Keeps the order of starts.
                self.started[subtask] = record
            case RunSettled():
                self.forget_start(subtask, record.run)
            case SuspicionCleared():
                self._clear_suspicion(subtask)
            case SubtaskGivenUp():
                progress.given_up.add(subtask)
                self._fail(progress)
                for crash in progress.crashed_runs.get(subtask, {}).values():
                    incarnation = Incarnation(crash.worker, crash.born_ms)
                    self.explained.setdefault(incarnation, subtask.job)
        return progress

    def unexplained_crashes(self, subtask: SubtaskId) -> list[RunCrashed]:
        """Returns the crashes that no subtask given up has caused."""
        progress = self.jobs[subtask.job]
        return [
            crash
            for crash in progress.crashed_runs.get(subtask, {}).values()
            if Incarnation(crash.worker, crash.born_ms) not in self.explained
        ]

    def _clear_suspicion(self, subtask: SubtaskId) -> None:
        progress = self.jobs[subtask.job]
        progress.crashed_runs.pop(subtask, None)
        self.suspects.discard(subtask)

    def _mark_run_failed(self, name: str, run: int) -> JobProgress | None:
        subtask = parse_subtask_id(name)
        if subtask is None or self.find_step(subtask) is None:
            return None
        progress = self.jobs[subtask.job]
        progress.failed_runs.setdefault(subtask, set()).add(run)
        progress.started = True
        self.forget_start(subtask, run)
        return progress

    def _mark_failed(self, job: str) -> JobProgress | None:
        progress = self.jobs.get(job)
        if progress is not None:
            self._fail(progress)
        return progress

    def _fail(self, progress: JobProgress) -> None:
        progress.failed = progress.failed or not progress.cancelled
        self.suspects = {
            s
            for s in self.suspects
            if s.job != progress.job.id or progress.is_needed(s)
        }

    def _apply_summary(self, record: JobSummary) -> JobProgress:
        progress = self._add_job(record.job, record.at_ms)
        for name in record.done:
            self._mark_done(name)
        for name, runs in record.failed_runs.items():
            for run in runs:
                self._mark_run_failed(name, run)
        progress.cancelled = progress.cancelled or record.cancelled
        progress.failed = progress.failed or record.failed
        progress.oldest_record_ms = max(
            progress.oldest_record_ms, record.carried_ms
        )
        return progress

    def forget(self, job: str) -> None:
        """Removes a finished job whose state need not be reported any more."""
        self.jobs.pop(job, None)
        self.early_cancellations.discard(job)
        self._forget_suspects(job)
        for subtask in [s for s in self.started if s.job == job]:
            del self.started[subtask]
        for incarnation in [i for i, j in self.explained.items() if j == job]:
            del self.explained[incarnation]

    def forget_foreign(self, before_ms: int) -> None:
        """Forgets jobs of other cells that were submitted before a time."""
        self.foreign = {
            job: at_ms
            for job, at_ms in self.foreign.items()
            if at_ms >= before_ms
        }

    def forget_start(self, subtask: SubtaskId, run: int) -> None:
        """Forgets a start whose outcome is known."""
        start = self.started.get(subtask)
        if start is not None and start.run == run:
            del self.started[subtask]

    def _forget_suspects(self, job: str) -> None:
        self.suspects = {s for s in self.suspects if s.job != job}


def summarize_job(progress: JobProgress, unix_ms: int) -> JobSummary:
    """Returns a record that replaces all earlier ones of a job."""
    job = progress.job
    return JobSummary(
        job,
        progress.submitted_ms,
        tuple(
            str(SubtaskId(job.id, number, step, index))
            for number, found in sorted(progress.occurrences.items())
            for step, indexes in enumerate(found.done)
            for index in sorted(indexes)
        ),
        {str(s): tuple(sorted(r)) for s, r in progress.failed_runs.items()},
        progress.cancelled,
        progress.failed,
        unix_ms,
    )


def split_summary(summary: JobSummary, max_bytes: int) -> Iterator[JobSummary]:
    """Yields records of at most a size that together replace a summary.

    Only the last one says when the older records of the job were replaced. A
    record with a single subtask is not split.

    Args:
        summary: The summary.
        max_bytes: Largest record that the store accepts, in bytes.
    """
    done, failed_runs = summary.done, list(summary.failed_runs.items())
    if (
        len(done) + len(failed_runs) < 2
        or len(encode_record(summary)) <= max_bytes
    ):
        yield summary
        return
    half = len(done) // 2, len(failed_runs) // 2
    first = msgspec.structs.replace(
        summary,
        done=done[: half[0]],
        failed_runs=dict(failed_runs[: half[1]]),
        carried_ms=0,
    )
    second = msgspec.structs.replace(
        summary,
        done=done[half[0] :],
        failed_runs=dict(failed_runs[half[1] :]),
    )
    yield from split_summary(first, max_bytes)
    yield from split_summary(second, max_bytes)


def crash_records(
    table: JobTable, progress: JobProgress
) -> Iterator[RunCrashed | RunStarted | SubtaskGivenUp]:
    """Yields the records of crashes that a `JobSummary` leaves out."""
    for runs in progress.crashed_runs.values():
        yield from runs.values()
    yield from (SubtaskGivenUp(str(s)) for s in sorted(progress.given_up))
    yield from (
        start
        for subtask, start in table.started.items()
        if subtask.job == progress.job.id
    )
