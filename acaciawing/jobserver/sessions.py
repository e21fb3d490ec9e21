"""Session with one worker: renews its leases and sends it orders."""

import threading
from collections.abc import Callable
from queue import SimpleQueue

from acaciawing.jobs import (
    Incarnation,
    IncarnationEnded,
    LeaseBounds,
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
    LEASE_S,
    MAX_RETRY_PAUSE_S,
    MIN_CLOCK_RATE,
    POLL_WAIT_MS,
    RETRY_PAUSE_S,
)
from acaciawing.jobserver.messages import (
    CellFenced,
    CellKey,
    WorkerMessageReceived,
)
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.runs import (
    ORDER_TIMEOUT_S,
    IncarnationMismatch,
    PollResult,
    RunClient,
    StaleFence,
    StartResult,
    WorkerRuns,
)
from acaciawing.telemetry import Event, log_event

# Maximum wait until reported ends are recorded, before the worker is polled
# again; an append takes 10 ms.
_MAX_ACKNOWLEDGE_WAIT_S = 0.25

# Two answers of one incarnation may overtake each other by the timeout of a call,
# so that the clock in the later one is behind by up to this time.
_MAX_CLOCK_LAG_MS = 1000

WorkerOrder = StartRun | StopRun | PaceRun


def lease_bounds(max_lease_s: float) -> LeaseBounds:
    """Returns how long a lease may last after the session has decided on it.

    Args:
        max_lease_s: Longest lease that workers grant, in seconds.
    """
    return LeaseBounds(
        LEASE_S / MIN_CLOCK_RATE,
        ORDER_TIMEOUT_S + max_lease_s / MIN_CLOCK_RATE,
    )


class LeaseClock:
    """Computes lease deadlines on a worker's clock.

    The worker's clock may run slower than this instance's clock, never faster.
    """

    def __init__(self) -> None:
        """Starts without a sample."""
        self._lock = threading.Lock()
        self._clock_ms: int | None = None
        self._sampled_at = 0.0
        self._lease_until = 0.0

    @property
    def lease_until(self) -> float:
        """Time at which all granted leases will have lapsed, in seconds."""
        return self._lease_until

    def is_of_another_incarnation(self, clock_ms: int) -> bool:
        """Whether a reading is from another incarnation's clock.

        Args:
            clock_ms: Clock in an answer, in milliseconds.
        """
        return self.lag_ms(clock_ms) > _MAX_CLOCK_LAG_MS

    def lag_ms(self, clock_ms: int) -> int:
        """Returns how far a reading is behind the last one, in milliseconds."""
        with self._lock:
            return 0 if self._clock_ms is None else self._clock_ms - clock_ms

    def sample(self, clock_ms: int, received_at: float) -> None:
        """Records a reading of the worker's clock from an answer.

        Args:
            clock_ms: The worker's clock in milliseconds.
            received_at: When the answer was received, in seconds.
        """
        with self._lock:
            if self._clock_ms is None or clock_ms >= self._clock_ms:
                self._clock_ms, self._sampled_at = clock_ms, received_at

    def grant(self, now: float) -> int | None:
        """Returns a lease deadline on the worker's clock in milliseconds.

        Returns None if there is no sample of that clock.
        """
        with self._lock:
            if self._clock_ms is None:
                return None
            elapsed = now - self._sampled_at
            deadline = self._clock_ms + round((elapsed + LEASE_S) * 1000)
            lapse = self._sampled_at + (elapsed + LEASE_S) / MIN_CLOCK_RATE
            self._lease_until = max(self._lease_until, lapse)
            return deadline


