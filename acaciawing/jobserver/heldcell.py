"""A cell that this instance holds, with the tasks that work for it."""

from collections.abc import Callable
from typing import Any

from acaciawing.jobs import (
    Acknowledge,
    Action,
    AdviceRequest,
    Cell,
    ConnectWorker,
    DisconnectWorker,
    Incarnation,
    PaceRun,
    SaveRecord,
    StartRun,
    StopRun,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobserver.celllog import CellReader, CellWriter
from acaciawing.jobserver.clock import unix_ms
from acaciawing.jobserver.limits import EVACUATION_KEPT_S
from acaciawing.jobserver.messages import CellKey, Message
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.sessions import WorkerSession
from acaciawing.telemetry import Event, log_event


class HeldCell:
    """A cell with the tasks that work for it.

    Args:
        key: The cell.
        store: ``ip:port`` of the store.
        send: Puts a message into the engine's inbox.
        may_act: Whether this instance may still give orders.
        ask: Asks the advice service.
        now: Present time in seconds.
    """

    def __init__(
        self,
        key: CellKey,
        store: str,
        send: Callable[[Message], None],
        may_act: Callable[[], bool],
        ask: Callable[[CellKey, AdviceRequest], None],
        now: float,
    ) -> None:
        """Starts to read the cell's records."""
        self.key = key
        self.cell = Cell(key.fence, self._log)
        self.acquired_at = now
        self.current_at = float("-inf")
        self.evacuation_at = now
        self._send = send
        self._may_act = may_act
        self._ask = ask
        self._sessions: dict[Incarnation, WorkerSession] = {}
        self._reader = CellReader(key, store, send)
        self._writer = CellWriter(key, store, send)
        self._reader.start()
        self._writer.start()

    def close(self) -> None:
        """Ends all tasks of the cell."""
        self._reader.close()
        self._writer.close()
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def tick(self, now: float) -> None:
        """Lets time pass."""
        if now - self.evacuation_at > EVACUATION_KEPT_S:
            self.evacuation_at = now
            self.cell.evacuate(Evacuation(), now)
        self.cell.tick(now, unix_ms())

    def act(self, actions: list[Action]) -> None:
        """Hands actions to the tasks that carry them out."""
        for action in actions:
            match action:
                case SaveRecord():
                    self._writer.save(action)
                case AdviceRequest():
                    self._ask(self.key, action)
                case ConnectWorker():
                    self._open(action)
                case DisconnectWorker():
                    self._close(action.worker)
                case StartRun() | StopRun() | PaceRun() | Acknowledge():
                    self._order(action)

    def _order(self, order: StartRun | StopRun | PaceRun | Acknowledge) -> None:
        session = self._sessions.get(order.worker)
        if session is None:
            return
        if isinstance(order, Acknowledge):
            session.acknowledge(order.end_number)
        else:
            session.order(order)

    def _close(self, life: Incarnation) -> None:
        session = self._sessions.pop(life, None)
        if session is not None:
            session.close()

    def _open(self, action: ConnectWorker) -> None:
        if action.worker in self._sessions:
            return
        session = WorkerSession(
            self.key,
            action.worker,
            action.address,
            self._send,
            self._may_act,
        )
        self._sessions[action.worker] = session
        session.start()

    def _log(self, event: str, **values: Any) -> None:
        if event == "RUN_PLACED":
            METRICS.time(
                "acaciawing.jobs.start_wait", values["waited_ms"] / 1000
            )
        elif event == "RUN_ENDED":
            METRICS.count("acaciawing.jobs.ends", kind=values["how"])
        log_event(
            Event[event],
            {"cell": self.key.partition, "fence": self.key.fence, **values},
        )
