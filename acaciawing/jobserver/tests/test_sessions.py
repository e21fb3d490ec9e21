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
from acaciawing.jobserver.clock import steady_s
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
    session._clock.sample(1_000, 0.0)
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
