"""Tests of workers that have more ends than they list at a time."""

from collections import deque

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobs import (
    Acknowledge,
    CancelRequested,
    EndedRow,
    EndKind,
    Incarnation,
    IncarnationEnded,
    JobSubmitted,
    Record,
    Resources,
    RunCrashed,
    RunningRow,
    RunStarted,
    SaveRecord,
    StartOrderResult,
    StartOutcome,
    StartRun,
    Step,
    StopOrderResult,
    StopRun,
    SubtaskId,
    Worker,
    WorkerEngaged,
    WorkerUnreachable,
)
from acaciawing.jobs.actions import Action
from acaciawing.jobs.health import STALL_TIMEOUT_S
from acaciawing.jobs.tests.builders import (
    LEASE_S,
    UNCONFIRMED_S,
    CellHarness,
    make_job,
    make_worker,
)

_FIRST = SubtaskId("j", 0, 0, 0)
_SECOND = SubtaskId("j", 0, 0, 1)
_TWO = JobSubmitted(make_job("j", Step(2, Resources(1000))), 0)
_WORKER = make_worker("w")
_OTHER = make_worker("x")
_ENGAGED = WorkerEngaged("w", 1, "192.0.2.1:80")


def _done(number: int, subtask: SubtaskId, run: int) -> EndedRow:
    return EndedRow(number, subtask, run, EndKind.DONE, "")


def _start_two(harness: CellHarness, *others: Worker) -> None:
    """Starts the subtasks of a job on one worker; others join later."""
    harness.update_workers(_WORKER)
    harness.recover(_TWO)
    harness.report(_WORKER, ())
    harness.settle()
    assert [s.subtask for s in harness.starts] == [_FIRST, _SECOND]
    harness.report(_WORKER)
    harness.update_workers(_WORKER, *others)
    for other in others:
        harness.report(other, ())
    harness.settle()


def _end_both(harness: CellHarness) -> None:
    """Ends both runs; the worker lists the end of the first one only."""
    harness.now += 0.1
    end = _done(1, _FIRST, harness.starts[0].run)
    harness.report(_WORKER, (), (end,), ends_complete=False)
    harness.settle()


class TestUnlistedEnds:
    """Guards against a run taken for absent whose end is not listed yet.

    A worker had ended more than 500 runs while the store was away. Those whose
    ends were not among the first 500 were started again.
    """

    def test_a_run_whose_end_is_not_listed_is_not_started_again(self) -> None:
        harness = CellHarness()
        _start_two(harness, _OTHER)
        _end_both(harness)
        _end_both(harness)
        assert len(harness.starts) == 2
        second = _done(2, _SECOND, harness.starts[1].run)
        harness.report(_WORKER, (), (second,))
        harness.settle()
        assert len(harness.starts) == 2
        assert harness.cell.state("j") == "completed"

    def test_a_run_that_all_ends_lack_is_started_again(self) -> None:
        harness = CellHarness()
        _start_two(harness, _OTHER)
        _end_both(harness)
        harness.report(_WORKER, ())
        harness.settle()
        assert [s.subtask for s in harness.starts[2:]] == [_SECOND]

    def test_a_worker_with_unlisted_ends_gets_no_runs(self) -> None:
        harness = CellHarness()
        _start_two(harness, _OTHER)
        _end_both(harness)
        harness.submit(make_job("k", Step(40, Resources(1000))))
        harness.settle()
        started = [s.worker.worker for s in harness.starts[2:]]
        assert started == ["x"] * 32
        second = _done(2, _SECOND, harness.starts[1].run)
        harness.report(_WORKER, (), (second,))
        harness.settle()
        assert [s.worker.worker for s in harness.starts[34:]] == ["w"] * 8

    def test_an_ended_run_is_neither_stalled_nor_stopped(self) -> None:
        harness = CellHarness()
        _start_two(harness, _OTHER, make_worker("y"), make_worker("z"))
        for _ in range(4):
            _end_both(harness)
            harness.wait(STALL_TIMEOUT_S / 2)
        assert harness.cell.views[_WORKER.incarnation].suspended_until == 0.0
        harness.cell.fold([CancelRequested("j", 0)], harness.now, 0)
        harness.settle()
        assert harness.cell.state("j") == "cancelled"
        assert not [a for a in harness.actions if isinstance(a, StopRun)]

    def test_a_long_running_subtask_starts_again_without_its_end(self) -> None:
        harness = CellHarness()
        harness.update_workers(_WORKER)
        step = Step(1, Resources(1000), lasting=True)
        harness.recover(JobSubmitted(make_job("j", step), 0))
        harness.report(_WORKER, ())
        harness.settle()
        harness.update_workers(_WORKER, _OTHER)
        harness.report(_OTHER, ())
        harness.now += 0.1
        harness.report(_WORKER, (), ends_complete=False)
        harness.settle()
        assert [s.worker.worker for s in harness.starts] == ["w", "x"]

    def test_an_ended_run_did_not_crash_its_worker(self) -> None:
        harness = CellHarness()
        _start_two(harness, _OTHER)
        _end_both(harness)
        harness.cell.receive(IncarnationEnded(_WORKER.incarnation), harness.now)
        harness.settle()
        assert not [r for r in harness.log if isinstance(r, RunCrashed)]
        assert [s.subtask for s in harness.starts[2:]] == [_SECOND]


