"""Urgency of waiting jobs, which decides the order of placement.

Under overload, jobs that can still meet their latency objective are placed
before those that can't; in order of arrival, all jobs would be late.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from acaciawing.jobs.model import Job, Queue

# A late job still has some value up to this many times its objective.
MAX_LATENESS_FACTOR = 3.0

# A late job that loses its value within this time is placed before all others:
# about the wait for room at a load peak.
EXPIRING_MS = 700.0

# Share of the objective reserved for time that the estimates leave out.
ESTIMATE_MARGIN_SHARE = 0.1


class Urgency(IntEnum):
    """Urgency of a job by its latency objective; smaller goes first.

    Attributes:
        EXPIRING: It will miss the objective and loses its value soon.
        ON_TIME: It can still meet the objective.
        LATE: It will miss the objective but keeps some value for a while.
        EXPIRED: It has no value any more.
    """

    EXPIRING = 0
    ON_TIME = 1
    LATE = 2
    EXPIRED = 3


class Rank(NamedTuple):
    """Sort key of a job's subtasks; smaller goes first.

    Attributes:
        priority: The queue's priority; 0 is the most urgent.
        batch: Whether the subtask ends by itself; long-running ones go first.
        urgency: Urgency of the job.
        not_started: Whether no run of the job has started; others go first.
        submitted_ms: When the job was submitted, Unix time in milliseconds.
    """

    priority: int
    batch: bool
    urgency: Urgency
    not_started: bool
    submitted_ms: int


def critical_paths_ms(job: Job) -> tuple[int, ...]:
    """Returns the length of a job's remaining critical path from each step on.

    Returns:
        Estimated times; item k is computed without the steps before k.
    """
    return tuple(
        _critical_path_ms(job, first) for first in range(len(job.steps))
    )


def _critical_path_ms(job: Job, first_step: int) -> int:
    longest: list[int] = []
    for number, step in enumerate(job.steps):
        before = max((longest[d] for d in step.depends_on), default=0)
        own = step.estimated_ms if number >= first_step else 0
        longest.append(before + own)
    return max(longest, default=0)


def assess_urgency(
    critical_paths: Sequence[int],
    queue: Queue,
    since_ms: int,
    first_step: int,
    unix_ms: int,
) -> Urgency:
    """Returns the urgency of a job by its latency objective.

    Args:
        critical_paths: Result of `critical_paths_ms` for the job.
        queue: Its queue.
        since_ms: When it was submitted or due, Unix time in milliseconds.
        first_step: Step that waits for a worker.
        unix_ms: Current Unix time in milliseconds.
    """
    objective = _objective_ms(critical_paths, queue) * (
        1 - ESTIMATE_MARGIN_SHARE
    )
    spent = unix_ms - since_ms + critical_paths[first_step]
    if spent <= objective:
        return Urgency.ON_TIME
    left = MAX_LATENESS_FACTOR * objective - spent
    if left < 0:
        return Urgency.EXPIRED
    return Urgency.EXPIRING if left < EXPIRING_MS else Urgency.LATE


def is_certainly_expired(
    critical_paths: Sequence[int],
    queue: Queue,
    since_ms: int,
    left_ms: int,
    unix_ms: int,
) -> bool:
    """Whether a job has lost its value even if its current step ends now.

    Args:
        critical_paths: Result of `critical_paths_ms` for the job.
        queue: Its queue.
        since_ms: When it was submitted or due, Unix time in milliseconds.
        left_ms: Estimated time of the steps after the current one.
        unix_ms: Current Unix time in milliseconds.
    """
    objective = _objective_ms(critical_paths, queue)
    return unix_ms - since_ms + left_ms > MAX_LATENESS_FACTOR * objective


def _objective_ms(critical_paths: Sequence[int], queue: Queue) -> float:
    return queue.stretch * critical_paths[0] + queue.objective_ms
