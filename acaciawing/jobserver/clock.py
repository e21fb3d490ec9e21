"""Clocks that stay correct when the host is suspended."""

import time


def steady_s() -> float:
    """Returns monotonic seconds that include time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
