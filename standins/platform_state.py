"""State of the platform stand-in: log streams and the instance list."""

import base64
import json
import threading
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

# A rebooting instance is left out of the list until it is returned to service.
_LISTED_STATES = ("live", "leaving")


@dataclass(frozen=True)
class StoredRecord:
    """A record of a stream."""

    offset: int
    appended_at: float
    payload: bytes


@dataclass(frozen=True)
class Instance:
    """An instance that the platform runs."""

    instance: str
    incarnation: int
    pool: str
    zone: str
    rack: str
    address: str
    state: str = "live"
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True)
class Faults:
    """Faults that a test or the demonstration injects.

    Attributes:
        outage: Answer every log request with 500.
        refuse: Reject appends with 503 before they take effect.
        lose_answers: Number of next appends that take effect and whose answer
            is lost.
        delay_s: Delay of each log request, in seconds.
        list_lag_s: Age of the instance list, in seconds.
        retention: Number of newest records that a stream retains.
        failing_workers: Instances on which every task fails at its start.
        lose_task_answers: Number of next requests to change tasks that take
            effect and whose answer is lost.
    """

    outage: bool = False
    refuse: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0
    list_lag_s: float = 0.0
    retention: int = 1_000_000
    failing_workers: tuple[str, ...] = ()
    lose_task_answers: int = 0


@dataclass
class Stream:
    """An append-only stream."""

    first_offset: int = 0
    records: list[StoredRecord] = field(default_factory=list)

    @property
    def head_offset(self) -> int:
        """Offset that the next append gets."""
        return self.first_offset + len(self.records)


class PlatformState:
    """Streams, instances and faults; safe for several threads."""

    def __init__(self, journal: Path | None = None) -> None:
        """Starts without faults, with the streams that the journal holds.

        Args:
            journal: File that preserves appended records over a restart of the
                stand-in, or None to keep them in memory only.
        """
        self._lock = threading.Lock()
        self._journal = journal
        self._streams: dict[str, Stream] = {}
        self._history: list[tuple[float, dict[str, Instance]]] = [(0.0, {})]
        self._operation_ids: set[str] = set()
        self.faults = Faults()
        self.appends = 0
        self.reads = 0
        if journal is not None and journal.exists():
            for line in journal.read_text("utf-8").splitlines():
                stream, appended_at, payload = json.loads(line)
                self._append_record(
                    stream, base64.b64decode(payload), appended_at
                )

    def _append_record(self, stream: str, payload: bytes, now: float) -> int:
        target = self._streams.setdefault(stream, Stream())
        offset = target.head_offset
        target.records.append(StoredRecord(offset, now, payload))
        surplus = len(target.records) - self.faults.retention
        if surplus > 0:
            del target.records[:surplus]
            target.first_offset += surplus
        return offset

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Changes the given faults and leaves the others as they are."""
        with self._lock:
            self.faults = replace(self.faults, **changes)

    def append(
        self, stream: str, payload: bytes, now: float
    ) -> tuple[int, bool]:
        """Appends a record.

        Returns:
            The offset, and whether to lose the answer.
        """
        with self._lock:
            self.appends += 1
            offset = self._append_record(stream, payload, now)
            if self._journal is not None:
                encoded = base64.b64encode(payload).decode()
                with self._journal.open("a", encoding="utf-8") as file:
                    file.write(json.dumps([stream, now, encoded]) + "\n")
            lost = self.faults.lose_answers > 0
            if lost:
                self.faults = replace(
                    self.faults, lose_answers=self.faults.lose_answers - 1
                )
            return offset, lost

    def read(
        self, stream: str, offset: int, limit: int
    ) -> dict[str, Any] | None:
        """Reads records; None if ``offset`` is no longer retained."""
        with self._lock:
            self.reads += 1
            source = self._streams.get(stream, Stream())
            if offset < source.first_offset:
                return None
            start = offset - source.first_offset
            found = source.records[start : start + limit]
            return {
                "first_offset": source.first_offset,
                "next_offset": offset + len(found),
                "head_offset": source.head_offset,
                "records": [
                    {
                        "offset": record.offset,
                        "appended_at": record.appended_at,
                        "payload": base64.b64encode(record.payload).decode(),
                    }
                    for record in found
                ],
            }

    def first_offset(self, stream: str) -> int:
        """Oldest offset that the stream retains."""
        with self._lock:
            return self._streams.get(stream, Stream()).first_offset

    def consume_lost_task_answer(self) -> bool:
        """Returns whether to lose this answer; decrements the fault's count."""
        with self._lock:
            remaining = self.faults.lose_task_answers
            if remaining > 0:
                self.faults = replace(
                    self.faults, lose_task_answers=remaining - 1
                )
            return remaining > 0

    def put_instance(self, instance: Instance, now: float) -> None:
        """Adds or replaces an instance."""
        with self._lock:
            current = dict(self._history[-1][1])
            current[instance.instance] = instance
            self._history.append((now, current))

    def change(
        self, name: str, operation_id: str, now: float, **changes: Any
    ) -> Instance | None:
        """Changes an instance; a repeated operation id has no effect."""
        with self._lock:
            current = dict(self._history[-1][1])
            instance = current.get(name)
            if instance is None:
                return None
            if operation_id in self._operation_ids:
                return instance
            self._operation_ids.add(operation_id)
            current[name] = replace(instance, **changes)
            self._history.append((now, current))
            return current[name]

    def remove_instance(self, name: str, now: float) -> None:
        """Removes an instance from the list."""
        with self._lock:
            current = dict(self._history[-1][1])
            current.pop(name, None)
            self._history.append((now, current))

    def instance(self, name: str) -> Instance | None:
        """Returns the current instance, regardless of ``list_lag_s``."""
        with self._lock:
            return self._history[-1][1].get(name)

    def instance_list(self, now: float) -> dict[str, Any]:
        """Returns the list as it was ``list_lag_s`` ago."""
        with self._lock:
            as_of = now - self.faults.list_lag_s
            snapshot = max(
                (entry for entry in self._history if entry[0] <= as_of),
                key=lambda entry: entry[0],
                default=self._history[0],
            )
            return {
                "as_of": as_of,
                "instances": [
                    asdict(instance)
                    for instance in snapshot[1].values()
                    if instance.state in _LISTED_STATES
                ],
            }
