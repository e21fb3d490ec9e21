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
    SaveRecord,
    StartOrderResult,
    StartOutcome,
    Step,
    StopOrderResult,
    StopRun,
    SubtaskId,
    WorkerEngaged,
    WorkerReleased,
    WorkerReport,
    WorkerUnreachable,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobs.limits import (
    CONFIRMATION_VALIDITY_S,
    JOB_CONFIRMATION_VALIDITY_S,
)
from acaciawing.jobs.tests.builders import (
    LEASE_S,
    CellHarness,
    make_job,
    make_worker,
)
from acaciawing.jobs.workers import CONTACT_TIMEOUT_S


def _first_subtask(job: str = "j") -> SubtaskId:
    return SubtaskId(job, 0, 0, 0)


def _make_done_row(start_run: int, number: int = 1, job: str = "j") -> EndedRow:
    return EndedRow(number, _first_subtask(job), start_run, EndKind.DONE, "")


class TestTakeover:
    """Guards against runs doubled or stopped when a cell changes its holder."""

    def test_ends_reported_before_recovery_are_kept(self) -> None:
        # Such an end was acknowledged but ignored, so the subtask ran again.
        harness = CellHarness(fence=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.report(worker, ended=(_make_done_row(100_001),))
        assert not [
            a
            for a in harness.cell.take_actions(harness.now)
            if isinstance(a, Acknowledge)
        ]
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("w", 1, "192.0.2.1:80"),
        )
        harness.settle()
        assert harness.cell.state("j") == "completed"
        assert not harness.starts

    def test_runs_reported_before_recovery_continue(self) -> None:
        harness = CellHarness(fence=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.report(
            worker, running=(RunningRow(_first_subtask(), 100_001, "", 5, 0),)
        )
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.settle()
        assert not harness.starts
        assert not [a for a in harness.actions if isinstance(a, StopRun)]

    def test_earlier_jobs_wait_while_an_engaged_worker_is_silent(
        self,
    ) -> None:
        harness = CellHarness(fence=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("gone", 1, "192.0.2.9:80"),
        )
        harness.report(worker)
        harness.settle()
        assert not harness.starts
        harness.submit(make_job("new"))
        harness.settle()
        assert [s.subtask.job for s in harness.starts] == ["new"]
        for _ in range(12):
            harness.wait(1.0)
            harness.report(worker)
            harness.settle()
        assert [s.subtask.job for s in harness.starts] == ["new", "j"]

    def test_jobs_that_an_earlier_holder_may_have_read_wait(self) -> None:
        # The group may deal the cell anew right after a confirmation.
        harness = CellHarness(fence=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.cell.begin_takeover(harness.now)
        harness.recover(WorkerEngaged("gone", 1, "192.0.2.9:80"))
        harness.cell.confirm_records(harness.now)
        harness.report(worker)
        harness.wait(JOB_CONFIRMATION_VALIDITY_S)
        harness.submit(make_job("early"))
        harness.settle()
        assert not harness.starts
        harness.cell.confirm_records(harness.now)
        harness.submit(make_job("late"))
        harness.settle()
        assert [s.subtask.job for s in harness.starts] == ["late"]

    def test_runs_of_a_silent_unregistered_worker_are_not_doubled(
        self,
    ) -> None:
        # Behind a network partition the registration of a worker lapses while
        # its runs continue.
        harness = CellHarness(fence=2)
        worker, silent = make_worker("w"), make_worker("silent")
        harness.update_workers(worker, silent)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("silent", 1, "192.0.2.9:80"),
        )
        harness.update_workers(worker)
        for _ in range(5):
            harness.report(worker)
            harness.settle()
            harness.wait(1.0)
        assert not harness.starts

    def test_run_numbers_are_above_those_of_earlier_holders(self) -> None:
        harness = CellHarness(fence=7)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.report(worker)
        harness.settle()
        assert harness.starts[0].run > 699_999

    def test_ticks_before_recovery_release_no_worker(
        self,
    ) -> None:
        # A tick removed a worker whose registration had lapsed, together with
        # its runs, which were then doubled.
        harness = CellHarness(fence=2)
        worker, silent = make_worker("w"), make_worker("silent")
        harness.update_workers(worker, silent)
        harness.update_workers(worker)
        harness.cell.fold(
            [
                JobSubmitted(make_job("j"), 0),
                WorkerEngaged("silent", 1, "192.0.2.9:80"),
            ],
            harness.now,
            0,
        )
        harness.wait(0.05)
        harness.recover()
        harness.report(worker)
        harness.settle()
        assert not harness.starts

    def test_run_on_an_unregistered_worker_continues(self) -> None:
        # The registration had lapsed; the run was stopped and doubled.
        harness = CellHarness(fence=2)
        worker, silent = make_worker("w"), make_worker("silent")
        harness.update_workers(worker)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("silent", 1, "192.0.2.9:80"),
        )
        harness.report(worker)
        row = RunningRow(_first_subtask(), 100_001, "", 50, 0)
        harness.report(silent, running=(row,))
        harness.settle()
        assert not harness.starts
        assert not [a for a in harness.actions if isinstance(a, StopRun)]

    def test_machine_list_confirms_the_end_of_workers(self) -> None:
        # Without it each takeover after a move of machines waited for 11 s.
        harness = CellHarness(fence=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("moved", 1, "192.0.2.9:80"),
        )
        harness.report(worker)
        harness.settle()
        assert harness.cell.has_unconfirmed_runs()
        assert not harness.starts
        harness.cell.update_machines({"w"}, harness.now, harness.now)
        harness.settle()
        assert len(harness.starts) == 1

    def test_lease_of_an_earlier_holder_outlasts_the_first_contact(
        self,
    ) -> None:
        # A first poll grants no lease, and a second one may not be answered.
        worker, other = make_worker("w"), make_worker("other")
        harness = CellHarness(fence=2)
        harness.update_workers(worker, other)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged(*worker.incarnation, worker.address, 0),
        )
        harness.report(other)
        row = RunningRow(_first_subtask(), 100_001, "", 10, 0)
        harness.cell.receive(
            WorkerReport(worker.incarnation, harness.now, 0.0, (row,), ()),
            harness.now,
        )
        harness.settle()
        harness.wait(CONTACT_TIMEOUT_S + 0.1)
        harness.report(other)
        harness.settle()
        assert not harness.starts
        harness.wait(LEASE_S)
        harness.report(other)
        harness.settle()
        assert len(harness.starts) == 1

    def test_worker_listed_again_is_engaged_again(self) -> None:
        # Otherwise the next holder would not wait for its runs.
        worker, other = make_worker("w"), make_worker("other")
        harness = CellHarness()
        harness.update_workers(worker)
        harness.recover()
        harness.report(worker)
        engaged = harness.step(save=False)
        harness.update_workers(other)
        harness.wait(CONTACT_TIMEOUT_S + LEASE_S + 1.0)
        harness.step(save=False)
        assert worker.incarnation not in harness.cell.views
        harness.update_workers(worker, other)
        harness.report(worker)
        harness.step(save=False)
        assert [
            type(record)
            for record in harness.log
            if isinstance(record, WorkerEngaged | WorkerReleased)
            and record.worker == worker.incarnation.worker
        ] == [
            WorkerEngaged,
            WorkerReleased,
            WorkerEngaged,
        ]
        # The first record alone does not make it engaged.
        numbers = [a.number for a in engaged if isinstance(a, SaveRecord)]
        harness.cell.records_saved(numbers[-1], harness.now)
        assert not harness.cell.views[worker.incarnation].engaged


