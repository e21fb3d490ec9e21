"""Tasks on the workers of the fake platform."""

from collections import Counter
from dataclasses import asdict, dataclass, field

from acaciawing.platform import (
    AttemptIds,
    OperationUnknown,
    ReportedTask,
    TasksOutcome,
    TasksReported,
    TaskStart,
)
from standins.worker_tasks import WorkerTasks


@dataclass
class FakeTasks:
    """The task operations of `WorkerInterface`, with a simulated time.

    Attributes:
        time: Time of the calls, in seconds.
        failing: Workers on which each task fails at its start.
        unreachable: Workers that are unreachable for all calls.
        lose_task_answers: Number of next calls that take effect but whose
            answer is lost.
        starts: Calls that started a placement, by task and attempt.
        overlaps: Tasks that were started while another attempt was running.
    """

    time: float = 0.0
    failing: set[str] = field(default_factory=set)
    unreachable: set[str] = field(default_factory=set)
    lose_task_answers: int = 0
    workers: WorkerTasks = field(default_factory=WorkerTasks)
    known: set[str] = field(default_factory=set)
    starts: Counter[tuple[str, int]] = field(default_factory=Counter)
    overlaps: list[str] = field(default_factory=list)

    def start_task(
        self, instance: str, start: TaskStart, operation_id: str
    ) -> TasksOutcome:
        if instance in self.unreachable:
            return OperationUnknown("unreachable")
        before = self.running(start.task)
        fails = instance in self.failing
        self.workers.start(instance, asdict(start), self.time, fails)
        self.known.add(instance)
        after = self.running(start.task)
        if len(after) > len(before):
            self.starts[(start.task, start.attempt)] += 1
            if before:
                self.overlaps.append(start.task)
        return self._answer(instance)

    def checkpoint_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        return self._change_tasks(instance, "checkpoint", attempts)

    def throttle_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        return self._change_tasks(instance, "throttle", attempts)

    def stop_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        return self._change_tasks(instance, "stop", attempts)

    def tasks(self, instance: str) -> TasksOutcome:
        if instance in self.unreachable:
            return OperationUnknown("unreachable")
        return self.reported(instance)

    def reported(self, instance: str) -> TasksReported:
        reports = self.workers.report(instance, self.time)
        return TasksReported(tuple(ReportedTask(**r) for r in reports))

    def running(self, task: str) -> list[tuple[str, int]]:
        """Returns worker and attempt of each running placement of a task."""
        return [
            (worker, attempt)
            for worker in sorted(self.known)
            for name, attempt in self.workers.running(worker, self.time)
            if name == task
        ]

    def _change_tasks(
        self, instance: str, operation: str, attempts: AttemptIds
    ) -> TasksOutcome:
        if instance in self.unreachable:
            return OperationUnknown("unreachable")
        self.workers.change(instance, operation, list(attempts), self.time)
        return self._answer(instance)

    def _answer(self, instance: str) -> TasksOutcome:
        if self.lose_task_answers:
            self.lose_task_answers -= 1
            return OperationUnknown("answer lost")
        return self.reported(instance)
