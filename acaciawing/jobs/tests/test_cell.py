"""Tests of a cell's decisions under failure."""

from acaciawing.jobs import (
    Acknowledge,
    EndedRow,
    EndKind,
    Incarnation,
    IncarnationEnded,
    JobSubmitted,
    Resources,
    RunningRow,
    StartOrderResult,
    StartOutcome,
    Step,
    StopOrderResult,
    StopRun,
    SubtaskId,
    WorkerEngaged,
    WorkerUnreachable,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobs.tests.builders import LEASE_S, CellRig, a_job, a_worker


def _first(job: str = "j") -> SubtaskId:
    return SubtaskId(job, 0, 0, 0)


def _done(start_run: int, number: int = 1, job: str = "j") -> EndedRow:
    return EndedRow(number, _first(job), start_run, EndKind.DONE, "")


class TestTakeover:
    """Guards against work doubled or ended when a cell changes its holder."""

    def test_ends_that_come_before_the_records_are_kept(self) -> None:
        # The end was acknowledged unread, so that the subtask ran again.
        rig = CellRig(fence=2)
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.report(worker, ended=(_done(100_001),))
        assert not [
            a
            for a in rig.cell.take_actions(rig.now)
            if isinstance(a, Acknowledge)
        ]
        rig.recover(
            JobSubmitted(a_job("j"), 0), WorkerEngaged("w", 1, "192.0.2.1:80")
        )
        rig.settle()
        assert rig.cell.state("j") == "completed"
        assert not rig.starts

    def test_runs_that_are_seen_before_the_records_go_on(self) -> None:
        rig = CellRig(fence=2)
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.report(worker, running=(RunningRow(_first(), 100_001, "", 5, 0),))
        rig.recover(JobSubmitted(a_job("j"), 0))
        rig.settle()
        assert not rig.starts
        assert not [a for a in rig.actions if isinstance(a, StopRun)]

    def test_nothing_old_starts_while_an_engaged_worker_is_silent(
        self,
    ) -> None:
        rig = CellRig(fence=2)
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.recover(
            JobSubmitted(a_job("j"), 0),
            WorkerEngaged("gone", 1, "192.0.2.9:80"),
        )
        rig.report(worker)
        rig.settle()
        assert not rig.starts
        rig.submit(a_job("new"))
        rig.settle()
        assert [s.subtask.job for s in rig.starts] == ["new"]
        for _ in range(12):
            rig.wait(1.0)
            rig.report(worker)
            rig.settle()
        assert [s.subtask.job for s in rig.starts] == ["new", "j"]

    def test_silent_worker_that_is_no_longer_listed_still_counts(
        self,
    ) -> None:
        # Its entry had lapsed behind a cut, while its runs went on.
        rig = CellRig(fence=2)
        worker, silent = a_worker("w"), a_worker("silent")
        rig.update_workers(worker, silent)
        rig.recover(
            JobSubmitted(a_job("j"), 0),
            WorkerEngaged("silent", 1, "192.0.2.9:80"),
        )
        rig.update_workers(worker)
        for _ in range(5):
            rig.report(worker)
            rig.settle()
            rig.wait(1.0)
        assert not rig.starts

    def test_run_numbers_are_above_those_of_earlier_holders(self) -> None:
        rig = CellRig(fence=7)
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.recover(JobSubmitted(a_job("j"), 0))
        rig.report(worker)
        rig.settle()
        assert rig.starts[0].run > 699_999

    def test_time_that_passes_before_the_records_releases_no_worker(
        self,
    ) -> None:
        # A tick dropped a worker whose entry had lapsed, and its runs with it.
        rig = CellRig(fence=2)
        worker, silent = a_worker("w"), a_worker("silent")
        rig.update_workers(worker, silent)
        rig.update_workers(worker)
        rig.cell.fold(
            [
                JobSubmitted(a_job("j"), 0),
                WorkerEngaged("silent", 1, "192.0.2.9:80"),
            ],
            rig.now,
            0,
        )
        rig.wait(0.05)
        rig.recover()
        rig.report(worker)
        rig.settle()
        assert not rig.starts

    def test_run_on_a_worker_that_is_not_listed_goes_on(self) -> None:
        # Its entry had lapsed; the run was stopped and doubled meanwhile.
        rig = CellRig(fence=2)
        worker, silent = a_worker("w"), a_worker("silent")
        rig.update_workers(worker)
        rig.recover(
            JobSubmitted(a_job("j"), 0),
            WorkerEngaged("silent", 1, "192.0.2.9:80"),
        )
        rig.report(worker)
        row = RunningRow(_first(), 100_001, "", 50, 0)
        rig.report(silent, running=(row,))
        rig.settle()
        assert not rig.starts
        assert not [a for a in rig.actions if isinstance(a, StopRun)]

    def test_machine_list_ends_the_doubt(self) -> None:
        # Machines had moved; each takeover then waited for 11 s.
        rig = CellRig(fence=2)
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.recover(
            JobSubmitted(a_job("j"), 0),
            WorkerEngaged("moved", 1, "192.0.2.9:80"),
        )
        rig.report(worker)
        rig.settle()
        assert rig.cell.in_doubt()
        assert not rig.starts
        rig.cell.update_machines({"w"}, rig.now, rig.now)
        rig.settle()
        assert len(rig.starts) == 1


class TestIsolation:
    """Guards against a holder that acts on what it can't know any more."""

    def test_lapse_without_confirmation_frees_nothing(self) -> None:
        # A later holder had renewed the lease; the run was doubled.
        rig = CellRig()
        near, far = a_worker("near"), a_worker("far", cores=64)
        rig.update_workers(near, far)
        rig.recover(JobSubmitted(a_job("j"), 0))
        rig.report(near)
        rig.report(far)
        rig.settle()
        assert rig.starts[0].worker.worker == "near"
        rig.cell.receive(
            WorkerUnreachable(near.incarnation, rig.now + LEASE_S), rig.now
        )
        for _ in range(8):
            rig.wait(1.0, confirmed=False)
            rig.report(far)
            rig.settle()
        assert len(rig.starts) == 1
        rig.wait(0.1)
        rig.report(far)
        rig.settle()
        assert len(rig.starts) == 2

    def test_unconfirmed_holder_starts_only_while_all_workers_answer(
        self,
    ) -> None:
        rig = CellRig()
        near, far = a_worker("near"), a_worker("far")
        rig.update_workers(near, far)
        rig.recover()
        rig.report(near)
        rig.report(far)
        rig.settle()
        for _ in range(3):
            rig.wait(1.0, confirmed=False)
            rig.report(near)
        rig.submit(a_job("j"))
        rig.settle()
        assert not rig.starts
        rig.report(far)
        rig.settle()
        assert len(rig.starts) == 1


class TestUnansweredStart:
    """Guards against a start that is carried out after it was given up."""

    def test_run_is_closed_by_a_stop_before_another_start(self) -> None:
        rig = CellRig()
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.recover(JobSubmitted(a_job("j"), 0))
        rig.report(worker)
        for _ in range(3):
            rig.step(answer=False)
        order = rig.starts[0]
        rig.cell.receive(
            StartOrderResult(order, StartOutcome.UNANSWERED), rig.now
        )
        rig.now += 0.1
        rig.report(worker, running=())
        rig.step(answer=False)
        stops = [a for a in rig.actions if isinstance(a, StopRun)]
        assert [s.run for s in stops] == [order.run]
        assert len(rig.starts) == 1
        rig.cell.receive(StopOrderResult(stops[0], True), rig.now)
        rig.now += 0.1
        rig.report(worker, running=())
        rig.settle()
        assert len(rig.starts) == 2
        assert rig.starts[1].run > order.run

    def test_run_that_is_listed_goes_on(self) -> None:
        rig = CellRig()
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.recover(JobSubmitted(a_job("j"), 0))
        rig.report(worker)
        for _ in range(3):
            rig.step(answer=False)
        order = rig.starts[0]
        rig.cell.receive(
            StartOrderResult(order, StartOutcome.UNANSWERED), rig.now
        )
        rig.now += 0.1
        rig.report(
            worker, running=(RunningRow(order.subtask, order.run, "", 1, 0),)
        )
        rig.settle()
        assert not [a for a in rig.actions if isinstance(a, StopRun)]


class TestEnds:
    """Guards against ends that are acknowledged before they are durable."""

    def test_end_is_acknowledged_after_its_record(self) -> None:
        rig = CellRig()
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.recover(JobSubmitted(a_job("j"), 0))
        rig.report(worker)
        rig.settle()
        rig.report(worker, ended=(_done(rig.starts[0].run),))
        actions = rig.step(save=False)
        assert not [a for a in actions if isinstance(a, Acknowledge)]
        assert rig.cell.state("j") == "running"
        rig.cell.records_saved(99, rig.now)
        assert rig.cell.state("j") == "completed"
        actions = rig.step()
        assert [a.end_number for a in actions if isinstance(a, Acknowledge)]

    def test_job_fails_after_its_attempts(self) -> None:
        rig = CellRig(max_attempts=2)
        worker = a_worker("w")
        rig.update_workers(worker)
        rig.recover(JobSubmitted(a_job("j"), 0))
        rig.report(worker)
        for number in (1, 2, 3):
            rig.settle()
            if len(rig.starts) < number:
                break
            row = EndedRow(
                number, _first(), rig.starts[-1].run, EndKind.FAILED, ""
            )
            rig.report(worker, ended=(row,))
        assert len(rig.starts) == 2
        rig.settle()
        assert rig.cell.state("j") == "failed"

    def test_next_step_starts_only_after_all_of_the_step_before(self) -> None:
        rig = CellRig()
        worker = a_worker("w")
        rig.update_workers(worker)
        job = a_job(
            "j",
            Step(2, Resources(1000)),
            Step(1, Resources(1000), depends_on=(0,)),
        )
        rig.recover(JobSubmitted(job, 0))
        rig.report(worker)
        rig.settle()
        assert {s.subtask.step for s in rig.starts} == {0}
        rows = tuple(
            EndedRow(n, s.subtask, s.run, EndKind.DONE, "")
            for n, s in enumerate(rig.starts, 1)
        )
        rig.report(worker, ended=rows[:1])
        rig.settle()
        assert len(rig.starts) == 2
        rig.report(worker, ended=rows)
        rig.settle()
        assert rig.starts[-1].subtask.step == 1


class TestEvacuation:
    """Guards against lasting work that too many orders interrupt at once."""

    def _rig(self) -> CellRig:
        rig = CellRig()
        workers = [a_worker(n) for n in ("u", "v", "w")]
        rig.update_workers(*workers)
        step = Step(
            2, Resources(1000), lasting=True, may_miss=1, max_per_worker=1
        )
        rig.recover(JobSubmitted(a_job("j", step), 0))
        for worker in workers:
            rig.report(worker)
        rig.settle()
        self._report(rig)
        return rig

    def _report(self, rig: CellRig, percent: int = 100) -> None:
        for view in list(rig.cell.views.values()):
            rows = tuple(
                RunningRow(r.subtask, r.number, "", percent, 900)
                for r in view.runs.values()
            )
            rig.report(view.listed, running=rows)
        rig.settle()

    def _stops(self, rig: CellRig) -> list[StopRun]:
        return [a for a in rig.actions if isinstance(a, StopRun)]

    def test_one_lasting_run_moves_at_a_time(self) -> None:
        rig = self._rig()
        rig.wait(3.0)
        self._report(rig)
        rig.cell.evacuate(
            Evacuation(frozenset(s.worker.worker for s in rig.starts)), rig.now
        )
        rig.settle()
        assert len(self._stops(rig)) == 1

    def test_run_that_was_just_adopted_does_not_count_as_at_work(
        self,
    ) -> None:
        # An earlier holder had ordered its stop, which is not listed.
        rig = self._rig()
        rig.wait(1.0)
        self._report(rig)
        rig.cell.evacuate(
            Evacuation(frozenset({rig.starts[0].worker.worker})), rig.now
        )
        rig.settle()
        assert not self._stops(rig)


class TestRebornWorker:
    """Guards against an order that reaches the next life of a worker.

    The soak found it: the order names the worker, which keeps its id.
    """

    def _reborn(self, rig: CellRig, *, listed: bool) -> None:
        old = a_worker("w", born_ms=1)
        other = a_worker("x")
        rig.recover()
        rig.update_workers(old)
        rig.report(old, ())
        rig.settle()
        rig.submit(a_job("j"))
        rig.settle()
        assert len(rig.starts) == 1
        if listed:
            rig.wait(0.1)
            rig.report(old)
        rig.wait(0.1)
        rig.update_workers(a_worker("w", born_ms=5_000), other)
        rig.report(other, ())
        rig.settle()

    def test_a_start_that_was_not_listed_may_be_in_the_next_life(self) -> None:
        rig = CellRig()
        self._reborn(rig, listed=False)
        assert len(rig.starts) == 1
        reborn = a_worker("w", born_ms=5_000)
        rig.wait(0.1)
        row = RunningRow(_first(), rig.starts[0].run, "", 5, 0)
        rig.report(reborn, running=(row,))
        rig.settle()
        assert len(rig.starts) == 1
        assert not [a for a in rig.actions if isinstance(a, StopRun)]

    def test_its_absence_there_is_made_certain_first(self) -> None:
        rig = CellRig()
        self._reborn(rig, listed=False)
        reborn = a_worker("w", born_ms=5_000)
        rig.wait(0.1)
        rig.report(reborn, running=())
        rig.settle()
        stop = next(a for a in rig.actions if isinstance(a, StopRun))
        assert len(rig.starts) == 1
        rig.cell.receive(StopOrderResult(stop, True, False), rig.now)
        rig.wait(0.1)
        rig.report(reborn, running=())
        rig.settle()
        assert len(rig.starts) == 2

    def test_a_run_that_was_listed_died_with_its_life(self) -> None:
        rig = CellRig()
        self._reborn(rig, listed=True)
        assert len(rig.starts) == 2

    def test_a_new_holder_asks_the_next_life_as_well(self) -> None:
        rig = CellRig(fence=2)
        rig.recover(
            JobSubmitted(a_job("j"), 0), WorkerEngaged("w", 1, "192.0.2.1:80")
        )
        other = a_worker("x")
        rig.update_workers(a_worker("w", born_ms=5_000), other)
        rig.report(other, ())
        rig.settle()
        assert not rig.starts
        rig.wait(0.1)
        rig.report(a_worker("w", born_ms=5_000), ())
        rig.settle()
        assert len(rig.starts) == 1

    def test_the_next_life_that_answers_before_it_is_listed(self) -> None:
        rig = CellRig()
        old, other = a_worker("w", born_ms=1), a_worker("x")
        rig.recover()
        rig.update_workers(old)
        rig.report(old, ())
        rig.settle()
        rig.submit(a_job("j"))
        rig.settle()
        rig.update_workers(old, other)
        rig.report(other, ())
        reborn = Incarnation("w", 5_000)
        rig.cell.receive(IncarnationEnded(old.incarnation, reborn), rig.now)
        rig.settle()
        assert len(rig.starts) == 1
        rig.wait(0.1)
        rig.report(a_worker("w", born_ms=5_000), ())
        assert len(rig.starts) == 1


class TestLapsedOrders:
    """Guards against a start that is sent after its run was given up."""

    def test_a_start_that_still_waits_is_withdrawn_when_leases_lapse(
        self,
    ) -> None:
        # It waits behind orders that a silent worker does not answer, and
        # would be sent with a new lease once the worker answers again.
        rig = CellRig()
        silent, other = a_worker("w"), a_worker("x")
        rig.recover()
        rig.update_workers(silent)
        rig.report(silent, ())
        rig.settle()
        rig.submit(a_job("j"))
        rig.step(answer=False)
        assert len(rig.starts) == 1
        rig.update_workers(silent, other)
        rig.wait(LEASE_S + 1)
        rig.report(other, ())
        rig.settle()
        stops = [a for a in rig.actions if isinstance(a, StopRun)]
        assert [(s.worker.worker, s.run) for s in stops] == [
            ("w", rig.starts[0].run)
        ]
        assert [s.worker.worker for s in rig.starts] == ["w", "x"]
