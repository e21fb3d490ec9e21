"""Non-blocking stream for log lines with a rate limit."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import BinaryIO

# Long-term limit and maximum burst: a busy instance writes about 100 lines a
# second, and a takeover some hundreds at once.
MAX_LINES_PER_S = 400.0
MAX_BURST_LINES = 2000

_MAX_PENDING_LINES = 5000

_FLUSH_INTERVAL_S = 0.05


class TokenBucket:
    """Token bucket that is refilled at a constant rate.

    Args:
        rate: Tokens added per second.
        burst: Maximum number of tokens.
    """

    def __init__(self, rate: float, burst: float) -> None:
        """Creates a full bucket."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def try_take(self, now: float) -> bool:
        """Removes a token; returns whether there was one."""
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedStream:
    """Buffers lines and writes them from a separate thread.

    Lines beyond the rate limit or the buffer are dropped and counted.

    Args:
        target: Destination of the bytes; may block without limit.
        format_dropped: Returns a log line with the number of dropped lines.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        target: BinaryIO,
        format_dropped: Callable[[int], str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts the thread."""
        self._target = target
        self._format_dropped = format_dropped
        self._clock = clock
        self._token_bucket = TokenBucket(MAX_LINES_PER_S, MAX_BURST_LINES)
        self._lines: deque[str] = deque()
        self._lock = threading.Lock()
        self._dropped_lines = 0
        self._target_closed = False
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    @property
    def dropped_lines(self) -> int:
        """Number of dropped lines that have not been reported yet."""
        return self._dropped_lines

    def write(self, text: str) -> int:
        """Adds a line to the buffer; never blocks on the target."""
        with self._lock:
            full = len(self._lines) >= _MAX_PENDING_LINES
            if full or not self._token_bucket.try_take(self._clock()):
                self._dropped_lines += 1
            else:
                self._lines.append(text)
        return len(text)

    def flush(self) -> None:
        """Does nothing, since the thread flushes after each write."""

    def close(self, timeout_s: float) -> None:
        """Stops the thread after it has written the pending lines.

        Args:
            timeout_s: Maximum time to wait for the thread, in seconds.
        """
        self._closed.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._closed.wait(_FLUSH_INTERVAL_S):
            self._write_pending()
        self._write_pending()

    def _write_pending(self) -> None:
        with self._lock:
            lines, self._lines = self._lines, deque()
            dropped_lines, self._dropped_lines = self._dropped_lines, 0
        if dropped_lines:
            lines.append(self._format_dropped(dropped_lines) + "\n")
        if not lines or self._target_closed:
            return
        try:
            self._target.write("".join(lines).encode())
            self._target.flush()
        except OSError:
            # The reader has closed the target; there is no other place to
            # report this.
            self._target_closed = True
