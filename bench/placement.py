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
_RACK = 4
_DECISIONS = 500
_RARE_DECISIONS = 100
_CANCELLED = 1000
# Share of the processors in use while decisions are measured.
_USED = 0.8


@dataclass(frozen=True)
class PlacementFigures:
    """Time of one kind of step, in microseconds.

    Attributes:
        workers: Workers of the fleet.
        step: ``place``, ``place-naive``, ``fold-and-refresh``, ``no-room``,
            ``preempt``, ``build`` or ``cancel-1000``.
        tasks: Tasks in the table.
        time_us: Distribution.
    """

    workers: int
    step: str
    tasks: int
    time_us: Summary


def fleet(size: int) -> list[Worker]:
    """Workers of which 825 in 1,400 have 4 accelerators (3,300 in all)."""
    workers = []
    for number in range(size):
        accelerators = 4 if number % 56 < 33 else 0
        total = Resources(64, 128_000, accelerators)
        zone, rack = f"z{number % _ZONES}", f"r{number // (_ZONES * _RACK)}"
        workers.append(Worker(f"w{number}", zone, rack, total))
    return workers


def _sizes(generator: random.Random) -> Iterator[Resources]:
    while True:
        processors = generator.choice((0.5, 1, 2, 4, 8, 16))
        memory = generator.choice((500, 2_000, 8_000, 16_000))
        accelerators = generator.choice((0, 0, 0, 0, 0, 1, 1, 2))
        yield Resources(processors, memory, accelerators)


class _Fleet:
    """A fleet that is filled by the real decisions and the fold."""

    def __init__(self, size: int, seed: int) -> None:
        self._generator = random.Random(f"{seed}/{size}")
        self._sizes = _sizes(self._generator)
        self._offset = 0
        self.workers = fleet(size)
        self.table = TaskTable()
        self.index: CapacityIndex = build_index(self.workers, self.table)
        self._running: list[str] = []
        wanted = _USED * sum(w.total.processors for w in self.workers)
        self._used = 0.0
        while self._used < wanted:
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
        size = size or next(self._sizes)
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
        self._used += placed.size.processors

    def finish_one(self) -> None:
        number = self._generator.randrange(len(self._running))
        name = self._running[number]
        self._running[number] = self._running[-1]
        self._running.pop()
        task = self.table.tasks[name]
        self.apply(TaskFinished(name, 1))
        self.index = refresh_index(self.index, self.table, (task.worker,))
        self._used -= task.size.processors

    def cancel(self) -> None:
        names = self._running[:_CANCELLED]
        plan = cancel(self.table, names)
        for record in plan.records:
            self.apply(record)
        self.index = refresh_index(self.index, self.table, plan.stops)


def _timed(
    step: Callable[..., object], *arguments: object
) -> tuple[float, object]:
    start = time.perf_counter()
    result = step(*arguments)
    return (time.perf_counter() - start) * 1e6, result


def _summary(times: list[float]) -> Summary:
    return summarise((t, 1) for t in times)


def measure(size: int, seed: int = SEED) -> tuple[PlacementFigures, ...]:
    """Measures all steps at one size.

    Args:
        size: Workers.
        seed: Seed of the tasks.

    Returns:
        Figures of each step.
    """
    filled = _Fleet(size, seed)
    times: dict[str, list[float]] = {}

    def note(step: str, taken: float) -> None:
        times.setdefault(step, []).append(taken)

    for number in range(_DECISIONS):
        task = filled.submit()
        taken, decision = _timed(filled.decide, task)
        note("place", taken)
        if number < _RARE_DECISIONS:
            now = float(number)
            taken, _ = _timed(first_fit, filled.snapshot, task, now)
            note("place-naive", taken)
        if isinstance(decision, Placed):
            taken, _ = _timed(lambda t=task, d=decision: filled.accept(t, d))
            note("fold-and-refresh", taken)
            filled.finish_one()
    for _ in range(_RARE_DECISIONS):
        whole = filled.submit(Resources(64, 128_000, 4), urgent=True)
        taken, _ = _timed(filled.decide, whole)
        note("no-room", taken)
        taken, _ = _timed(filled.preempt, whole)
        note("preempt", taken)
    for _ in range(5):
        taken, _ = _timed(build_index, filled.workers, filled.table)
        note("build", taken)
    tasks = len(filled.table.tasks)
    taken, _ = _timed(filled.cancel)
    note(f"cancel-{_CANCELLED}", taken)
    return tuple(
        PlacementFigures(size, step, tasks, _summary(values))
        for step, values in times.items()
    )


def run(sizes: tuple[int, ...] = SIZES) -> tuple[PlacementFigures, ...]:
    """Measures all steps at all sizes."""
    return tuple(figures for size in sizes for figures in measure(size))