class TestTakeover:
    """Guards against a takeover that is settled before all ends are known."""

    def _take_over(self) -> CellHarness:
        harness = CellHarness(fence=2)
        harness.update_workers(_WORKER, _OTHER)
        harness.recover(_TWO, _ENGAGED)
        harness.report(_OTHER, ())
        return harness

    def _report_first(self, harness: CellHarness) -> None:
        end = _done(1, _FIRST, 100_001)
        harness.report(_WORKER, (), (end,), ends_complete=False)
        harness.settle()

    def test_ends_that_follow_the_first_answer_are_not_started_again(
        self,
    ) -> None:
        harness = self._take_over()
        self._report_first(harness)
        harness.submit(make_job("new"))
        harness.settle()
        assert [s.subtask.job for s in harness.starts] == ["new"]
        harness.report(_WORKER, (), (_done(2, _SECOND, 100_001),))
        harness.settle()
        assert [s.subtask.job for s in harness.starts] == ["new"]
        assert harness.cell.state("j") == "completed"

    def test_an_early_answer_does_not_settle_it(self) -> None:
        harness = CellHarness(fence=2)
        harness.update_workers(_WORKER, _OTHER)
        self._report_first(harness)
        harness.recover(_TWO, _ENGAGED)
        harness.report(_OTHER, ())
        harness.settle()
        assert not harness.starts
        harness.report(_WORKER, ())
        harness.settle()
        assert [s.subtask for s in harness.starts] == [_SECOND]

    def test_a_worker_that_answers_is_not_given_up(self) -> None:
        harness = self._take_over()
        for _ in range(round(UNCONFIRMED_S) + 2):
            self._report_first(harness)
            harness.cell.update_machines({"x"}, harness.now, harness.now)
            harness.wait(1.0)
            harness.report(_OTHER, ())
        assert not harness.starts
        assert _WORKER.incarnation in harness.cell.views

    def test_a_worker_that_falls_silent_is_given_up_with_its_leases(
        self,
    ) -> None:
        harness = self._take_over()
        for _ in range(round(UNCONFIRMED_S)):
            self._report_first(harness)
            harness.wait(1.0)
        silent_since = harness.now
        self._report_first(harness)
        harness.cell.receive(
            WorkerUnreachable(_WORKER.incarnation, harness.now + LEASE_S),
            harness.now,
        )
        while not harness.starts and harness.now < silent_since + 20:
            harness.wait(0.5)
            harness.report(_OTHER, ())
            harness.settle()
        assert [s.subtask for s in harness.starts] == [_SECOND]
        assert LEASE_S <= harness.now - silent_since < LEASE_S + 1.0

    def test_its_machine_does_not_count_as_evacuated(self) -> None:
        harness = self._take_over()
        self._report_first(harness)
        assert not harness.cell.report(harness.now).workers["w"].contacted
        harness.report(_WORKER, (), (_done(2, _SECOND, 100_001),))
        assert harness.cell.report(harness.now).workers["w"].contacted

    def test_the_next_incarnation_must_list_all_its_ends_as_well(
        self,
    ) -> None:
        # A start of the earlier holder may have reached it and have ended.
        restarted = make_worker("w", born_ms=5_000)
        harness = CellHarness(fence=2)
        harness.update_workers(_WORKER, restarted, _OTHER)
        harness.recover(_TWO, _ENGAGED)
        harness.report(_OTHER, ())
        first = (_done(1, _FIRST, 100_001),)
        harness.report(restarted, (), first, ends_complete=False)
        harness.update_workers(restarted, _OTHER)
        harness.settle()
        assert not harness.starts
        harness.report(restarted, (), (_done(2, _SECOND, 100_001),))
        harness.settle()
        assert not harness.starts
        assert harness.cell.state("j") == "completed"

    def test_an_end_that_follows_later_proves_that_no_crash_took_the_run(
        self,
    ) -> None:
        restarted = make_worker("w", born_ms=5_000)
        for ended in (False, True):
            harness = CellHarness(fence=2)
            harness.update_workers(restarted, _OTHER)
            started = RunStarted(
                str(_FIRST), 100_001, "w", 5_000, True, crashed_born_ms=1
            )
            harness.recover(
                _TWO, WorkerEngaged("w", 5_000, "192.0.2.1:80"), started
            )
            harness.report(restarted, (), ends_complete=False)
            harness.settle()
            assert not [r for r in harness.log if isinstance(r, RunCrashed)]
            end = EndedRow(1, _FIRST, 100_001, EndKind.STOPPED, "")
            harness.report(restarted, (), (end,) if ended else ())
            harness.settle()
            crashes = [r for r in harness.log if isinstance(r, RunCrashed)]
            assert len(crashes) == (not ended)


