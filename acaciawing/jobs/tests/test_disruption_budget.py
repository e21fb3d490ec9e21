"""Tests of what may interrupt long-running subtasks."""

import pytest

from acaciawing.jobs import (
    Incarnation,
    JobSubmitted,
    Resources,
    RunningRow,
    StartOrderResult,
    StartOutcome,
    Step,
    StopOrderResult,
    StopRun,
    SubtaskId,
    Worker,
    WorkerEngaged,
    WorkerUnreachable,
)
from acaciawing.jobs.fleet import (
    Evacuation,
    FleetOrder,
    FleetSnapshot,
    MachineState,
    Maintain,
    MaintenanceWave,
)
from acaciawing.jobs.fleet_planner import FleetPlanner
from acaciawing.jobs.limits import STOP_RETRY_S
from acaciawing.jobs.tests.builders import (
    SERVICE,
    CellHarness,
    make_job,
    make_worker,
)
from acaciawing.jobs.tests.disruption_emulator import DisruptionEmulator
from acaciawing.jobs.workers import WorkerView

_STEP = Step(2, Resources(1000), lasting=True, may_miss=1, max_per_worker=1)
_SUBMITTED = JobSubmitted(make_job("j", _STEP), 0)
_SUBTASKS = (SubtaskId("j", 0, 0, 0), SubtaskId("j", 0, 0, 1))


def _report(harness: CellHarness, worker: Worker, percent: int = 100) -> None:
    view = harness.cell.views[worker.incarnation]
    rows = tuple(
        RunningRow(run.subtask, run.number, "", percent, 0)
        for run in view.runs.values()
    )
    harness.report(worker, running=rows)


def _worker_of(harness: CellHarness, subtask: SubtaskId) -> Worker:
    return next(
        view.registration
        for view in harness.cell.views.values()
        if subtask in view.runs
    )


def _stops(harness: CellHarness) -> list[SubtaskId]:
    return [a.subtask for a in harness.actions if isinstance(a, StopRun)]


def _make_serving() -> CellHarness:
    """Returns a cell with both subtasks at work and a worker to spare."""
    harness = CellHarness()
    workers = [make_worker(name) for name in ("u", "v", "w")]
    harness.update_workers(*workers)
    harness.recover(_SUBMITTED)
    for worker in workers:
        harness.report(worker)
    harness.settle()
    for worker in workers:
        _report(harness, worker)
    harness.settle()
    return harness


class TestMachineOrders:
    """Guards against taking down machines with runs that nobody counted."""

    _worker = make_worker("w")
    _machine = MachineState("m", SERVICE, True, "w", Resources(32_000, 131_072))
    _wave = MaintenanceWave(1, ("m",), 1, 1000.0)

    def _run_round(
        self, harness: CellHarness, planner: FleetPlanner
    ) -> tuple[FleetOrder, ...]:
        harness.settle()
        snapshot = FleetSnapshot(
            (self._machine,), {}, {}, frozenset(), (self._wave,), frozenset()
        )
        harness.cell.evacuate(planner.evacuate(snapshot), harness.now)
        report = harness.cell.report(harness.now)
        return planner.decide(
            snapshot._replace(
                pools=report.pools,
                workers=report.workers,
                evacuating=frozenset(report.evacuating),
            ),
            harness.now,
        )

    def _make_new_holder(self) -> CellHarness:
        harness = CellHarness(fence=2)
        harness.update_workers(self._worker)
        harness.recover(
            _SUBMITTED, WorkerEngaged(*self._worker.incarnation, "192.0.2.1:80")
        )
        return harness

    def test_worker_that_a_new_holder_has_not_reached_is_not_empty(
        self,
    ) -> None:
        harness, planner = self._make_new_holder(), FleetPlanner()
        assert not self._run_round(harness, planner)
        assert not self._run_round(harness, planner)
        running = (RunningRow(_SUBTASKS[0], 100_001, "", 100, 0),)
        harness.report(self._worker, running=running)
        assert not self._run_round(harness, planner)

    def test_earlier_incarnation_does_not_hide_the_runs_of_the_next(
        self,
    ) -> None:
        harness, planner = self._make_new_holder(), FleetPlanner()
        harness.report(self._worker)
        harness.settle()
        assert harness.starts
        harness.cell.views[Incarnation("w", 0)] = WorkerView(
            make_worker("w", born_ms=0), harness.now
        )
        for _ in range(3):
            assert not self._run_round(harness, planner)

    def test_empty_worker_is_taken_down_once_it_has_answered(self) -> None:
        harness, planner = self._make_new_holder(), FleetPlanner()
        assert not self._run_round(harness, planner)
        assert not self._run_round(harness, planner)
        harness.report(self._worker)
        assert self._run_round(harness, planner) == (Maintain("m", 1),)