class TestIsolation:
    """Guards against an isolated holder that acts on outdated knowledge."""

    def test_lapsed_leases_free_no_run_of_an_unconfirmed_holder(self) -> None:
        # A later holder may have renewed the lease; the run was doubled.
        harness = CellHarness()
        near, far = make_worker("near"), make_worker("far", cores=64)
        harness.update_workers(near, far)
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.report(near)
        harness.report(far)
        harness.settle()
        assert harness.starts[0].worker.worker == "near"
        harness.cell.receive(
            WorkerUnreachable(near.incarnation, harness.now + LEASE_S),
            harness.now,
        )
        for _ in range(8):
            harness.wait(1.0, confirmed=False)
            harness.report(far)
            harness.settle()
        assert len(harness.starts) == 1
        harness.wait(0.1)
        harness.report(far)
        harness.settle()
        assert len(harness.starts) == 2

    def test_unconfirmed_holder_starts_only_while_all_workers_answer(
        self,
    ) -> None:
        harness = CellHarness()
        near, far = make_worker("near"), make_worker("far", cores=64)
        harness.update_workers(near, far)
        step = Step(1, Resources(1000))
        later_step = Step(1, Resources(1000), depends_on=(0,))
        harness.recover(JobSubmitted(make_job("j", step, later_step), 0))
        harness.report(near)
        harness.report(far)
        harness.settle()
        assert [s.worker.worker for s in harness.starts] == ["near"]
        for _ in range(3):
            harness.wait(1.0, confirmed=False)
            harness.report(near)
        # The job is known since before; its second step is ready only now.
        harness.report(near, ended=(_make_done_row(harness.starts[0].run),))
        harness.settle()
        assert len(harness.starts) == 1
        harness.report(far)
        harness.settle()
        assert len(harness.starts) == 2

    def test_unconfirmed_holder_restarts_no_run_of_a_worker_that_is_gone(
        self,
    ) -> None:
        # A later holder may have noted the run's end before the worker went.
        harness = CellHarness()
        near, far = make_worker("near"), make_worker("far", cores=64)
        harness.update_workers(near, far)
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.report(near)
        harness.report(far)
        harness.settle()
        assert harness.starts[0].worker.worker == "near"
        for _ in range(5):
            harness.wait(0.6, confirmed=False)
            harness.report(far)
            harness.settle()
        harness.cell.receive(
            WorkerUnreachable(near.incarnation, harness.now), harness.now
        )
        harness.cell.update_machines({"far"}, harness.now, harness.now)
        harness.report(far)
        harness.settle()
        assert len(harness.starts) == 1
        harness.wait(0.1)
        harness.report(far)
        harness.settle()
        assert len(harness.starts) == 2

    def test_unconfirmed_holder_starts_no_job_that_a_later_one_may_run(
        self,
    ) -> None:
        # A later holder holds back only the jobs of before its takeover.
        harness = CellHarness()
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover()
        harness.report(worker)
        harness.settle()
        harness.wait(CONFIRMATION_VALIDITY_S + 0.1, confirmed=False)
        harness.report(worker)
        harness.submit(make_job("j"))
        harness.settle()
        assert not harness.starts
        harness.wait(0.1)
        harness.report(worker)
        harness.settle()
        assert len(harness.starts) == 1

    def test_confirmation_from_before_a_job_was_read_starts_nothing(
        self,
    ) -> None:
        harness = CellHarness()
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover()
        harness.report(worker)
        harness.settle()
        harness.wait(2.0, confirmed=False)
        harness.report(worker)
        harness.submit(make_job("j"))
        harness.cell.confirm_holder(harness.now - 1.0)
        harness.settle()
        assert not harness.starts


