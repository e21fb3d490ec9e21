"""Task that writes decision log lines and keeps the latest for operators."""

import threading
from collections import OrderedDict, deque
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Any

from acaciawing.telemetry import Event, log_event

# Instances and tasks are kept apart from requests, which arrive so fast that
# they would push the others out within seconds. 2,000 subjects cover all
# instances of the target size; ten events cover a move and a wave.
_KEPT_SUBJECTS = 2000
_KEPT_EVENTS = 10
# About one day of changes at the target size.
_KEPT_CHANGES = 1000
# A wake-up for each line would cost the request path more than the line.
_EVERY_S = 0.2


@dataclass(frozen=True)
class Decision:
    """A decision about one subject.

    Attributes:
        kind: ``request``, ``task`` or ``instance``.
        subject: Id of the subject.
        time: Wall-clock time in seconds.
        event: Catalogue entry.
        reasons: Values that the decision rests on.
        logged: Whether this process writes a log line for it.
    """

    kind: str
    subject: str
    time: float
    event: Event
    reasons: dict[str, Any]
    logged: bool = True


@dataclass(frozen=True)
class Change:
    """A change that an operator made or tried to make.

    Attributes:
        offset: Offset of the record in the control stream.
        time: Time of the append on the log's clock, in seconds.
        record: Type of the record.
        subject: Publication id, or pool of a wave.
        author: Name of the operator.
        verdict: ``accepted`` or ``refused``.
        reason: Code of the refusal, or an empty string.
        detail: Text of the refusal, or the operator's reason.
    """

    offset: int
    time: float
    record: str
    subject: str
    author: str
    verdict: str
    reason: str
    detail: str


class Recorder(threading.Thread):
    """Owns the decision log lines and what is kept for operators."""

    def __init__(self) -> None:
        """Starts with nothing recorded."""
        super().__init__(name="recorder", daemon=True)
        self._inbox: SimpleQueue[Any] = SimpleQueue()
        self._posted: deque[Decision | Change] = deque()
        self._kept: dict[str, OrderedDict[str, deque[Decision]]] = {}
        self._changes: deque[Change] = deque(maxlen=_KEPT_CHANGES)

    def post(self, entry: Decision | Change) -> None:
        """Records an entry within `_EVERY_S`; wakes no thread."""
        self._posted.append(entry)

    def explain(self, kind: str, subject: str) -> list[Decision]:
        """Decisions about a subject, oldest first."""
        reply: SimpleQueue[list[Decision]] = SimpleQueue()
        self._inbox.put((kind, subject, reply))
        return reply.get()

    def changes(self) -> list[Change]:
        """Kept changes, oldest first."""
        reply: SimpleQueue[list[Change]] = SimpleQueue()
        self._inbox.put(("changes", "", reply))
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
            while self._posted:
                self._take(self._posted.popleft())
            if message:
                kind, subject, reply = message
                reply.put(self._read(kind, subject))

    def _take(self, entry: Decision | Change) -> None:
        if isinstance(entry, Change):
            self._changes.append(entry)
        else:
            self._record(entry)

    def _read(self, kind: str, subject: str) -> list[Any]:
        if kind == "changes":
            return list(self._changes)
        kept = self._kept.get(kind)
        return [] if kept is None else list(kept.get(subject, ()))

    def _record(self, decision: Decision) -> None:
        if decision.logged:
            log_event(
                decision.event,
                {decision.kind: decision.subject, **decision.reasons},
            )
        kept = self._kept.setdefault(decision.kind, OrderedDict())
        events = kept.setdefault(decision.subject, deque(maxlen=_KEPT_EVENTS))
        events.append(decision)
        kept.move_to_end(decision.subject)
        if len(kept) > _KEPT_SUBJECTS:
            kept.popitem(last=False)
