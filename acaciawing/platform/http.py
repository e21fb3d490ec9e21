"""Calls over one kept connection, with outcomes in place of exceptions."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgspec
import urllib3

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


class Connection:
    """One kept connection to an address; for one thread at a time.

    Args:
        address: ``ip:port``.
        connect_s: Longest time to connect, in seconds.
    """

    def __init__(self, address: str, connect_s: float = 0.4) -> None:
        """Keeps the address; connects on first use."""
        host, _, port = address.rpartition(":")
        self._connect_s = connect_s
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=1,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )

    def close(self) -> None:
        """Closes the connection."""
        self._pool.close()

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
        timeout = urllib3.Timeout(
            connect=min(self._connect_s, timeout_s), read=timeout_s
        )
        try:
            answer = self._pool.request(
                method,
                path,
                body=body,
                headers=dict(headers or {}),
                timeout=timeout,
                redirect=False,
            )
            return Answered(answer.status, answer.data)
        except urllib3.exceptions.ConnectTimeoutError as error:
            return NotSent(False, str(error))
        except urllib3.exceptions.NewConnectionError as error:
            return NotSent("refused" in str(error), str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return NoAnswer(f"{type(error).__name__}: {error}")


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
