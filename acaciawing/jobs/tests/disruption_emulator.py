"""Emulates a pool with maintenance, in which orders and reports are delayed."""

from collections.abc import Callable
from random import Random

from acaciawing.jobs import (
    EndKind,
    Job,
    StartOrderResult,
    StartOutcome,
    StartRun,
    StopOrderResult,
    StopRun,
    SubtaskId,
)
from acaciawing.jobs.fleet import (
    FleetSnapshot,
    MachineState,
    Maintain,
    MaintenanceWave,
)
from acaciawing.jobs.fleet_planner import FleetPlanner
from acaciawing.jobs.limits import FULL_SPEED_PERCENT
from acaciawing.jobs.tests.builders import LEASE_S, SERVICE
from acaciawing.jobs.tests.crash_emulator import (
    POLL_TIMEOUT_S,
    STEP_S,
    CrashEmulator,
    EmulatedRun,
    EmulatedWorker,
)

# Time from a start until a long-running run is at work.
STARTUP_S = 0.9

# A subtask that is not at work for this time counts as away.
AWAY_S = 5.5

# Steps between two rounds of the fleet's decisions.
STEPS_PER_ROUND = 3


class DisruptionEmulator(CrashEmulator):
    """Runs a cell and the fleet's planner beside random faults.

    Workers crash, are cut off and answer a new holder late, and with odd seeds
    keep their ids; orders are left unanswered and carried out late; all
    machines are maintained, by planners that replace each other.

    Args:
        seed: Seed of the faults.
        workers: Number of workers.

    Attributes:
        violations: Orders that ended a subtask at work beyond its budget.
        maintained: Machines that were maintained.
    """

    def __init__(self, seed: int, workers: int = 8) -> None:  # noqa: D107
        self._random = Random(seed)
        self._planner = FleetPlanner()
        self.violations: list[str] = []
        self.maintained: set[int] = set()
        self._silent_until: dict[int, float] = {}
        self._answered_at: dict[int, float] = {}
        self._late: list[tuple[float, Callable[[], None]]] = []
        # Highest run of each subtask that a worker has stopped or ended.
        self._ended_runs: dict[tuple[int, SubtaskId], int] = {}
        self._ended_by_order: set[SubtaskId] = set()
        self._not_at_work_since: dict[SubtaskId, float] = {}
        self._steps = 0
        super().__init__(workers, lasting=lambda s: s.job.startswith("lasting"))

    def replace_holder(self, at: float | None = None) -> None:
        """Lets another holder take over, which workers answer late."""
        super().replace_holder(at)
        for number in range(len(self.workers)):
            self._cut(number, self._random.choice((0.0, 0.3, 1.5)))

    def run_with_faults(self, seconds: float) -> None:
        """Advances the time, with random faults."""
        for _ in range(round(seconds / STEP_S)):
            if self._random.random() < 0.004:
                self.replace_holder()
            if self._random.random() < 0.004:
                self._planner = FleetPlanner()
            if self._random.random() < 0.01:
                self._cut(self._choose(), self._random.uniform(0.5, 8.0))
            if self._random.random() < 0.01:
                number = self._choose()
                if self.workers[number].crashed_at is None:
                    self.crash((number,))
            self.run(STEP_S)
            self._note_subtasks()
            self._carry_out_late()
            self._steps += 1
            if self._steps % STEPS_PER_ROUND == 0:
                self._maintain()

    def _choose(self) -> int:
        return self._random.randrange(len(self.workers))

    def _cut(self, number: int, seconds: float) -> None:
        self._silent_until[number] = self.now + seconds

    def _is_silent(self, number: int) -> bool:
        return self.now < self._silent_until.get(number, 0.0)

    def _advance(self, worker: EmulatedWorker) -> None:
        number = self.workers.index(worker)
        if worker.crashed_at is not None or not self._is_silent(number):
            self._answered_at[number] = self.now
            super()._advance(worker)
            return
        silent_s = self.now - self._answered_at.get(number, self.now)
        if silent_s > POLL_TIMEOUT_S:
            self._report_unreachable(worker)
        if silent_s > LEASE_S:
            for subtask in list(worker.runs):
                self._end(worker, subtask, EndKind.LAPSED)

    def _percent(self, run: EmulatedRun) -> int:
        if run.ends_at < float("inf"):
            return super()._percent(run)
        at_work = self.now - run.started_at > STARTUP_S
        return FULL_SPEED_PERCENT if at_work else 50

    def _end(
        self, worker: EmulatedWorker, subtask: SubtaskId, kind: EndKind
    ) -> None:
        run = worker.runs[subtask].number
        self._reject_up_to(worker, subtask, run)
        super()._end(worker, subtask, kind)

    def _reject_up_to(
        self, worker: EmulatedWorker, subtask: SubtaskId, run: int
    ) -> None:
        key = id(worker), subtask
        self._ended_runs[key] = max(run, self._ended_runs.get(key, 0))

    def _stop(self, worker: EmulatedWorker | None, order: StopRun) -> None:
        if worker is None or worker.crashed_at is not None:
            self.harness.cell.receive(StopOrderResult(order, False), self.now)
            return
        if self._is_delayed(worker):
            self._delay(worker, lambda: self._execute_stop(worker, order))
            self.harness.cell.receive(StopOrderResult(order, False), self.now)
            return
        run = worker.runs.get(order.subtask)
        if run is not None and run.number == order.run:
            self._check_interruption(worker, order.subtask, "stop")
        self._execute_stop(worker, order)
        self.harness.cell.receive(StopOrderResult(order, True), self.now)

    def _execute_stop(self, worker: EmulatedWorker, order: StopRun) -> None:
        run = worker.runs.get(order.subtask)
        self._reject_up_to(worker, order.subtask, order.run)
        if run is not None and run.number <= order.run:
            self._end(worker, order.subtask, EndKind.STOPPED)

    def _start(self, worker: EmulatedWorker | None, order: StartRun) -> None:
        if worker is None or worker.crashed_at is not None:
            super()._start(worker, order)
        elif self._is_delayed(worker):
            self._delay(worker, lambda: self._execute_start(worker, order))
            self.harness.cell.receive(
                StartOrderResult(order, StartOutcome.UNANSWERED), self.now
            )
        else:
            self._execute_start(worker, order)
            self.harness.cell.receive(
                StartOrderResult(order, StartOutcome.STARTED), self.now
            )

    def _execute_start(self, worker: EmulatedWorker, order: StartRun) -> None:
        ended = self._ended_runs.get((id(worker), order.subtask), 0)
        if order.run > ended and order.subtask not in worker.runs:
            worker.runs[order.subtask] = EmulatedRun(
                order.run, self.now, self.now + self._duration_s(order.subtask)
            )

    def _is_delayed(self, worker: EmulatedWorker) -> bool:
        silent = self._is_silent(self.workers.index(worker))
        return silent or self._random.random() < 0.1

    def _delay(
        self, worker: EmulatedWorker, execute: Callable[[], None]
    ) -> None:
        incarnation = worker.registration.incarnation
        harness = self.harness

        def execute_late() -> None:
            # A later holder's fence, or a restart, makes the order void.
            same = worker.registration.incarnation == incarnation
            if same and worker.crashed_at is None and harness is self.harness:
                execute()

        at = self.now + self._random.uniform(0.3, 4.0)
        self._late.append((at, execute_late))

    def _carry_out_late(self) -> None:
        due = [execute for at, execute in self._late if at <= self.now]
        self._late = [item for item in self._late if item[0] > self.now]
        for execute in due:
            execute()

    def _note_subtasks(self) -> None:
        for subtask in self._lasting_subtasks():
            if self._is_at_work(subtask):
                self._ended_by_order.discard(subtask)
                self._not_at_work_since.pop(subtask, None)
            else:
                self._not_at_work_since.setdefault(subtask, self.now)

    def _lasting_subtasks(self) -> list[SubtaskId]:
        return [
            SubtaskId(job.id, 0, 0, index)
            for job in self._jobs.values()
            if job.steps[0].lasting
            for index in range(job.steps[0].count)
        ]

    def _is_at_work(self, subtask: SubtaskId) -> bool:
        return any(
            worker.crashed_at is None
            and subtask in worker.runs
            and self._percent(worker.runs[subtask]) == FULL_SPEED_PERCENT
            for worker in self.workers
        )

    def _check_interruption(
        self, worker: EmulatedWorker, subtask: SubtaskId, order: str
    ) -> None:
        """Records a violation if an order may not end a subtask at work."""
        job: Job = self._jobs[subtask.job]
        step = job.steps[0]
        run = worker.runs[subtask]
        if not step.lasting or self._percent(run) < FULL_SPEED_PERCENT:
            return
        away = sum(
            self._is_away(subtask._replace(index=index))
            for index in range(step.count)
            if index != subtask.index
        )
        if away >= max(1, step.may_miss):
            name = worker.registration.incarnation.worker
            self.violations.append(
                f"{self.now:.2f} s: {order} of {subtask} on {name}, {away} away"
            )
        self._ended_by_order.add(subtask)

    def _is_away(self, subtask: SubtaskId) -> bool:
        since = self._not_at_work_since.get(subtask)
        return subtask in self._ended_by_order or (
            since is not None and self.now - since >= AWAY_S
        )

    def _maintain(self) -> None:
        """Runs a round of the fleet's decisions and carries out its orders."""
        waiting = [
            f"m{n}"
            for n in range(len(self.workers))
            if n not in self.maintained
        ]
        waves = (MaintenanceWave(1, tuple(waiting), 2, 130.0),)
        machines = tuple(
            MachineState(
                f"m{number}",
                SERVICE,
                worker.crashed_at is None,
                worker.registration.incarnation.worker,
                worker.registration.capacity,
            )
            for number, worker in enumerate(self.workers)
        )
        snapshot = FleetSnapshot(
            machines, {}, {}, frozenset(), waves, frozenset()
        )
        self.harness.cell.evacuate(self._planner.evacuate(snapshot), self.now)
        report = self.harness.cell.report(self.now)
        orders = self._planner.decide(
            snapshot._replace(
                pools=report.pools,
                workers=report.workers,
                evacuating=frozenset(report.evacuating),
            ),
            self.now,
        )
        for order in orders:
            self._planner.discard_order(order.machine)
            if isinstance(order, Maintain):
                self._take_down(int(order.machine[1:]))

    def _take_down(self, number: int) -> None:
        worker = self.workers[number]
        for subtask in list(worker.runs):
            self._check_interruption(worker, subtask, "maintenance")
        self.maintained.add(number)
        self.crash((number,))
