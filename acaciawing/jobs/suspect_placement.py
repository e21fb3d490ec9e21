"""Placement of subtasks under which several workers have crashed."""

from acaciawing.jobs.crashes import (
    MAX_ISOLATED_SHARE,
    MIN_ISOLATED_WORKERS,
    PROBATION_S,
    Suspicion,
    guilt,
    isolation_timeout_s,
    probation_s,
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

    def _waits_for_store(self, subtask: SubtaskId) -> bool:
        """Whether the crash under a subtask has to be durable first.

        The others beside a crash, which their worker had reported before, go
        on while the store is away.
        """
        return not self._crashes_are_durable(subtask) and any(
            not crash.survived_ms
            for crash in self.table.unexplained_crashes(subtask)
        )

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
        if kept is not None and self._is_ready(kept, subtask, now):
            return kept
        others = sum(
            1
            for view in pool
            if view.isolated_for is not None and view is not kept
        )
        limit = max(MIN_ISOLATED_WORKERS, MAX_ISOLATED_SHARE * len(pool))
        if others + 1 > limit:
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
            key=lambda v: (not self._is_ready(v, subtask, now), len(v.runs)),
            default=None,
        )
        if chosen is None or (
            kept is not None and not self._is_ready(chosen, subtask, now)
        ):
            return kept
        if kept is not None:
            kept.isolated_for = None
        chosen.isolated_for = subtask
        return chosen

    def _is_ready(
        self, view: WorkerView, subtask: SubtaskId, now: float
    ) -> bool:
        """Whether a subtask can be started in isolation on a worker now."""
        if self._suspicion(subtask) is Suspicion.STRICTLY_ISOLATED:
            return not view.runs
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
            limit_s = probation_s(self._suspicion(subtask))
            return now - run.ordered_at <= limit_s
        return subtask in self._waiting and view.accepts_runs(now)
