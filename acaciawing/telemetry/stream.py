"""A stream for log lines that never blocks its writers and bounds its volume."""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import BinaryIO

# Lines a second over a long time, and lines at once; a busy instance writes
# about 100 a second, and a takeover some hundreds.
LINES_PER_S = 400.0
BURST_LINES = 2000

# Lines that wait for a reader of the stream.
_WAITING_LINES = 5000

# Time between two writes, in seconds.
_FLUSH_S = 0.05


class Allowance:
    """Token bucket.

    Args:
        rate: Tokens a second.
        burst: Most tokens at once.
    """

    def __init__(self, rate: float, burst: float) -> None:
        """Starts full."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at: float | None = None

    def take(self, now: float) -> bool:
        """Takes one token, if there is one."""
        if self._at is not None:
            gained = (now - self._at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedStream:
    """Takes lines at once and writes them from a thread of its own.

    Lines beyond the bounds are left out and counted.

    Args:
        target: Receives the bytes; may block for as long as it likes.
        on_left_out: Returns a line about lines that were left out.
        clock: Steady time in seconds.
    """

    def __init__(
        self,
        target: BinaryIO,
        on_left_out: Callable[[int], str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts the thread."""
        self._target = target
        self._on_left_out = on_left_out
        self._clock = clock
        self._allowance = Allowance(LINES_PER_S, BURST_LINES)
        self._lines: deque[str] = deque()
        self._lock = threading.Lock()
        self._left_out = 0
        self._gone = False
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    @property
    def left_out(self) -> int:
        """Lines that were left out and not told yet."""
        return self._left_out

    def write(self, text: str) -> int:
        """Takes a line; never blocks on the target."""
        with self._lock:
            full = len(self._lines) >= _WAITING_LINES
            if full or not self._allowance.take(self._clock()):
                self._left_out += 1
            else:
                self._lines.append(text)
        return len(text)

    def flush(self) -> None:
        """Does nothing: the thread writes."""

    def close(self, timeout_s: float) -> None:
        """Writes what waits, for at most a time, and ends the thread."""
        self._closed.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._closed.wait(_FLUSH_S):
            self._write_waiting()
        self._write_waiting()

    def _write_waiting(self) -> None:
        with self._lock:
            lines, self._lines = self._lines, deque()
            left_out, self._left_out = self._left_out, 0
        if left_out:
            lines.append(self._on_left_out(left_out) + "\n")
        if not lines or self._gone:
            return
        try:
            self._target.write("".join(lines).encode())
            self._target.flush()
        except OSError:
            # Nobody reads any more, and there is no other place to tell it.
            self._gone = True
