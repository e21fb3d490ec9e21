"""HTTP over a persistent connection; calls return failures as values."""

import select
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

import httptools
import msgspec

from acaciawing.decoding import DECODE_ERRORS, MAX_WHOLE_NUMBER

# Keep-alive probes detect a peer that no longer responds.
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

# Size of one read; most responses fit into it.
_READ_BYTES = 1 << 16

# Limit of a response body. The largest page of the store has 1 MB of records,
# and base64 adds a third.
_MAX_RESPONSE_BYTES = 1 << 24


@dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True)
class NotSent:
    """No connection could be opened, so the call was not executed.

    Attributes:
        refused: Whether the host refused the connection because no process
            listens on the port.
        detail: Description of the error.
    """

    refused: bool
    detail: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """No valid response; the call may have been executed, or may be later."""

    detail: str


CallOutcome: TypeAlias = Response | NotSent | OutcomeUnknown


class _ResponseReader:
    """Collects one response from the parser's callbacks.

    Attributes:
        complete: Whether the final response has been read to its end.
        status: Status code of the response.
        keep_alive: Whether the connection can be used for another call.
        body_bytes: Size of the part of the body that was read so far.
    """

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self.complete = False
        self.status = 0
        self.keep_alive = False
        self.body_bytes = 0

    @property
    def body(self) -> bytes:
        return b"".join(self._chunks)

    def on_body(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self.body_bytes += len(chunk)

    def on_message_complete(self) -> None:
        self.status = self._parser.get_status_code()
        self.keep_alive = self._parser.should_keep_alive()
        # An interim response, such as 100, is followed by the final one.
        self.complete = self.status >= 200

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)


class Connection:
    """A persistent connection to one address; not thread-safe.

    Used instead of urllib3, which needs about four times the processor time for
    a call. That time limits how many runs an instance can start; see
    docs/decisions/platform-calls.md.

    Args:
        address: ``ip:port``.
        connect_timeout_s: Timeout for opening the connection.
    """

    def __init__(self, address: str, connect_timeout_s: float = 0.4) -> None:
        """Initializes the client; the first call opens the connection."""
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._host_line = f"Host: {address}\r\n"
        self._connect_timeout_s = connect_timeout_s
        self._socket: socket.socket | None = None
        self._opened_count = 0
        self._poll = select.poll()
        self._socket_timeout_s = 0.0

    @property
    def opened_count(self) -> int:
        """How often the connection was opened."""
        return self._opened_count

    @property
    def is_open(self) -> bool:
        """Whether the next call uses the connection that is already open."""
        return self._socket is not None and not self._poll.poll(0)

    def close(self) -> None:
        """Closes the connection."""
        sock, self._socket = self._socket, None
        if sock is not None:
            self._poll.unregister(sock)
            sock.close()

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
        reconnect: bool = True,
    ) -> CallOutcome:
        """Makes one call; a network failure is returned, not raised.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body of the request.
            headers: Additional headers.
            timeout_s: Timeout for the whole response.
            reconnect: Whether to open the connection if it is not open.
        """
        sock = self._open(timeout_s, reconnect)
        if isinstance(sock, NotSent):
            return sock
        request = self._encode_request(method, path, body, headers or {})
        try:
            return self._exchange(sock, request, timeout_s)
        except (OSError, httptools.HttpParserError, ValueError) as error:
            self.close()
            return OutcomeUnknown(f"{type(error).__name__}: {error}")

    def _open(
        self, timeout_s: float, reconnect: bool
    ) -> socket.socket | NotSent:
        if self._socket is not None and not self.is_open:
            # Closed by the peer, or unread bytes that belong to no call.
            self.close()
        if self._socket is not None:
            return self._socket
        if not reconnect:
            return NotSent(False, "the connection is not open")
        try:
            sock = socket.create_connection(
                self._address, min(self._connect_timeout_s, timeout_s)
            )
        except ConnectionRefusedError as error:
            return NotSent(True, str(error))
        except OSError as error:
            return NotSent(False, f"{type(error).__name__}: {error}")
        for option in _SOCKET_OPTIONS:
            sock.setsockopt(*option)
        self._socket, self._socket_timeout_s = sock, 0.0
        self._opened_count += 1
        self._poll.register(sock, select.POLLIN)
        return sock

    def _encode_request(
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
        self, sock: socket.socket, request: bytes, timeout_s: float
    ) -> Response:
        """Sends a request and reads its response.

        Raises:
            OSError: If the connection fails or the deadline passes.
            httptools.HttpParserError: If the response is malformed.
            ValueError: If the response is too large.
        """
        deadline = time.monotonic() + timeout_s
        self._set_timeout(sock, timeout_s)
        sock.sendall(request)
        reader = _ResponseReader()
        while True:
            data = sock.recv(_READ_BYTES)
            if not data:
                raise ConnectionError(
                    "connection closed before the end of the response"
                )
            reader.feed(data)
            if reader.complete:
                break
            if reader.body_bytes > _MAX_RESPONSE_BYTES:
                raise ValueError("the response is too large")
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("deadline passed while reading the response")
            self._set_timeout(sock, remaining_s)
        if not reader.keep_alive:
            self.close()
        return Response(reader.status, reader.body)

    def _set_timeout(self, sock: socket.socket, timeout_s: float) -> None:
        # Setting an unchanged timeout would cost a system call.
        if timeout_s != self._socket_timeout_s:
            sock.settimeout(timeout_s)
            self._socket_timeout_s = timeout_s


_ENCODER = msgspec.json.Encoder()
JSON_HEADERS = {"Content-Type": "application/json"}


def encode_json(value: Any) -> bytes:
    """Encodes a value as JSON."""
    return _ENCODER.encode(value)


def decode_object(body: bytes) -> dict[str, Any]:
    """Decodes a response body that is a JSON object.

    Returns:
        The object, or an empty one if the body is anything else. The caller
        thus handles such a body like an object without the required fields.
    """
    try:
        value = msgspec.json.decode(body)
    except DECODE_ERRORS:
        return {}
    return value if isinstance(value, dict) else {}


def to_whole_number(value: object) -> int | None:
    """Converts a whole number to int; returns None for anything else.

    A number beyond `MAX_WHOLE_NUMBER` is not converted either.

    >>> to_whole_number(3.0), to_whole_number("3"), to_whole_number(True)
    (3, None, None)
    """
    if isinstance(value, bool):
        return None
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, int) and abs(value) <= MAX_WHOLE_NUMBER:
        return value
    return None
