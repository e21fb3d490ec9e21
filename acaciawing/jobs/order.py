"""Order in which waiting subtasks are placed.

Under overload, work that can still meet its latency objective goes before work
that can't; a queue in order of arrival would make all of it late.
"""

from typing import NamedTuple

from acaciawing.jobs.model import Job, Queue

# Share of the objective that is kept for what estimates leave out.
MARGIN_SHARE = 0.1


class Rank(NamedTuple):
    """Sort key of a job's subtasks; smaller goes first.

    Attributes:
        priority: The queue's priority; 0 is the most urgent.
        batch: Whether the subtask ends by itself; lasting ones go first.
        late: Whether the job can't meet its objective any more.
        fresh: Whether nothing of the job has run yet.
        at_ms: When the job was handed in.
    """

    priority: int
    batch: bool
    late: bool
    fresh: bool
    at_ms: int


def chain_ms(job: Job, first_step: int = 0) -> int:
    """Returns the estimated time of the longest chain of steps.

    Args:
        job: The job.
        first_step: Steps before this one are left out.
    """
    longest: list[int] = []
    for number, step in enumerate(job.steps):
        before = max((longest[d] for d in step.depends_on), default=0)
        own = step.estimated_ms if number >= first_step else 0
        longest.append(before + own)
    return max(longest, default=0)


def objective_ms(job: Job, queue: Queue) -> float:
    """Returns the latency objective of a job."""
    return queue.stretch * chain_ms(job) + queue.objective_ms


def slack_ms(
    job: Job, queue: Queue, at_ms: int, first_step: int, unix_ms: int
) -> float:
    """Returns the time left before the rest of a job has to start.

    Args:
        job: The job.
        queue: Its queue.
        at_ms: When it was handed in.
        first_step: First step that is not done.
        unix_ms: Present time.
    """
    objective = objective_ms(job, queue) * (1 - MARGIN_SHARE)
    return at_ms + objective - unix_ms - chain_ms(job, first_step)
