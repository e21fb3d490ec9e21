"""Task that owns admission, queue and routing of one entry instance."""

import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue

from acaciawing.entry.engine import Engine, EngineView
from acaciawing.entry.messages import (
    Completed,
    Finished,
    Granted,
    ListingSeen,
    Message,
    Query,
    StateChanged,
    Stop,
    Submit,
)
from acaciawing.outcomes import Refusal

# Longest time between two looks at the queue's deadlines.
_TICK_S = 0.1


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

    def post(self, message: Message) -> None:
        """Sends a message; returns at once."""
        self._inbox.put(message)

    def submit(self, message: Submit) -> Granted | Refusal:
        """Asks for an endpoint and waits for the decision."""
        self._inbox.put(message)
        return message.reply.get()

    def view(self) -> EngineView:
        """A frozen view of the state."""
        reply: SimpleQueue[EngineView] = SimpleQueue()
        self._inbox.put(Query(reply))
        return reply.get()

    def run(self) -> None:
        """Handles messages until stopped."""
        while True:
            try:
                message = self._inbox.get(timeout=_TICK_S)
            except Empty:
                self._engine.serve_queue(self._clock())
                continue
            if isinstance(message, Stop):
                return
            self._handle(message)

    def _handle(self, message: Message) -> None:
        match message:
            case Submit():
                self._engine.submit(message, self._clock())
            case Completed():
                self._engine.completed(message, self._clock())
            case Finished():
                self._engine.finished(message)
            case StateChanged():
                self._engine.state_changed(message)
                self._engine.serve_queue(self._clock())
            case ListingSeen():
                self._engine.listing_seen(message)
                self._engine.serve_queue(self._clock())
            case Query():
                message.reply.put(self._engine.view())
