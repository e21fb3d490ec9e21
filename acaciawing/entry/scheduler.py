"""Task that owns admission, queues and routing of one entry instance."""

import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch
from queue import Empty, SimpleQueue

from acaciawing.entry.engine import Engine
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.messages import (
    Completed,
    Finished,
    Granted,
    LeavingReported,
    ListingUpdated,
    MembersUpdated,
    Message,
    Query,
    StateChanged,
    Stop,
    Submit,
    Wake,
)
from acaciawing.outcomes import Refusal
from acaciawing.retries import NoAttempt

# Maximum time between two checks of the deadlines in the queues.
TICK_INTERVAL_S = 0.05
# The same while no request waits or runs. Without it, 20 wake-ups a second of
# several tasks used most of the processor time of an idle daemon.
IDLE_TICK_INTERVAL_S = 0.25


class Scheduler(threading.Thread):
    """Applies messages to the engine, one at a time.

    Args:
        engine: State and decisions; used by this task only.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, engine: Engine, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Stores the engine; `start` begins to handle messages."""
        super().__init__(name="scheduler", daemon=True)
        self._engine = engine
        self._clock = clock
        self._inbox: SimpleQueue[Message] = SimpleQueue()
        self._deferred: deque[Message] = deque()
        self._requests_wait = False
        self._ticked_at = 0.0

    def post(self, message: Message) -> None:
        """Sends a message; returns at once."""
        self._inbox.put(message)

    def post_deferred(self, message: Message) -> None:
        """Sends a message that is applied before the next one, or in a tick.

        Each wake-up of the task costs about 50 us. The end of a request
        needn't wake the task while no request waits for the slot.
        """
        self._deferred.append(message)
        if self._requests_wait:
            self._inbox.put(Wake())

    def submit(self, message: Submit) -> Granted | Refusal | NoAttempt:
        """Requests an endpoint and waits for the decision."""
        self._inbox.put(message)
        return message.reply.get()

    def view(self, sample_demand: bool = False) -> EngineView:
        """Returns an immutable view of the state.

        Args:
            sample_demand: Whether to sample the demand first; the view then has
                the new leave signals and no counts or statuses of endpoints.
        """
        reply: SimpleQueue[EngineView] = SimpleQueue()
        self._inbox.put(Query(reply, sample_demand))
        return reply.get()

    def run(self) -> None:
        """Handles messages until stopped."""
        while True:
            try:
                busy = self._engine.busy or self._deferred
                message = self._inbox.get(
                    timeout=TICK_INTERVAL_S if busy else IDLE_TICK_INTERVAL_S
                )
            except Empty:
                message = Wake()
            if isinstance(message, Stop):
                return
            now = self._clock()
            while self._deferred:
                handle(self._deferred.popleft(), self._engine, now)
            handle(message, self._engine, now)
            if now - self._ticked_at >= TICK_INTERVAL_S:
                self._tick(now)
            self._requests_wait = self._engine.waiting > 0
            if self._requests_wait and self._deferred:
                # Deferred before the flag was set, so the task was not woken.
                self._inbox.put(Wake())

    def _tick(self, now: float) -> None:
        self._ticked_at = now
        self._engine.tick(now)


@singledispatch
def handle(message: Message, engine: Engine, now: float) -> None:
    """Applies one message to the engine.

    Args:
        message: The message.
        engine: State and decisions.
        now: Monotonic time in seconds.

    Raises:
        TypeError: If the message is not for the scheduler.
    """
    raise TypeError(type(message).__name__)


@handle.register
def _(message: Wake, engine: Engine, now: float) -> None:
    engine.serve_queues(now)


@handle.register
def _(message: Submit, engine: Engine, now: float) -> None:
    engine.submit(message, now)


@handle.register
def _(message: Completed, engine: Engine, now: float) -> None:
    engine.complete_attempt(message, now)


@handle.register
def _(message: Finished, engine: Engine, now: float) -> None:
    engine.finish_request(message)


@handle.register
def _(message: StateChanged, engine: Engine, now: float) -> None:
    engine.update_state(message, now)
    engine.serve_queues(now)


@handle.register
def _(message: ListingUpdated, engine: Engine, now: float) -> None:
    engine.update_listing(message, now)
    engine.serve_queues(now)


@handle.register
def _(message: MembersUpdated, engine: Engine, now: float) -> None:
    engine.update_members(message, now)
    engine.serve_queues(now)


@handle.register
def _(message: LeavingReported, engine: Engine, now: float) -> None:
    engine.mark_leaving(message.instance, message.incarnation, now)


@handle.register
def _(message: Query, engine: Engine, now: float) -> None:
    if not message.sample_demand:
        statuses = engine.endpoint_statuses()
        endpoints = Counter(status for _, status in statuses.values())
        view = replace(
            engine.view(), endpoints=dict(endpoints), statuses=statuses
        )
        message.reply.put(view)
        return
    engine.sample_demand(now)
    leave_signals = engine.take_leave_signals()
    message.reply.put(replace(engine.view(), leave_signals=leave_signals))
