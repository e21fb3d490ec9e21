"""Tests of runs that may be on the next incarnation of a worker."""

from acaciawing.jobs import (
    JobSubmitted,
    RunningRow,
    SubtaskId,
    Worker,
    WorkerEngaged,
)
from acaciawing.jobs.tests.builders import (
    LEASE_S,
    LONGEST_LEASE_S,
    UNCONFIRMED_S,
    CellHarness,
    make_job,
    make_worker,
)

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
