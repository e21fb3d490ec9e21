"""Subtasks that wait for a worker, grouped by occurrence of a step.

Subtasks of a step are equal, so that the order is worked out once for all of
them, and a step that finds no room is passed over as a whole.
"""

from collections.abc import Iterator, Sequence

from acaciawing.jobs.model import Step, SubtaskId
from acaciawing.jobs.progress import JobProgress

StepKey = tuple[str, int, int]


class WaitingStep:
    """Waiting subtasks of one occurrence of a step.

    Attributes:
        key: Job, occurrence and step.
        step: The step.
        progress: Progress of its job.
        since: When each subtask began to wait, in seconds.
    """

    __slots__ = ("key", "progress", "since", "step")

    def __init__(self, key: StepKey, progress: JobProgress) -> None:
        """Starts empty."""
        self.key = key
        self.progress = progress
        self.step: Step = progress.job.steps[key[2]]
        self.since: dict[SubtaskId, float] = {}


class WaitingWork:
    """All waiting subtasks of a cell."""

    def __init__(self) -> None:
        """Starts empty."""
        self._steps: dict[StepKey, WaitingStep] = {}

    @property
    def steps(self) -> Sequence[WaitingStep]:
        """Steps with waiting subtasks."""
        return tuple(self._steps.values())

    def __bool__(self) -> bool:
        """Whether anything waits."""
        return bool(self._steps)

    def __contains__(self, subtask: SubtaskId) -> bool:
        """Whether a subtask waits."""
        found = self._steps.get(subtask[:3])
        return found is not None and subtask in found.since

    def __iter__(self) -> Iterator[SubtaskId]:
        """Yields all waiting subtasks."""
        for step in self._steps.values():
            yield from step.since

    def add(
        self, subtask: SubtaskId, progress: JobProgress, now: float
    ) -> None:
        """Lets a subtask wait; one that waits already keeps its place."""
        key = subtask[:3]
        found = self._steps.get(key)
        if found is None:
            found = self._steps[key] = WaitingStep(key, progress)
        found.since.setdefault(subtask, now)

    def discard(self, subtask: SubtaskId) -> None:
        """Forgets a subtask."""
        found = self._steps.get(subtask[:3])
        if found is None:
            return
        found.since.pop(subtask, None)
        if not found.since:
            del self._steps[found.key]

    def discard_job(self, job: str) -> None:
        """Forgets all subtasks of a job."""
        for key in [k for k in self._steps if k[0] == job]:
            del self._steps[key]
