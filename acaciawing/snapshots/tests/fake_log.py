"""In-memory log with retention, outages and lost answers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from acaciawing.platform import (
    Appended,
    AppendOutcome,
    AppendUnknown,
    Batch,
    LogEntry,
    LogUnavailable,
    NotAppended,
    OffsetExpired,
    ReadOutcome,
)
from acaciawing.records import LogPosition


@dataclass
class FakeLog:
    """Implements `acaciawing.platform.Log`.

    Attributes:
        time: Time assigned to appends, in seconds.
        unavailable: Whether the log answers no call.
        lose_answers: Number of next appends that take effect but whose answer
            is lost.
        before_read: Called with the stream and offset before each read.
    """

    time: float = 100.0
    unavailable: bool = False
    lose_answers: int = 0
    before_read: Callable[[str, int], None] = lambda stream, offset: None
    _entries: dict[str, list[LogEntry]] = field(default_factory=dict)
    _first: dict[str, int] = field(default_factory=dict)

    def head(self, stream: str) -> int:
        return len(self._entries.get(stream, []))

    def entries(self, stream: str) -> list[LogEntry]:
        return self._entries.get(stream, [])

    def retain_from(self, stream: str, offset: int) -> None:
        """Drops the records before an offset."""
        self._first[stream] = max(self._first.get(stream, 0), offset)

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        if self.unavailable:
            return NotAppended("outage")
        entries = self._entries.setdefault(stream, [])
        position = LogPosition(len(entries), self.time)
        entries.append(LogEntry(position, payload))
        if self.lose_answers:
            self.lose_answers -= 1
            return AppendUnknown("answer lost")
        return Appended(position)

    def read(self, stream: str, offset: int, limit: int) -> ReadOutcome:
        self.before_read(stream, offset)
        if self.unavailable:
            return LogUnavailable("outage")
        first, head = self._first.get(stream, 0), self.head(stream)
        if offset < first:
            return OffsetExpired(first)
        found = tuple(self.entries(stream)[offset : offset + limit])
        return Batch(found, max(offset, offset + len(found)), head, first)