class WorkerSession:
    """Polls one incarnation and sends it orders, in two threads.

    Each thread has its own connection. Leases are granted only over a connection
    over which the incarnation has answered a poll: on the clock of its successor,
    their deadlines would be much too late.

    Args:
        key: The cell that uses the worker.
        incarnation: Incarnation of the worker.
        address: ``ip:port`` of the worker.
        send: Adds a message to the engine's inbox.
        has_authority: Returns whether the cell's holder may still grant leases.
    """

    def __init__(
        self,
        key: CellKey,
        incarnation: Incarnation,
        address: str,
        send: Callable[[WorkerMessageReceived | CellFenced], None],
        has_authority: Callable[[], bool],
    ) -> None:
        """Stores the arguments; `start` starts the threads."""
        self._key = key
        self._incarnation = incarnation
        self._address = address
        self._send = send
        self._has_authority = has_authority
        self._clock = LeaseClock()
        self._orders: SimpleQueue[WorkerOrder | None] = SimpleQueue()
        self._stopped_runs: set[tuple[SubtaskId, int]] = set()
        self._closed = threading.Event()
        self._acknowledged = 0
        self._acknowledged_event = threading.Event()
        self._unconfirmed_at = float("-inf")

    def start(self) -> None:
        """Starts both threads."""
        start_task("leases", self._poll_worker)
        start_task("orders", self._carry_out)

    def close(self) -> None:
        """Stops both threads when their current calls return."""
        self._closed.set()
        self._acknowledged_event.set()
        self._orders.put(None)

    def order(self, order: WorkerOrder) -> None:
        """Queues an order; orders are sent one after the other.

        A start that is still queued when its stop is ordered is not sent.
        """
        if isinstance(order, StopRun):
            self._stopped_runs.add((order.subtask, order.run))
        self._orders.put(order)

    def acknowledge(self, end_number: int) -> None:
        """Allows the worker to discard ends up to a number."""
        self._acknowledged = max(self._acknowledged, end_number)
        self._acknowledged_event.set()

    def _make_client(self) -> RunClient:
        return RunClient(
            self._address, self._incarnation.worker, self._key.fence
        )

    def _poll_worker(self) -> None:
        client = self._make_client()
        wait_ms = 0
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            # Leases count from before the check, in case of a pause after it.
            sent_at = steady_s()
            if not self._has_authority():
                self._closed.wait(RETRY_PAUSE_S)
                continue
            confirmed = client.is_confirmed
            grant = self._clock.grant(sent_at) if confirmed else None
            self._acknowledged_event.clear()
            result = client.poll(
                self._acknowledged, grant, wait_ms if confirmed else 0
            )
            if self._closed.is_set():
                break
            if isinstance(result, WorkerRuns):
                pause = RETRY_PAUSE_S
                wait_ms = self._handle_poll(result, sent_at, grant is None)
                if wait_ms < 0:
                    break
            elif self._report_session_end(result):
                break
            else:
                wait_ms = 0
                self._send_message(
                    WorkerUnreachable(
                        self._incarnation, self._clock.lease_until
                    )
                )
                client.close()
                client = self._make_client()
                self._closed.wait(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        client.close()

    def _report_session_end(self, result: PollResult) -> bool:
        """Reports a result that ends the session; returns whether it does."""
        if isinstance(result, StaleFence):
            self._send(CellFenced(self._key))
            return True
        if isinstance(result, IncarnationMismatch):
            self._send_message(IncarnationEnded(self._incarnation))
            return True
        return False

    def _handle_poll(
        self, answer: WorkerRuns, sent_at: float, without_lease: bool
    ) -> int:
        """Reports the worker's runs to the cell.

        Returns:
            Wait of the next poll in milliseconds; -1 to end the session.
        """
        if answer.born_ms is not None and not self._is_own(answer):
            successor = Incarnation(self._incarnation.worker, answer.born_ms)
            self._send_message(IncarnationEnded(self._incarnation, successor))
            return -1
        self._clock.sample(answer.clock_ms, steady_s())
        self._send_message(
            WorkerReport(
                self._incarnation,
                sent_at,
                self._clock.lease_until,
                answer.running,
                answer.ended,
                answer.ends_complete,
            )
        )
        if answer.ended:
            newest = answer.ended[-1].number
            if self._acknowledged < newest:
                self._acknowledged_event.wait(
                    _MAX_ACKNOWLEDGE_WAIT_S
                    if answer.ends_complete
                    # No later end can be listed before that.
                    else POLL_WAIT_MS / 1000
                )
            if self._acknowledged < newest:
                return 0
        return 0 if without_lease else POLL_WAIT_MS

    def _is_own(self, answer: WorkerRuns) -> bool:
        """Whether this session's incarnation has answered."""
        return answer.born_ms in (None, self._incarnation.born_ms)

    def _carry_out(self) -> None:
        client = self._make_client()
        while (order := self._orders.get()) is not None:
            if self._closed.is_set():
                break
            answered = self._execute(client, order)
            if not answered:
                client.close()
                client = self._make_client()
        client.close()

    def _execute(self, client: RunClient, order: WorkerOrder) -> bool:
        """Sends an order; returns whether the worker answered."""
        if isinstance(order, StartRun):
            return self._start(client, order)
        if isinstance(order, StopRun):
            result = client.stop(order.subtask, order.run)
            self._stopped_runs.discard((order.subtask, order.run))
            fenced = isinstance(result, StaleFence)
            self._send_message(StopOrderResult(order, result is None, fenced))
            return result is None
        return client.pace(order.subtask, order.run, order.percent) is None

    def _start(self, client: RunClient, order: StartRun) -> bool:
        outcome = self._refusal(client, order)
        if outcome is None:
            outcome = self._send_start(client, order)
            METRICS.count("acaciawing.jobs.starts", outcome=outcome.value)
        self._send_message(StartOrderResult(order, outcome))
        return outcome is not StartOutcome.UNANSWERED

    def _refusal(
        self, client: RunClient, order: StartRun
    ) -> StartOutcome | None:
        """Returns why a start is not sent; None if it may be sent."""
        if self._is_withdrawn(order):
            return StartOutcome.REFUSED
        return self._confirm_connection(client)

    def _is_withdrawn(self, order: StartRun) -> bool:
        return (
            self._closed.is_set()
            or (order.subtask, order.run) in self._stopped_runs
            or steady_s() > order.valid_until
            or not self._has_authority()
        )

    def _confirm_connection(self, client: RunClient) -> StartOutcome | None:
        """Polls over a new connection, to learn which incarnation answers.

        Returns:
            Why no start may be sent over the connection; None if this
            session's incarnation has answered over it.
        """
        if client.is_confirmed:
            return None
        if steady_s() - self._unconfirmed_at < MAX_RETRY_PAUSE_S:
            return StartOutcome.REFUSED
        result = client.poll(0, None, 0)
        if isinstance(result, WorkerRuns) and self._is_own(result):
            self._clock.sample(result.clock_ms, steady_s())
            return None
        client.close()
        self._unconfirmed_at = steady_s()
        if isinstance(result, StaleFence):
            return StartOutcome.FENCED
        return StartOutcome.REFUSED

    def _send_start(self, client: RunClient, order: StartRun) -> StartOutcome:
        # The lease counts from before the check, in case of a pause after it.
        # To confirm the connection may have taken until a poll timed out.
        decided_at = steady_s()
        if self._is_withdrawn(order):
            return StartOutcome.REFUSED
        deadline_ms = self._clock.grant(decided_at)
        if deadline_ms is None:
            return StartOutcome.REFUSED
        result = client.start(order, deadline_ms, order.ticket)
        if result.clock_ms is None:
            return result.outcome
        if self._clock.is_of_another_incarnation(result.clock_ms):
            self._log_other_incarnation(order, deadline_ms, result)
            return StartOutcome.UNANSWERED
        self._clock.sample(result.clock_ms, steady_s())
        return result.outcome

    def _log_other_incarnation(
        self, order: StartRun, deadline_ms: int, result: StartResult
    ) -> None:
        """Logs an answer to a start that another incarnation has sent."""
        clock_ms = result.clock_ms or 0
        log_event(
            Event.OTHER_INCARNATION,
            {
                "cell": self._key.partition,
                "fence": self._key.fence,
                "worker": self._incarnation.worker,
                "born_ms": self._incarnation.born_ms,
                "subtask": str(order.subtask),
                "run": order.run,
                "outcome": result.outcome.value,
                "behind_ms": self._clock.lag_ms(clock_ms),
                "lease_ms": deadline_ms - clock_ms,
            },
        )

    def _send_message(
        self,
        message: WorkerReport
        | WorkerUnreachable
        | IncarnationEnded
        | StartOrderResult
        | StopOrderResult,
    ) -> None:
        self._send(WorkerMessageReceived(self._key, message))
