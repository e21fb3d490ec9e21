"""Task that logs decisions and retains the latest ones for operators."""

import threading
from collections import OrderedDict, deque
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Any

from acaciawing.telemetry import Event, log_event

# Each kind of subject has its own bound. With a common one, requests would
# evict instances and tasks within seconds. 2,000 subjects cover all instances
# of the target size; ten events cover a move and a wave.
_MAX_SUBJECTS_PER_KIND = 2000
_MAX_EVENTS_PER_SUBJECT = 10
# About one day of operator changes at the target size.
_MAX_CHANGES = 1000
# Lines are written in batches: waking the task for each line would cost the
# request path more than the line itself.
_WRITE_INTERVAL_S = 0.2


@dataclass(frozen=True)
class Decision:
    """A decision about one subject.

    Attributes:
        kind: ``request``, ``task`` or ``instance``.
        subject: Id of the subject.
        time: Wall-clock time in seconds; for a decision read from the log, the
            log's time of the append.
        event: Entry of the event catalogue.
        reasons: Input values of the decision.
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


class DecisionRecorder(threading.Thread):
    """Owns the decision log and the decisions retained for operators."""

    def __init__(self) -> None:
        """Starts with nothing recorded."""
        super().__init__(name="recorder", daemon=True)
        self._inbox: SimpleQueue[Any] = SimpleQueue()
        self._posted: deque[Decision | Change] = deque()
        self._decisions: dict[str, OrderedDict[str, deque[Decision]]] = {}
        self._changes: deque[Change] = deque(maxlen=_MAX_CHANGES)

    def post(self, entry: Decision | Change) -> None:
        """Queues an entry without waking the thread.

        It is recorded within `_WRITE_INTERVAL_S`.
        """
        self._posted.append(entry)

    def explain(self, kind: str, subject: str) -> list[Decision]:
        """Returns the retained decisions about a subject, oldest first."""
        reply: SimpleQueue[list[Decision]] = SimpleQueue()
        self._inbox.put((kind, subject, reply))
        return reply.get()

    def changes(self) -> list[Change]:
        """Returns the retained changes, oldest first."""
        reply: SimpleQueue[list[Change]] = SimpleQueue()
        self._inbox.put(("changes", "", reply))
        return reply.get()

    def stop(self) -> None:
        """Records all queued entries and ends the task."""
        self._inbox.put(None)
        self.join(2.0)

    def run(self) -> None:
        """Handles messages until stopped."""
        message: Any = ()
        while message is not None:
            try:
                message = self._inbox.get(timeout=_WRITE_INTERVAL_S)
            except Empty:
                message = ()
            while self._posted:
                self._store(self._posted.popleft())
            if message:
                kind, subject, reply = message
                reply.put(self._read(kind, subject))

    def _store(self, entry: Decision | Change) -> None:
        if isinstance(entry, Change):
            self._changes.append(entry)
        else:
            self._store_decision(entry)

    def _read(self, kind: str, subject: str) -> list[Any]:
        if kind == "changes":
            return list(self._changes)
        subjects = self._decisions.get(kind)
        return [] if subjects is None else list(subjects.get(subject, ()))

    def _store_decision(self, decision: Decision) -> None:
        if decision.logged:
            log_event(
                decision.event,
                {decision.kind: decision.subject, **decision.reasons},
            )
        subjects = self._decisions.setdefault(decision.kind, OrderedDict())
        events = subjects.setdefault(
            decision.subject, deque(maxlen=_MAX_EVENTS_PER_SUBJECT)
        )
        events.append(decision)
        subjects.move_to_end(decision.subject)
        if len(subjects) > _MAX_SUBJECTS_PER_KIND:
            subjects.popitem(last=False)
