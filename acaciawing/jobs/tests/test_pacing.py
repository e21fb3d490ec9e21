"""Tests of the pace of runs that fill."""

from acaciawing.jobs import (
    JobSubmitted,
    PaceRun,
    Resources,
    RunningRow,
    Step,
)
from acaciawing.jobs.tests.builders import CellRig, a_job, a_worker

_JOB = a_job(
    "j",
    Step(1, Resources(1000), lasting=True, target_ms=100, may_miss=1),
    Step(1, Resources(1000), lasting=True, fills=True),
)


def _report(rig: CellRig, tail_ms: float) -> None:
    rows = tuple(
        RunningRow(
            s.subtask, s.run, "", 100, tail_ms if s.subtask.step == 0 else 500
        )
        for s in rig.starts
    )
    rig.report(a_worker("w"), running=rows)
    rig.settle()


class TestPace:
    """Guards against users of serving work that wait for what only fills."""

    def test_fill_stops_within_the_time_allowed_and_comes_back(self) -> None:
        rig = CellRig()
        rig.update_workers(a_worker("w"))
        rig.recover(JobSubmitted(_JOB, 0))
        rig.report(a_worker("w"))
        rig.settle()
        assert len(rig.starts) == 2
        began_at = rig.now
        while not any(
            isinstance(a, PaceRun) and a.percent == 0 for a in rig.actions
        ):
            _report(rig, tail_ms=150)
            rig.wait(0.8)
            assert rig.now - began_at < 4.0
        paced = [a for a in rig.actions if isinstance(a, PaceRun)]
        assert {a.subtask.step for a in paced} == {1}
        for _ in range(3):
            _report(rig, tail_ms=20)
            rig.wait(0.8)
        last = [a for a in rig.actions if isinstance(a, PaceRun)][-1]
        assert 0 < last.percent < 50
