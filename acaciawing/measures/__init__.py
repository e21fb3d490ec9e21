"""The four measures of the fleet and the achieved success rate."""

from acaciawing.measures.definitions import (
    CapacitySample,
    ShortWorkWait,
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
    "ShortWorkWait",
    "Summary",
    "achieved_rate",
    "buffer_cost",
    "moves",
    "roll_out_time",
    "short_behind_long_wait",
    "summarise",
]
