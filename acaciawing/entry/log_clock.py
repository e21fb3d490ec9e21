"""Time on the log's clock, as far as the records read tell it."""

from collections.abc import Callable


class LogClock:
    """Estimate of the log's time; noted by one thread, read by any.

    The estimate is late by the age of the newest record when it was read. An
    instance that has read no record yet uses the wall clock.

    Args:
        steady: Monotonic time in seconds.
        wall: Wall-clock time in seconds.
    """

    def __init__(
        self, steady: Callable[[], float], wall: Callable[[], float]
    ) -> None:
        """Starts with no record read."""
        self._steady = steady
        self._wall = wall
        # Replaced as a whole, so that a reader sees a pair that belongs
        # together.
        self._newest: tuple[float, float] | None = None

    def note(self, appended_at: float) -> None:
        """Takes note of a record that was just read."""
        if self._newest is None or appended_at > self.now():
            self._newest = (appended_at, self._steady())

    def now(self) -> float:
        """Time in seconds."""
        newest = self._newest
        if newest is None:
            return self._wall()
        appended_at, read_at = newest
        return appended_at + self._steady() - read_at
