"""Client of the platform's append-only log service."""

import base64
from dataclasses import dataclass
from typing import Protocol, TypeAlias

import msgspec
import urllib3

from acaciawing.decoding import DECODE_ERRORS
from acaciawing.records import LogPosition

CONTROL_STREAM = "control"

# The log responds within milliseconds when healthy; a longer timeout would
# block the reading task for more than the 2 s allowed for a roll-out.
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
    """The record has certainly not been appended."""

    detail: str


AppendOutcome: TypeAlias = Appended | AppendUnknown | NotAppended


@dataclass(frozen=True)
class LogEntry:
    """A payload and its position in the stream."""

    position: LogPosition
    payload: bytes


@dataclass(frozen=True)
class Batch:
    """Consecutive records.

    Attributes:
        entries: Records from the requested offset on; may be empty.
        next_offset: Offset at which the next read continues.
        head_offset: Offset of the next record to be appended.
        first_offset: Oldest offset that the log still retains.
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
    """The log did not respond, or responded with an error."""

    detail: str


ReadOutcome: TypeAlias = Batch | OffsetExpired | LogUnavailable


class Log(Protocol):
    """Interface of the log; tests implement it in memory."""

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Appends one record."""
        ...

    def read(self, stream: str, offset: int, limit: int) -> ReadOutcome:
        """Reads up to ``limit`` records, starting at ``offset``."""
        ...


class LogClient:
    """Log client over HTTP with JSON.

    Args:
        base_url: For example ``http://192.0.2.1:7000``.
    """

    def __init__(self, base_url: str) -> None:
        """Initializes the client; the first call opens the connection."""
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
            `NotAppended` only if no connection could be opened or the service
            refused the request; any other failure is `AppendUnknown`.
        """
        url = f"{self._base_url}/v1/streams/{stream}/records"
        try:
            response = self._http.request("POST", url, body=payload)
        except urllib3.exceptions.NewConnectionError as error:
            return NotAppended(str(error))
        except urllib3.exceptions.ConnectTimeoutError as error:
            return NotAppended(str(error))
        except urllib3.exceptions.HTTPError as error:
            return AppendUnknown(str(error))
        if response.status in (429, 503):
            return NotAppended(f"status {response.status}")
        if response.status != 201:
            return AppendUnknown(f"status {response.status}")
        try:
            body = response.json()
            position = LogPosition(body["offset"], body["appended_at"])
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return AppendUnknown(f"malformed response: {error}")
        return Appended(position)

    def read(self, stream: str, offset: int, limit: int = 500) -> ReadOutcome:
        """Reads up to ``limit`` records, starting at ``offset``."""
        url = f"{self._base_url}/v1/streams/{stream}/records"
        fields = {"offset": str(offset), "limit": str(limit)}
        try:
            response = self._http.request("GET", url, fields=fields)
            if response.status == 410:
                return OffsetExpired(int(response.json()["first_offset"]))
            if response.status != 200:
                return LogUnavailable(f"status {response.status}")
            return _decode_batch(_BATCH_DECODER.decode(response.data))
        except urllib3.exceptions.HTTPError as error:
            return LogUnavailable(str(error))
        except (ValueError, KeyError, *DECODE_ERRORS) as error:
            return LogUnavailable(f"malformed response: {error}")


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


def _decode_batch(wire: _WireBatch) -> Batch:
    entries = tuple(
        LogEntry(
            LogPosition(r.offset, r.appended_at), base64.b64decode(r.payload)
        )
        for r in wire.records
    )
    return Batch(entries, wire.next_offset, wire.head_offset, wire.first_offset)
