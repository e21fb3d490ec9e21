"""Protection of request threads from callers that send slowly or not at all.

cheroot assigns a new connection to a request thread before its first byte has
arrived, and limits only the time between two bytes. A few idle connections or
slow senders could then occupy all request threads.
"""

import io
import select
import socket
import time
from collections.abc import Callable
from typing import Any

from cheroot import wsgi

# Time limit for the complete header section and body of one request.
REQUEST_READ_TIMEOUT_S = 10.0


class DeadlineInput(socket.SocketIO):
    """Socket input with one deadline for all reads of a request.

    Args:
        sock: The connection.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, sock: socket.socket, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Starts without a deadline."""
        super().__init__(sock, "rb")
        self._connection = sock
        self._clock = clock
        self._deadline = float("inf")
        self.blocking = True

    def begin_request(self) -> None:
        """Sets the deadline of one request."""
        self._deadline = self._clock() + REQUEST_READ_TIMEOUT_S

    def readinto(self, buffer: Any) -> int | None:
        """Reads the available bytes, or waits for some until the deadline.

        Returns:
            Number of bytes, or None if reading must not block.

        Raises:
            TimeoutError: If the deadline has passed; cheroot answers 408.
        """
        if not self.blocking:
            return None
        remaining_s = self._deadline - self._clock()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        self._connection.settimeout(min(remaining_s, REQUEST_READ_TIMEOUT_S))
        return super().readinto(buffer)


class DeadlineReader(io.BufferedReader):
    """Buffered reader with the interface of cheroot's reader.

    It reads a header section several times faster than cheroot's reader, which
    is written in Python.

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
        """Sets the deadline of one request."""
        self._input.begin_request()

    def has_data(self) -> bool:
        """Whether bytes of another request are buffered."""
        self._input.blocking = False
        try:
            return bool(self.peek(1))
        finally:
            self._input.blocking = True


class FirstByteServer(wsgi.Server):
    """Server that assigns a connection to a thread after its first byte."""

    def process_conn(self, conn: Any) -> None:
        """Dispatches a connection, or keeps it until its first byte arrives."""
        if conn.last_used is None and not _is_readable(conn.socket):
            self.put_conn(conn)
            return
        super().process_conn(conn)


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))
