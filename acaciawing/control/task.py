"""Threads that run the control rounds and make their calls."""

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
from acaciawing.control.move_cost import DEFAULT_MOVE_COST_S
from acaciawing.control.view import WorkerCall
from acaciawing.platform import (
    Log,
    OperationOutcome,
    TasksOutcome,
    WorkerInterface,
)

ROUND_INTERVAL_S = 0.5


def suspend_aware_clock() -> float:
    """Returns a monotonic time that includes suspension of the machine.

    ``time.monotonic`` stops during a suspension, so a holder that was suspended
    past the end of its lease would continue to act under it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WorkerTask(threading.Thread):
    """Makes calls in a thread of its own, so that they don't delay renewals.

    Args:
        workers: Client that only this task uses.
        clock: Clock of the calls' deadlines.
        report: Receives the outcome of each call.
    """

    def __init__(
        self,
        workers: WorkerInterface,
        clock: Callable[[], float],
        report: Callable[[OperationEnded], None],
    ) -> None:
        """Creates the thread; `start` starts it."""
        super().__init__(name="control-workers", daemon=True)
        self._workers = workers
        self._clock = clock
        self._report = report
        self._inbox: SimpleQueue[TimedCall | None] = SimpleQueue()

    def post(self, timed: TimedCall) -> None:
        """Queues a call; returns at once."""
        self._inbox.put(timed)

    def stop(self) -> None:
        """Ends the task after the queued calls."""
        self._inbox.put(None)

    def run(self) -> None:
        """Makes calls until stopped."""
        while (timed := self._inbox.get()) is not None:
            self._report(make_call(timed, self._workers, self._clock))


def make_call(
    timed: TimedCall, workers: WorkerInterface, clock: Callable[[], float]
) -> OperationEnded:
    """Makes a call, unless the lease that it relies on may have expired."""
    if clock() >= timed.deadline:
        return OperationEnded(timed.call, None)
    return OperationEnded(timed.call, _operate(timed.call, workers))


def _operate(
    call: WorkerCall, workers: WorkerInterface
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
    """Runs a round every `ROUND_INTERVAL_S`.

    Args:
        writer: ``instance/incarnation`` of this process.
        log: Log client that only this task uses.
        workers: Client of the worker interface that only this task uses.
        appended: Called after a round with records, so that the reader of the
            control stream reads them without delay.
        move_cost_s: Time for which a move takes an instance out of service,
            used until a move has been measured.
    """

    def __init__(
        self,
        writer: str,
        log: Log,
        workers: WorkerInterface,
        appended: Callable[[], None],
        move_cost_s: float = DEFAULT_MOVE_COST_S,
    ) -> None:
        """Creates the loop; `start` starts the rounds."""
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
        """Returns whether this process held a lease in the last round.

        Any thread may call it.
        """
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
                # Jitter keeps the instances' rounds from coinciding.
                next_round = self._clock()
                next_round += ROUND_INTERVAL_S * self._random.uniform(0.8, 1.2)
                continue
            if message is None:
                break
            self._loop.handle(message)
        self._worker_task.stop()
        self._worker_task.join(ROUND_INTERVAL_S * 4)
        self._loop.round(stopping=True)
