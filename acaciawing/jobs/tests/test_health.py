"""Tests of workers that fail or stall what they run."""

from acaciawing.jobs import (
    EndedRow,
    EndKind,
    JobSubmitted,
    Resources,
    RunningRow,
    Step,
    StopRun,
)
from acaciawing.jobs.tests.builders import CellRig, a_job, a_worker


class TestHealth:
    """Guards against a worker that draws work because it never keeps any."""

    def _rig(self) -> CellRig:
        rig = CellRig(max_attempts=9)
        workers = [a_worker(n) for n in ("u", "v", "w")]
        rig.update_workers(*workers)
        rig.recover(JobSubmitted(a_job("j", Step(1, Resources(100))), 0))
        for worker in workers:
            rig.report(worker)
        rig.settle()
        return rig

    def test_failed_subtask_goes_to_another_worker(self) -> None:
        rig = self._rig()
        first = rig.starts[0]
        row = EndedRow(1, first.subtask, first.run, EndKind.FAILED, "")
        rig.report(a_worker(first.worker.worker), ended=(row,))
        rig.settle()
        assert rig.starts[1].worker != first.worker

    def test_stalled_run_is_moved(self) -> None:
        rig = self._rig()
        first = rig.starts[0]
        rows = (RunningRow(first.subtask, first.run, "", 40, 0),)
        for _ in range(4):
            rig.wait(0.8)
            rig.report(a_worker(first.worker.worker), running=rows)
            rig.settle()
        stops = [a for a in rig.actions if isinstance(a, StopRun)]
        assert [s.run for s in stops] == [first.run]

    def test_slow_run_goes_on(self) -> None:
        rig = self._rig()
        first = rig.starts[0]
        for percent in range(40, 48):
            rig.wait(0.8)
            rows = (RunningRow(first.subtask, first.run, "", percent, 0),)
            rig.report(a_worker(first.worker.worker), running=rows)
            rig.settle()
        assert not [a for a in rig.actions if isinstance(a, StopRun)]
