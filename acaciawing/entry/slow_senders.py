"""Protection of request threads from callers that send slowly or not at all.

cheroot gives a new connection to a request thread before its first byte has
come, and limits only the time between two bytes. A few idle or dripping callers
would then hold all request threads.
"""

import io
import select
import socket
import time
from collections.abc import Callable
from typing import Any

from cheroot import wsgi

# Time for the whole of one request's header section and body, in seconds.
REQUEST_READ_S = 10.0


class DeadlineInput(socket.SocketIO):
    """Socket input whose reads all end at one deadline.

    Args:
        sock: The connection.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, sock: socket.socket, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Sets no deadline yet."""
        super().__init__(sock, "rb")
        self._connection = sock
        self._clock = clock
        self._deadline = float("inf")
        self.blocking = True

    def begin_request(self) -> None:
        """Starts the time of one request."""
        self._deadline = self._clock() + REQUEST_READ_S

    def readinto(self, buffer: Any) -> int | None:
        """Reads what is there, or waits until the deadline.

        Returns:
            Count of bytes, or None if reading must not block.

        Raises:
            TimeoutError: If the deadline has passed; cheroot answers 408.
        """
        if not self.blocking:
            return None
        left = self._deadline - self._clock()
        if left <= 0:
            raise TimeoutError("timed out")
        self._connection.settimeout(min(left, REQUEST_READ_S))
        return super().readinto(buffer)


class DeadlineReader(io.BufferedReader):
    """Buffered reader with the interface of cheroot's own.

    cheroot's reader is written in Python; this one reads a header section
    several times faster.

    Args:
        sock: The connection.
        size: Size of the buffer in bytes.
    """

    def __init__(self, sock: socket.socket, size: int) -> None:
        """Starts with an empty buffer."""
        self._input = DeadlineInput(sock)
        super().__init__(self._input, size)
        self.bytes_read = 0

    def begin_request(self) -> None:
        """Starts the time of one request."""
        self._input.begin_request()

    def has_data(self) -> bool:
        """Whether bytes of a further request are buffered."""
        self._input.blocking = False
        try:
            return bool(self.peek(1))
        finally:
            self._input.blocking = True


class PatientServer(wsgi.Server):
    """Server that gives a connection to a thread once a byte has come."""

    def process_conn(self, conn: Any) -> None:
        """Dispatches a connection, or waits for its first byte."""
        if conn.last_used is None and not _is_readable(conn.socket):
            self.put_conn(conn)
            return
        super().process_conn(conn)


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))
