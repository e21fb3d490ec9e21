"""Durations and rates with units, as operators write them."""

import re
from decimal import Decimal

SECONDS_PER_DURATION_UNIT = {
    "ms": Decimal("0.001"),
    "s": Decimal(1),
    "m": Decimal(60),
    "h": Decimal(3600),
    "d": Decimal(86400),
}
SECONDS_PER_RATE_UNIT = {"s": Decimal(1), "m": Decimal(60), "h": Decimal(3600)}

# At most 12 digits before the point: longer numbers are mistakes, and the limit
# keeps the float finite and sufficiently precise.
_NUMBER = r"([0-9]{1,12}(?:\.[0-9]{1,9})?)"
_DURATION = re.compile(_NUMBER + r"(ms|s|m|h|d)")
_RATE = re.compile(_NUMBER + r"/(s|m|h)")


def parse_duration(text: str) -> float | None:
    """Reads a duration.

    Args:
        text: Number and unit (ms, s, m, h or d) without a space.

    Returns:
        Seconds, or None if the text is not a duration.

    >>> parse_duration("250ms"), parse_duration("7d"), parse_duration("2 s")
    (0.25, 604800.0, None)
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        return None
    return float(Decimal(match[1]) * SECONDS_PER_DURATION_UNIT[match[2]])


def parse_rate(text: str) -> float | None:
    """Reads a rate.

    Args:
        text: Number, a slash and the unit of time (s, m or h).

    Returns:
        Requests per second, or None if the text is not a rate.

    >>> parse_rate("120/s"), parse_rate("90/m"), parse_rate("120")
    (120.0, 1.5, None)
    """
    match = _RATE.fullmatch(text)
    if match is None:
        return None
    return float(Decimal(match[1]) / SECONDS_PER_RATE_UNIT[match[2]])
