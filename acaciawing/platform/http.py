"""Calls over one kept connection, with outcomes in place of exceptions."""

import select
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

import httptools
import msgspec

# Keep-alive probes find a connection that went silent, in seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
]

# Bytes read at once; most answers fit into one read.
_READ_BYTES = 1 << 16

# Largest answer that is read, in bytes; the largest page of the store has 1 MB
# of records, which base64 lengthens by a third.
_MAX_ANSWER_BYTES = 1 << 24


@dataclass(frozen=True)
class Answered:
    """A whole answer arrived."""

    status: int
    body: bytes


@dataclass(frozen=True)
class NotSent:
    """No connection was made, so the call has not been executed.

    Attributes:
        refused: Whether the address is up and nothing listens there.
        detail: What went wrong.
    """

    refused: bool
    detail: str


@dataclass(frozen=True)
class NoAnswer:
    """The call may have been executed, or may be executed later."""

    detail: str


Outcome: TypeAlias = Answered | NotSent | NoAnswer


class _AnswerReader:
    """Callbacks of the parser for one answer.

    Attributes:
        complete: Whether the final answer has ended.
        status: Its status.
        kept: Whether the connection may carry another call.
        size: Bytes of its body so far.
    """

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self.complete = False
        self.status = 0
        self.kept = False
        self.size = 0

    @property
    def body(self) -> bytes:
        return b"".join(self._chunks)

    def on_body(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self.size += len(chunk)

    def on_message_complete(self) -> None:
        self.status = self._parser.get_status_code()
        self.kept = self._parser.should_keep_alive()
        # An interim answer, such as 100, is followed by the final one.
        self.complete = self.status >= 200

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)


class Connection:
    """One kept connection to an address; for one thread at a time.

    urllib3 costs about four times the processor time for a call, which bounds
    how many runs an instance can start; see docs/decisions/platform-calls.md.

    Args:
        address: ``ip:port``.
        connect_s: Longest time to connect, in seconds.
    """

    def __init__(self, address: str, connect_s: float = 0.4) -> None:
        """Keeps the address; connects on first use."""
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._host_line = f"Host: {address}\r\n"
        self._connect_s = connect_s
        self._socket: socket.socket | None = None
        self._poll = select.poll()
        self._timeout_s = 0.0

    @property
    def kept(self) -> bool:
        """Whether the next call goes over a connection that is open now."""
        return self._socket is not None and not self._poll.poll(0)

    def close(self) -> None:
        """Closes the connection."""
        opened, self._socket = self._socket, None
        if opened is not None:
            self._poll.unregister(opened)
            opened.close()

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> Outcome:
        """Makes one call; never raises for a failure of the network.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body of the request.
            headers: Further headers.
            timeout_s: Longest time for the answer, in seconds.
        """
        opened = self._open(timeout_s)
        if isinstance(opened, NotSent):
            return opened
        request = self._request(method, path, body, headers or {})
        try:
            return self._exchange(opened, request, timeout_s)
        except (OSError, httptools.HttpParserError, ValueError) as error:
            self.close()
            return NoAnswer(f"{type(error).__name__}: {error}")

    def _open(self, timeout_s: float) -> socket.socket | NotSent:
        if self._socket is not None and not self.kept:
            # Closed by the other side, or bytes that belong to no call.
            self.close()
        if self._socket is not None:
            return self._socket
        try:
            opened = socket.create_connection(
                self._address, min(self._connect_s, timeout_s)
            )
        except ConnectionRefusedError as error:
            return NotSent(True, str(error))
        except OSError as error:
            return NotSent(False, f"{type(error).__name__}: {error}")
        for option in _SOCKET_OPTIONS:
            opened.setsockopt(*option)
        self._socket, self._timeout_s = opened, 0.0
        self._poll.register(opened, select.POLLIN)
        return opened

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> bytes:
        lines = [f"{method} {path} HTTP/1.1\r\n", self._host_line]
        lines += [f"{name}: {value}\r\n" for name, value in headers.items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}\r\n")
        lines.append("\r\n")
        return "".join(lines).encode("latin-1") + (body or b"")

    def _exchange(
        self, opened: socket.socket, request: bytes, timeout_s: float
    ) -> Answered:
        """Sends a request and reads its answer; raises OSError without one."""
        deadline = time.monotonic() + timeout_s
        self._limit(opened, timeout_s)
        opened.sendall(request)
        reader = _AnswerReader()
        while True:
            data = opened.recv(_READ_BYTES)
            if not data:
                raise ConnectionError("closed before the end of the answer")
            reader.feed(data)
            if reader.complete:
                break
            if reader.size > _MAX_ANSWER_BYTES:
                raise ValueError("the answer is too large")
            left = deadline - time.monotonic()
            if left <= 0:
                raise TimeoutError("deadline passed while reading")
            self._limit(opened, left)
        if not reader.kept:
            self.close()
        return Answered(reader.status, reader.body)

    def _limit(self, opened: socket.socket, timeout_s: float) -> None:
        # Setting the same limit again would cost a system call.
        if timeout_s != self._timeout_s:
            opened.settimeout(timeout_s)
            self._timeout_s = timeout_s


_ENCODER = msgspec.json.Encoder()
JSON_HEADERS = {"Content-Type": "application/json"}


def encode_json(value: Any) -> bytes:
    """Encodes a body."""
    return _ENCODER.encode(value)


def decode_object(body: bytes) -> dict[str, Any]:
    """Decodes a body that is a JSON object.

    Returns:
        An empty object where the bytes are anything else; callers then find
        their fields missing, which each of them reports with its place.
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return value if isinstance(value, dict) else {}


def whole_number(value: object) -> int | None:
    """Returns a whole number as an int, or None for anything else.

    >>> whole_number(3.0), whole_number("3"), whole_number(True)
    (3, None, None)
    """
    if isinstance(value, bool):
        return None
    if isinstance(value, int):
        return value
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return None
