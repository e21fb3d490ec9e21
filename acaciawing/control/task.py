"""Threads that run the control rounds and the calls they decide."""

import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from random import Random

from acaciawing.control.loop import ControlLoop
from acaciawing.control.messages import (
    ControlMessage,
    OperationEnded,
    TimedCall,
)
from acaciawing.control.move_times import MOVE_COST_S
from acaciawing.control.view import Call
from acaciawing.platform import (
    Log,
    OperationOutcome,
    TasksOutcome,
    WorkerInterface,
)

ROUND_S = 0.5


def suspend_aware_clock() -> float:
    """Returns seconds that also pass while the machine is suspended.

    ``time.monotonic`` stands still then, so a holder that was suspended past
    the end of its lease would go on acting.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WorkerTask(threading.Thread):
    """Makes the calls, apart from the rounds, so renewals don't wait for them.

    Args:
        workers: Client that only this task uses.
        clock: Clock that the deadlines of the calls are on.
        report: Receives the end of each call.
    """

    def __init__(
        self,
        workers: WorkerInterface,
        clock: Callable[[], float],
        report: Callable[[OperationEnded], None],
    ) -> None:
        """Keeps the arguments; `start` begins."""
        super().__init__(name="control-workers", daemon=True)
        self._workers = workers
        self._clock = clock
        self._report = report
        self._inbox: SimpleQueue[TimedCall | None] = SimpleQueue()

    def post(self, timed: TimedCall) -> None:
        """Queues a call; returns at once."""
        self._inbox.put(timed)

    def stop(self) -> None:
        """Ends the task after the calls that are queued."""
        self._inbox.put(None)

    def run(self) -> None:
        """Makes calls until stopped."""
        while (timed := self._inbox.get()) is not None:
            self._report(make_call(timed, self._workers, self._clock))


def make_call(
    timed: TimedCall, workers: WorkerInterface, clock: Callable[[], float]
) -> OperationEnded:
    """Makes a call, unless the lease it was decided under may be over."""
    if clock() >= timed.before:
        return OperationEnded(timed.call, None)
    return OperationEnded(timed.call, _operate(timed.call, workers))


def _operate(
    call: Call, workers: WorkerInterface
) -> OperationOutcome | TasksOutcome:
    name, operation_id = call.instance, call.operation_id
    match call.operation:
        case "drain":
            return workers.drain(call.instance, call.operation_id)
        case "reboot":
            return workers.reboot(call.instance, call.operation_id)
        case "return":
            return workers.return_to(
                call.instance, call.pool, call.operation_id
            )
        case "start-task" if call.start is not None:
            return workers.start_task(name, call.start, operation_id)
        case "checkpoint-task":
            return workers.checkpoint_task(name, call.attempts, operation_id)
        case "throttle-task":
            return workers.throttle_task(name, call.attempts, operation_id)
        case "stop-task":
            return workers.stop_task(name, call.attempts, operation_id)
        case "tasks":
            return workers.tasks(name)
    return workers.status(name)


class ControlTask(threading.Thread):
    """Runs a round each `ROUND_S`; the only user of its log client.

    Args:
        writer: ``instance/incarnation`` of this process.
        log: Log client of this task.
        workers: Client of the worker interface, for this task.
        appended: Called after a round that appended, so that the reader of the
            control stream reads at once.
        move_cost_s: Time for which a move takes an instance out of service,
            until moves are measured.
    """

    def __init__(
        self,
        writer: str,
        log: Log,
        workers: WorkerInterface,
        appended: Callable[[], None],
        move_cost_s: float = MOVE_COST_S,
    ) -> None:
        """Builds the loop; `start` begins the rounds."""
        super().__init__(name="control", daemon=True)
        self._inbox: SimpleQueue[ControlMessage | None] = SimpleQueue()
        self._appended = appended
        clock, self._random = suspend_aware_clock, Random()
        self._worker_task = WorkerTask(workers, clock, self.post)
        self._clock = clock
        self._loop = ControlLoop(
            writer,
            log,
            clock,
            self._random,
            self._worker_task.post,
            move_cost_s=move_cost_s,
        )

    def holds_lease(self, subject: str) -> bool:
        """Whether this process held a lease in the last round; any thread."""
        return self._loop.holds_lease(subject)

    def post(self, message: ControlMessage) -> None:
        """Passes a message to the task; returns at once."""
        self._inbox.put(message)

    def stop(self) -> None:
        """Releases the leases and ends the task."""
        self._inbox.put(None)

    def run(self) -> None:
        """Runs rounds until stopped."""
        self._worker_task.start()
        next_round = self._clock()
        while True:
            try:
                wait = max(0.0, next_round - self._clock())
                message = self._inbox.get(timeout=wait)
            except Empty:
                if self._loop.round().records:
                    self._appended()
                # Jitter keeps the rounds of the instances apart.
                next_round = self._clock()
                next_round += ROUND_S * self._random.uniform(0.8, 1.2)
                continue
            if message is None:
                break
            self._loop.handle(message)
        self._worker_task.stop()
        self._worker_task.join(ROUND_S * 4)
        self._loop.round(stopping=True)
