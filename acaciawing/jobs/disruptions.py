"""The disruption budget of long-running steps, which all interruptions ask."""

from acaciawing.jobs.limits import FULL_SPEED_PERCENT, SETTLING_TIME_S
from acaciawing.jobs.state import CellState
from acaciawing.jobs.workers import CONTACT_TIMEOUT_S, Phase, Run, WorkerView


class DisruptionBudgets(CellState):
    """The disruption budget of long-running steps.

    A step allows only so many of its subtasks to be away at the same time as a
    result of the scheduler's orders. Any order that may end a long-running
    subtask at work asks `_within_disruption_budget` first.
    """

    def _within_disruption_budget(self, run: Run, now: float) -> bool:
        """Whether the disruption budget of a run's step allows stopping it.

        While runs of an earlier holder may exist on workers that were not
        reached, it is not known which subtasks are at work.
        """
        return not self._takeover.unconfirmed and self._count_away(
            run, now
        ) < max(1, run.step.may_miss)

    def _count_away(self, run: Run, now: float) -> int:
        """Returns how many other subtasks of a run's step are not serving."""
        away = 0
        for subtask in self._step_subtasks(run.subtask):
            if subtask == run.subtask:
                continue
            view = self._runs.active_view(subtask)
            if view is None or not _is_serving(view, view.runs[subtask], now):
                away += 1
        return away


def is_at_work(view: WorkerView, run: Run) -> bool:
    """Whether the last report of a run's worker has it at full speed."""
    return view.reports(run) and run.percent >= FULL_SPEED_PERCENT


def _is_serving(view: WorkerView, run: Run, now: float) -> bool:
    """Whether a long-running run is at work and will go on.

    Until a worker has carried out an order to stop a run, it reports the run
    as before.
    """
    return (
        run.phase is Phase.RUNNING
        and view.reachable
        and now - view.last_contact_at < CONTACT_TIMEOUT_S
        and is_at_work(view, run)
        and (not run.may_be_stopping or now - run.since > SETTLING_TIME_S)
    )
