"""Tests of the number of waiting jobs that callers are told."""

import pytest

from acaciawing.jobs import (
    EndedRow,
    EndKind,
    RunningRow,
    StartOrderResult,
    StartOutcome,
    SubtaskId,
)
from acaciawing.jobs.tests.builders import (
    QUEUE,
    CellHarness,
    make_job,
    make_worker,
)

_WORKER = make_worker("w")
_SUBTASK = SubtaskId("j", 0, 0, 0)


def _order_start(*, after_crash: bool) -> CellHarness:
    """Returns a cell that has ordered the start of its only job."""
    harness = CellHarness()
    harness.recover()
    harness.update_workers(_WORKER)
    harness.report(_WORKER, ())
    harness.settle()
    if after_crash:
        # Starts are recorded for a while after a crash.
        harness.cell._crash_seen_at = harness.now
    harness.submit(make_job("j"))
    harness.step(answer=False)
    assert len(harness.starts) == 1
    return harness


class TestWaitingJobs:
    """Guards against jobs that are told to have started and have not.

    Starts that are refused on a worker that is cut off left their jobs counted
    as started: 8 jobs were said to wait, and 32 had waited for 5 s.
    """

    @pytest.mark.parametrize("after_crash", [False, True])
    @pytest.mark.parametrize(
        "outcome", [StartOutcome.REFUSED, StartOutcome.UNANSWERED]
    )
    def test_an_order_alone_starts_no_job(
        self, outcome: StartOutcome, after_crash: bool
    ) -> None:
        harness = _order_start(after_crash=after_crash)
        result = StartOrderResult(harness.starts[0], outcome)
        harness.cell.receive(result, harness.now)
        assert harness.cell.waiting_jobs(QUEUE) == 1
        assert harness.cell.state("j") == "pending"

    def test_a_confirmed_start_counts(self) -> None:
        harness = _order_start(after_crash=False)
        result = StartOrderResult(harness.starts[0], StartOutcome.STARTED)
        harness.cell.receive(result, harness.now)
        assert harness.cell.waiting_jobs(QUEUE) == 0
        assert harness.cell.state("j") == "running"

    def test_a_reported_run_counts(self) -> None:
        harness = _order_start(after_crash=False)
        row = RunningRow(_SUBTASK, harness.starts[0].run, "", 5, 0)
        harness.report(_WORKER, (row,))
        assert harness.cell.waiting_jobs(QUEUE) == 0

    def test_an_ended_run_counts(self) -> None:
        harness = _order_start(after_crash=False)
        run = harness.starts[0].run
        row = EndedRow(1, _SUBTASK, run, EndKind.STOPPED, "")
        harness.report(_WORKER, (), (row,))
        assert harness.cell.waiting_jobs(QUEUE) == 0