class _EmulatedWorker:
    """A worker that lists two ends at a time."""

    _max_listed_ends = 2

    def __init__(self, worker: Worker) -> None:
        self.incarnation = worker.incarnation
        self.running: dict[SubtaskId, int] = {}
        self.acknowledged = 0
        self._ends: deque[EndedRow] = deque()
        self._end_count = 0

    def end_oldest(self, kind: EndKind = EndKind.DONE) -> None:
        if self.running:
            subtask = next(iter(self.running))
            self._end_count += 1
            run = self.running.pop(subtask)
            self._ends.append(EndedRow(self._end_count, subtask, run, kind, ""))

    def report(self, harness: CellHarness) -> None:
        while self._ends and self._ends[0].number <= self.acknowledged:
            self._ends.popleft()
        running = tuple(
            RunningRow(subtask, run, "", 50, 0)
            for subtask, run in self.running.items()
        )
        harness.report(
            make_worker(self.incarnation.worker),
            running,
            tuple(self._ends)[: self._max_listed_ends],
            ends_complete=len(self._ends) < self._max_listed_ends,
        )


class _EmulatedStore:
    """Workers and a store, under one holder after the other."""

    def __init__(self, submitted: JobSubmitted) -> None:
        workers = [_EmulatedWorker(w) for w in (_WORKER, _OTHER)]
        self._workers = {w.incarnation: w for w in workers}
        self._log: list[Record] = [submitted]
        self._saved: deque[SaveRecord] = deque()
        self._store_away = False
        self._answers_lost = False
        self._fence = 0
        self._now = 100.0
        self.started: list[SubtaskId] = []
        self.take_over()

    def take_over(self) -> None:
        """Replaces the holder; what it had not stored is lost."""
        self._store_away = False
        self._saved.clear()
        self._fence += 1
        self.harness = CellHarness(self._fence)
        self.harness.now = self._now
        self.harness.cell.confirm_holder(self._now)
        self.harness.update_workers(_WORKER, _OTHER)
        self.harness.recover(*self._log)

    def play(self, event: str) -> None:
        match event:
            case "end at w" | "end at x":
                name = event.removeprefix("end at ")
                self._workers[Incarnation(name, 1)].end_oldest()
            case "report":
                for worker in self._workers.values():
                    worker.report(self.harness)
            case "store away" | "store back":
                self._store_away = event == "store away"
            case "answers lost" | "answers arrive":
                self._answers_lost = event == "answers lost"
            case "takeover":
                self.take_over()
        self._now = self.harness.now = self._now + 0.01
        self.harness.cell.confirm_holder(self._now)
        for action in self.harness.cell.take_actions(self._now):
            self._carry_out(action)
        while self._saved and not self._store_away:
            action = self._saved.popleft()
            self._log.append(action.record)
            self.harness.cell.records_saved(action.number, self._now)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SaveRecord():
                self._saved.append(action)
            case Acknowledge():
                worker = self._workers[action.worker]
                worker.acknowledged = action.end_number
            case StartRun():
                self.started.append(action.subtask)
                running = self._workers[action.worker].running
                assert action.subtask not in running
                running[action.subtask] = action.run
                outcome = (
                    StartOutcome.UNANSWERED
                    if self._answers_lost
                    else StartOutcome.STARTED
                )
                result = StartOrderResult(action, outcome)
                self.harness.cell.receive(result, self._now)
            case StopRun():
                assert (
                    action.subtask not in self._workers[action.worker].running
                )
                self.harness.cell.receive(
                    StopOrderResult(action, True), self._now
                )


class TestRandomOutages:
    """Guards against a second run of a subtask in any order of events."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.sampled_from(
                (
                    "end at w",
                    "end at x",
                    "report",
                    "store away",
                    "store back",
                    "answers lost",
                    "answers arrive",
                    "takeover",
                )
            ),
            max_size=60,
        )
    )
    def test_no_subtask_is_started_twice(self, events: list[str]) -> None:
        step = Step(20, Resources(8000))
        store = _EmulatedStore(JobSubmitted(make_job("j", step), 0))
        to_the_end = ["end at w", "end at x", "report", "report"]
        for event in [*events, "store back", *to_the_end * 40]:
            store.play(event)
        assert len(store.started) == len(set(store.started)) == step.count
        assert store.harness.cell.state("j") == "completed"
