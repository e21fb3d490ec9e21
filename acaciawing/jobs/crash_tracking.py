"""Counting of workers' crashes against the runs that they took along."""

from collections.abc import Collection, Iterable

from acaciawing.jobs.crashes import (
    CRASH_ALERT_S,
    PROBATION_S,
    PROVEN_AGE_S,
    SILENCE_TIMEOUT_S,
    LostRun,
    SilentRuns,
    guilt,
    is_alone,
    is_deadly,
    lost_runs,
)
from acaciawing.jobs.limits import RUN_NUMBERS_PER_FENCE
from acaciawing.jobs.model import Incarnation, SubtaskId
from acaciawing.jobs.records import (
    RunCrashed,
    RunStarted,
    SubtaskGivenUp,
    SuspicionCleared,
)
from acaciawing.jobs.run_tracking import RunTracking
from acaciawing.jobs.workers import Phase, Run, WorkerView


class CrashTracking(RunTracking):
    """Counting of workers' crashes against the runs that they took along."""

    def _keep_silent_runs(self, view: WorkerView, now: float) -> None:
        """Keeps the runs of a silent worker, which may have crashed."""
        if not view.registration.draining:
            runs = lost_runs(view, now)
            self._silent_runs[view.incarnation] = SilentRuns(runs, now)

    def _count_silent_crashes(self, now: float) -> None:
        """Counts crashes of workers that nothing is heard of any more.

        The list of machines may be unavailable; otherwise it tells earlier
        whether such a worker has crashed or can't be reached.
        """
        for incarnation, silent in list(self._silent_runs.items()):
            view = self.views.get(incarnation)
            if now - silent.since > SILENCE_TIMEOUT_S and (
                view is None or not view.present
            ):
                self._count_crash(incarnation, now)

    def _count_crash(
        self,
        incarnation: Incarnation,
        now: float,
        unconfirmed: Collection[SubtaskId] = (),
    ) -> None:
        """Counts the end of an incarnation against the runs that it had.

        The end of a worker that was draining counts against none.

        Args:
            incarnation: The incarnation.
            now: Current time in seconds.
            unconfirmed: Subtasks that may have been started on its successor
                instead.
        """
        silent = self._silent_runs.pop(incarnation, None)
        view = self.views.get(incarnation)
        if view is not None and view.registration.draining:
            return
        lost = list(silent.runs) if silent is not None else []
        if view is not None:
            lost += lost_runs(view, now)
        lost += self._unseen_runs(incarnation)
        if lost or incarnation in self._takeover.unconfirmed:
            self._crash_seen_at = now
        for run in lost:
            if run.subtask in unconfirmed:
                key = run.subtask, run.number
                self._unconfirmed_crashes.setdefault(key, (incarnation, run))
            else:
                self._record_crash(incarnation, run)
        self._give_up_deadly({run.subtask for run in lost}, now)

    def _process_absent(
        self, view: WorkerView, run: Run, requested_at: float, now: float
    ) -> None:
        crash = self._unconfirmed_crashes.get((run.subtask, run.number))
        super()._process_absent(view, run, requested_at, now)
        if crash is not None and view.runs.get(run.subtask) is not run:
            # The run was not on the next incarnation either.
            self._record_crash(*crash)
            self._give_up_deadly((run.subtask,), now)

    def _save_unconfirmed_crashes(
        self, runs: Iterable[Run], successor: Incarnation
    ) -> None:
        """Records runs that are on a crashed worker's successor or nowhere."""
        for run in runs:
            crash = self._unconfirmed_crashes.get((run.subtask, run.number))
            if crash is None:
                continue
            crashed, lost = crash
            record = RunStarted(
                str(run.subtask),
                run.number,
                *successor,
                lost.alone,
                crashed_born_ms=crashed.born_ms,
            )
            self.table.apply(record)
            self._save_record(record)

    def _unseen_runs(self, incarnation: Incarnation) -> list[LostRun]:
        """Returns runs that an earlier holder has started on a worker."""
        starts = [
            (subtask, start)
            for subtask, start in self.table.started.items()
            if incarnation == (start.worker, start.born_ms)
            and start.run < self.fence * RUN_NUMBERS_PER_FENCE
        ]
        lost = []
        for position, (subtask, start) in enumerate(starts):
            # A start says only whether earlier runs were on the worker.
            later = [
                other
                for other, _ in starts[position + 1 :]
                if self._still_needed(other)
                and not self._in_one_gang(subtask, other)
            ]
            alone = start.alone and not later
            lost.append(LostRun(subtask, start.run, alone, PROBATION_S))
        return lost

    def _in_one_gang(self, subtask: SubtaskId, other: SubtaskId) -> bool:
        """Whether two subtasks are members of one gang."""
        step = self.table.find_step(subtask)
        return step is not None and step.gang and subtask[:3] == other[:3]

    def _record_start(self, view: WorkerView, run: Run, now: float) -> None:
        """Records a start for the next holder, if workers have crashed lately.

        Without that, a crash while the cell changes its holder counts against
        no subtask.
        """
        if now - self._crash_seen_at > CRASH_ALERT_S:
            return
        record = RunStarted(
            str(run.subtask),
            run.number,
            *view.incarnation,
            is_alone(view, run),
        )
        self.table.apply(record)
        self._save_record(record)

    def _record_crash(self, incarnation: Incarnation, lost: LostRun) -> None:
        if not self._still_needed(lost.subtask):
            return
        progress = self.table.jobs[lost.subtask.job]
        if lost.number in progress.crashed_runs.get(lost.subtask, ()):
            return
        record = RunCrashed(
            str(lost.subtask),
            lost.number,
            *incarnation,
            lost.alone,
            round(lost.survived_s * 1000),
        )
        self.table.apply(record)
        self._save_record(record, progress)

    def _give_up_deadly(
        self, subtasks: Iterable[SubtaskId], now: float
    ) -> None:
        """Gives up subtasks that crash their workers, likeliest ones first.

        A crash that the first explains does not count against the others.
        """
        for subtask in sorted(
            (s for s in subtasks if self._still_needed(s)),
            key=lambda s: (guilt(self.table.unexplained_crashes(s)), s),
            reverse=True,
        ):
            crashes = self._crashes(subtask)
            step = self.table.find_step(subtask)
            if is_deadly(
                crashes,
                self.table.unexplained_crashes(subtask),
                lasting=step is not None and step.lasting,
            ):
                self._give_up(subtask, crashes, now)

    def _give_up(
        self, subtask: SubtaskId, crashes: list[RunCrashed], now: float
    ) -> None:
        progress = self.table.jobs[subtask.job]
        record = SubtaskGivenUp(str(subtask))
        self.table.apply(record)
        self._save_record(record, progress)
        self._log(
            "SUBTASK_GIVEN_UP",
            subtask=str(subtask),
            crashes=len(crashes),
            alone=sum(crash.alone for crash in crashes),
        )
        self._fail_job(progress, now)

    def _resolve_absent_starts(
        self,
        view: WorkerView,
        running: Collection[SubtaskId],
        now: float,
    ) -> None:
        """Handles starts of an earlier holder that a worker does not report.

        A start that may have reached the worker's crashed predecessor instead
        was a cause of that crash, unless the worker lists its end.
        """
        for run in self._unseen_runs(view.incarnation):
            if run.subtask in running:
                continue
            crashed_born_ms = self.table.started[run.subtask].crashed_born_ms
            if not crashed_born_ms:
                self._settle_start(run.subtask, run.number)
            elif view.ends_complete:
                crashed = Incarnation(view.incarnation.worker, crashed_born_ms)
                self._record_crash(crashed, run._replace(survived_s=0.0))
                self._give_up_deadly((run.subtask,), now)

    def _clear_proven_suspects(self, now: float) -> None:
        for subtask in list(self.table.suspects):
            view = self._runs.active_view(subtask)
            if view is not None and _is_proven(view, view.runs[subtask], now):
                record = SuspicionCleared(str(subtask))
                self.table.apply(record)
                self._save_record(record, self.table.jobs[subtask.job])


def _is_proven(view: WorkerView, run: Run, now: float) -> bool:
    return (
        run.step.lasting
        and run.phase is Phase.RUNNING
        and view.reachable
        and now - run.ordered_at > PROVEN_AGE_S
    )
