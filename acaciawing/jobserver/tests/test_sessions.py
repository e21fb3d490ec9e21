"""Tests of the session with a worker."""

import threading

import pytest

from acaciawing.jobs import (
    EndedRow,
    EndKind,
    Incarnation,
    StartOrderResult,
    StartOutcome,
    StartRun,
    StopOrderResult,
    StopRun,
    SubtaskId,
    WorkerReport,
)
from acaciawing.jobserver import sessions
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import AUTHORITY_S, LEASE_S, POLL_WAIT_MS
from acaciawing.jobserver.messages import (
    CellFenced,
    CellKey,
    WorkerMessageReceived,
)
from acaciawing.jobserver.sessions import WorkerSession
from acaciawing.platform.runs import StartResult, WorkerRuns
from standins.job_worker import JobWorker
from standins.server import serving

_INCARNATION = Incarnation("w", 1)
_SUBTASK = SubtaskId("0" * 16, 0, 0, 0)


class _FakeClient:
    """Records the calls that reach the worker."""

    calls: list[tuple[str, int]] = []
    clock_ms = 1_000
    is_confirmed = True

    def __init__(self, *_: object) -> None:
        """Accepts any arguments."""

    def start(self, order: StartRun, *_: object) -> StartResult:
        self.calls.append(("start", order.run))
        return StartResult(StartOutcome.STARTED, self.clock_ms)

    def stop(self, subtask: SubtaskId, run: int) -> None:
        self.calls.append(("stop", run))

    def close(self) -> None:
        """Nothing to close."""


def _carry_out(
    monkeypatch: pytest.MonkeyPatch, *orders: StartRun | StopRun
) -> list[object]:
    """Carries out queued orders; returns the messages about them."""
    monkeypatch.setattr(sessions, "RunClient", _FakeClient)
    _FakeClient.calls = []
    sent: list[WorkerMessageReceived | CellFenced] = []
    session = WorkerSession(
        CellKey(1, 1), _INCARNATION, "192.0.2.1:80", sent.append, lambda: True
    )
    session._clock.sample(2_000, 0.0)
    for order in orders:
        session.order(order)
    session._orders.put(None)
    session._carry_out()
    return [m.message for m in sent if isinstance(m, WorkerMessageReceived)]


