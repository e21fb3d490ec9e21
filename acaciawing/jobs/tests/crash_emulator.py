"""Emulates a pool with deadly subtasks and with capacities that change."""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from itertools import pairwise

import msgspec

from acaciawing.jobs import (
    Acknowledge,
    EndedRow,
    EndKind,
    Job,
    JobSubmitted,
    Record,
    Resources,
    RunningRow,
    SaveRecord,
    StartOrderResult,
    StartOutcome,
    StartRun,
    StopOrderResult,
    StopRun,
    SubtaskId,
    Worker,
    WorkerReport,
    WorkerUnreachable,
)
from acaciawing.jobs.tests.builders import (
    LEASE_S,
    CellHarness,
    make_configuration,
    make_worker,
)

STEP_S = 0.05

# From a crash until the list of machines shows it, and until the machine is back.
DETECTION_S = 0.3
DOWNTIME_S = 3.3

# Time after which a poll of a silent worker fails.
POLL_TIMEOUT_S = 1.0

# Time between two reports of a worker about itself.
HEARTBEAT_S = 1.5

# A smaller capacity counts this long after a worker has changed to it.
SHRINK_GRACE_S = 3.0 + HEARTBEAT_S


class EmulatedRun:
    """A run on an emulated worker."""

    def __init__(  # noqa: D107
        self, number: int, started_at: float, ends_at: float
    ) -> None:
        self.number = number
        self.started_at = started_at
        self.ends_at = ends_at


class EmulatedWorker:
    """A worker that may crash, and is back later as another incarnation."""

    def __init__(self, registration: Worker) -> None:  # noqa: D107
        self.registration = registration
        self.runs: dict[SubtaskId, EmulatedRun] = {}
        self.ends: list[EndedRow] = []
        self.end_count = 0
        self.crashed_at: float | None = None
        self.listed = True
        self.silent = False
        # Times since which it has had its capacities, newest last.
        self.capacities = deque([(0.0, registration.capacity)])


