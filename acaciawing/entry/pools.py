"""Serving pool of each instance, and instances reinstated after a drain."""

from collections.abc import Mapping
from dataclasses import dataclass

from acaciawing.maintenance import Stage, WaveTable
from acaciawing.ownership import SERVING, Ownership


def serving_pools(ownership: Ownership, waves: WaveTable) -> Mapping[str, str]:
    """Returns the pool of each owned instance.

    The pool name is empty for an instance that moves or is out of service for
    a maintenance wave, so that it gets no new requests.

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
class Reinstatement:
    """An instance that returns to service after a cancelled drain.

    Attributes:
        incarnation: Its incarnation, which did not change.
        since: Time of the record that ended the drain, on the platform's
            clock, in seconds.
    """

    incarnation: int
    since: float


def reinstatements(
    before: WaveTable, after: WaveTable
) -> Mapping[str, Reinstatement]:
    """Returns the instances whose drain was cancelled between two states."""
    found = {}
    for name, down in before.in_progress.items():
        wave_before = before.active.get(down.pool)
        member = None if wave_before is None else wave_before.members.get(name)
        if name in after.in_progress or member is None:
            continue
        if member.stage is not Stage.RESTORING or name in after.outages:
            continue
        wave_after = after.active.get(down.pool)
        since = after.ended.get(down.pool, 0.0)
        if wave_after is not None and name in wave_after.members:
            since = wave_after.members[name].since
        found[name] = Reinstatement(member.place.incarnation, since)
    return found
