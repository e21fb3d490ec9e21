"""Tests of the detection of workers that fail or stall their runs."""

from acaciawing.jobs import (
    EndedRow,
    EndKind,
    JobSubmitted,
    Resources,
    RunningRow,
    Step,
    StopRun,
)
from acaciawing.jobs.tests.builders import CellHarness, make_job, make_worker


class TestHealth:
    """Guards against a faulty worker that fails its runs and so gets more."""

    def _make_harness(self) -> CellHarness:
        harness = CellHarness(max_attempts=9)
        workers = [make_worker(n) for n in ("u", "v", "w")]
        harness.update_workers(*workers)
        harness.recover(JobSubmitted(make_job("j", Step(1, Resources(100))), 0))
        for worker in workers:
            harness.report(worker)
        harness.settle()
        return harness

    def test_failed_subtask_goes_to_another_worker(self) -> None:
        harness = self._make_harness()
        first = harness.starts[0]
        row = EndedRow(1, first.subtask, first.run, EndKind.FAILED, "")
        harness.report(make_worker(first.worker.worker), ended=(row,))
        harness.settle()
        assert harness.starts[1].worker != first.worker

    def test_stalled_run_is_stopped(self) -> None:
        harness = self._make_harness()
        first = harness.starts[0]
        rows = (RunningRow(first.subtask, first.run, "", 40, 0),)
        for _ in range(4):
            harness.wait(0.8)
            harness.report(make_worker(first.worker.worker), running=rows)
            harness.settle()
        stops = [a for a in harness.actions if isinstance(a, StopRun)]
        assert [s.run for s in stops] == [first.run]

    def test_slow_run_continues(self) -> None:
        harness = self._make_harness()
        first = harness.starts[0]
        for percent in range(40, 48):
            harness.wait(0.8)
            rows = (RunningRow(first.subtask, first.run, "", percent, 0),)
            harness.report(make_worker(first.worker.worker), running=rows)
            harness.settle()
        assert not [a for a in harness.actions if isinstance(a, StopRun)]
