"""Pool in which each instance takes requests."""

from collections.abc import Mapping

from acaciawing.maintenance import WaveTable
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
