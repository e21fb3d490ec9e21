"""Pool in which each instance takes requests."""

from collections.abc import Mapping
from dataclasses import dataclass

from acaciawing.maintenance import Stage, WaveTable
from acaciawing.ownership import SERVING, Ownership


def serving_pools(ownership: Ownership, waves: WaveTable) -> Mapping[str, str]:
    """Returns the pool of each owned instance.

    The name is empty for an instance that moves or that a maintenance wave
    keeps out of service, so that it gets no new work.

    >>> serving_pools(Ownership(), WaveTable())
    {}
    """
    return {
        name: ""
        if owned.phase != SERVING or name in waves.in_progress
        else owned.pool
        for name, owned in ownership.instances.items()
    }


@dataclass(frozen=True)
class PutBack:
    """An instance that serves again after a drain that was given up.

    Attributes:
        incarnation: Its incarnation, which did not change.
        since: Time of the record on the platform's clock, in seconds.
    """

    incarnation: int
    since: float


def put_back(before: WaveTable, after: WaveTable) -> Mapping[str, PutBack]:
    """Returns the instances whose drain was given up between two states."""
    found = {}
    for name, down in before.in_progress.items():
        wave = before.active.get(down.pool)
        member = None if wave is None else wave.members.get(name)
        if name in after.in_progress or member is None:
            continue
        if member.stage is not Stage.RESTORING or name in after.outages:
            continue
        now = after.active.get(down.pool)
        since = after.ended.get(down.pool, 0.0)
        if now is not None and name in now.members:
            since = now.members[name].since
        found[name] = PutBack(member.place.incarnation, since)
    return found