class TestUnansweredStart:
    """Guards against a start that is carried out after it was abandoned."""

    def test_unconfirmed_start_is_stopped_before_another_start(self) -> None:
        harness = CellHarness()
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.report(worker)
        for _ in range(3):
            harness.step(answer=False)
        order = harness.starts[0]
        harness.cell.receive(
            StartOrderResult(order, StartOutcome.UNANSWERED), harness.now
        )
        harness.now += 0.1
        harness.report(worker, running=())
        harness.step(answer=False)
        stops = [a for a in harness.actions if isinstance(a, StopRun)]
        assert [s.run for s in stops] == [order.run]
        assert len(harness.starts) == 1
        harness.cell.receive(StopOrderResult(stops[0], True), harness.now)
        harness.now += 0.1
        harness.report(worker, running=())
        harness.settle()
        assert len(harness.starts) == 2
        assert harness.starts[1].run > order.run

    def test_unconfirmed_start_that_is_reported_continues(self) -> None:
        harness = CellHarness()
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.report(worker)
        for _ in range(3):
            harness.step(answer=False)
        order = harness.starts[0]
        harness.cell.receive(
            StartOrderResult(order, StartOutcome.UNANSWERED), harness.now
        )
        harness.now += 0.1
        harness.report(
            worker, running=(RunningRow(order.subtask, order.run, "", 1, 0),)
        )
        harness.settle()
        assert not [a for a in harness.actions if isinstance(a, StopRun)]


