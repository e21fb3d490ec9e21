"""Tests of the pace of best-effort runs."""

from acaciawing.jobs import (
    JobSubmitted,
    PaceRun,
    Resources,
    RunningRow,
    Step,
)
from acaciawing.jobs.tests.builders import CellHarness, make_job, make_worker

_JOB = make_job(
    "j",
    Step(1, Resources(1000), lasting=True, target_ms=100, may_miss=1),
    Step(1, Resources(1000), lasting=True, fills=True),
)


def _report(harness: CellHarness, tail_ms: float) -> None:
    rows = tuple(
        RunningRow(
            s.subtask, s.run, "", 100, tail_ms if s.subtask.step == 0 else 500
        )
        for s in harness.starts
    )
    harness.report(make_worker("w"), running=rows)
    harness.settle()


class TestPace:
    """Guards against best-effort runs that slow down serving runs."""

    def test_best_effort_runs_pause_in_time_and_resume(self) -> None:
        harness = CellHarness()
        harness.update_workers(make_worker("w"))
        harness.recover(JobSubmitted(_JOB, 0))
        harness.report(make_worker("w"))
        harness.settle()
        assert len(harness.starts) == 2
        began_at = harness.now
        while not any(
            isinstance(a, PaceRun) and a.percent == 0 for a in harness.actions
        ):
            _report(harness, tail_ms=150)
            harness.wait(0.8)
            assert harness.now - began_at < 4.0
        paced = [a for a in harness.actions if isinstance(a, PaceRun)]
        assert {a.subtask.step for a in paced} == {1}
        for _ in range(3):
            _report(harness, tail_ms=20)
            harness.wait(0.8)
        last = [a for a in harness.actions if isinstance(a, PaceRun)][-1]
        assert 0 < last.percent < 50
