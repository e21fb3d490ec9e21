"""Placement of subtasks under which several workers have crashed."""

from acaciawing.jobs.crashes import (
    MAX_ISOLATED_SHARE,
    PROBATION_S,
    Suspicion,
    guilt,
    isolation_timeout_s,
)
from acaciawing.jobs.load_report import LoadReporting
from acaciawing.jobs.model import Step, SubtaskId
from acaciawing.jobs.worker_choice import meets_requirements
from acaciawing.jobs.workers import WorkerView


class SuspectPlacement(LoadReporting):
    """Placement of subtasks under which several workers have crashed.

    Such a subtask gets a worker of its own, so that it harms no other run and
    the next crash shows whether it was the cause.
    """

    def _isolated_waiting(self) -> list[SubtaskId]:
        """Returns waiting subtasks that need isolation, likely culprits first.

        Once a culprit is known, its crashes don't count against the others.
        """
        found = [
            subtask
            for subtask in self.table.suspects
            if subtask in self._waiting
            and self._suspicion(subtask) >= Suspicion.ISOLATED
        ]
        return sorted(
            found,
            key=lambda s: (guilt(self.table.unexplained_crashes(s)), s),
            reverse=True,
        )

    def _crashes_are_durable(self, subtask: SubtaskId) -> bool:
        """Whether a next holder would know of all crashes under a subtask."""
        number = self._job_record_numbers.get(subtask.job, 0)
        return number <= self._last_durable_number

    def _isolation_timed_out(self, subtask: SubtaskId, now: float) -> bool:
        since = self._waiting.since(subtask)
        limit_s = isolation_timeout_s(self._suspicion(subtask))
        return since is not None and now - since > limit_s

    def _worker_of_its_own(
        self, subtask: SubtaskId, step: Step, service: str, now: float
    ) -> WorkerView | None:
        """Returns the worker kept for a subtask, a ready one if there is."""
        pool = [
            view
            for view in self.views.values()
            if view.registration.service == service and view.present
        ]
        kept = next((v for v in pool if v.isolated_for == subtask), None)
        if kept is not None and self._ready_for_suspect(kept, now):
            return kept
        others = sum(
            1
            for view in pool
            if view.isolated_for is not None and view is not kept
        )
        if others and others + 1 > MAX_ISOLATED_SHARE * len(pool):
            return None
        candidates = [
            view
            for view in pool
            if view.usable(now)
            and view.reachable
            # A worker with long-running runs does not become empty.
            and not view.lasting
            and meets_requirements(view, step)
        ]
        chosen = min(
            candidates,
            key=lambda v: (not self._ready_for_suspect(v, now), len(v.runs)),
            default=None,
        )
        if chosen is None or (
            kept is not None and not self._ready_for_suspect(chosen, now)
        ):
            return kept
        if kept is not None:
            kept.isolated_for = None
        chosen.isolated_for = subtask
        return chosen

    def _ready_for_suspect(self, view: WorkerView, now: float) -> bool:
        """Whether a worker has only suspects that have survived their start."""
        return all(
            run.isolated and now - run.ordered_at > PROBATION_S
            for run in view.runs.values()
        )

    def _release_isolated_workers(self, now: float) -> None:
        for view in self.views.values():
            subtask = view.isolated_for
            if subtask is not None and not self._keeps_isolation(
                view, subtask, now
            ):
                view.isolated_for = None

    def _keeps_isolation(
        self, view: WorkerView, subtask: SubtaskId, now: float
    ) -> bool:
        run = view.runs.get(subtask)
        if run is not None:
            return now - run.ordered_at <= PROBATION_S
        return subtask in self._waiting and view.accepts_runs(now)
