"""Speculative copies of subtasks that run much longer than their peers."""

from statistics import median

from acaciawing.jobs.actions import EndedRow, EndKind
from acaciawing.jobs.model import SubtaskId
from acaciawing.jobs.run_placement import RunPlacement
from acaciawing.jobs.waiting import StepKey
from acaciawing.jobs.worker_choice import choose_worker
from acaciawing.jobs.workers import Phase, Run, WorkerView

# A subtask is copied when its run time exceeds the median of the finished
# subtasks of its step by this factor; run times within a step vary by about
# half.
SLOW_FACTOR = 2.0

# A run is not copied before this age: stopping the slower of the two occupies
# a worker's capacity for up to 0.9 s.
MIN_AGE_S = 0.5

# Share of a step's subtasks that must be done before run times are compared.
MIN_DONE_SHARE = 0.5


class Speculation(RunPlacement):
    """Speculative copies of subtasks that run much longer than their peers.

    Only subtasks of speculative steps are copied. The run that finishes first
    completes the subtask; the other one is stopped.
    """

    def _end_run(self, view: WorkerView, row: EndedRow, now: float) -> None:
        run = view.runs.get(row.subtask)
        if (
            row.kind is EndKind.DONE
            and run is not None
            and run.number == row.run
            and _may_copy(run)
        ):
            times = self._run_times_s.setdefault(row.subtask[:3], [])
            times.append(now - run.ordered_at)
        super()._end_run(view, row, now)

    def _place_copies(self, now: float) -> None:
        """Copies slow runs, and runs on workers that don't answer."""
        if self._waiting:
            # Subtasks that have no run at all go first.
            return
        slow = [*self._slow_runs(now), *self._unreachable_runs()]
        if not slow:
            return
        usable = [v for v in self.views.values() if v.usable(now)]
        for view, run in slow:
            if not self._needs_copy(run):
                # It is slow and on a worker that doesn't answer.
                continue
            others = [
                v
                for v in usable
                if v is not view
                and v.registration.service == view.registration.service
            ]
            chosen = choose_worker(others, run.step, run.subtask)
            if chosen is not None:
                self._start_copy(chosen, run, now)

    def _slow_runs(self, now: float) -> list[tuple[WorkerView, Run]]:
        slow = []
        for key, times in list(self._run_times_s.items()):
            progress = self.table.jobs.get(key[0])
            if progress is None or progress.step_done(key[1], key[2]):
                del self._run_times_s[key]
                continue
            step = progress.job.steps[key[2]]
            if len(times) < MIN_DONE_SHARE * step.count:
                continue
            limit = max(MIN_AGE_S, SLOW_FACTOR * median(times))
            slow += [
                (view, run)
                for view, run in self._runs_without_copy(key, step.count)
                if now - run.ordered_at > limit
            ]
        return slow

    def _runs_without_copy(
        self, key: StepKey, count: int
    ) -> list[tuple[WorkerView, Run]]:
        """Returns the active runs of a step that have no copy."""
        runs = []
        for index in range(count):
            subtask = SubtaskId(*key, index)
            view = self._runs.active_view(subtask)
            if view is not None and self._needs_copy(view.runs[subtask]):
                runs.append((view, view.runs[subtask]))
        return runs

    def _unreachable_runs(self) -> list[tuple[WorkerView, Run]]:
        return [
            (view, run)
            for view in self.views.values()
            if view.contacted and not view.reachable
            for run in view.runs.values()
            if _may_copy(run)
            and self._runs.active_view(run.subtask) is view
            and self._needs_copy(run)
        ]

    def _needs_copy(self, run: Run) -> bool:
        """Whether a run is the only one of a subtask that is still needed."""
        return (
            run.phase not in (Phase.CLOSING, Phase.STOPPING, Phase.ENDED)
            and not self._runs.has_copy(run.subtask)
            and run.subtask not in self.table.suspects
            and self._still_needed(run.subtask)
        )

    def _start_copy(self, view: WorkerView, run: Run, now: float) -> None:
        copy = self._order_run(view, run.subtask, run.step, now)
        self._log(
            "RUN_COPIED",
            subtask=str(run.subtask),
            run=copy.number,
            worker=view.incarnation.worker,
            age_s=round(now - run.ordered_at, 3),
        )


def _may_copy(run: Run) -> bool:
    return run.step.speculative and not run.step.gang and not run.step.lasting
