"""Tests that no run of a subtask is forgotten while it may be on a worker."""

from acaciawing.jobs import (
    CancelRequested,
    EndedRow,
    EndKind,
    Incarnation,
    IncarnationEnded,
    Resources,
    RunningRow,
    StartRun,
    Step,
    StopOrderResult,
    StopRun,
    SubtaskId,
    WorkerUnreachable,
)
from acaciawing.jobs.limits import START_VALIDITY_S
from acaciawing.jobs.tests.builders import (
    LEASE_S,
    CellHarness,
    make_job,
    make_worker,
)

_SUBTASK = SubtaskId("j", 0, 0, 0)
_STRAGGLER = SubtaskId("j", 0, 0, 1)
_GANG = Step(2, Resources(20_000), gang=True)


def _make_harness(*names: str) -> CellHarness:
    harness = CellHarness()
    harness.recover()
    harness.update_workers(*(make_worker(name) for name in names))
    for view in list(harness.cell.views.values()):
        harness.report(view.registration, ())
    harness.settle()
    return harness


def _submit_straggler(harness: CellHarness) -> StartRun:
    """Starts two speculative subtasks; returns the start of the one left."""
    step = Step(2, Resources(20_000), speculative=True)
    harness.submit(make_job("j", step))
    harness.settle()
    first, straggler = harness.starts
    harness.now += 0.4
    _end(harness, first, EndKind.DONE)
    return straggler


def _end(harness: CellHarness, start: StartRun, kind: EndKind) -> None:
    view = harness.cell.views[start.worker]
    row = EndedRow(view.newest_end + 1, start.subtask, start.run, kind, "")
    harness.report(view.registration, ended=(row,))
    harness.settle()


def _silence(harness: CellHarness, worker: Incarnation) -> None:
    harness.cell.receive(
        WorkerUnreachable(worker, harness.now + LEASE_S), harness.now
    )


def _copy_while_silent(harness: CellHarness, start: StartRun) -> None:
    """Makes a run both slow and one on a worker that does not answer."""
    harness.wait(3.0)
    for view in list(harness.cell.views.values()):
        if view.incarnation != start.worker:
            harness.report(view.registration)
    _silence(harness, start.worker)
    harness.settle()


def _stopped(harness: CellHarness) -> set[tuple[SubtaskId, int]]:
    return {
        (a.subtask, a.run) for a in harness.actions if isinstance(a, StopRun)
    }


class TestCopies:
    """Guards against copies that the cell forgets."""

    def test_slow_run_on_a_silent_worker_is_copied_once(self) -> None:
        # Was copied as a slow run and as one on a silent worker at the same
        # moment (review/9).
        harness = _make_harness("w0", "w1", "w2", "w3")
        straggler = _submit_straggler(harness)
        _copy_while_silent(harness, straggler)
        assert [s.subtask for s in harness.starts[2:]] == [_STRAGGLER]

    def test_cancellation_stops_every_run_on_a_worker(self) -> None:
        harness = _make_harness("w0", "w1", "w2", "w3")
        straggler = _submit_straggler(harness)
        _copy_while_silent(harness, straggler)
        for view in list(harness.cell.views.values()):
            harness.report(view.registration)
        harness.cell.fold([CancelRequested("j", 0)], harness.now, 0)
        harness.settle()
        left = {
            (run.subtask, run.number)
            for view in harness.cell.views.values()
            for run in view.runs.values()
        }
        assert left == _stopped(harness)
        assert len(left) == 2

    def test_copy_is_not_lost_when_its_worker_gets_the_first_run(self) -> None:
        # The start on w0's last incarnation may have reached the next one, to
        # which the copy was ordered.
        harness = _make_harness("w0")
        step = Step(1, Resources(9_000), speculative=True)
        harness.submit(make_job("j", step))
        harness.step(answer=False)
        (first,) = harness.starts
        later = make_worker("w0", born_ms=2)
        harness.update_workers(make_worker("w0"), later)
        harness.report(later, ())
        harness.settle()
        _silence(harness, first.worker)
        harness.settle()
        copy = harness.starts[1]
        assert copy.worker == later.incarnation
        harness.cell.receive(
            IncarnationEnded(first.worker, later.incarnation), harness.now
        )
        view = harness.cell.views[later.incarnation]
        assert view.runs[_SUBTASK].number == copy.run
        assert view.used == step.request


