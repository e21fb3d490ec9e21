"""Order in which waiting subtasks are placed.

Under overload, work that can still meet its latency objective goes before work
that can't; a queue in order of arrival would make all of it late.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from acaciawing.jobs.model import Job, Queue

# A job earns something up to this many times its objective.
MAX_LATENESS_FACTOR = 3.0

# Late work whose last chance to earn comes within this time goes before all
# other work, in milliseconds: about the wait for room at a peak.
EXPIRING_MS = 700.0

# Share of the objective that is kept for what estimates leave out.
ESTIMATE_MARGIN_SHARE = 0.1


class Urgency(IntEnum):
    """How a job stands to its objective; smaller goes first."""

    EXPIRING = 0
    ON_TIME = 1
    LATE = 2
    EXPIRED = 3


class Rank(NamedTuple):
    """Sort key of a job's subtasks; smaller goes first.

    Attributes:
        priority: The queue's priority; 0 is the most urgent.
        batch: Whether the subtask ends by itself; lasting ones go first.
        urgency: How the job stands to its objective.
        fresh: Whether nothing of the job has run yet.
        at_ms: When the job was handed in.
    """

    priority: int
    batch: bool
    urgency: Urgency
    not_started: bool
    submitted_ms: int


def critical_paths_ms(job: Job) -> tuple[int, ...]:
    """Returns the longest chain of steps that is left from each step on.

    Returns:
        Estimated times; entry k leaves out all steps before k.
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
    """Returns how a job stands to its objective.

    Args:
        critical_paths: What `critical_paths_ms` returned for the job.
        queue: Its queue.
        since_ms: When it was handed in, or due.
        first_step: First step that is not done.
        unix_ms: Present time.
    """
    whole = queue.stretch * critical_paths[0] + queue.objective_ms
    objective = whole * (1 - ESTIMATE_MARGIN_SHARE)
    spent = unix_ms - since_ms + critical_paths[first_step]
    if spent <= objective:
        return Urgency.ON_TIME
    left = MAX_LATENESS_FACTOR * objective - spent
    if left < 0:
        return Urgency.EXPIRED
    return Urgency.EXPIRING if left < EXPIRING_MS else Urgency.LATE
