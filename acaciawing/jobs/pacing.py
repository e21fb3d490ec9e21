"""Pace of best-effort runs, controlled by the latency of serving runs.

How much a best-effort run slows down others depends on its image and changes
within seconds, so the pace follows the measured tail latency: it is lowered
fast and raised slowly.
"""

from collections.abc import Iterable

from acaciawing.jobs.workers import Phase, Run

# Best-effort runs are slowed down above the first share of the latency
# objective and sped up below the second.
SLOW_DOWN_ABOVE_SHARE = 0.9
SPEED_UP_BELOW_SHARE = 0.7

# Factor of one step down; a pace below the minimum becomes 0. Three steps reach 0
# within 2.5 s, less than the 4 s for which an objective may be missed.
SLOW_DOWN_FACTOR = 0.3
_MIN_PACE_PERCENT = 10

# One step up.
SPEED_UP_PERCENT = 8

# Minimum time between two steps: a load metric is the mean of the last 0.5 s,
# and a new pace takes effect after 0.1 s.
MIN_PACE_INTERVAL_S = 0.6


def max_objective_usage(runs: Iterable[Run]) -> float | None:
    """Returns the highest latency of serving runs, relative to the objective.

    Returns:
        The share, or None if no run has an objective and a load metric.
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
    """Returns the next pace of a worker's best-effort runs, in percent.

    >>> next_pace(100, 1.2), next_pace(30, 1.2), next_pace(9, 1.2)
    (30, 0, 0)
    >>> next_pace(50, 0.8), next_pace(50, 0.4), next_pace(50, None)
    (50, 58, 100)
    """
    if usage is None:
        return 100
    if usage > SLOW_DOWN_ABOVE_SHARE:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= _MIN_PACE_PERCENT else 0
    if usage < SPEED_UP_BELOW_SHARE:
        return min(100, percent + SPEED_UP_PERCENT)
    return percent
