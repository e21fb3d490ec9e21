"""Cell that this instance holds, with the tasks that serve it."""

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
    LeaseBounds,
    PaceRun,
    SaveRecord,
    StartOrderResult,
    StartOutcome,
    StartRun,
    StopOrderResult,
    StopRun,
)
from acaciawing.jobs.fleet import Evacuation
from acaciawing.jobserver.cell_log import CellReader, CellWriter
from acaciawing.jobserver.clock import steady_s, unix_ms
from acaciawing.jobserver.holding import Holding
from acaciawing.jobserver.limits import EVACUATION_RETENTION_S
from acaciawing.jobserver.messages import (
    CellFenced,
    CellKey,
    HoldingVerified,
    JobAnswer,
    JobStateQuery,
    Message,
    PartitionsAssigned,
    WorkerMessageReceived,
)
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.sessions import WorkerSession
from acaciawing.platform.store import StoreLimits
from acaciawing.telemetry import Event, log_event

# States of a job that no holder tells before their record is durable.
_LASTING_STATES = ("completed", "failed")


class HeldCell:
    """A held cell with its reader, its writer and its worker sessions.

    Args:
        key: The cell.
        store: ``ip:port`` of the store.
        limits: How much the store accepts.
        send: Adds a message to the engine's inbox.
        holding: Right to give orders for the cell.
        request_advice: Sends a request to the advice service.
        leases: How long leases may last on the workers.
        is_own: Returns whether the cell runs the jobs of a service.
        now: Current time in seconds.
    """

    def __init__(
        self,
        key: CellKey,
        store: str,
        limits: StoreLimits,
        send: Callable[[Message], None],
        holding: Holding,
        request_advice: Callable[[CellKey, AdviceRequest], None],
        leases: LeaseBounds,
        is_own: Callable[[str], bool],
        now: float,
    ) -> None:
        """Starts the tasks that read and append the cell's records."""
        self.key = key
        self.holding = holding
        self.cell = Cell(key.fence, leases, self._log, is_own)
        self.acquired_at = now
        self.records_current_at = float("-inf")
        self.evacuation_received_at = now
        # When records that expire soon were last rewritten, in seconds.
        self.retained_at = float("-inf")
        self._send = send
        self._request_advice = request_advice
        self._sessions: dict[Incarnation, WorkerSession] = {}
        self._reader = CellReader(key, store, self._report, is_own)
        self._writer = CellWriter(key, store, limits, self._report)
        self.cell.confirm_holder(holding.confirmed_at)
        self.cell.begin_takeover(now)
        self._reader.start()
        self._writer.start()

    def close(self) -> None:
        """Stops all tasks of the cell; orders still queued are not sent."""
        self.holding.revoke()
        self._reader.close()
        self._writer.close()
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def update(self, assignment: PartitionsAssigned, now: float) -> str | None:
        """Handles an answered join; returns why the cell ends, or None."""
        reason = self.holding.update(assignment, now)
        self.cell.confirm_holder(self.holding.confirmed_at)
        return reason

    def accept(self, verified: HoldingVerified) -> None:
        """Handles that the cell was held up to a later generation."""
        self.holding.accept(verified)
        self.cell.confirm_holder(self.holding.confirmed_at)

    def answer(self, query: JobStateQuery, now: float) -> JobAnswer:
        """Returns the state of a job, or the number of a queue's jobs."""
        age_s = now - self.records_current_at
        if not query.job:
            waiting = self.cell.waiting_jobs(query.queue)
            return JobAnswer(True, "", waiting, age_s)
        state = self.cell.state(query.job) or ""
        # A later holder may have told a later state.
        current = state in (
            "",
            *_LASTING_STATES,
        ) or self.holding.excludes_others(now)
        return JobAnswer(True, state, 0, age_s, current)

    def tick(self, now: float) -> None:
        """Advances the cell's time and ends an outdated evacuation."""
        if now - self.evacuation_received_at > EVACUATION_RETENTION_S:
            self.evacuation_received_at = now
            self.cell.evacuate(Evacuation(), now)
        self.cell.tick(now, unix_ms())

    def carry_out(self, actions: list[Action]) -> None:
        """Passes actions to the tasks that carry them out."""
        for action in actions:
            match action:
                case SaveRecord():
                    self._writer.save(action)
                case AdviceRequest():
                    self._request_advice(self.key, action)
                case ConnectWorker():
                    self._open_session(action)
                case DisconnectWorker():
                    self._close_session(action.worker)
                case StartRun() | StopRun() | PaceRun() | Acknowledge():
                    self._send_order(action)

    def _send_order(
        self, order: StartRun | StopRun | PaceRun | Acknowledge
    ) -> None:
        session = self._sessions.get(order.worker)
        if session is None:
            return
        if isinstance(order, Acknowledge):
            session.acknowledge(order.end_number)
        else:
            session.order(order)

    def _close_session(self, incarnation: Incarnation) -> None:
        session = self._sessions.pop(incarnation, None)
        if session is not None:
            session.close()

    def _open_session(self, action: ConnectWorker) -> None:
        if action.worker in self._sessions:
            return
        session = WorkerSession(
            self.key,
            action.worker,
            action.address,
            self._report,
            self._may_order,
        )
        self._sessions[action.worker] = session
        session.start()

    def _may_order(self) -> bool:
        return self.holding.is_valid(steady_s())

    def _report(self, message: Message) -> None:
        """Passes a message to the engine; a later holder ends all orders."""
        if _shows_later_holder(message):
            self.holding.revoke()
        self._send(message)

    def _log(self, event: str, **values: Any) -> None:
        if event == "RUN_PLACED":
            METRICS.record_time(
                "acaciawing.jobs.start_wait", values["waited_ms"] / 1000
            )
        elif event == "RUN_ENDED":
            METRICS.count("acaciawing.jobs.ends", kind=values["how"])
        elif event == "RUN_LOST":
            METRICS.count("acaciawing.jobs.ends", kind="lost")
        log_event(
            Event[event],
            {"cell": self.key.partition, "fence": self.key.fence, **values},
        )


def _shows_later_holder(message: Message) -> bool:
    """Whether the store or a worker has refused this holder's fence."""
    match message:
        case CellFenced():
            return True
        case WorkerMessageReceived(message=StartOrderResult(outcome=outcome)):
            return outcome is StartOutcome.FENCED
        case WorkerMessageReceived(message=StopOrderResult(fenced=fenced)):
            return fenced
    return False