class TestLateStarts:
    """Guards against stopping a start that was carried out late."""

    def _make_harness(self) -> CellHarness:
        """Returns a cell that is closing an unanswered start."""
        harness = CellHarness()
        worker = make_worker("u")
        harness.update_workers(worker)
        harness.recover(_SUBMITTED)
        harness.report(worker)
        harness.now += 0.01
        harness.step(answer=False)
        harness.now += 0.01
        harness.step(answer=False)
        (start,) = harness.starts
        harness.cell.receive(
            StartOrderResult(start, StartOutcome.UNANSWERED), harness.now
        )
        harness.wait(0.1)
        harness.report(worker, running=())
        harness.step()
        assert _stops(harness) == [start.subtask]
        stop = StopRun(start.worker, start.subtask, start.run)
        harness.cell.receive(StopOrderResult(stop, done=False), harness.now)
        return harness

    def test_late_start_at_full_speed_is_kept_while_others_are_away(
        self,
    ) -> None:
        harness = self._make_harness()
        for _ in range(4):
            harness.wait(STOP_RETRY_S / 2 + 0.05)
            _report(harness, make_worker("u"))
            harness.settle()
        assert len(_stops(harness)) == 1
        assert len(harness.starts) == 1

    def test_start_that_is_not_reported_is_stopped_again(self) -> None:
        harness = self._make_harness()
        harness.wait(STOP_RETRY_S + 0.1)
        harness.settle()
        assert len(_stops(harness)) == 2


class TestRepeatedStops:
    """Guards against an old permission for an order that took no effect."""

    def test_stop_without_effect_is_withdrawn_when_another_run_is_lost(
        self,
    ) -> None:
        harness = _make_serving()
        moved, other = (_worker_of(harness, s) for s in _SUBTASKS)
        evacuation = Evacuation(frozenset({moved.incarnation.worker}))
        harness.cell.evacuate(evacuation, harness.now)
        harness.settle()
        assert _stops(harness) == [_SUBTASKS[0]]
        harness.cell.receive(
            WorkerUnreachable(other.incarnation, harness.now), harness.now
        )
        for _ in range(4):
            harness.wait(STOP_RETRY_S / 2 + 0.05)
            _report(harness, moved)
            harness.cell.evacuate(evacuation, harness.now)
            harness.settle()
        assert _stops(harness) == [_SUBTASKS[0]]

    def test_stop_without_effect_is_repeated_within_the_budget(self) -> None:
        harness = _make_serving()
        moved, other = (_worker_of(harness, s) for s in _SUBTASKS)
        evacuation = Evacuation(frozenset({moved.incarnation.worker}))
        harness.cell.evacuate(evacuation, harness.now)
        harness.settle()
        for _ in range(2):
            harness.wait(STOP_RETRY_S / 2 + 0.05)
            _report(harness, moved)
            _report(harness, other)
            harness.settle()
        assert _stops(harness) == [_SUBTASKS[0], _SUBTASKS[0]]


class TestOldReports:
    """Guards against counting a run as at work on an old report."""

    def test_run_without_a_recent_report_counts_as_away(self) -> None:
        # A holder that lags handles reports seconds after their time.
        harness = _make_serving()
        moved, other = (_worker_of(harness, s) for s in _SUBTASKS)
        harness.wait(3.0)
        for view in list(harness.cell.views.values()):
            if view.registration != other:
                _report(harness, view.registration)
        evacuation = Evacuation(frozenset({moved.incarnation.worker}))
        harness.cell.evacuate(evacuation, harness.now)
        harness.settle()
        assert not _stops(harness)
        _report(harness, other)
        harness.cell.evacuate(evacuation, harness.now)
        harness.settle()
        assert _stops(harness) == [_SUBTASKS[0]]


class TestSecondRuns:
    """Guards against stopping the run that is at work for one that is not."""

    def test_run_at_work_is_kept_instead_of_a_start_elsewhere(self) -> None:
        step = Step(1, Resources(1000), lasting=True, may_miss=1)
        harness = CellHarness()
        worker, silent = make_worker("v"), make_worker("u")
        harness.update_workers(worker)
        harness.recover(JobSubmitted(make_job("j", step), 0))
        harness.report(worker)
        harness.settle()
        (start,) = harness.starts
        harness.update_workers(worker, silent)
        running = (RunningRow(_SUBTASKS[0], 1, "", 100, 0),)
        harness.report(silent, running=running)
        harness.settle()
        stops = [a for a in harness.actions if isinstance(a, StopRun)]
        assert stops == [StopRun(start.worker, start.subtask, start.run)]


class TestGangs:
    """Guards against stopping a gang at work of which a member is not known."""

    def test_members_at_work_are_kept_without_the_unknown_one(self) -> None:
        step = Step(2, Resources(1000), lasting=True, gang=True, may_miss=1)
        harness = CellHarness()
        workers = [make_worker(name) for name in ("u", "v")]
        harness.update_workers(*workers)
        harness.recover(JobSubmitted(make_job("j", step), 0))
        rows = (RunningRow(_SUBTASKS[0], 1, "", 100, 0),)
        for _ in range(4):
            harness.report(workers[0], running=rows)
            harness.wait(1.0)
            harness.settle()
        assert not _stops(harness)


class TestRandomFaults:
    """Guards against any order that ends subtasks beyond the budget."""

    @pytest.mark.parametrize("seed", range(12))
    def test_waves_beside_random_faults_keep_the_budget(
        self, seed: int
    ) -> None:
        emulator = DisruptionEmulator(seed)
        step = Step(
            5, Resources(6000), lasting=True, may_miss=1, max_per_worker=1
        )
        emulator.submit(make_job("lasting0", step), make_job("lasting1", step))
        emulator.run(3.0)
        emulator.run_with_faults(40.0)
        assert not emulator.violations
