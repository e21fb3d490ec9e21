"""Session with one worker: renews its leases and carries out orders."""

import threading
from collections.abc import Callable
from queue import SimpleQueue

from acaciawing.jobs import (
    Incarnation,
    IncarnationEnded,
    PaceRun,
    StartOrderResult,
    StartOutcome,
    StartRun,
    StopOrderResult,
    StopRun,
    SubtaskId,
    WorkerReport,
    WorkerUnreachable,
)
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import (
    CLOCK_RATE_MIN,
    HOLD_WAIT_MS,
    LEASE_S,
    LONGEST_PAUSE_S,
    PAUSE_S,
)
from acaciawing.jobserver.messages import CellFenced, CellKey, WorkerSaid
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.runs import (
    Held,
    HigherFence,
    HoldResult,
    OtherIncarnation,
    RunClient,
)

# Longest wait for the note of reported ends, in seconds, before the worker is
# asked again; an append takes 10 ms.
_ACKNOWLEDGE_WAIT_S = 0.25

Order = StartRun | StopRun | PaceRun


class LeaseClock:
    """Relates a worker's clock to ours, so that leases can be granted.

    The worker's clock may run slower than ours, never faster.
    """

    def __init__(self) -> None:
        """Starts without a sample."""
        self._lock = threading.Lock()
        self._clock_ms: int | None = None
        self._at = 0.0
        self._lease_until = 0.0

    @property
    def lease_until(self) -> float:
        """Time after which all granted leases have lapsed, in seconds."""
        return self._lease_until

    def sample(self, clock_ms: int, at: float) -> None:
        """Takes the worker's clock as it was in an answer received `at`."""
        with self._lock:
            if self._clock_ms is None or clock_ms >= self._clock_ms:
                self._clock_ms, self._at = clock_ms, at

    def grant(self, now: float) -> int | None:
        """Returns the deadline for a lease, or None without a sample."""
        with self._lock:
            if self._clock_ms is None:
                return None
            elapsed = now - self._at
            deadline = self._clock_ms + round((elapsed + LEASE_S) * 1000)
            lapse = self._at + (elapsed + LEASE_S) / CLOCK_RATE_MIN
            self._lease_until = max(self._lease_until, lapse)
            return deadline


