"""Estimate of the log's time from the records read."""

from collections.abc import Callable


class LogClock:
    """Clock that follows the log's time; set by one thread, read by any.

    The estimate lags by the age that the newest record had when it was read. An
    instance that has read no record yet uses the wall clock.

    Args:
        monotonic: Monotonic time in seconds.
        wall: Wall-clock time in seconds.
    """

    def __init__(
        self, monotonic: Callable[[], float], wall: Callable[[], float]
    ) -> None:
        """Starts with no record read."""
        self._monotonic = monotonic
        self._wall = wall
        # Replaced as a whole, so that a reader gets a consistent pair.
        self._newest: tuple[float, float] | None = None

    def observe(self, appended_at: float) -> None:
        """Updates the estimate with the time of a record just read."""
        if self._newest is None or appended_at > self.now():
            self._newest = (appended_at, self._monotonic())

    def now(self) -> float:
        """Returns the estimated time in seconds."""
        newest = self._newest
        if newest is None:
            return self._wall()
        appended_at, read_at = newest
        return appended_at + self._monotonic() - read_at
