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
    LeavingSeen,
    ListingSeen,
    MembersSeen,
    Message,
    Query,
    StateChanged,
    Stop,
    Submit,
    Wake,
)
from acaciawing.outcomes import Refusal
from acaciawing.retries import NoAttempt

# Longest time between two looks at the queue's deadlines.
TICK_S = 0.05
# The same while nothing waits or runs: 20 wake-ups a second of several tasks were
# most of the processor time of an idle daemon.
IDLE_TICK_S = 0.25


class Scheduler(threading.Thread):
    """Applies messages to the engine, one at a time.

    Args:
        engine: State and decisions; used by this task only.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, engine: Engine, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Keeps the engine; `start` begins to handle messages."""
        super().__init__(name="scheduler", daemon=True)
        self._engine = engine
        self._clock = clock
        self._inbox: SimpleQueue[Message] = SimpleQueue()
        self._deferred: deque[Message] = deque()
        self._waiting = False
        self._ticked = 0.0

    def post(self, message: Message) -> None:
        """Sends a message; returns at once."""
        self._inbox.put(message)

    def post_deferred(self, message: Message) -> None:
        """Sends a message that is applied before the next one, or in a tick.

        Each wake-up of the task costs some 50 us. The end of a request needs
        none while nothing waits for its slot.
        """
        self._deferred.append(message)
        if self._waiting:
            self._inbox.put(Wake())

    def submit(self, message: Submit) -> Granted | Refusal | NoAttempt:
        """Asks for an endpoint and waits for the decision."""
        self._inbox.put(message)
        return message.reply.get()

    def view(self, close_step: bool = False) -> EngineView:
        """A frozen view of the state.

        Args:
            close_step: Whether to take a demand sample first; the view then
                has the new leave signals and no count of endpoints.
        """
        reply: SimpleQueue[EngineView] = SimpleQueue()
        self._inbox.put(Query(reply, close_step))
        return reply.get()

    def run(self) -> None:
        """Handles messages until stopped."""
        while True:
            try:
                busy = self._engine.busy or self._deferred
                message = self._inbox.get(
                    timeout=TICK_S if busy else IDLE_TICK_S
                )
            except Empty:
                message = Wake()
            if isinstance(message, Stop):
                return
            now = self._clock()
            while self._deferred:
                handle(self._deferred.popleft(), self._engine, now)
            handle(message, self._engine, now)
            if now - self._ticked >= TICK_S:
                self._tick(now)
            self._waiting = self._engine.waiting > 0
            if self._waiting and self._deferred:
                # Deferred before the flag was seen, so nobody woke the task.
                self._inbox.put(Wake())

    def _tick(self, now: float) -> None:
        self._ticked = now
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
    engine.completed(message, now)


@handle.register
def _(message: Finished, engine: Engine, now: float) -> None:
    engine.finished(message)


@handle.register
def _(message: StateChanged, engine: Engine, now: float) -> None:
    engine.state_changed(message, now)
    engine.serve_queues(now)


@handle.register
def _(message: ListingSeen, engine: Engine, now: float) -> None:
    engine.listing_seen(message, now)
    engine.serve_queues(now)


@handle.register
def _(message: MembersSeen, engine: Engine, now: float) -> None:
    engine.members_seen(message, now)
    engine.serve_queues(now)


@handle.register
def _(message: LeavingSeen, engine: Engine, now: float) -> None:
    engine.leaving_seen(message.instance, message.incarnation, now)


@handle.register
def _(message: Query, engine: Engine, now: float) -> None:
    if not message.close_step:
        statuses = engine.endpoint_statuses()
        endpoints = Counter(status for _, status in statuses.values())
        view = replace(
            engine.view(), endpoints=dict(endpoints), statuses=statuses
        )
        message.reply.put(view)
        return
    engine.close_step(now)
    leaves = engine.take_leaves()
    message.reply.put(replace(engine.view(), leaves=leaves))
