"""The runs of a cell's subtasks, and the worker of each."""

from collections.abc import Iterator

from acaciawing.jobs.model import SubtaskId
from acaciawing.jobs.workers import Run, WorkerView


class RunTable:
    """All runs on a cell's workers, by subtask.

    Runs are added to workers and removed from them only here, so each run that
    a worker has is found by its subtask. The first run of a subtask is its
    active one; the others are speculative copies, or runs that are being
    stopped.
    """

    def __init__(self) -> None:
        """Starts without runs."""
        self._views: dict[SubtaskId, list[WorkerView]] = {}

    def __contains__(self, subtask: SubtaskId) -> bool:
        """Whether a subtask has a run."""
        return subtask in self._views

    def __iter__(self) -> Iterator[SubtaskId]:
        """Yields all subtasks that have a run."""
        yield from self._views

    def active_view(self, subtask: SubtaskId) -> WorkerView | None:
        """Returns the worker of a subtask's active run."""
        views = self._views.get(subtask)
        return views[0] if views else None

    def active_runs(self) -> Iterator[tuple[WorkerView, Run]]:
        """Yields the active run of each subtask with its worker."""
        for subtask, views in self._views.items():
            yield views[0], views[0].runs[subtask]

    def has_copy(self, subtask: SubtaskId) -> bool:
        """Whether a subtask has more than one run."""
        return len(self._views.get(subtask, ())) > 1

    def runs(self, subtask: SubtaskId) -> list[tuple[WorkerView, Run]]:
        """Returns all runs of a subtask with their workers."""
        return [(v, v.runs[subtask]) for v in self._views.get(subtask, ())]

    def runs_of_job(self, job: str) -> list[tuple[WorkerView, Run]]:
        """Returns all runs of a job with their workers."""
        return [
            (view, view.runs[subtask])
            for subtask, views in self._views.items()
            if subtask.job == job
            for view in views
        ]

    def jobs(self) -> set[str]:
        """Returns the ids of all jobs that have a run."""
        return {subtask.job for subtask in self._views}

    def add(self, view: WorkerView, run: Run, *, active: bool = False) -> None:
        """Adds a run to a worker.

        Args:
            view: The worker, which has no run of the same subtask.
            run: The run.
            active: Whether it becomes the subtask's active run.
        """
        view.add(run)
        views = self._views.setdefault(run.subtask, [])
        views.insert(0 if active else len(views), view)

    def remove(self, view: WorkerView, subtask: SubtaskId) -> Run | None:
        """Removes a subtask's run from a worker; returns it if there was one.

        The next run of the subtask, if there is one, becomes the active one.
        """
        run = view.remove(subtask)
        if run is not None:
            views = self._views[subtask]
            views.remove(view)
            if not views:
                del self._views[subtask]
        return run

    def move(self, run: Run, old: WorkerView, new: WorkerView) -> None:
        """Moves a run to a worker that has no run of the same subtask."""
        old.remove(run.subtask)
        new.add(run)
        views = self._views[run.subtask]
        views[views.index(old)] = new
