"""Tests of speculative copies of slow subtasks."""

from acaciawing.jobs import (
    EndedRow,
    EndKind,
    Resources,
    StartRun,
    Step,
    StopRun,
    SubtaskId,
    WorkerUnreachable,
)
from acaciawing.jobs.tests.builders import CellHarness, make_job, make_worker


def _make_harness(*, speculative: bool = True, cpu: int = 9_000) -> CellHarness:
    harness = CellHarness()
    harness.recover()
    workers = [make_worker("w0"), make_worker("w1")]
    harness.update_workers(*workers)
    for worker in workers:
        harness.report(worker, ())
    harness.settle()
    step = Step(4, Resources(cpu), speculative=speculative)
    harness.submit(make_job("j", step))
    harness.settle()
    assert len(harness.starts) == 4
    return harness


def _finish(harness: CellHarness, *starts: StartRun) -> None:
    for start in starts:
        view = harness.cell.views[start.worker]
        row = EndedRow(
            view.newest_end + 1, start.subtask, start.run, EndKind.DONE, ""
        )
        harness.report(view.registration, ended=(row,))
    harness.settle()


def _advance(harness: CellHarness, seconds: float) -> None:
    harness.wait(seconds)
    for view in list(harness.cell.views.values()):
        harness.report(view.registration)
    harness.settle()


class TestSpeculation:
    """Guards against jobs delayed by one slow subtask or worker."""

    def test_slow_subtask_is_copied_to_another_worker(self) -> None:
        harness = _make_harness()
        _advance(harness, 0.4)
        slow = harness.starts[3]
        _finish(harness, *harness.starts[:3])
        _advance(harness, 0.3)
        assert len(harness.starts) == 4
        _advance(harness, 1.0)
        copy = harness.starts[4]
        assert copy.subtask == slow.subtask
        assert copy.worker != slow.worker
        assert copy.run > slow.run

    def test_first_run_that_is_done_stops_the_other(self) -> None:
        harness = _make_harness()
        _advance(harness, 0.4)
        slow = harness.starts[3]
        _finish(harness, *harness.starts[:3])
        _advance(harness, 1.5)
        _finish(harness, harness.starts[4])
        stops = [a for a in harness.actions if isinstance(a, StopRun)]
        assert [(s.subtask, s.run) for s in stops] == [(slow.subtask, slow.run)]
        assert harness.cell.state("j") == "completed"

    def test_copy_continues_after_its_original_failed(self) -> None:
        harness = _make_harness()
        _advance(harness, 0.4)
        slow = harness.starts[3]
        _finish(harness, *harness.starts[:3])
        _advance(harness, 1.5)
        view = harness.cell.views[slow.worker]
        row = EndedRow(
            view.newest_end + 1, slow.subtask, slow.run, EndKind.FAILED, ""
        )
        harness.report(view.registration, ended=(row,))
        harness.settle()
        assert len(harness.starts) == 5
        _finish(harness, harness.starts[4])
        assert harness.cell.state("j") == "completed"

    def test_runs_on_a_silent_worker_are_copied_immediately(self) -> None:
        harness = _make_harness()
        silent = harness.starts[0].worker
        harness.cell.receive(
            WorkerUnreachable(silent, harness.now + 5), harness.now
        )
        harness.settle()
        copied = {s.subtask for s in harness.starts[4:]}
        assert copied <= {
            s.subtask for s in harness.starts if s.worker == silent
        }
        assert copied

    def test_done_subtask_is_not_copied_while_its_copy_stops(self) -> None:
        # The worker of a copy that was being stopped became silent, and the
        # done subtask was started again (soak, frizura trouble-3, seed
        # 487548552808).
        harness = _make_harness(cpu=4_000)
        silent = harness.starts[0].worker
        harness.cell.receive(
            WorkerUnreachable(silent, harness.now + 5), harness.now
        )
        harness.settle()
        copy = harness.starts[4]
        first = next(s for s in harness.starts if s.subtask == copy.subtask)
        _finish(harness, first)
        before = len([s for s in harness.starts if s.subtask == copy.subtask])
        harness.cell.receive(
            WorkerUnreachable(copy.worker, harness.now + 5), harness.now
        )
        harness.settle()
        after = len([s for s in harness.starts if s.subtask == copy.subtask])
        assert after == before

    def test_runs_of_a_step_without_speculation_are_not_copied(self) -> None:
        harness = _make_harness(speculative=False)
        _advance(harness, 0.4)
        _finish(harness, *harness.starts[:3])
        silent = harness.starts[3].worker
        _advance(harness, 1.5)
        harness.cell.receive(
            WorkerUnreachable(silent, harness.now + 5), harness.now
        )
        harness.settle()
        assert len(harness.starts) == 4
        assert SubtaskId("j", 0, 0, 3) not in harness.cell.waiting
