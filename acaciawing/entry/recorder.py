"""Task that writes decision log lines and keeps the latest for ``explain``."""

import threading
from collections import OrderedDict, deque
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Any

from acaciawing.telemetry import Event, log_event

# About 2 KB each; 2,000 subjects keep the daemon under its memory limit.
_KEPT_SUBJECTS = 2000
_KEPT_EVENTS = 20
# A wake-up for each line would cost the request path more than the line.
_EVERY_S = 0.05


@dataclass(frozen=True)
class Decision:
    """A decision about one subject.

    Attributes:
        kind: ``request``, ``task`` or ``instance``.
        subject: Id of the subject.
        time: Wall-clock time in seconds.
        event: Catalogue entry.
        reasons: Values that the decision rests on.
    """

    kind: str
    subject: str
    time: float
    event: Event
    reasons: dict[str, Any]


class Recorder(threading.Thread):
    """Owns the log output and the decisions kept for ``explain``."""

    def __init__(self) -> None:
        """Starts with nothing recorded."""
        super().__init__(name="recorder", daemon=True)
        self._inbox: SimpleQueue[Any] = SimpleQueue()
        self._decisions: deque[Decision] = deque()
        self._kept: OrderedDict[tuple[str, str], list[Decision]] = OrderedDict()

    def post(self, decision: Decision) -> None:
        """Records a decision within `_EVERY_S`; wakes no thread."""
        self._decisions.append(decision)

    def explain(self, kind: str, subject: str) -> list[Decision]:
        """Decisions about a subject, oldest first."""
        reply: SimpleQueue[list[Decision]] = SimpleQueue()
        self._inbox.put((kind, subject, reply))
        return reply.get()

    def stop(self) -> None:
        """Writes what was posted and ends the task."""
        self._inbox.put(None)
        self.join(2.0)

    def run(self) -> None:
        """Handles messages until stopped."""
        message: Any = ()
        while message is not None:
            try:
                message = self._inbox.get(timeout=_EVERY_S)
            except Empty:
                message = ()
            while self._decisions:
                self._record(self._decisions.popleft())
            if message:
                kind, subject, reply = message
                reply.put(list(self._kept.get((kind, subject), ())))

    def _record(self, decision: Decision) -> None:
        log_event(
            decision.event,
            {decision.kind: decision.subject, **decision.reasons},
        )
        key = (decision.kind, decision.subject)
        events = self._kept.setdefault(key, [])
        events.append(decision)
        del events[:-_KEPT_EVENTS]
        self._kept.move_to_end(key)
        if len(self._kept) > _KEPT_SUBJECTS:
            self._kept.popitem(last=False)
