"""Reports of a cell's load, from which the fleet's machines are divided."""

from collections import Counter

from acaciawing.jobs.evacuation import WorkerEvacuation
from acaciawing.jobs.fleet import CellReport, PoolLoad, WorkerLoad
from acaciawing.jobs.model import Queue, Resources
from acaciawing.jobs.progress import JobProgress
from acaciawing.jobs.urgency import Urgency, assess_urgency, is_certainly_late
from acaciawing.jobs.waiting import StepKey
from acaciawing.jobs.workers import WorkerView


class LoadReporting(WorkerEvacuation):
    """Reports of a cell's load, from which the fleet's machines are divided."""

    def report(self, now: float) -> CellReport:
        """Returns the load of the cell's pools and workers."""
        used: dict[str, Resources] = {}
        capacity: dict[str, Resources] = {}
        waiting: dict[str, Resources] = {}
        late_cpu: Counter[str] = Counter()
        none = Resources()
        late_runs = self._late_runs()
        for view in self.views.values():
            service = view.registration.service
            if not service:
                continue
            used[service] = used.get(service, none) + view.used
            for key in view.runs_per_step.keys() & late_runs.keys():
                late_cpu[service] += late_runs[key] * view.runs_per_step[key]
            if view.usable(now):
                total = capacity.get(service, none)
                capacity[service] = total + view.registration.capacity
        work: dict[str, float] = {}
        late_work: dict[str, float] = {}
        for waiting_step in self._waiting.steps:
            queue = self._queues.get(waiting_step.progress.job.queue)
            if queue is None:
                continue
            service, step = queue.service, waiting_step.step
            count = len(waiting_step.since)
            waiting[service] = waiting.get(service, none) + (
                step.reserved.times(count)
            )
            step_work = count * step.estimated_work
            work[service] = work.get(service, 0.0) + step_work
            urgency = self._urgency(
                waiting_step.progress, queue, waiting_step.key
            )
            if urgency is not Urgency.ON_TIME:
                late_work[service] = late_work.get(service, 0.0) + step_work
        pools = {
            service: PoolLoad(
                waiting.get(service, none),
                used.get(service, none),
                capacity.get(service, none),
                self._arrived_work.get(service, 0.0),
                work.get(service, 0.0),
                late_work.get(service, 0.0),
                late_cpu[service],
            )
            for service in {*used, *waiting}
        }
        return CellReport(
            self.recovered,
            pools,
            {
                v.incarnation.worker: _worker_load(v)
                for v in self.views.values()
            },
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

    def _late_runs(self) -> dict[StepKey, int]:
        """Returns the cpu of a run for each running step of a late job."""
        late: dict[StepKey, int] = {}
        for key in {subtask[:3] for subtask in self._active}:
            progress = self.table.jobs[key[0]]
            queue = self._queues.get(progress.job.queue)
            step = progress.job.steps[key[2]]
            if queue is None or step.lasting:
                continue
            since_ms = progress.due_ms(key[1]) or progress.submitted_ms
            paths = progress.critical_paths_ms
            left_ms = max(0, paths[key[2]] - step.estimated_ms)
            if is_certainly_late(
                paths, queue, since_ms, left_ms, self._unix_ms
            ):
                late[key] = step.reserved.cpu
        return late


def _worker_load(view: WorkerView) -> WorkerLoad:
    silent = view.contacted and not view.reachable
    return WorkerLoad(len(view.runs), view.lasting, view.used.cpu, silent)