class TestEnds:
    """Guards against ends that are acknowledged before they are durable."""

    def test_end_is_acknowledged_after_its_record_is_durable(self) -> None:
        harness = CellHarness()
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.report(worker)
        harness.settle()
        harness.report(worker, ended=(_make_done_row(harness.starts[0].run),))
        actions = harness.step(save=False)
        assert not [a for a in actions if isinstance(a, Acknowledge)]
        assert harness.cell.state("j") == "running"
        harness.cell.records_saved(99, harness.now)
        assert harness.cell.state("j") == "completed"
        actions = harness.step()
        assert [a.end_number for a in actions if isinstance(a, Acknowledge)]

    def test_end_of_a_job_that_is_read_later_is_not_lost(self) -> None:
        # An earlier holder has started it; its submission is read after the end.
        harness = CellHarness(fence=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover()
        row = _make_done_row(100_001)
        harness.report(worker, ended=(row,))
        harness.settle()
        assert not self._acknowledged(harness)
        harness.submit(make_job("j"))
        harness.cell.confirm_records(harness.now)
        harness.report(worker, ended=(row,))
        harness.settle()
        assert not harness.starts
        assert harness.cell.state("j") == "completed"
        assert self._acknowledged(harness) == [1]

    def test_end_of_an_unknown_job_is_acknowledged_once_all_is_read(
        self,
    ) -> None:
        harness = CellHarness(fence=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover()
        rows = (_make_done_row(100_001), _make_done_row(100_002, 2, "k"))
        harness.report(worker, ended=rows[:1])
        harness.cell.confirm_records(harness.now)
        harness.wait(0.1)
        harness.report(worker, ended=rows)
        harness.settle()
        assert self._acknowledged(harness) == [1]
        harness.cell.confirm_records(harness.now)
        harness.report(worker, ended=rows)
        harness.settle()
        assert self._acknowledged(harness) == [1, 2]

    def _acknowledged(self, harness: CellHarness) -> list[int]:
        return [
            action.end_number
            for action in harness.actions
            if isinstance(action, Acknowledge)
        ]

    def test_job_fails_after_its_last_attempt(self) -> None:
        harness = CellHarness(max_attempts=2)
        worker = make_worker("w")
        harness.update_workers(worker)
        harness.recover(JobSubmitted(make_job("j"), 0))
        harness.report(worker)
        for number in (1, 2, 3):
            harness.settle()
            if len(harness.starts) < number:
                break
            row = EndedRow(
                number,
                _first_subtask(),
                harness.starts[-1].run,
                EndKind.FAILED,
                "",
            )
            harness.report(worker, ended=(row,))
        assert len(harness.starts) == 2
        harness.settle()
        assert harness.cell.state("j") == "failed"

    def test_step_starts_only_after_all_subtasks_of_the_previous_step(
        self,
    ) -> None:
        harness = CellHarness()
        worker = make_worker("w")
        harness.update_workers(worker)
        job = make_job(
            "j",
            Step(2, Resources(1000)),
            Step(1, Resources(1000), depends_on=(0,)),
        )
        harness.recover(JobSubmitted(job, 0))
        harness.report(worker)
        harness.settle()
        assert {s.subtask.step for s in harness.starts} == {0}
        rows = tuple(
            EndedRow(n, s.subtask, s.run, EndKind.DONE, "")
            for n, s in enumerate(harness.starts, 1)
        )
        harness.report(worker, ended=rows[:1])
        harness.settle()
        assert len(harness.starts) == 2
        harness.report(worker, ended=rows)
        harness.settle()
        assert harness.starts[-1].subtask.step == 1


class TestEvacuation:
    """Guards against interrupting too many long-running subtasks at once."""

    _step = Step(2, Resources(1000), lasting=True, may_miss=1, max_per_worker=1)
    _submitted = JobSubmitted(make_job("j", _step), 0)

    def _make_harness(self) -> CellHarness:
        harness = CellHarness()
        workers = [make_worker(n) for n in ("u", "v", "w")]
        harness.update_workers(*workers)
        harness.recover(self._submitted)
        for worker in workers:
            harness.report(worker)
        harness.settle()
        self._report(harness)
        return harness

    def _report(self, harness: CellHarness, percent: int = 100) -> None:
        for view in list(harness.cell.views.values()):
            rows = tuple(
                RunningRow(r.subtask, r.number, "", percent, 900)
                for r in view.runs.values()
            )
            harness.report(view.registration, running=rows)
        harness.settle()

    def _stops(self, harness: CellHarness) -> list[StopRun]:
        return [a for a in harness.actions if isinstance(a, StopRun)]

    def test_one_long_running_subtask_moves_at_a_time(self) -> None:
        harness = self._make_harness()
        harness.wait(3.0)
        self._report(harness)
        harness.cell.evacuate(
            Evacuation(frozenset(s.worker.worker for s in harness.starts)),
            harness.now,
        )
        harness.settle()
        assert len(self._stops(harness)) == 1

    def test_recently_adopted_run_is_not_treated_as_serving(
        self,
    ) -> None:
        # An earlier holder may have ordered its stop, which reports don't show.
        earlier = self._make_harness()
        harness = CellHarness(fence=2)
        harness.now = earlier.now
        harness.cell.confirm_holder(harness.now)
        harness.update_workers(
            *(v.registration for v in earlier.cell.views.values())
        )
        for view in list(harness.cell.views.values()):
            runs = earlier.cell.views[view.incarnation].runs.values()
            rows = tuple(
                RunningRow(r.subtask, r.number, "", 100, 900) for r in runs
            )
            harness.report(view.registration, running=rows)
        harness.recover(*earlier.log, self._submitted)
        harness.settle()
        harness.wait(1.0)
        self._report(harness)
        evacuation = Evacuation(frozenset({earlier.starts[0].worker.worker}))
        harness.cell.evacuate(evacuation, harness.now)
        harness.settle()
        assert not self._stops(harness)
        harness.wait(1.0)
        self._report(harness)
        harness.cell.evacuate(evacuation, harness.now)
        harness.settle()
        assert len(self._stops(harness)) == 1

    def test_own_run_serves_as_soon_as_it_reports_full_speed(self) -> None:
        # Waiting longer made a tenth of a wave's machines late.
        harness = self._make_harness()
        harness.wait(0.1)
        self._report(harness)
        harness.cell.evacuate(
            Evacuation(frozenset({harness.starts[0].worker.worker})),
            harness.now,
        )
        harness.settle()
        assert len(self._stops(harness)) == 1


class TestRestartedWorker:
    """Guards against an order that reaches a worker's next incarnation.

    An order names the worker by its id, which a restarted worker keeps.
    """

    def _restart_worker(self, harness: CellHarness, *, reported: bool) -> None:
        old = make_worker("w", born_ms=1)
        other = make_worker("x")
        harness.recover()
        harness.update_workers(old)
        harness.report(old, ())
        harness.settle()
        harness.submit(make_job("j"))
        harness.settle()
        assert len(harness.starts) == 1
        if reported:
            harness.wait(0.1)
            harness.report(old)
        harness.wait(0.1)
        harness.update_workers(make_worker("w", born_ms=5_000), other)
        harness.report(other, ())
        harness.settle()

    def test_unreported_start_may_run_in_the_next_incarnation(self) -> None:
        harness = CellHarness()
        self._restart_worker(harness, reported=False)
        assert len(harness.starts) == 1
        restarted = make_worker("w", born_ms=5_000)
        harness.wait(0.1)
        row = RunningRow(_first_subtask(), harness.starts[0].run, "", 5, 0)
        harness.report(restarted, running=(row,))
        harness.settle()
        assert len(harness.starts) == 1
        assert not [a for a in harness.actions if isinstance(a, StopRun)]

    def test_absence_in_the_next_incarnation_is_confirmed_by_a_stop(
        self,
    ) -> None:
        harness = CellHarness()
        self._restart_worker(harness, reported=False)
        restarted = make_worker("w", born_ms=5_000)
        harness.wait(0.1)
        harness.report(restarted, running=())
        harness.settle()
        stop = next(a for a in harness.actions if isinstance(a, StopRun))
        assert len(harness.starts) == 1
        harness.cell.receive(StopOrderResult(stop, True, False), harness.now)
        harness.wait(0.1)
        harness.report(restarted, running=())
        harness.settle()
        assert len(harness.starts) == 2

    def test_next_holder_asks_the_next_incarnation_for_the_run(self) -> None:
        earlier = CellHarness()
        self._restart_worker(earlier, reported=False)
        later = CellHarness(fence=2)
        restarted, other = make_worker("w", born_ms=5_000), make_worker("x")
        later.update_workers(restarted, other)
        later.recover(JobSubmitted(make_job("j"), 0), *earlier.log)
        later.report(other, ())
        later.settle()
        assert not later.starts
        row = RunningRow(_first_subtask(), earlier.starts[0].run, "", 5, 0)
        later.report(restarted, running=(row,))
        later.settle()
        assert not later.starts

    def test_reported_run_ends_with_its_incarnation(self) -> None:
        harness = CellHarness()
        self._restart_worker(harness, reported=True)
        assert len(harness.starts) == 2

    def test_new_holder_waits_for_a_report_of_the_next_incarnation(
        self,
    ) -> None:
        harness = CellHarness(fence=2)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("w", 1, "192.0.2.1:80"),
        )
        other = make_worker("x")
        harness.update_workers(make_worker("w", born_ms=5_000), other)
        harness.report(other, ())
        harness.settle()
        assert not harness.starts
        harness.wait(0.1)
        harness.report(make_worker("w", born_ms=5_000), ())
        harness.settle()
        assert len(harness.starts) == 1

    def test_next_incarnation_may_answer_before_it_is_registered(self) -> None:
        harness = CellHarness()
        old, other = make_worker("w", born_ms=1), make_worker("x")
        harness.recover()
        harness.update_workers(old)
        harness.report(old, ())
        harness.settle()
        harness.submit(make_job("j"))
        harness.settle()
        harness.update_workers(old, other)
        harness.report(other, ())
        restarted = Incarnation("w", 5_000)
        harness.cell.receive(
            IncarnationEnded(old.incarnation, restarted), harness.now
        )
        harness.settle()
        assert len(harness.starts) == 1
        harness.wait(0.1)
        harness.report(make_worker("w", born_ms=5_000), ())
        assert len(harness.starts) == 1


class TestLapsedOrders:
    """Guards against a start that is sent after its run was abandoned."""

    def test_queued_start_is_withdrawn_when_leases_lapse(
        self,
    ) -> None:
        # The start is queued behind orders that a silent worker doesn't
        # answer. It would be sent with a new lease once the worker answers
        # again, while the subtask runs elsewhere.
        harness = CellHarness()
        silent, other = make_worker("w"), make_worker("x")
        harness.recover()
        harness.update_workers(silent)
        harness.report(silent, ())
        harness.settle()
        harness.submit(make_job("j"))
        harness.step(answer=False)
        assert len(harness.starts) == 1
        harness.update_workers(silent, other)
        harness.wait(LEASE_S + 1)
        harness.report(other, ())
        harness.settle()
        stops = [a for a in harness.actions if isinstance(a, StopRun)]
        assert [(s.worker.worker, s.run) for s in stops] == [
            ("w", harness.starts[0].run)
        ]
        assert [s.worker.worker for s in harness.starts] == ["w", "x"]
