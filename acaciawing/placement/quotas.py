"""Order of waiting tasks under team quotas, with borrowing.

Teams are ordered by the dominant share of their quota (dominant resource
fairness, Ghodsi et al. 2011): the team with the smallest share is next. A team
above its quota borrows capacity that no team below its quota waits for.
"""

import heapq
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from immutables import Map

from acaciawing.placement.records import Resources
from acaciawing.placement.tasks import Task, TaskTable


@dataclass(frozen=True)
class Candidate:
    """A waiting task to place.

    Attributes:
        task: The task.
        borrowed: Whether it takes its team above the quota.
    """

    task: Task
    borrowed: bool


def dominant_share(used: Resources, quota: Resources) -> float:
    """Returns the largest share of the quota over all resources.

    A resource without a quota has the share 0, or infinity if it is used.

    >>> dominant_share(Resources(2, 10, 1), Resources(4, 100, 1))
    1.0
    >>> dominant_share(Resources(0, 0, 1), Resources(4, 100, 0))
    inf
    """
    pairs = (
        (used.processors, quota.processors),
        (used.memory_mb, quota.memory_mb),
        (used.accelerators, quota.accelerators),
    )
    return max(
        part / whole if whole > 0 else (float("inf") if part > 0 else 0.0)
        for part, whole in pairs
    )


def waiting_order(
    table: TaskTable, quotas: Mapping[str, Resources]
) -> Iterator[Candidate]:
    """Yields the waiting tasks in the order in which to place them.

    Urgent tasks come first, then tasks within their team's quota by dominant
    share, then tasks that borrow. Tasks of a team keep their order of arrival.

    Args:
        table: The fold's tasks.
        quotas: Quota of each team; a team without one always borrows.

    Yields:
        Candidates. The shares assume that all earlier candidates are placed.
    """
    urgent, normal = [], {}
    for team, offsets in table.waiting.items():
        tasks = [table.tasks[task_id] for task_id in offsets]
        tasks.sort(key=lambda t: t.offset)
        urgent += [t for t in tasks if t.submitted.urgent]
        normal[team] = [t for t in tasks if not t.submitted.urgent]
    urgent.sort(key=lambda t: t.offset)
    used = dict(table.used.items())
    for task in urgent:
        yield _reserve(task, used, quotas)
    borrowing: list[Candidate] = []
    yield from _within_quota(normal, used, quotas, borrowing)
    borrowing.sort(key=lambda c: c.task.offset)
    yield from borrowing


def _within_quota(
    normal: Mapping[str, list[Task]],
    used: dict[str, Resources],
    quotas: Mapping[str, Resources],
    borrowing: list[Candidate],
) -> Iterator[Candidate]:
    """Yields tasks within the quotas; appends the rest to ``borrowing``."""
    heap = [(_share(team, used, quotas), team, 0) for team in normal]
    heapq.heapify(heap)
    while heap:
        _, team, position = heapq.heappop(heap)
        tasks = normal[team]
        if position == len(tasks):
            continue
        candidate = _reserve(tasks[position], used, quotas)
        if candidate.borrowed:
            # A smaller task must not overtake an earlier one of its team.
            borrowing.extend(Candidate(t, True) for t in tasks[position:])
            continue
        yield candidate
        share = _share(team, used, quotas)
        heapq.heappush(heap, (share, team, position + 1))


def _share(
    team: str,
    used: Mapping[str, Resources],
    quotas: Mapping[str, Resources],
) -> float:
    quota = quotas.get(team, Resources())
    return dominant_share(used.get(team, Resources()), quota)


def _reserve(
    task: Task, used: dict[str, Resources], quotas: Mapping[str, Resources]
) -> Candidate:
    """Makes a candidate; adds its size to ``used`` if that fits the quota."""
    team = task.submitted.team
    used_after = used.get(team, Resources()) + task.submitted.size
    fits_quota = quotas.get(team, Resources()).covers(used_after)
    if fits_quota:
        used[team] = used_after
    return Candidate(task, not fits_quota)


def teams_over_quota(
    table: TaskTable, quotas: Mapping[str, Resources]
) -> Map[str, float]:
    """Returns the teams above their quota, with their dominant share."""
    shares = {
        team: dominant_share(used, quotas.get(team, Resources()))
        for team, used in table.used.items()
        if not quotas.get(team, Resources()).covers(used)
    }
    return Map(shares)
