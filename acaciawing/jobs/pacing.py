"""Pace of runs that fill what others leave, by the latency of those served.

How much a run that fills disturbs differs by image and changes in seconds, so
the pace follows the measured tail: down fast, up slowly.
"""

from collections.abc import Iterable

from acaciawing.jobs.workers import Phase, Run

# Above this share of the objective runs that fill are slowed down, and below
# the other one they may work faster.
SLOW_DOWN_ABOVE_SHARE = 0.9
SPEED_UP_BELOW_SHARE = 0.7

# Factor of one step down; three steps, taken within 2.5 s, end at 0 and keep
# below the 4 s for which an objective may be missed.
SLOW_DOWN_FACTOR = 0.3
_MIN_PERCENT = 10

# One step up, in percent.
SPEED_UP_PERCENT = 8

# Shortest time between two steps, in seconds: the readings are means of the
# last half second, and a pace works after 0.1 s.
MIN_PACE_INTERVAL_S = 0.6


def max_objective_usage(runs: Iterable[Run]) -> float | None:
    """Returns the largest share of an objective that serving runs use.

    Returns:
        None where no run on the worker has an objective and a reading.
    """
    shares = [
        run.load_metric / run.step.target_ms
        for run in runs
        if run.step.target_ms > 0
        and run.phase is Phase.RUNNING
        and run.load_metric > 0
    ]
    return max(shares, default=None)


def next_pace(percent: int, usage: float | None) -> int:
    """Returns the next pace for all that fills on a worker.

    >>> next_pace(100, 1.2), next_pace(30, 1.2), next_pace(9, 1.2)
    (30, 0, 0)
    >>> next_pace(50, 0.8), next_pace(50, 0.4), next_pace(50, None)
    (50, 58, 100)
    """
    if usage is None:
        return 100
    if usage > SLOW_DOWN_ABOVE_SHARE:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= _MIN_PERCENT else 0
    if usage < SPEED_UP_BELOW_SHARE:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
