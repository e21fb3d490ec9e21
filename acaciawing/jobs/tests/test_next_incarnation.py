"""Tests of runs that may be on the next incarnation of a worker."""

from acaciawing.jobs import (
    IncarnationEnded,
    JobSubmitted,
    Resources,
    RunningRow,
    Step,
    SubtaskId,
    Worker,
    WorkerEngaged,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobs.tests.builders import (
    LEASE_S,
    LONGEST_LEASE_S,
    UNCONFIRMED_S,
    CellHarness,
    make_job,
    make_worker,
)
from acaciawing.jobs.workers import CONTACT_TIMEOUT_S

_SUBTASK = SubtaskId("j", 0, 0, 0)
_OTHER = make_worker("x")
_CRASHED = make_worker("w", born_ms=1)
_RESTARTED = make_worker("w", born_ms=5_000)


def _restart_during_a_start(harness: CellHarness) -> None:
    """Restarts a worker before it has reported the only run."""
    harness.recover()
    harness.update_workers(_CRASHED)
    harness.report(_CRASHED, ())
    harness.settle()
    harness.submit(make_job("j"))
    harness.settle()
    assert [s.worker.worker for s in harness.starts] == ["w"]
    harness.update_workers(_RESTARTED, _OTHER)
    harness.report(_OTHER, ())
    harness.settle()


def _wait(harness: CellHarness, seconds: float, answering: Worker) -> None:
    """Lets time pass while one worker answers."""
    for _ in range(round(seconds * 10)):
        harness.wait(0.1)
        harness.report(answering)
        harness.step()


class TestInheritedLeases:
    """Guards against a subtask started elsewhere under the longest lease.

    An order that was meant for the last incarnation grants the longest lease on
    the clock of the next one. Its holder counted with the usual lease.
    """

    def test_next_incarnation_may_hold_the_longest_lease(self) -> None:
        harness = CellHarness()
        _restart_during_a_start(harness)
        run = harness.starts[0].run
        harness.report(_RESTARTED, (RunningRow(_SUBTASK, run, "", 5, 0),))
        _wait(harness, LONGEST_LEASE_S - 0.5, _OTHER)
        assert len(harness.starts) == 1
        _wait(harness, 1.0, _OTHER)
        assert [s.worker.worker for s in harness.starts] == ["w", "x"]

    def test_orders_of_an_earlier_holder_may_have_granted_it(self) -> None:
        harness = CellHarness(fence=2)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("w", 1, "192.0.2.1:80"),
        )
        harness.update_workers(_RESTARTED, _OTHER)
        excess_s = LONGEST_LEASE_S - LEASE_S
        _wait(harness, UNCONFIRMED_S + excess_s - 0.5, _OTHER)
        assert not harness.starts
        _wait(harness, 1.0, _OTHER)
        assert [s.worker.worker for s in harness.starts] == ["x"]

    def test_an_end_seen_before_recovery_leaves_the_successor_in_doubt(
        self,
    ) -> None:
        # The records that name the ended incarnation are read after its end.
        harness = CellHarness(fence=2)
        harness.update_workers(_CRASHED, _OTHER)
        harness.cell.receive(
            IncarnationEnded(_CRASHED.incarnation, _RESTARTED.incarnation),
            harness.now,
        )
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("w", 1, "192.0.2.1:80"),
        )
        _wait(harness, 1.0, _OTHER)
        assert not harness.starts
        harness.report(_RESTARTED)
        _wait(harness, 1.0, _OTHER)
        assert len(harness.starts) == 1

    def test_the_doubt_outlives_a_second_takeover(self) -> None:
        submitted = JobSubmitted(make_job("j"), 0)
        second = CellHarness(fence=2)
        second.recover(submitted, WorkerEngaged("w", 1, "192.0.2.1:80"))
        second.update_workers(_RESTARTED, _OTHER)
        second.settle()
        third = CellHarness(fence=3)
        third.update_workers(_RESTARTED, _OTHER)
        third.recover(
            submitted, WorkerEngaged("w", 1, "192.0.2.1:80"), *second.log
        )
        _wait(third, 1.0, _OTHER)
        assert not third.starts


