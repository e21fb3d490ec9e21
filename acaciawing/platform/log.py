"""Client of the platform's append-only log service."""

import base64
from dataclasses import dataclass
from typing import Protocol, TypeAlias

import msgspec
import urllib3

from acaciawing.records import LogPosition

CONTROL_STREAM = "control"

# The log answers in milliseconds when healthy; a longer wait would hold the
# reading task past the 2 s roll-out goal.
_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.5)


@dataclass(frozen=True)
class Appended:
    """The record is in the log at `position`."""

    position: LogPosition


@dataclass(frozen=True)
class AppendUnknown:
    """The record may or may not have been appended."""

    detail: str


@dataclass(frozen=True)
class NotAppended:
    """The record has provably not been appended."""

    detail: str


AppendOutcome: TypeAlias = Appended | AppendUnknown | NotAppended


@dataclass(frozen=True)
class LogEntry:
    """A payload and its place in the stream."""

    position: LogPosition
    payload: bytes


@dataclass(frozen=True)
class Batch:
    """Consecutive records.

    Attributes:
        entries: Records from the requested offset on; may be empty.
        next_offset: Offset to read from next.
        head_offset: Offset that the next append will get.
        first_offset: Oldest offset that the log still keeps.
    """

    entries: tuple[LogEntry, ...]
    next_offset: int
    head_offset: int
    first_offset: int


@dataclass(frozen=True)
class OffsetExpired:
    """The requested offset is older than the log's retention."""

    first_offset: int


@dataclass(frozen=True)
class LogUnavailable:
    """The log did not answer or answered with an error."""

    detail: str


ReadOutcome: TypeAlias = Batch | OffsetExpired | LogUnavailable


class Log(Protocol):
    """What the tasks need of a log; tests use an in-memory fake."""

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Appends one record."""
        ...

    def read(self, stream: str, offset: int, limit: int) -> ReadOutcome:
        """Reads up to ``limit`` records from ``offset`` on."""
        ...


class LogClient:
    """Log client over HTTP with JSON.

    Args:
        base_url: For example ``http://192.0.2.1:7000``.
    """

    def __init__(self, base_url: str) -> None:
        """Keeps the address; connects on first use."""
        self._base_url = base_url.rstrip("/")
        self._http = urllib3.PoolManager(
            num_pools=2, maxsize=4, timeout=_TIMEOUT, retries=False
        )

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Appends one record.

        Args:
            stream: Stream name.
            payload: The record.

        Returns:
            `NotAppended` only if the connection could not be made or the
            service said so; any other failure is `AppendUnknown`.
        """
        url = f"{self._base_url}/v1/streams/{stream}/records"
        try:
            answer = self._http.request("POST", url, body=payload)
        except urllib3.exceptions.NewConnectionError as error:
            return NotAppended(str(error))
        except urllib3.exceptions.ConnectTimeoutError as error:
            return NotAppended(str(error))
        except urllib3.exceptions.HTTPError as error:
            return AppendUnknown(str(error))
        if answer.status in (429, 503):
            return NotAppended(f"status {answer.status}")
        if answer.status != 201:
            return AppendUnknown(f"status {answer.status}")
        try:
            body = answer.json()
            position = LogPosition(body["offset"], body["appended_at"])
        except (ValueError, KeyError, TypeError) as error:
            return AppendUnknown(f"answer not understood: {error}")
        return Appended(position)

    def read(self, stream: str, offset: int, limit: int = 500) -> ReadOutcome:
        """Reads up to ``limit`` records from ``offset`` on."""
        url = f"{self._base_url}/v1/streams/{stream}/records"
        fields = {"offset": str(offset), "limit": str(limit)}
        try:
            answer = self._http.request("GET", url, fields=fields)
            if answer.status == 410:
                return OffsetExpired(int(answer.json()["first_offset"]))
            if answer.status != 200:
                return LogUnavailable(f"status {answer.status}")
            return _batch(_BATCH_DECODER.decode(answer.data))
        except urllib3.exceptions.HTTPError as error:
            return LogUnavailable(str(error))
        except (ValueError, KeyError, msgspec.DecodeError) as error:
            return LogUnavailable(f"answer not understood: {error}")


class _WireEntry(msgspec.Struct):
    offset: int
    appended_at: float
    payload: str


class _WireBatch(msgspec.Struct):
    records: list[_WireEntry]
    next_offset: int
    head_offset: int
    first_offset: int


_BATCH_DECODER = msgspec.json.Decoder(_WireBatch)


def _batch(wire: _WireBatch) -> Batch:
    entries = tuple(
        LogEntry(
            LogPosition(r.offset, r.appended_at), base64.b64decode(r.payload)
        )
        for r in wire.records
    )
    return Batch(entries, wire.next_offset, wire.head_offset, wire.first_offset)
