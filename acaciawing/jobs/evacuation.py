"""Evacuation of workers and the pace of best-effort runs."""

from acaciawing.jobs.actions import (
    PaceRun,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobs.limits import (
    CHECKPOINTED_EVACUATION_TIMEOUT_S,
    EVACUATION_TIMEOUT_S,
)
from acaciawing.jobs.pacing import (
    MIN_PACE_INTERVAL_S,
    SLOW_DOWN_ABOVE_SHARE,
    max_objective_usage,
    next_pace,
)
from acaciawing.jobs.worker_choice import choose_worker
from acaciawing.jobs.worker_tracking import WorkerTracking
from acaciawing.jobs.workers import Phase, Run, StopReason, WorkerView


class WorkerEvacuation(WorkerTracking):
    """Evacuation of workers and the pace of best-effort runs."""

    def evacuate(self, evacuation: Evacuation, now: float) -> None:
        """Evacuates the listed workers and ends the evacuation of all others.

        Runs that end by themselves may finish; on hurried workers they are
        stopped after a timeout. A long-running run is moved when the
        disruption budget of its step allows it and another worker has room.
        """
        self._evacuation = evacuation
        for view in self.views.values():
            self._mark_evacuation(view, now)
            if view.evacuating:
                hurried = view.incarnation.worker in evacuation.hurried
                self._evacuate_worker(view, hurried, now)

    def _evacuate_worker(
        self, view: WorkerView, hurried: bool, now: float
    ) -> None:
        waited_s = now - view.evacuating_since
        for run in view.runs.values():
            if run.phase is not Phase.RUNNING:
                continue
            if run.step.lasting:
                if self._within_disruption_budget(
                    run, now
                ) and self._has_room_elsewhere(view, run, now):
                    self._stop_run(view, run, StopReason.EVACUATION, now)
            elif run.step.saves_progress and not run.step.gang:
                if waited_s > CHECKPOINTED_EVACUATION_TIMEOUT_S and (
                    self._has_room_elsewhere(view, run, now)
                ):
                    self._stop_run(view, run, StopReason.EVACUATION, now)
            elif hurried and waited_s > EVACUATION_TIMEOUT_S:
                self._stop_run(view, run, StopReason.EVACUATION, now)

    def _adjust_pace(self, view: WorkerView, now: float) -> None:
        """Sets the pace of a worker's best-effort runs from its latencies."""
        best_effort = [
            run
            for run in view.runs.values()
            if run.step.fills and run.phase is Phase.RUNNING
        ]
        if not best_effort:
            return
        usage = max_objective_usage(view.runs.values())
        if now - view.paced_at >= MIN_PACE_INTERVAL_S:
            pace = next_pace(view.best_effort_pace, usage)
            if pace != view.best_effort_pace:
                view.best_effort_pace, view.paced_at = pace, now
        slow = usage is not None and usage > SLOW_DOWN_ABOVE_SHARE
        for run in best_effort:
            # An order may be lost, so it is repeated while the latency is too
            # high.
            if run.pace == view.best_effort_pace and not slow:
                continue
            run.pace = view.best_effort_pace
            self._actions.append(
                PaceRun(view.incarnation, run.subtask, run.number, run.pace)
            )
            self._log(
                "RUN_PACED",
                subtask=str(run.subtask),
                run=run.number,
                worker=view.incarnation.worker,
                percent=run.pace,
                strain=usage,
            )

    def _has_room_elsewhere(
        self, view: WorkerView, run: Run, now: float
    ) -> bool:
        service = view.registration.service
        others = [
            v
            for v in self.views.values()
            if v is not view
            and v.usable(now)
            and v.registration.service == service
        ]
        return choose_worker(others, run.step, run.subtask) is not None