class WorkerSession:
    """Two threads that own a connection each to one incarnation.

    Args:
        key: The cell that uses the worker.
        life: The incarnation.
        address: ``ip:port``.
        send: Puts a message into the engine's inbox.
        may_act: Whether the cell's holder may still grant leases.
    """

    def __init__(
        self,
        key: CellKey,
        life: Incarnation,
        address: str,
        send: Callable[[WorkerSaid | CellFenced], None],
        may_act: Callable[[], bool],
    ) -> None:
        """Keeps the arguments; `start` starts the threads."""
        self._key = key
        self._life = life
        self._address = address
        self._send = send
        self._may_act = may_act
        self._clock = LeaseClock()
        self._orders: SimpleQueue[Order | None] = SimpleQueue()
        self._stopped: set[tuple[SubtaskId, int]] = set()
        self._closed = threading.Event()
        self._acknowledged = 0
        self._acknowledged_event = threading.Event()
        self._reachable = False

    def start(self) -> None:
        """Starts both threads."""
        start_task("leases", self._renew)
        start_task("orders", self._carry_out)

    def close(self) -> None:
        """Ends both threads after their present call."""
        self._closed.set()
        self._acknowledged_event.set()
        self._orders.put(None)

    def order(self, order: Order) -> None:
        """Queues an order; they are carried out one after the other.

        A start that waits behind unanswered orders is not sent any more once
        its stop is ordered.
        """
        if isinstance(order, StopRun):
            self._stopped.add((order.subtask, order.run))
        self._orders.put(order)

    def acknowledge(self, end_number: int) -> None:
        """Lets the worker forget ends up to a number."""
        self._acknowledged = max(self._acknowledged, end_number)
        self._acknowledged_event.set()

    def _client(self) -> RunClient:
        return RunClient(self._address, self._life.worker, self._key.fence)

    def _renew(self) -> None:
        client = self._client()
        wait_ms = 0
        pause = PAUSE_S
        while not self._closed.is_set():
            if not self._may_act():
                self._closed.wait(PAUSE_S)
                continue
            sent_at = steady_s()
            grant = self._clock.grant(sent_at) if self._reachable else None
            self._acknowledged_event.clear()
            result = client.hold(self._acknowledged, grant, wait_ms)
            if self._closed.is_set():
                break
            if isinstance(result, Held):
                pause = PAUSE_S
                wait_ms = self._take(result, sent_at, grant is None)
                if wait_ms < 0:
                    break
            elif self._ends(result):
                break
            else:
                wait_ms = 0
                self._reachable = False
                self._say(
                    WorkerUnreachable(self._life, self._clock.lease_until)
                )
                client.close()
                client = self._client()
                self._closed.wait(pause)
                pause = min(2 * pause, LONGEST_PAUSE_S)
        client.close()

    def _ends(self, result: HoldResult) -> bool:
        if isinstance(result, HigherFence):
            self._send(CellFenced(self._key))
            return True
        if isinstance(result, OtherIncarnation):
            self._say(IncarnationEnded(self._life))
            return True
        return False

    def _take(self, held: Held, sent_at: float, ungranted: bool) -> int:
        """Reports the lists; returns the next wait, or -1 to end."""
        if held.born_ms is not None and held.born_ms != self._life.born_ms:
            successor = Incarnation(self._life.worker, held.born_ms)
            self._say(IncarnationEnded(self._life, successor))
            return -1
        self._clock.sample(held.clock_ms, steady_s())
        self._reachable = True
        self._say(
            WorkerReport(
                self._life,
                sent_at,
                self._clock.lease_until,
                held.running,
                held.ended,
            )
        )
        if held.ended:
            newest = held.ended[-1].number
            if self._acknowledged < newest:
                self._acknowledged_event.wait(_ACKNOWLEDGE_WAIT_S)
            if self._acknowledged < newest:
                return 0
        return 0 if ungranted else HOLD_WAIT_MS

    def _carry_out(self) -> None:
        client = self._client()
        while (order := self._orders.get()) is not None:
            if self._closed.is_set():
                break
            answered = self._execute(client, order)
            if not answered:
                client.close()
                client = self._client()
        client.close()

    def _execute(self, client: RunClient, order: Order) -> bool:
        """Carries out an order; returns whether the worker answered."""
        if isinstance(order, StartRun):
            return self._start(client, order)
        if isinstance(order, StopRun):
            result = client.stop(order.subtask, order.run)
            self._stopped.discard((order.subtask, order.run))
            fenced = isinstance(result, HigherFence)
            self._say(StopOrderResult(order, result is None, fenced))
            return result is None
        return client.pace(order.subtask, order.run, order.percent) is None

    def _start(self, client: RunClient, order: StartRun) -> bool:
        deadline = self._clock.grant(steady_s())
        stopped = (order.subtask, order.run) in self._stopped
        if deadline is None or stopped or not self._may_act():
            self._say(StartOrderResult(order, StartOutcome.REFUSED))
            return True
        result = client.start(order, deadline, order.ticket)
        if result.clock_ms is not None:
            self._clock.sample(result.clock_ms, steady_s())
        METRICS.count("acaciawing.jobs.starts", outcome=result.outcome.value)
        self._say(StartOrderResult(order, result.outcome))
        return result.outcome is not StartOutcome.UNANSWERED

    def _say(
        self,
        message: WorkerReport
        | WorkerUnreachable
        | IncarnationEnded
        | StartOrderResult
        | StopOrderResult,
    ) -> None:
        self._send(WorkerSaid(self._key, message))