class TestQueuedOrders:
    """Guards against queued starts that are sent when they no longer hold.

    A copy queued behind unanswered orders started 1.2 s after the end of its
    subtask was recorded.
    """

    def test_a_start_is_not_sent_once_its_stop_is_queued(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        messages = _carry_out(
            monkeypatch,
            StartRun(_INCARNATION, _SUBTASK, 1, "", ""),
            StartRun(_INCARNATION, _SUBTASK, 2, "", ""),
            StopRun(_INCARNATION, _SUBTASK, 1),
        )
        assert _FakeClient.calls == [("start", 2), ("stop", 1)]
        assert isinstance(messages[0], StartOrderResult)
        assert messages[0].outcome is StartOutcome.REFUSED
        assert isinstance(messages[2], StopOrderResult)

    def test_a_start_is_not_sent_after_the_capacity_was_last_known(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now = steady_s()
        messages = _carry_out(
            monkeypatch,
            StartRun(_INCARNATION, _SUBTASK, 1, "", "", valid_until=now - 1.0),
            StartRun(_INCARNATION, _SUBTASK, 2, "", "", valid_until=now + 60.0),
        )
        assert _FakeClient.calls == [("start", 2)]
        assert isinstance(messages[0], StartOrderResult)
        assert messages[0].outcome is StartOutcome.REFUSED

    def test_a_start_is_not_sent_once_its_session_is_closed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The worker is given up, or the cell is lost, while the session waits
        # for the answer that confirms its connection.
        monkeypatch.setattr(sessions, "RunClient", _FakeClient)
        _FakeClient.calls = []
        session = WorkerSession(
            CellKey(1, 1), _INCARNATION, "192.0.2.1:80", print, lambda: True
        )

        def poll(*_: object) -> WorkerRuns:
            session.close()
            return WorkerRuns(1_000, _INCARNATION.born_ms, (), ())

        monkeypatch.setattr(_FakeClient, "poll", poll, raising=False)
        monkeypatch.setattr(_FakeClient, "is_confirmed", False)
        session.order(StartRun(_INCARNATION, _SUBTASK, 1, "", ""))
        session._carry_out()
        assert not _FakeClient.calls


class TestPausedProcess:
    """Guards against leases that outlast the right to order by a pause."""

    def test_lease_of_a_start_counts_from_before_the_last_check(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = [0.0]
        deadlines: list[int] = []
        monkeypatch.setattr(sessions, "RunClient", _FakeClient)
        monkeypatch.setattr(sessions, "steady_s", lambda: clock[0])

        def start(
            client: _FakeClient, order: StartRun, deadline_ms: int, *_: object
        ) -> StartResult:
            del order
            deadlines.append(deadline_ms)
            return StartResult(StartOutcome.STARTED, client.clock_ms)

        def may_order() -> bool:
            allowed = clock[0] < AUTHORITY_S
            # The process is suspended right after each check.
            clock[0] += 4.0
            return allowed

        monkeypatch.setattr(_FakeClient, "start", start)
        session = WorkerSession(
            CellKey(1, 1), _INCARNATION, "192.0.2.1:80", print, may_order
        )
        session._clock.sample(0, 0.0)
        session.order(StartRun(_INCARNATION, _SUBTASK, 1, "", ""))
        session._orders.put(None)
        session._carry_out()
        assert len(deadlines) == 1
        assert deadlines[0] <= 1000 * (AUTHORITY_S + LEASE_S)

    def test_lease_of_a_poll_counts_from_before_the_last_check(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = [0.0]
        granted: list[int | None] = []
        monkeypatch.setattr(sessions, "RunClient", _FakeClient)
        monkeypatch.setattr(sessions, "steady_s", lambda: clock[0])

        def may_order() -> bool:
            clock[0] += 9.0
            return True

        session = WorkerSession(
            CellKey(1, 1), _INCARNATION, "192.0.2.1:80", print, may_order
        )

        def poll(
            _: _FakeClient, acknowledged: int, deadline_ms: int | None, *__: int
        ) -> WorkerRuns:
            del acknowledged
            granted.append(deadline_ms)
            session.close()
            return WorkerRuns(1_000, _INCARNATION.born_ms, (), ())

        monkeypatch.setattr(_FakeClient, "poll", poll, raising=False)
        monkeypatch.setattr(_FakeClient, "is_confirmed", True)
        session._clock.sample(0, 0.0)
        session._poll_worker()
        assert granted == [round(1000 * LEASE_S)]


class TestNextIncarnation:
    """Guards against leases on a clock that has started anew.

    A queued start reached the next incarnation of a worker with a deadline on the
    clock of the last one, and so got the longest lease. Its subtask was started
    elsewhere after the usual one, while it ran.
    """

    def test_a_queued_start_does_not_reach_the_next_incarnation(self) -> None:
        worker = JobWorker()
        incarnation = Incarnation("w", worker.born)
        sent: list[WorkerMessageReceived | CellFenced] = []
        with serving(worker.handle) as address:
            session = WorkerSession(
                CellKey(1, 1), incarnation, address, sent.append, lambda: True
            )
            session._clock.sample(100_000, steady_s())
            worker.crash()
            for run in (1, 2):
                session.order(StartRun(incarnation, _SUBTASK, run, "", ""))
            session._orders.put(None)
            session._carry_out()
        assert not worker.starts
        outcomes = [
            m.message.outcome
            for m in sent
            if isinstance(m, WorkerMessageReceived)
            and isinstance(m.message, StartOrderResult)
        ]
        assert outcomes == [StartOutcome.REFUSED] * 2

    def test_an_answer_of_the_next_incarnation_confirms_no_start(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_FakeClient, "clock_ms", 20)
        order = StartRun(_INCARNATION, _SUBTASK, 1, "", "")
        messages = _carry_out(monkeypatch, order)
        assert messages == [StartOrderResult(order, StartOutcome.UNANSWERED)]

    def test_a_poll_over_a_new_connection_grants_no_lease(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sessions, "RunClient", _FakeClient)
        session = WorkerSession(
            CellKey(1, 1), _INCARNATION, "192.0.2.1:80", print, lambda: True
        )
        granted = []
        # Whether the connection is still the one of the last answer.
        connections = iter([False, True, False, True])

        def poll(
            client: _FakeClient, _: int, deadline_ms: int | None, __: int
        ) -> WorkerRuns:
            granted.append(deadline_ms is not None)
            client.is_confirmed = next(connections, True)
            if len(granted) == 4:
                session.close()
            return WorkerRuns(1_000, _INCARNATION.born_ms, (), ())

        monkeypatch.setattr(_FakeClient, "poll", poll, raising=False)
        monkeypatch.setattr(_FakeClient, "is_confirmed", False)
        session._poll_worker()
        assert granted == [False, False, True, False]


class TestUnlistedEnds:
    """Guards against a cell that is not told of ends beyond those listed."""

    def test_a_report_tells_whether_it_has_all_ends(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sessions, "RunClient", _FakeClient)
        sent: list[WorkerMessageReceived | CellFenced] = []
        session = WorkerSession(
            CellKey(1, 1),
            _INCARNATION,
            "192.0.2.1:80",
            sent.append,
            lambda: True,
        )
        answers = iter([True, False, True])

        def poll(*_: object) -> WorkerRuns:
            complete = next(answers)
            if len(sent) == 2:
                session.close()
            return WorkerRuns(1_000, _INCARNATION.born_ms, (), (), complete)

        monkeypatch.setattr(_FakeClient, "poll", poll, raising=False)
        session._poll_worker()
        reports = [
            m.message.ends_complete
            for m in sent
            if isinstance(m, WorkerMessageReceived)
            and isinstance(m.message, WorkerReport)
        ]
        assert reports == [True, False]

    def test_a_full_list_is_not_read_again_before_it_can_change(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # While the store is away, every poll has the same 500 ends.
        waits: list[float] = []

        class _NeverSet(threading.Event):
            def wait(self, timeout: float | None = None) -> bool:
                waits.append(timeout or 0.0)
                return False

        session = WorkerSession(
            CellKey(1, 1), _INCARNATION, "192.0.2.1:80", print, lambda: True
        )
        session._acknowledged_event = _NeverSet()
        ends = (EndedRow(1, _SUBTASK, 1, EndKind.DONE, ""),)
        for complete in (True, False):
            answer = WorkerRuns(1_000, 1, (), ends, complete)
            assert session._handle_poll(answer, 0.0, False) == 0
        assert waits == [sessions._MAX_ACKNOWLEDGE_WAIT_S, POLL_WAIT_MS / 1000]
