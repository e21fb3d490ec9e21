"""Evacuation of workers and the pace of best-effort runs."""

from acaciawing.jobs.actions import (
    PaceRun,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobs.limits import (
    CHECKPOINTED_EVACUATION_TIMEOUT_S,
    EVACUATION_TIMEOUT_S,
    FULL_SPEED_PERCENT,
    RUN_NUMBERS_PER_FENCE,
    SETTLING_TIME_S,
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
        for view in self.views.values():
            requested = view.incarnation.worker in evacuation.workers
            if requested and not view.evacuating:
                view.evacuating_since = now
            view.evacuating = requested
            view.maintenance_pending = view.incarnation.worker in evacuation.due
            if requested:
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

    def _within_disruption_budget(self, run: Run, now: float) -> bool:
        """Whether the disruption budget of a run's step allows stopping it."""
        unavailable = 0
        for member in self._step_subtasks(run.subtask):
            view = self._active.get(member)
            if (
                view is None
                or not view.reachable
                or not self._is_serving(view.runs[member], now)
            ):
                unavailable += 1
        return not self._takeover.unconfirmed_until and unavailable < max(
            1, run.step.may_miss
        )

    def _is_serving(self, run: Run, now: float) -> bool:
        """Whether a long-running run reports full speed and will go on.

        An earlier holder may have ordered the stop of a run that it started;
        until the worker has carried that out, it reports the run as before.
        """
        own = run.number >= self.fence * RUN_NUMBERS_PER_FENCE
        return (
            run.phase is Phase.RUNNING
            and run.percent >= FULL_SPEED_PERCENT
            and (own or now - run.since > SETTLING_TIME_S)
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
