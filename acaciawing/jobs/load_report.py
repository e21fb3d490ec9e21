"""Reports of a cell's load, from which the fleet's machines are divided."""

from collections.abc import Iterable

from acaciawing.jobs.evacuation import WorkerEvacuation
from acaciawing.jobs.fleet import CellReport, PoolLoad, WorkerLoad
from acaciawing.jobs.model import Queue, Resources
from acaciawing.jobs.progress import JobProgress
from acaciawing.jobs.urgency import (
    Urgency,
    assess_urgency,
    is_certainly_expired,
)
from acaciawing.jobs.waiting import StepKey
from acaciawing.jobs.workers import WorkerView


class LoadReporting(WorkerEvacuation):
    """Reports of a cell's load, from which the fleet's machines are divided."""

    def report(self, now: float) -> CellReport:
        """Returns the load of the cell's pools and workers."""
        used: dict[str, Resources] = {}
        capacity: dict[str, Resources] = {}
        waiting: dict[str, Resources] = {}
        expired: dict[str, Resources] = {}
        none = Resources()
        expired_runs = self._expired_runs()
        for view in self.views.values():
            service = view.registration.service
            if not service:
                continue
            used[service] = used.get(service, none) + view.used
            for key in view.runs_per_step.keys() & expired_runs.keys():
                reserved = expired_runs[key].times(view.runs_per_step[key])
                expired[service] = expired.get(service, none) + reserved
            if view.usable(now):
                total = capacity.get(service, none)
                capacity[service] = total + view.registration.capacity
        for waiting_step in self._waiting.steps:
            queue = self._queue_of(waiting_step.progress.job)
            if queue is None:
                continue
            service = queue.service
            requested = waiting_step.step.reserved.times(
                len(waiting_step.since)
            )
            waiting[service] = waiting.get(service, none) + requested
            urgency = self._urgency(
                waiting_step.progress, queue, waiting_step.key
            )
            if urgency is Urgency.EXPIRED:
                expired[service] = expired.get(service, none) + requested
        pools = {
            service: PoolLoad(
                waiting.get(service, none),
                used.get(service, none),
                capacity.get(service, none),
                expired.get(service, none),
            )
            for service in {*used, *waiting}
        }
        return CellReport(
            self.recovered,
            pools,
            _worker_loads(self.views.values()),
            tuple(
                v.incarnation.worker
                for v in self.views.values()
                if v.evacuating
            ),
        )

    def _urgency(
        self, progress: JobProgress, queue: Queue, key: StepKey
    ) -> Urgency:
        """Returns the urgency of a job whose step `key` waits for workers."""
        _, occurrence, step = key
        if progress.job.steps[step].lasting:
            return Urgency.ON_TIME
        return assess_urgency(
            progress.critical_paths_ms,
            queue,
            progress.due_ms(occurrence) or progress.submitted_ms,
            step,
            self._unix_ms,
        )

    def _expired_runs(self) -> dict[StepKey, Resources]:
        """Returns what a run reserves in each step of a job that has expired."""
        expired: dict[StepKey, Resources] = {}
        for key in {subtask[:3] for subtask in self._runs}:
            progress = self.table.jobs[key[0]]
            queue = self._queue_of(progress.job)
            step = progress.job.steps[key[2]]
            if queue is None or step.lasting:
                continue
            since_ms = progress.due_ms(key[1]) or progress.submitted_ms
            paths = progress.critical_paths_ms
            left_ms = max(0, paths[key[2]] - step.estimated_ms)
            if is_certainly_expired(
                paths, queue, since_ms, left_ms, self._unix_ms
            ):
                expired[key] = step.reserved
        return expired


def _worker_loads(views: Iterable[WorkerView]) -> dict[str, WorkerLoad]:
    """Returns the load by worker id; incarnations of one id are added up."""
    loads: dict[str, WorkerLoad] = {}
    for view in views:
        worker = view.incarnation.worker
        load = _worker_load(view)
        if worker in loads:
            load = _add_loads(loads[worker], load)
        loads[worker] = load
    return loads


def _worker_load(view: WorkerView) -> WorkerLoad:
    silent = view.contacted and not view.reachable
    return WorkerLoad(
        len(view.runs), view.lasting, view.used.cpu, silent, view.ends_known
    )


def _add_loads(first: WorkerLoad, second: WorkerLoad) -> WorkerLoad:
    return WorkerLoad(
        first.runs + second.runs,
        first.lasting + second.lasting,
        first.cpu + second.cpu,
        first.silent or second.silent,
        first.contacted and second.contacted,
    )
