"""Subtasks that wait for a worker, grouped by step and occurrence.

Subtasks of a step are equal, so their rank is computed once for all of them,
and the whole step is skipped if it finds no room.
"""

from collections.abc import Iterator, Sequence

from acaciawing.jobs.model import Step, SubtaskId
from acaciawing.jobs.progress import JobProgress

StepKey = tuple[str, int, int]


class WaitingStep:
    """Waiting subtasks of a step in one occurrence.

    Attributes:
        key: Job, occurrence and step.
        step: The step.
        progress: Progress of its job.
        since: When each subtask began to wait, in seconds.
    """

    __slots__ = ("key", "progress", "since", "step")

    def __init__(self, key: StepKey, progress: JobProgress) -> None:
        """Creates the step without waiting subtasks."""
        self.key = key
        self.progress = progress
        self.step: Step = progress.job.steps[key[2]]
        self.since: dict[SubtaskId, float] = {}


class WaitingWork:
    """All waiting subtasks of a cell."""

    def __init__(self) -> None:
        """Creates the collection without subtasks."""
        self._steps: dict[StepKey, WaitingStep] = {}

    @property
    def steps(self) -> Sequence[WaitingStep]:
        """Steps with waiting subtasks."""
        return tuple(self._steps.values())

    def __bool__(self) -> bool:
        """Whether any subtask waits."""
        return bool(self._steps)

    def __contains__(self, subtask: SubtaskId) -> bool:
        """Whether a subtask waits."""
        found = self._steps.get(subtask[:3])
        return found is not None and subtask in found.since

    def __iter__(self) -> Iterator[SubtaskId]:
        """Yields all waiting subtasks."""
        for step in self._steps.values():
            yield from step.since

    def find(self, key: StepKey) -> WaitingStep | None:
        """Returns a step, or None if none of its subtasks waits."""
        return self._steps.get(key)

    def since(self, subtask: SubtaskId) -> float | None:
        """Returns when a subtask began to wait, or None if it doesn't wait."""
        found = self._steps.get(subtask[:3])
        return None if found is None else found.since.get(subtask)

    def add(
        self, subtask: SubtaskId, progress: JobProgress, now: float
    ) -> None:
        """Adds a subtask; one that waits already keeps its waiting time."""
        key = subtask[:3]
        found = self._steps.get(key)
        if found is None:
            found = self._steps[key] = WaitingStep(key, progress)
        found.since.setdefault(subtask, now)

    def discard(self, subtask: SubtaskId) -> None:
        """Removes a subtask, if it waits."""
        found = self._steps.get(subtask[:3])
        if found is None:
            return
        found.since.pop(subtask, None)
        if not found.since:
            del self._steps[found.key]

    def discard_unneeded(self, progress: JobProgress) -> None:
        """Removes the subtasks of a job that need no run any more."""
        for key in [k for k in self._steps if k[0] == progress.job.id]:
            for subtask in tuple(self._steps[key].since):
                if not progress.is_needed(subtask):
                    self.discard(subtask)
