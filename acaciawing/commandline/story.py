"""Story of one job, subtask, worker or machine, from the logs of instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

# Values that each line shows by itself or that tell nothing more.
_PLAIN = frozenset(
    {"timestamp", "entry", "entry_zone", "event", "number", "level"}
)

# Events of a cell and of workers that explain a pause in a job's story.
_CELL_EVENTS = frozenset({"AW3101", "AW3102", "AW3103"})
_WORKER_EVENTS = frozenset({"AW3202", "AW3203", "AW3204", "AW3205"})

_SUBJECTS = ("job", "subtask", "worker", "machine")


@dataclass(frozen=True, order=True)
class LogLine:
    """One structured line.

    Attributes:
        timestamp: When it was written, as it stands there.
        entry: Instance that wrote it.
        number: Number of the event in the catalogue.
        event: Text of the event.
        values: All further values.
    """

    timestamp: str
    entry: str
    number: str
    event: str
    values: dict[str, Any] = field(compare=False)


@dataclass(frozen=True)
class Logs:
    """What was read.

    Attributes:
        lines: Lines in order of time.
        unreadable: Number of lines that are no structured line.
    """

    lines: tuple[LogLine, ...]
    unreadable: int


def read_logs(texts: Iterable[str]) -> Logs:
    """Reads lines of any number of instances, in any order.

    Text before the first brace of a line is passed over, so that lines that a
    collector has marked can be read as well.
    """
    lines = []
    unreadable = 0
    for text in texts:
        line = _read_line(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            unreadable += 1
    return Logs(tuple(sorted(lines)), unreadable)


def story(logs: Logs, subject: str) -> tuple[LogLine, ...]:
    """Returns the lines about an id, and those that explain its pauses.

    Args:
        logs: All lines.
        subject: Id of a job, subtask, worker or machine.
    """
    own = [line for line in logs.lines if _is_about(line, subject)]
    if not own:
        return ()
    cells = {line.values["cell"] for line in own if "cell" in line.values}
    workers = {
        line.values["worker"]
        for line in own
        if "worker" in line.values and "subtask" in line.values
    }
    first, last = own[0].timestamp, own[-1].timestamp
    context = [
        line
        for line in logs.lines
        if first <= line.timestamp <= last
        and not _is_about(line, subject)
        and _explains(line, cells, workers)
    ]
    return tuple(sorted([*own, *context]))


def render(lines: Iterable[LogLine]) -> Iterator[str]:
    """Yields a line of text for each line of a story."""
    for line in lines:
        values = " ".join(
            f"{name}={value}"
            for name, value in line.values.items()
            if name not in _PLAIN
        )
        yield (
            f"{line.timestamp} {line.entry:20} {line.number} "
            f"{line.event:22} {values}"
        )


def _read_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        values = msgspec.json.decode(text[start:].encode())
    except (msgspec.DecodeError, UnicodeError):
        return None
    if not isinstance(values, dict) or "number" not in values:
        return None
    return LogLine(
        str(values.get("timestamp", "")),
        str(values.get("entry", "")),
        str(values["number"]),
        str(values.get("event", "")),
        values,
    )


def _is_about(line: LogLine, subject: str) -> bool:
    for name in _SUBJECTS:
        value = str(line.values.get(name, ""))
        if value == subject or value.startswith(subject + "."):
            return True
    return False


def _explains(line: LogLine, cells: set[Any], workers: set[Any]) -> bool:
    if line.number in _CELL_EVENTS:
        return line.values.get("cell") in cells
    if line.number in _WORKER_EVENTS:
        return line.values.get("worker") in workers
    return False
