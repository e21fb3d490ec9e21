"""Duration of maintenance of the whole fleet, from step times and bounds.

A waiting instance is blocked only while its pool, its rack or its zone is at
the bound. A pool of n instances with bound b is at the bound for at most n/b
step times in total, and the same holds for racks and zones. The last instance
therefore starts no later than after the sum of these three times (the argument
of Graham 1966 for list scheduling).
"""

import math
from dataclasses import dataclass

from acaciawing.maintenance.rounds import MAINTENANCE_PERIOD_S


@dataclass(frozen=True)
class FleetShape:
    """Size of the fleet and of its largest groups.

    Attributes:
        instances: Instances in all pools.
        pools: Number of pools.
        largest_pool: Instances of the largest pool.
        largest_rack: Instances of the largest rack.
        largest_zone: Instances of the largest zone.
    """

    instances: int
    pools: int
    largest_pool: int
    largest_rack: int
    largest_zone: int


@dataclass(frozen=True)
class StepTimes:
    """Time for which each step takes an instance out of service, in seconds.

    Attributes:
        drain_s: Duration of the drain.
        reboot_s: Duration of the reboot.
        verify_s: Duration of the verification.
        records_s: Duration of the appends, read-backs and rounds between the
            steps.
    """

    drain_s: float
    reboot_s: float
    verify_s: float
    records_s: float

    @property
    def total_s(self) -> float:
        """Sum of the steps."""
        return self.drain_s + self.reboot_s + self.verify_s + self.records_s


@dataclass(frozen=True)
class ScheduleBounds:
    """Bounds, and how outages, budgets and stops restrict maintenance.

    Attributes:
        pool: Instances of a pool that may be down.
        rack: Instances of a rack that may be down.
        zone: Instances of a zone that may be down.
        zone_outages: Mean number of unplanned outages in a zone; they reduce
            its bound.
        permitted_share: Share of the time in which budgets and operators permit
            maintenance.
    """

    pool: int
    rack: int
    zone: int
    zone_outages: float = 0.0
    permitted_share: float = 1.0


@dataclass(frozen=True)
class Schedule:
    """Computed schedule for maintaining the whole fleet once.

    Attributes:
        max_duration_s: Time after which every instance is maintained at the
            latest.
        zone_s: Part of `max_duration_s` spent at the bound of the largest zone.
        period_share: `max_duration_s` as a share of three weeks.
        per_hour_needed: Instances an hour needed for three weeks.
        per_hour_possible: Instances an hour when every zone is at its bound
            and zones are equally large.
        records_per_s: Records appended at the needed rate.
    """

    max_duration_s: float
    zone_s: float
    period_share: float
    per_hour_needed: float
    per_hour_possible: float
    records_per_s: float

    @property
    def in_time(self) -> bool:
        """Whether each instance is maintained once in three weeks."""
        return self.period_share <= 1.0


# Records for each instance: a reservation, four steps and a release.
_RECORDS_PER_INSTANCE = 6


def compute_schedule(
    fleet: FleetShape, times: StepTimes, bounds: ScheduleBounds
) -> Schedule:
    """Computes the maximum duration of maintaining the whole fleet once.

    Args:
        fleet: Sizes of the fleet.
        times: Step times; the limits of the steps give the worst case.
        bounds: Bounds, and the restrictions by outages, budgets and stops.

    Returns:
        The schedule.

    Raises:
        ValueError: If outages use up the zone bound.

    >>> fleet = FleetShape(1400, 349, 8, 4, 200)
    >>> limits = StepTimes(600.0, 600.0, 300.0, 30.0)
    >>> compute_schedule(fleet, limits, ScheduleBounds(1, 1, 2)).in_time
    True
    >>> compute_schedule(fleet, limits, ScheduleBounds(1, 1, 2)).per_hour_needed
    2.8
    """
    zone_bound = bounds.zone - bounds.zone_outages
    if zone_bound <= 0:
        raise ValueError("outages use up the zone bound")
    step_s = times.total_s / bounds.permitted_share
    zone_s = math.ceil(fleet.largest_zone / zone_bound) * step_s
    rack_s = math.ceil(fleet.largest_rack / bounds.rack) * step_s
    pool_s = math.ceil(fleet.largest_pool / bounds.pool) * step_s
    max_duration_s = zone_s + rack_s + pool_s + step_s
    zone_count = fleet.instances / fleet.largest_zone
    per_hour_needed = fleet.instances / (MAINTENANCE_PERIOD_S / 3600.0)
    return Schedule(
        max_duration_s,
        zone_s,
        max_duration_s / MAINTENANCE_PERIOD_S,
        round(per_hour_needed, 1),
        zone_count * zone_bound / step_s * 3600.0,
        per_hour_needed * _RECORDS_PER_INSTANCE / 3600.0,
    )
