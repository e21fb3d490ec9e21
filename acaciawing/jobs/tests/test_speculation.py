"""Tests of copies of slow subtasks."""

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
from acaciawing.jobs.tests.builders import CellRig, a_job, a_worker


def _rig(*, speculative: bool = True, cpu: int = 9_000) -> CellRig:
    rig = CellRig()
    rig.recover()
    workers = [a_worker("w0"), a_worker("w1")]
    rig.update_workers(*workers)
    for worker in workers:
        rig.report(worker, ())
    rig.settle()
    step = Step(4, Resources(cpu), speculative=speculative)
    rig.submit(a_job("j", step))
    rig.settle()
    assert len(rig.starts) == 4
    return rig


def _finish(rig: CellRig, *starts: StartRun) -> None:
    for start in starts:
        view = rig.cell.views[start.worker]
        row = EndedRow(
            view.newest_end + 1, start.subtask, start.run, EndKind.DONE, ""
        )
        rig.report(view.listed, ended=(row,))
    rig.settle()


def _later(rig: CellRig, seconds: float) -> None:
    rig.wait(seconds)
    for view in list(rig.cell.views.values()):
        rig.report(view.listed)
    rig.settle()


class TestCopies:
    """Guards against jobs that wait for one slow subtask or worker."""

    def test_a_slow_subtask_is_copied_to_another_worker(self) -> None:
        rig = _rig()
        _later(rig, 0.4)
        slow = rig.starts[3]
        _finish(rig, *rig.starts[:3])
        _later(rig, 0.3)
        assert len(rig.starts) == 4
        _later(rig, 1.0)
        copy = rig.starts[4]
        assert copy.subtask == slow.subtask
        assert copy.worker != slow.worker
        assert copy.run > slow.run

    def test_the_first_that_is_done_stops_the_other(self) -> None:
        rig = _rig()
        _later(rig, 0.4)
        slow = rig.starts[3]
        _finish(rig, *rig.starts[:3])
        _later(rig, 1.5)
        _finish(rig, rig.starts[4])
        stops = [a for a in rig.actions if isinstance(a, StopRun)]
        assert [(s.subtask, s.run) for s in stops] == [(slow.subtask, slow.run)]
        assert rig.cell.state("j") == "completed"

    def test_a_failed_original_leaves_its_copy(self) -> None:
        rig = _rig()
        _later(rig, 0.4)
        slow = rig.starts[3]
        _finish(rig, *rig.starts[:3])
        _later(rig, 1.5)
        view = rig.cell.views[slow.worker]
        row = EndedRow(
            view.newest_end + 1, slow.subtask, slow.run, EndKind.FAILED, ""
        )
        rig.report(view.listed, ended=(row,))
        rig.settle()
        assert len(rig.starts) == 5
        _finish(rig, rig.starts[4])
        assert rig.cell.state("j") == "completed"

    def test_runs_on_a_silent_worker_are_copied_at_once(self) -> None:
        rig = _rig()
        silent = rig.starts[0].worker
        rig.cell.receive(WorkerUnreachable(silent, rig.now + 5), rig.now)
        rig.settle()
        copied = {s.subtask for s in rig.starts[4:]}
        assert copied <= {s.subtask for s in rig.starts if s.worker == silent}
        assert copied

    def test_a_done_subtask_is_not_copied_while_its_copy_stops(self) -> None:
        # Hunt, frizura trouble-3 seed 487548552808: the worker of a copy that
        # was being stopped fell silent, and the subtask was started again.
        rig = _rig(cpu=4_000)
        silent = rig.starts[0].worker
        rig.cell.receive(WorkerUnreachable(silent, rig.now + 5), rig.now)
        rig.settle()
        copy = rig.starts[4]
        first = next(s for s in rig.starts if s.subtask == copy.subtask)
        _finish(rig, first)
        before = len([s for s in rig.starts if s.subtask == copy.subtask])
        rig.cell.receive(WorkerUnreachable(copy.worker, rig.now + 5), rig.now)
        rig.settle()
        after = len([s for s in rig.starts if s.subtask == copy.subtask])
        assert after == before

    def test_a_step_that_does_not_allow_it_has_no_copies(self) -> None:
        rig = _rig(speculative=False)
        _later(rig, 0.4)
        _finish(rig, *rig.starts[:3])
        silent = rig.starts[3].worker
        _later(rig, 1.5)
        rig.cell.receive(WorkerUnreachable(silent, rig.now + 5), rig.now)
        rig.settle()
        assert len(rig.starts) == 4
        assert SubtaskId("j", 0, 0, 3) not in rig.cell.waiting
