"""The four measures and the achieved rate."""

from acaciawing.measures.definitions import (
    CapacitySample,
    ShortWait,
    Summary,
    achieved_rate,
    buffer_cost,
    moves,
    roll_out_time,
    short_behind_long_wait,
    summarise,
)

__all__ = [
    "CapacitySample",
    "ShortWait",
    "Summary",
    "achieved_rate",
    "buffer_cost",
    "moves",
    "roll_out_time",
    "short_behind_long_wait",
    "summarise",
]
