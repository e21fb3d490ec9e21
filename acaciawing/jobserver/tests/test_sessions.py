"""Tests of the session with a worker."""

import pytest

from acaciawing.jobs import (
    Incarnation,
    StartOrderResult,
    StartOutcome,
    StartRun,
    StopOrderResult,
    StopRun,
    SubtaskId,
)
from acaciawing.jobserver import sessions
from acaciawing.jobserver.messages import (
    CellFenced,
    CellKey,
    WorkerMessageReceived,
)
from acaciawing.jobserver.sessions import WorkerSession
from acaciawing.platform.runs import StartResult

_INCARNATION = Incarnation("w", 1)
_SUBTASK = SubtaskId("0" * 16, 0, 0, 0)


class _FakeClient:
    """Records the calls that reach the worker."""

    calls: list[tuple[str, int]] = []

    def __init__(self, *_: object) -> None:
        """Accepts any arguments."""

    def start(self, order: StartRun, *_: object) -> StartResult:
        self.calls.append(("start", order.run))
        return StartResult(StartOutcome.STARTED)

    def stop(self, subtask: SubtaskId, run: int) -> None:
        self.calls.append(("stop", run))

    def close(self) -> None:
        """Nothing to close."""


class TestQueuedOrders:
    """Guards against queued starts that are sent after their stop was ordered.

    A copy queued behind unanswered orders started 1.2 s after the end of its
    subtask was recorded.
    """

    def test_a_start_is_not_sent_once_its_stop_is_queued(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sessions, "RunClient", _FakeClient)
        _FakeClient.calls = []
        sent: list[WorkerMessageReceived | CellFenced] = []
        session = WorkerSession(
            CellKey(1, 1),
            _INCARNATION,
            "192.0.2.1:80",
            sent.append,
            lambda: True,
        )
        session._clock.sample(1_000, 0.0)
        session.order(StartRun(_INCARNATION, _SUBTASK, 1, "", ""))
        session.order(StartRun(_INCARNATION, _SUBTASK, 2, "", ""))
        session.order(StopRun(_INCARNATION, _SUBTASK, 1))
        session._orders.put(None)
        session._carry_out()
        assert _FakeClient.calls == [("start", 2), ("stop", 1)]
        messages = [
            m.message for m in sent if isinstance(m, WorkerMessageReceived)
        ]
        assert isinstance(messages[0], StartOrderResult)
        assert messages[0].outcome is StartOutcome.REFUSED
        assert isinstance(messages[2], StopOrderResult)
