"""Log lines about one job, subtask, worker or machine, from all instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from acaciawing.decoding import DECODE_ERRORS

# Values that `render` prints in fixed columns or that add no information.
_OMITTED_VALUES = frozenset(
    {"timestamp", "entry", "entry_zone", "event", "number", "level"}
)

# Events of a cell and of workers that explain gaps between a job's lines.
_CELL_EVENTS = frozenset({"AW3101", "AW3102", "AW3103"})
_WORKER_EVENTS = frozenset({"AW3202", "AW3203", "AW3204", "AW3205"})

_SUBJECT_KEYS = ("job", "subtask", "worker", "machine")


@dataclass(frozen=True, order=True)
class LogLine:
    """One structured log line.

    Attributes:
        timestamp: Time at which it was written, in the text form of the line.
        entry: Instance that wrote it.
        number: Number of the event in the catalogue.
        event: Text of the event.
        values: All values of the line.
    """

    timestamp: str
    entry: str
    number: str
    event: str
    values: dict[str, Any] = field(compare=False)


@dataclass(frozen=True)
class Logs:
    """Parsed log files.

    Attributes:
        lines: Lines in order of time.
        unreadable: Number of lines without structured content.
    """

    lines: tuple[LogLine, ...]
    unreadable: int


def read_logs(texts: Iterable[str]) -> Logs:
    """Parses lines of any number of instances, in any order.

    Text before the first brace of a line is ignored, because log collectors
    add prefixes.
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


def select_lines(logs: Logs, subject: str) -> tuple[LogLine, ...]:
    """Returns the lines about an id, and those that explain gaps in them.

    Args:
        logs: All lines.
        subject: Id of a job, subtask, worker or machine.
    """
    subject_lines = [line for line in logs.lines if _is_about(line, subject)]
    if not subject_lines:
        return ()
    cells = {
        line.values["cell"] for line in subject_lines if "cell" in line.values
    }
    workers = {
        line.values["worker"]
        for line in subject_lines
        if "worker" in line.values and "subtask" in line.values
    }
    first, last = subject_lines[0].timestamp, subject_lines[-1].timestamp
    context = [
        line
        for line in logs.lines
        if first <= line.timestamp <= last
        and not _is_about(line, subject)
        and _explains(line, cells, workers)
    ]
    return tuple(sorted([*subject_lines, *context]))


def render(lines: Iterable[LogLine]) -> Iterator[str]:
    """Yields the printed form of each line."""
    for line in lines:
        values = " ".join(
            f"{name}={value}"
            for name, value in line.values.items()
            if name not in _OMITTED_VALUES
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
    except (UnicodeError, *DECODE_ERRORS):
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
    for name in _SUBJECT_KEYS:
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
