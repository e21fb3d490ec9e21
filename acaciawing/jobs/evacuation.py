"""What a cell does for the fleet, and for work that shares a worker."""

from acaciawing.jobs.actions import (
    PaceRun,
)
from acaciawing.jobs.fleet import CellReport, Evacuation, PoolLoad, WorkerLoad
from acaciawing.jobs.limits import (
    CHECKPOINTED_PATIENCE_S,
    EVACUATION_PATIENCE_S,
    FULL_WORK,
    SETTLED_S,
)
from acaciawing.jobs.model import (
    Resources,
)
from acaciawing.jobs.pacing import SLOW_ABOVE, STEP_S, next_pace, strain
from acaciawing.jobs.worker_choice import choose_worker
from acaciawing.jobs.worker_tracking import CellWorkers
from acaciawing.jobs.workers import Phase, Run, WorkerView


class CellEvacuation(CellWorkers):
    """What a cell does for the fleet, and for work that shares a worker."""

    def evacuate(self, evacuation: Evacuation, now: float) -> None:
        """Empties workers for an order of the fleet; all others are released.

        Runs that end by themselves are waited for, on hurried workers only
        for a time. A lasting run moves when its step can miss it and another
        worker has room.
        """
        for view in self.views.values():
            wanted = view.life.worker in evacuation.workers
            if wanted and not view.evacuating:
                view.evacuating_since = now
            view.evacuating = wanted
            view.due = view.life.worker in evacuation.due
            if wanted:
                hurried = view.life.worker in evacuation.hurried
                self._empty(view, hurried, now)

    def report(self, now: float) -> CellReport:
        """Returns the load of the cell's pools and workers."""
        used: dict[str, Resources] = {}
        capacity: dict[str, Resources] = {}
        waiting: dict[str, Resources] = {}
        none = Resources()
        for view in self.views.values():
            service = view.listed.service
            if not service:
                continue
            used[service] = used.get(service, none) + view.used
            if view.usable(now):
                known = capacity.get(service, none)
                capacity[service] = known + view.listed.capacity
        for group in self._waiting.steps:
            queue = self._queues.get(group.progress.job.queue)
            if queue is not None:
                known = waiting.get(queue.service, none)
                asked = group.step.charged.times(len(group.since))
                waiting[queue.service] = known + asked
        pools = {
            service: PoolLoad(
                waiting.get(service, none),
                used.get(service, none),
                capacity.get(service, none),
            )
            for service in {*used, *waiting}
        }
        return CellReport(
            self.recovered,
            pools,
            {v.life.worker: _load_of(v) for v in self.views.values()},
            tuple(v.life.worker for v in self.views.values() if v.evacuating),
        )

    def _empty(self, view: WorkerView, hurried: bool, now: float) -> None:
        waited = now - view.evacuating_since
        for run in view.runs.values():
            if run.phase is not Phase.RUNNING:
                continue
            if run.step.lasting:
                if self._can_miss(run, now) and self._has_room_elsewhere(
                    view, run, now
                ):
                    self._stop(view, run, now)
            elif run.step.saves_progress and not run.step.gang:
                if waited > CHECKPOINTED_PATIENCE_S and (
                    self._has_room_elsewhere(view, run, now)
                ):
                    self._stop(view, run, now)
            elif hurried and waited > EVACUATION_PATIENCE_S:
                self._stop(view, run, now)

    def _pace(self, view: WorkerView, now: float) -> None:
        """Slows down what fills on a worker while others need the room."""
        fills = [
            run
            for run in view.runs.values()
            if run.step.fills and run.phase is Phase.RUNNING
        ]
        if not fills:
            return
        strained = strain(view.runs.values())
        if now - view.paced_at >= STEP_S:
            pace = next_pace(view.fill_pace, strained)
            if pace != view.fill_pace:
                view.fill_pace, view.paced_at = pace, now
        slow = strained is not None and strained > SLOW_ABOVE
        for run in fills:
            # An order may be lost; it is repeated while it matters.
            if run.pace == view.fill_pace and not slow:
                continue
            run.pace = view.fill_pace
            self._actions.append(
                PaceRun(view.life, run.subtask, run.number, run.pace)
            )
            self._log(
                "RUN_PACED",
                subtask=str(run.subtask),
                run=run.number,
                worker=view.life.worker,
                percent=run.pace,
                strain=strained,
            )

    def _can_miss(self, run: Run, now: float) -> bool:
        """Whether a lasting run may be stopped by our own order."""
        away = 0
        for member in self._members(run.subtask):
            view = self._active.get(member)
            if (
                view is None
                or not view.reachable
                or not _at_work(view.runs[member], now)
            ):
                away += 1
        return not self._takeover.until and away < max(1, run.step.may_miss)

    def _has_room_elsewhere(
        self, view: WorkerView, run: Run, now: float
    ) -> bool:
        service = view.listed.service
        others = [
            v
            for v in self.views.values()
            if v is not view and v.usable(now) and v.listed.service == service
        ]
        return choose_worker(others, run.step, run.subtask) is not None


def _at_work(run: Run, now: float) -> bool:
    """Whether a lasting run serves its users, and has for a moment."""
    return (
        run.phase is Phase.RUNNING
        and run.percent >= FULL_WORK
        and now - run.since > SETTLED_S
    )


def _load_of(view: WorkerView) -> WorkerLoad:
    silent = view.contacted and not view.reachable
    return WorkerLoad(len(view.runs), view.lasting, view.used.cpu, silent)
