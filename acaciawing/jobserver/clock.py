"""Clocks of a process that may be suspended."""

import time


def steady_s() -> float:
    """Returns seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Returns the time of day in milliseconds."""
    return time.time_ns() // 1_000_000
