"""Connection to an endpoint with a deadline for each exchange.

urllib3 and http.client frame and parse the messages. This module adds a
deadline for the whole exchange instead of a timeout per read, and records
whether a first byte was passed to the socket and whether bytes follow the end
of the answer.
"""

import http.client
import io
import socket
from collections.abc import Callable
from typing import Any

from urllib3.connection import HTTPConnection

# An endpoint that sends more interim answers than this is considered faulty.
_MAX_INTERIM_ANSWERS = 16


class _DeadlineInput(io.RawIOBase):
    """Raw socket input whose every read ends at the deadline."""

    def __init__(
        self, sock: socket.socket, raw: Any, remaining: Callable[[], float]
    ) -> None:
        self._sock = sock
        self._raw = raw
        self._remaining = remaining
        self.blocking = True
        self.ended = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        left = self._remaining() if self.blocking else 0.0
        if self.blocking and left <= 0:
            raise TimeoutError("deadline passed while reading")
        self._sock.settimeout(left)
        count: int | None = self._raw.readinto(buffer)
        self.ended = self.ended or count == 0
        return count

    def close(self) -> None:
        if not self.closed:
            self._raw.close()
        super().close()


class _SurplusReader(io.BufferedReader):
    """Buffered reader that detects unread bytes when it is closed."""

    def __init__(self, source: _DeadlineInput) -> None:
        super().__init__(source)
        self._source = source
        self.surplus = False

    @property
    def at_end(self) -> bool:
        """Whether the peer's end of stream was read."""
        return self._source.ended

    def close(self) -> None:
        if not self.closed:
            self._source.blocking = False
            try:
                self.surplus = bool(self.peek(1))
            except (OSError, ValueError):
                self.surplus = True
        super().close()


class _Response(http.client.HTTPResponse):
    """Response that skips all interim answers and detects surplus bytes.

    http.client skips only 100 (Continue). It would treat 103 (Early Hints) as the
    final answer, and the next request would then read the real one.
    """

    def __init__(
        self,
        sock: socket.socket,
        remaining: Callable[[], float],
        *args: Any,
        **kwargs: Any,
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        raw = self.fp.detach()
        self.reader = _SurplusReader(_DeadlineInput(sock, raw, remaining))
        self.fp = self.reader

    def begin(self) -> None:
        """Reads the status line and header section of the final answer.

        Raises:
            http.client.HTTPException: If the section is incomplete or if there
                are too many interim answers.
        """
        for _ in range(_MAX_INTERIM_ANSWERS):
            super().begin()
            if self.reader.at_end:
                # http.client treats the end of the stream as an empty line.
                raise http.client.HTTPException("header section cut")
            if not 100 <= self.status < 200 or self.status == 101:
                return
            self.headers = self.msg = None  # type: ignore[assignment]
        raise http.client.HTTPException("too many interim answers")


class EndpointConnection(HTTPConnection):
    """Connection that runs one exchange at a time.

    Args:
        host: IP address of the endpoint.
        port: Port of the endpoint.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, host: str, port: int, clock: Callable[[], float]):
        """Keeps the address; `connect` opens the socket."""
        super().__init__(host, port)
        # Otherwise http.client would reconnect in the middle of a request after
        # a fault, and the request could reach the endpoint twice.
        self.auto_open = 0
        self.response_class = self._respond  # type: ignore[assignment]
        self._clock = clock
        self._deadline = 0.0
        self.began_sending = False
        self.idle_since = 0.0
        self.answer: _Response | None = None

    @property
    def ended_exactly(self) -> bool:
        """Whether the answer was read to its end with no byte after it."""
        answer = self.answer
        return (
            answer is not None
            and answer.isclosed()
            and not answer.reader.surplus
        )

    def remaining(self) -> float:
        """Seconds until the deadline of the exchange."""
        return self._deadline - self._clock()

    def begin_exchange(self, deadline: float) -> None:
        """Resets the state of the previous exchange and sets the deadline."""
        self._deadline = deadline
        self.began_sending = False
        self.answer = None

    def abandon(self) -> None:
        """Closes the socket and any answer that was not read to its end."""
        if self.answer is not None:
            self.answer.close()
        self.close()

    def send(self, data: Any) -> None:
        """Sends bytes; from then on the request may have left the process."""
        left = self.remaining()
        if left <= 0:
            raise TimeoutError("deadline passed while sending")
        if self.sock is None:
            raise http.client.NotConnected()
        self.began_sending = True
        self.sock.settimeout(left)
        super().send(data)

    def _respond(
        self, sock: socket.socket, *args: Any, **kwargs: Any
    ) -> _Response:
        self.answer = _Response(sock, self.remaining, *args, **kwargs)
        return self.answer