class CrashEmulator:
    """Runs a cell on emulated workers.

    They start whatever is ordered, and report their capacity with a delay.

    Args:
        workers: Number of workers.
        deadly: Whether a run of a subtask crashes its worker.
        crash_after_s: Time from a deadly run's start to the crash.
        run_s: Run time of all other subtasks.
        lasting: Whether a subtask runs until it is stopped.
        machines_listed: Whether the list of machines is available.
        guarded: Whether the configuration says that workers refuse what does
            not fit.
        downtime_s: Time from a crash until the worker is back.
        keeps_id: Whether it is back under the id that it had.

    Attributes:
        records: Records that are durable.
        crashes: Crashes that each deadly subtask has caused.
        late_starts: Starts of each deadly subtask after its third crash.
        losses: Runs that each sound subtask lost with a worker.
        overloads: Starts that exceeded a worker's capacity.
        stops: Orders that have stopped a run.
        store_down: Whether no record becomes durable.
        list_unavailable: Whether the list of workers can't be read.
    """

    def __init__(  # noqa: D107
        self,
        workers: int = 6,
        deadly: Callable[[SubtaskId], bool] = lambda _: False,
        crash_after_s: float = 0.01,
        run_s: float = 0.7,
        lasting: Callable[[SubtaskId], bool] = lambda _: False,
        *,
        machines_listed: bool = True,
        guarded: bool = True,
        downtime_s: float = DOWNTIME_S,
        keeps_id: bool = False,
    ) -> None:
        self._deadly = deadly
        self._crash_after_s = crash_after_s
        self._run_s = run_s
        self._lasting = lasting
        self._machines_listed = machines_listed
        self._guarded = guarded
        self._downtime_s = downtime_s
        self._keeps_id = keeps_id
        self._jobs: dict[str, Job] = {}
        self.workers = [
            EmulatedWorker(make_worker(f"w{n}")) for n in range(workers)
        ]
        self.records: list[Record] = []
        self.crashes: Counter[SubtaskId] = Counter()
        self.late_starts: Counter[SubtaskId] = Counter()
        self.losses: Counter[SubtaskId] = Counter()
        self.overloads: list[StartRun] = []
        self.stops: list[StopRun] = []
        self.store_down = False
        self.list_unavailable = False
        self._unsaved: list[SaveRecord] = []
        self._fence = 0
        self.harness: CellHarness
        self.replace_holder(at=100.0)

    @property
    def now(self) -> float:
        """Current time in seconds."""
        return self.harness.now

    def replace_holder(self, at: float | None = None) -> None:
        """Lets another holder take over; unsaved records are lost."""
        now = self.harness.now if at is None else at
        self._fence += 1
        self._unsaved = []
        self.harness = CellHarness(self._fence)
        self.harness.now = now
        self.harness.cell.configure(make_configuration(guarded=self._guarded))
        self.harness.cell.confirm_holder(now)
        self._list_workers()
        self.harness.recover(*self.records)

    def submit(self, *jobs: Job) -> None:
        """Submits jobs."""
        for job in jobs:
            self._jobs[job.id] = job
            record = JobSubmitted(job, 0)
            self.records.append(record)
            self.harness.cell.fold([record], self.now, 0)

    def running(self, job: str) -> set[SubtaskId]:
        """Returns the subtasks of a job that run."""
        return {
            subtask
            for worker in self.workers
            for subtask in worker.runs
            if subtask.job == job
        }

    def worker_of(self, subtask: SubtaskId) -> int:
        """Returns the number of the worker that runs a subtask."""
        return next(
            number
            for number, worker in enumerate(self.workers)
            if subtask in worker.runs
        )

    def stop(self, subtask: SubtaskId) -> None:
        """Lets a subtask's worker report its run as stopped."""
        worker = self.workers[self.worker_of(subtask)]
        self._end(worker, subtask, EndKind.STOPPED)

    def drain(self, numbers: Iterable[int]) -> None:
        """Lets workers report that they accept no new runs."""
        for number in numbers:
            worker = self.workers[number]
            worker.registration = msgspec.structs.replace(
                worker.registration, draining=True
            )
        self._list_workers()

    def crash(self, numbers: Iterable[int], *, silent: bool = False) -> None:
        """Crashes workers, whatever they run.

        Args:
            numbers: Numbers of the workers.
            silent: Whether orders are unanswered until they are back.
        """
        for number in numbers:
            self.workers[number].silent = silent
            self._crash(self.workers[number])

    def restart(self, numbers: Iterable[int]) -> None:
        """Restarts crashed workers at once."""
        for number in numbers:
            self._restart(self.workers[number])

    def resize(self, number: int, cores: int) -> None:
        """Changes a worker's capacity; its next report tells of it."""
        worker = self.workers[number]
        _, old = worker.capacities[-1]
        capacity = Resources(1000 * cores, old.memory_mb)
        worker.capacities.append((self.now, capacity))

    def run(self, seconds: float) -> None:
        """Advances the time."""
        for _ in range(round(seconds / STEP_S)):
            self.harness.wait(STEP_S)
            self._list_workers()
            for worker in self.workers:
                self._advance(worker)
            self._report_machines()
            self._carry_out()

    def _list_workers(self) -> None:
        if self.list_unavailable:
            return
        for worker in self.workers:
            reported = [
                capacity
                for since, capacity in worker.capacities
                if self.now - since >= HEARTBEAT_S
            ]
            worker.registration = msgspec.structs.replace(
                worker.registration, capacity=reported[-1]
            )
        self.harness.cell.confirm_workers(self.now)
        self.harness.update_workers(
            *(w.registration for w in self.workers if w.listed)
        )

    def _advance(self, worker: EmulatedWorker) -> None:
        if worker.crashed_at is not None:
            silent_s = self.now - worker.crashed_at
            if worker.silent and silent_s > POLL_TIMEOUT_S:
                self._report_unreachable(worker)
            if self.now - worker.crashed_at > self._downtime_s:
                self._restart(worker)
            return
        for subtask, run in list(worker.runs.items()):
            if run.ends_at > self.now or subtask not in worker.runs:
                continue
            if self._deadly(subtask):
                self.crashes[subtask] += 1
                self._crash(worker)
                return
            self._end(worker, subtask, EndKind.DONE)
        self._report(worker)

    def _report(self, worker: EmulatedWorker) -> None:
        running = tuple(
            RunningRow(subtask, run.number, "", self._percent(run), 0)
            for subtask, run in worker.runs.items()
        )
        message = WorkerReport(
            worker.registration.incarnation,
            self.now,
            self.now + LEASE_S,
            running,
            tuple(worker.ends),
        )
        self.harness.cell.receive(message, self.now)

    def _percent(self, run: EmulatedRun) -> int:
        if run.ends_at == float("inf"):
            return 100
        return round(100 * (self.now - run.started_at))

    def _crash(self, worker: EmulatedWorker) -> None:
        worker.crashed_at = self.now
        for subtask in worker.runs:
            if not self._deadly(subtask):
                self.losses[subtask] += 1
        worker.runs.clear()
        worker.ends.clear()
        if not worker.silent:
            self._report_unreachable(worker)

    def _report_unreachable(self, worker: EmulatedWorker) -> None:
        message = WorkerUnreachable(
            worker.registration.incarnation, self.now + LEASE_S
        )
        self.harness.cell.receive(message, self.now)

    def _restart(self, worker: EmulatedWorker) -> None:
        name, born_ms = worker.registration.incarnation
        if self._keeps_id:
            worker.registration = make_worker(name, born_ms=born_ms + 1)
        else:
            name, _, life = name.partition("+")
            worker.registration = make_worker(f"{name}+{int(life or 0) + 1}")
        worker.capacities = deque([(0.0, worker.registration.capacity)])
        worker.crashed_at = None
        worker.silent = False
        worker.end_count = 0
        self._list_workers()

    def _report_machines(self) -> None:
        if not self._machines_listed:
            return
        listed = {
            w.registration.incarnation.worker
            for w in self.workers
            if w.crashed_at is None or self.now - w.crashed_at < DETECTION_S
        }
        self.harness.cell.update_machines(listed, self.now, self.now)

    def _end(
        self, worker: EmulatedWorker, subtask: SubtaskId, kind: EndKind
    ) -> None:
        run = worker.runs.pop(subtask)
        worker.end_count += 1
        worker.ends.append(
            EndedRow(worker.end_count, subtask, run.number, kind, "")
        )

    def _carry_out(self) -> None:
        by_incarnation = {w.registration.incarnation: w for w in self.workers}
        for action in self.harness.cell.take_actions(self.now):
            if isinstance(action, SaveRecord):
                self._unsaved.append(action)
            elif isinstance(action, StartRun):
                self._start(by_incarnation.get(action.worker), action)
            elif isinstance(action, StopRun):
                self._stop(by_incarnation.get(action.worker), action)
            elif isinstance(action, Acknowledge):
                worker = by_incarnation.get(action.worker)
                if worker is not None:
                    worker.ends = [
                        e for e in worker.ends if e.number > action.end_number
                    ]
        if not self.store_down:
            for saved in self._unsaved:
                self.records.append(saved.record)
                self.harness.cell.records_saved(saved.number, self.now)
            self._unsaved = []

    def _stop(self, worker: EmulatedWorker | None, order: StopRun) -> None:
        if worker is not None and order.subtask in worker.runs:
            self.stops.append(order)
            self._end(worker, order.subtask, EndKind.STOPPED)
        done = worker is not None and not worker.silent
        self.harness.cell.receive(StopOrderResult(order, done), self.now)

    def _start(self, worker: EmulatedWorker | None, order: StartRun) -> None:
        if worker is None or worker.crashed_at is not None:
            silent = worker is not None and worker.silent
            outcome = (
                StartOutcome.UNANSWERED if silent else StartOutcome.REFUSED
            )
        else:
            outcome = StartOutcome.STARTED
            self.harness.starts.append(order)
            worker.runs[order.subtask] = EmulatedRun(
                order.run,
                self.now,
                self.now + self._duration_s(order.subtask),
            )
            if self.crashes[order.subtask] >= 3:
                self.late_starts[order.subtask] += 1
            if self._used(worker) > self._allowed(worker):
                self.overloads.append(order)
        self.harness.cell.receive(StartOrderResult(order, outcome), self.now)

    def _used(self, worker: EmulatedWorker) -> int:
        """Returns the cpu that a worker's runs have reserved."""
        return sum(
            self._jobs[subtask.job].steps[subtask.step].reserved.cpu
            for subtask in worker.runs
        )

    def _allowed(self, worker: EmulatedWorker) -> int:
        """Returns the largest cpu capacity of the time that counts."""
        allowed = worker.capacities[-1][1].cpu
        for (_, capacity), (until, _) in pairwise(worker.capacities):
            if self.now - until < SHRINK_GRACE_S:
                allowed = max(allowed, capacity.cpu)
        return allowed

    def _duration_s(self, subtask: SubtaskId) -> float:
        if self._deadly(subtask):
            return self._crash_after_s
        return float("inf") if self._lasting(subtask) else self._run_s
