"""Detection of pools whose waiting work can't all be on time.

Answers the load of a turn of demand above a pool's capacity. In order of arrival,
each job would be placed just when it becomes late; with the newest first, those
that are placed are on time, and the others are as late as they would be anyway.
"""

from collections.abc import Mapping

# A pool is overloaded if its work that can still be on time takes longer than
# this. The usual objective leaves a job 1.4 s to wait for its start.
MAX_BACKLOG_S = 1.2


def overloaded_services(
    on_time_work: Mapping[str, float], cpu: Mapping[str, int]
) -> frozenset[str]:
    """Returns the services whose pools are overloaded.

    Args:
        on_time_work: Waiting work that can still be on time by service, in
            core-seconds.
        cpu: Cpu by service of the pool's machines and of those that will arrive
            in the time of a move, in thousandths of a core.

    >>> sorted(overloaded_services({"a": 90.0, "b": 30.0}, {"a": 64_000}))
    ['a', 'b']
    >>> sorted(overloaded_services({"a": 70.0}, {"a": 64_000}))
    []
    """
    return frozenset(
        service
        for service, work in on_time_work.items()
        if work * 1000 > MAX_BACKLOG_S * cpu.get(service, 0)
    )
