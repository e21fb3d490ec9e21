"""Cost of placement decisions at 40, 400 and 1,400 workers."""

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from acaciawing.leases import Fence
from acaciawing.measures import Summary, summarise
from acaciawing.placement import (
    LEASE_S,
    PLACEMENT_SUBJECT,
    CapacityIndex,
    Placed,
    PlacementRequest,
    PlacementSnapshot,
    PreemptionRequest,
    Resources,
    Task,
    TaskFinished,
    TaskPlaced,
    TaskSubmitted,
    TaskTable,
    Worker,
    build_index,
    cancel,
    place,
    preempt,
    refresh_index,
    table,
)
from acaciawing.placement.tests.baseline import first_fit
from acaciawing.records import LogPosition

SIZES = (40, 400, 1400)
SEED = 1

_ZONES = 7
_RACK_SIZE = 4
_DECISIONS = 500
_RARE_DECISIONS = 100
_CANCELLED_TASKS = 1000
# Share of the processors that are in use while decisions are measured.
_USED_SHARE = 0.8


@dataclass(frozen=True)
class PlacementFigures:
    """Duration of one kind of step, in microseconds.

    Attributes:
        workers: Number of workers of the fleet.
        step: ``place``, ``place-naive``, ``fold-and-refresh``, ``no-room``,
            ``preempt``, ``build`` or ``cancel-1000``.
        tasks: Number of tasks in the table.
        time_us: Distribution of the durations.
    """

    workers: int
    step: str
    tasks: int
    time_us: Summary


def fleet(size: int) -> list[Worker]:
    """Builds workers; 825 of 1,400 have 4 accelerators each (3,300 in all)."""
    workers = []
    for number in range(size):
        accelerators = 4 if number % 56 < 33 else 0
        total = Resources(64, 128_000, accelerators)
        zone, rack = (
            f"z{number % _ZONES}",
            f"r{number // (_ZONES * _RACK_SIZE)}",
        )
        workers.append(Worker(f"w{number}", zone, rack, total))
    return workers


def _task_sizes(generator: random.Random) -> Iterator[Resources]:
    while True:
        processors = generator.choice((0.5, 1, 2, 4, 8, 16))
        memory = generator.choice((500, 2_000, 8_000, 16_000))
        accelerators = generator.choice((0, 0, 0, 0, 0, 1, 1, 2))
        yield Resources(processors, memory, accelerators)


class _FleetSimulation:
    """Fleet that is loaded with tasks by the real decisions and the fold."""

    def __init__(self, size: int, seed: int) -> None:
        self._generator = random.Random(f"{seed}/{size}")
        self._task_sizes = _task_sizes(self._generator)
        self._offset = 0
        self.workers = fleet(size)
        self.table = TaskTable()
        self.index: CapacityIndex = build_index(self.workers, self.table)
        self._running: list[str] = []
        target_processors = _USED_SHARE * sum(
            w.total.processors for w in self.workers
        )
        self._used_processors = 0.0
        while self._used_processors < target_processors:
            task = self.submit()
            decision = self.decide(task)
            if isinstance(decision, Placed):
                self.accept(task, decision)

    @property
    def snapshot(self) -> PlacementSnapshot:
        return PlacementSnapshot(self.table, self.index)

    def apply(self, record: object) -> None:
        position = LogPosition(self._offset, float(self._offset))
        self.table, _ = table.apply(record, self.table, position)
        self._offset += 1

    def submit(
        self, size: Resources | None = None, urgent: bool = False
    ) -> Task:
        name = f"t{self._offset}"
        size = size or next(self._task_sizes)
        self.apply(TaskSubmitted(name, "red", "k", size, 60.0, urgent))
        return self.table.tasks[name]

    def decide(self, task: Task) -> object:
        request = PlacementRequest(task)
        now = float(self._offset)
        return place(self.snapshot, request, now, self._generator)

    def preempt(self, task: Task) -> object:
        request = PreemptionRequest(task)
        now = float(self._offset)
        return preempt(self.snapshot, request, now, self._generator)

    def accept(self, task: Task, placed: Placed) -> None:
        name = task.submitted.task
        self.apply(
            TaskPlaced(
                name,
                1,
                placed.worker.worker,
                placed.worker_epoch,
                placed.worker.zone,
                placed.worker.rack,
                placed.size,
                LEASE_S,
                False,
                Fence(PLACEMENT_SUBJECT, 0),
            )
        )
        self.index = refresh_index(
            self.index, self.table, (placed.worker.worker,)
        )
        self._running.append(name)
        self._used_processors += placed.size.processors

    def finish_one(self) -> None:
        number = self._generator.randrange(len(self._running))
        name = self._running[number]
        self._running[number] = self._running[-1]
        self._running.pop()
        task = self.table.tasks[name]
        self.apply(TaskFinished(name, 1))
        self.index = refresh_index(self.index, self.table, (task.worker,))
        self._used_processors -= task.size.processors

    def cancel(self) -> None:
        names = self._running[:_CANCELLED_TASKS]
        plan = cancel(self.table, names)
        for record in plan.records:
            self.apply(record)
        self.index = refresh_index(self.index, self.table, plan.stops)


def _timed_call(
    step: Callable[..., object], *arguments: object
) -> tuple[float, object]:
    start = time.perf_counter()
    result = step(*arguments)
    return (time.perf_counter() - start) * 1e6, result


def _summary(times_us: list[float]) -> Summary:
    return summarise((t, 1) for t in times_us)


def measure(size: int, seed: int = SEED) -> tuple[PlacementFigures, ...]:
    """Measures all steps at one size.

    Args:
        size: Number of workers.
        seed: Seed of the tasks.

    Returns:
        The figures of each step.
    """
    simulation = _FleetSimulation(size, seed)
    times_us: dict[str, list[float]] = {}

    def add_time(step: str, time_us: float) -> None:
        times_us.setdefault(step, []).append(time_us)

    for number in range(_DECISIONS):
        task = simulation.submit()
        time_us, decision = _timed_call(simulation.decide, task)
        add_time("place", time_us)
        if number < _RARE_DECISIONS:
            now = float(number)
            time_us, _ = _timed_call(first_fit, simulation.snapshot, task, now)
            add_time("place-naive", time_us)
        if isinstance(decision, Placed):
            time_us, _ = _timed_call(
                lambda t=task, d=decision: simulation.accept(t, d)
            )
            add_time("fold-and-refresh", time_us)
            simulation.finish_one()
    for _ in range(_RARE_DECISIONS):
        worker_sized_task = simulation.submit(
            Resources(64, 128_000, 4), urgent=True
        )
        time_us, _ = _timed_call(simulation.decide, worker_sized_task)
        add_time("no-room", time_us)
        time_us, _ = _timed_call(simulation.preempt, worker_sized_task)
        add_time("preempt", time_us)
    for _ in range(5):
        time_us, _ = _timed_call(
            build_index, simulation.workers, simulation.table
        )
        add_time("build", time_us)
    tasks = len(simulation.table.tasks)
    time_us, _ = _timed_call(simulation.cancel)
    add_time(f"cancel-{_CANCELLED_TASKS}", time_us)
    return tuple(
        PlacementFigures(size, step, tasks, _summary(values))
        for step, values in times_us.items()
    )


def run(sizes: tuple[int, ...] = SIZES) -> tuple[PlacementFigures, ...]:
    """Measures all steps at all sizes."""
    return tuple(figures for size in sizes for figures in measure(size))
