"""Choice of the worker for a subtask, and of the workers for a gang."""

from collections.abc import Iterable, Set

from acaciawing.jobs.model import Resources, Step, SubtaskId
from acaciawing.jobs.workers import WorkerView


def fits(view: WorkerView, step: Step, subtask: SubtaskId) -> bool:
    """Whether a worker meets a step's requirements and has room."""
    if not meets_requirements(view, step):
        return False
    if not view.free.covers(step.reserved):
        return False
    if subtask in view.runs:
        return False
    limit = step.max_per_worker
    return not limit or view.runs_per_step.get(subtask[:3], 0) < limit


def meets_requirements(view: WorkerView, step: Step) -> bool:
    """Whether a subtask may run on a worker that has nothing else to run."""
    if (
        step.required_label
        and step.required_label not in view.registration.labels
    ):
        return False
    return view.registration.capacity.covers(step.reserved)


def choose_worker_for_suspect(
    views: Iterable[WorkerView],
    step: Step,
    subtask: SubtaskId,
    suspects: Set[SubtaskId],
) -> WorkerView | None:
    """Chooses the worker for a subtask under which a worker has crashed.

    Suspects are spread, so that the next crash has few of them, and go where
    the fewest runs would be lost.

    Args:
        views: Workers that may be used.
        step: The subtask's step.
        subtask: The subtask.
        suspects: All such subtasks.
    """
    return min(
        (view for view in views if fits(view, step, subtask)),
        key=lambda view: (
            len(view.runs.keys() & suspects),
            not view.reachable,
            len(view.runs),
        ),
        default=None,
    )


def choose_worker(
    views: Iterable[WorkerView],
    step: Step,
    subtask: SubtaskId,
    avoid: str = "",
) -> WorkerView | None:
    """Chooses the worker for one subtask.

    Workers near its data come first, then those with the largest share of
    their cpu in use, so that other machines become idle and can be lent.

    Args:
        views: Workers that may be used.
        step: The subtask's step.
        subtask: The subtask.
        avoid: Id of a worker that is chosen only if no other has room.
    """
    best: WorkerView | None = None
    best_key: tuple[bool, bool, int, float] | None = None
    for view in views:
        if not fits(view, step, subtask):
            continue
        key = (
            view.incarnation.worker == avoid,
            bool(step.data_rack) and view.rack != step.data_rack,
            _lasting_rank(view, step, subtask) if step.lasting else 0,
            -view.used.cpu / max(1, view.registration.capacity.cpu),
        )
        if best_key is None or key < best_key:
            best, best_key = view, key
    return best


def _lasting_rank(view: WorkerView, step: Step, subtask: SubtaskId) -> int:
    """Ranks a worker for a long-running subtask; the smallest goes first.

    A machine with long-running subtasks can't be lent or turned off, so workers
    that already have such runs go first. Workers that already have half of the
    step go after all others, and those with scheduled maintenance go last.
    """
    if view.maintenance_pending:
        return 3
    if view.runs_per_step.get(subtask[:3], 0) >= (step.count + 1) // 2:
        return 2
    return 0 if view.lasting else 1


def choose_gang(
    views: Iterable[WorkerView],
    step: Step,
    subtasks: list[SubtaskId],
    *,
    allow_multiple_racks: bool,
) -> list[WorkerView] | None:
    """Chooses a worker for each member of a gang.

    Args:
        views: Workers that may be used.
        step: The gang's step.
        subtasks: Its members.
        allow_multiple_racks: Whether the members may be on several racks.

    Returns:
        A worker for each member, or None if not all have room at once.
    """
    usable = [v for v in views if fits(v, step, subtasks[0])]
    racks: list[list[WorkerView]] = []
    if step.same_rack:
        for rack in sorted({v.rack for v in usable}):
            racks.append([v for v in usable if v.rack == rack])
    if allow_multiple_racks or not step.same_rack:
        racks.append(usable)
    for group in racks:
        chosen = _pack_gang(group, step, len(subtasks))
        if chosen is not None:
            return chosen
    return None


def _pack_gang(
    group: list[WorkerView], step: Step, members: int
) -> list[WorkerView] | None:
    """Chooses workers near the data first, then those with the most free cpu.

    Returns:
        A worker for each member, or None if not all have room.
    """
    free: dict[int, Resources] = {i: v.free for i, v in enumerate(group)}
    limit = step.max_per_worker or members
    chosen: list[WorkerView] = []
    order = sorted(
        free,
        key=lambda i: (
            bool(step.data_rack) and group[i].rack != step.data_rack,
            -free[i].cpu,
        ),
    )
    for index in order:
        placed = 0
        while (
            len(chosen) < members
            and placed < limit
            and free[index].covers(step.reserved)
        ):
            free[index] = free[index] - step.reserved
            chosen.append(group[index])
            placed += 1
    return chosen if len(chosen) == members else None