class TestReportedRuns:
    """Guards against reported runs that are taken for good, or not counted."""

    def test_known_run_of_a_subtask_that_is_done_is_stopped(self) -> None:
        # The subtask's end comes from a run that an earlier holder ordered.
        harness = _make_harness("w0", "w1")
        harness.submit(make_job("j", Step(1, Resources(9_000))))
        harness.settle()
        (start,) = harness.starts
        progress = harness.cell.table.jobs["j"]
        progress.mark_done(_SUBTASK)
        harness.report(harness.cell.views[start.worker].registration)
        harness.settle()
        assert (_SUBTASK, start.run) in _stopped(harness)

    def test_reported_run_that_is_stopped_keeps_its_capacity(self) -> None:
        # Otherwise a worker that does not guard its capacity gets more.
        harness = _make_harness("w0")
        worker = make_worker("w0")
        harness.submit(make_job("j", Step(1, Resources(9_000))))
        harness.cell.fold([CancelRequested("j", 0)], harness.now, 0)
        row = RunningRow(_SUBTASK, 7, "", 50, 0)
        harness.report(worker, (row,))
        harness.settle()
        view = harness.cell.views[worker.incarnation]
        assert (_SUBTASK, 7) in _stopped(harness)
        assert view.used == Resources(9_000)
        stop = next(a for a in harness.actions if isinstance(a, StopRun))
        harness.cell.receive(StopOrderResult(stop, True, False), harness.now)
        harness.now += 0.1
        harness.report(worker, ())
        assert view.used == Resources()

    def test_stop_of_a_reported_run_is_not_repeated_at_each_report(
        self,
    ) -> None:
        harness = _make_harness("w0")
        worker = make_worker("w0")
        harness.submit(make_job("j", Step(1, Resources(9_000))))
        harness.cell.fold([CancelRequested("j", 0)], harness.now, 0)
        row = RunningRow(_SUBTASK, 7, "", 50, 0)
        for _ in range(3):
            harness.report(worker, (row,))
            harness.settle()
        stops = [a for a in harness.actions if isinstance(a, StopRun)]
        assert len(stops) == 1

    def test_subtask_waits_for_the_end_of_its_second_run(self) -> None:
        # Two workers report runs of a subtask that must not run twice.
        harness = _make_harness("w0", "w1", "w2")
        harness.submit(make_job("j", Step(1, Resources(9_000))))
        harness.settle()
        (start,) = harness.starts
        other = next(
            view
            for view in harness.cell.views.values()
            if view.incarnation != start.worker
        )
        row = RunningRow(_SUBTASK, 7, "", 50, 0)
        harness.report(other.registration, (row,))
        _end(harness, start, EndKind.FAILED)
        assert len(harness.starts) == 1
        stop = next(a for a in harness.actions if isinstance(a, StopRun))
        harness.cell.receive(StopOrderResult(stop, True, False), harness.now)
        harness.now += 0.1
        harness.report(other.registration, ())
        harness.settle()
        assert len(harness.starts) == 2

    def test_job_is_kept_while_a_worker_has_a_run_of_it(self) -> None:
        harness = _make_harness("w0")
        worker = make_worker("w0")
        harness.submit(make_job("j", Step(1, Resources(9_000))))
        harness.settle()
        harness.cell.tick(harness.now, 1_000)
        harness.cell.fold([CancelRequested("j", 0)], harness.now, 1_000)
        harness.settle()
        harness.cell.tick(harness.now, 500_000)
        harness.cell.retain(10_000_000, 120_000)
        harness.report(worker)
        harness.cell.report(harness.now)
        assert harness.cell.state("j") == "cancelled"


class TestQueuedStarts:
    """Guards against queued starts that are sent after their subtask's end."""

    def test_end_withdraws_the_queued_starts_of_all_copies(self) -> None:
        # The start of a forgotten copy was sent 2 s after the end of its
        # subtask was noted (review/6).
        harness = _make_harness("w0", "w1", "w2", "w3")
        straggler = _submit_straggler(harness)
        harness.wait(3.0)
        for view in list(harness.cell.views.values()):
            if view.incarnation != straggler.worker:
                harness.report(view.registration)
        _silence(harness, straggler.worker)
        harness.step(answer=False)
        harness.step(answer=False)
        copies = {(s.subtask, s.run) for s in harness.starts[2:]}
        assert copies
        _end(harness, straggler, EndKind.DONE)
        assert copies <= _stopped(harness)

    def test_end_of_a_gang_withdraws_the_starts_of_its_next_run(self) -> None:
        # The workers of its first run were silent until their leases lapsed,
        # but the gang had ended before that.
        harness = _make_harness("w0", "w1", "w2", "w3")
        harness.submit(make_job("j", _GANG))
        harness.settle()
        first = list(harness.starts)
        silent = {start.worker for start in first}
        harness.wait(LEASE_S + 3.0)
        for view in list(harness.cell.views.values()):
            if view.incarnation not in silent:
                harness.report(view.registration)
        harness.step(answer=False)
        harness.step(answer=False)
        second = {(s.subtask, s.run) for s in harness.starts[2:]}
        assert len(second) == 2
        _end(harness, first[0], EndKind.DONE)
        assert second == _stopped(harness)

    def test_start_expires_in_the_queue(self) -> None:
        # It would be sent to a worker that has begun to drain meanwhile.
        harness = _make_harness("w0")
        harness.submit(make_job("j", Step(1, Resources(9_000))))
        harness.settle()
        (start,) = harness.starts
        assert start.valid_until <= harness.now + START_VALIDITY_S