class TestSilentSuccessor:
    """Guards against a run that stays on an incarnation that never answers.

    A run that the last incarnation had not reported was taken to be on the next
    one. When that never answered, its subtask was never started again.
    """

    def test_run_is_given_up_when_no_machine_runs_the_worker(self) -> None:
        harness = CellHarness()
        _restart_during_a_start(harness)
        assert harness.cell.has_unconfirmed_runs()
        _wait(harness, CONTACT_TIMEOUT_S + 0.5, _OTHER)
        harness.cell.update_machines({"x"}, harness.now, harness.now)
        _wait(harness, 0.5, _OTHER)
        assert [s.worker.worker for s in harness.starts] == ["w", "x"]

    def test_run_is_given_up_after_the_longest_lease(self) -> None:
        harness = CellHarness()
        _restart_during_a_start(harness)
        harness.update_workers(_OTHER)
        _wait(harness, LONGEST_LEASE_S - 0.5, _OTHER)
        assert len(harness.starts) == 1
        _wait(harness, 1.0, _OTHER)
        assert [s.worker.worker for s in harness.starts] == ["w", "x"]
        assert _RESTARTED.incarnation not in harness.cell.views

    def test_list_from_before_its_start_does_not_end_it(self) -> None:
        harness = CellHarness()
        _restart_during_a_start(harness)
        harness.wait(0.1)
        harness.cell.update_machines({"x"}, harness.now, harness.now)
        _wait(harness, 1.0, _OTHER)
        assert len(harness.starts) == 1

    def test_list_from_before_its_start_does_not_end_it_after_a_takeover(
        self,
    ) -> None:
        # The list was requested while the worker restarted, and arrived after
        # its new registration.
        harness = CellHarness(fence=2)
        harness.recover(
            JobSubmitted(make_job("j"), 0),
            WorkerEngaged("w", 1, "192.0.2.1:80"),
        )
        requested_at = harness.now
        harness.wait(0.1)
        harness.update_workers(_RESTARTED, _OTHER)
        harness.cell.update_machines({"x"}, requested_at, harness.now)
        _wait(harness, 1.0, _OTHER)
        assert not harness.starts
        harness.report(_RESTARTED, (RunningRow(_SUBTASK, 100_001, "", 5, 0),))
        _wait(harness, 1.0, _OTHER)
        assert not harness.starts


class TestUnregisteredSuccessor:
    """Guards against runs placed by the registration of the last incarnation.

    A worker may start again as one of another kind, with other labels and less
    capacity. It answers before its new registration is read.
    """

    def test_it_gets_no_run_before_it_is_registered(self) -> None:
        harness = CellHarness()
        harness.recover()
        harness.update_workers(_CRASHED)
        harness.report(_CRASHED)
        harness.settle()
        harness.cell.receive(
            IncarnationEnded(_CRASHED.incarnation, _RESTARTED.incarnation),
            harness.now,
        )
        harness.report(_RESTARTED)
        harness.settle()
        large = Step(1, Resources(32_000))
        harness.submit(make_job("j", large))
        harness.settle()
        assert not harness.starts
        harness.update_workers(make_worker("w", born_ms=5_000, cores=8))
        harness.report(_RESTARTED)
        harness.submit(make_job("k"))
        harness.settle()
        assert [s.subtask.job for s in harness.starts] == ["k"]


class TestEvacuatedSuccessor:
    """Guards against a run placed on a machine just before it is taken down.

    The evacuation of a worker held only for the incarnation that was known when
    it was requested, and the next one was free for new runs until the next
    request.
    """

    def test_it_gets_no_run_while_its_worker_is_evacuated(self) -> None:
        harness = CellHarness()
        harness.recover()
        harness.update_workers(_CRASHED)
        harness.report(_CRASHED)
        harness.cell.evacuate(Evacuation(frozenset({"w"})), harness.now)
        harness.settle()
        harness.update_workers(_RESTARTED)
        harness.report(_RESTARTED)
        harness.submit(make_job("j"))
        harness.settle()
        assert not harness.starts
        harness.cell.evacuate(Evacuation(), harness.now)
        harness.settle()
        assert [s.worker for s in harness.starts] == [_RESTARTED.incarnation]
