"""Pace of runs that fill what others leave, by the latency of those served.

How much a run that fills disturbs differs by image and changes in seconds, so
the pace follows the measured tail: down fast, up slowly.
"""

from collections.abc import Iterable

from acaciawing.jobs.workers import Phase, Run

# Above this share of the objective runs that fill are slowed down, and below
# the other one they may work faster.
SLOW_ABOVE = 0.9
FASTER_BELOW = 0.7

# Factor of one step down; three steps, taken within 2.5 s, end at 0 and keep
# below the 4 s for which an objective may be missed.
DOWN_FACTOR = 0.3
_LEAST_PERCENT = 10

# One step up, in percent.
UP_PERCENT = 8

# Shortest time between two steps, in seconds: the readings are means of the
# last half second, and a pace works after 0.1 s.
STEP_S = 0.6


def strain(runs: Iterable[Run]) -> float | None:
    """Returns the largest share of an objective that serving runs use.

    Returns:
        None where no run on the worker has an objective and a reading.
    """
    shares = [
        run.reading / run.step.target_ms
        for run in runs
        if run.step.target_ms > 0
        and run.phase is Phase.RUNNING
        and run.reading > 0
    ]
    return max(shares, default=None)


def next_pace(percent: int, strained: float | None) -> int:
    """Returns the next pace for all that fills on a worker.

    >>> next_pace(100, 1.2), next_pace(30, 1.2), next_pace(9, 1.2)
    (30, 0, 0)
    >>> next_pace(50, 0.8), next_pace(50, 0.4), next_pace(50, None)
    (50, 58, 100)
    """
    if strained is None:
        return 100
    if strained > SLOW_ABOVE:
        slower = int(percent * DOWN_FACTOR)
        return slower if slower >= _LEAST_PERCENT else 0
    if strained < FASTER_BELOW:
        return min(100, percent + UP_PERCENT)
    return percent
