"""How long the whole fleet takes, from the step times and the bounds.

At any moment a waiting instance is blocked only by its pool, its rack or its
zone being at the bound. A pool of n instances with bound b is at the bound for
at most n/b step times in all, and so for racks and zones, so the last instance
starts after the sum of the three at the latest (the argument of Graham 1966
for list scheduling).
"""

import math
from dataclasses import dataclass

from acaciawing.maintenance.rounds import PERIOD_S


@dataclass(frozen=True)
class FleetShape:
    """Largest groups of the fleet.

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
    """Time out of service for one instance, in seconds.

    Attributes:
        drain_s: Drain.
        reboot_s: Reboot.
        verify_s: Verification.
        records_s: Appends, read-backs and rounds between the steps.
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
    """Bounds and what is taken from them.

    Attributes:
        pool: Instances of a pool that may be down.
        rack: Instances of a rack that may be down.
        zone: Instances of a zone that may be down.
        zone_outages: Of these, taken by unplanned failures on average.
        open_share: Share of the time in which budgets and operators permit
            maintenance.
    """

    pool: int
    rack: int
    zone: int
    zone_outages: float = 0.0
    open_share: float = 1.0


@dataclass(frozen=True)
class Schedule:
    """Result of the calculation.

    Attributes:
        worst_s: Time after which every instance is maintained at the latest.
        zone_s: Part of it spent at the bound of the largest zone.
        period_share: `worst_s` as a share of three weeks.
        per_hour_needed: Instances an hour needed for three weeks.
        per_hour_possible: Instances an hour when every zone is at its bound
            and zones are equally large.
        records_per_s: Records appended at the needed pace.
    """

    worst_s: float
    zone_s: float
    period_share: float
    per_hour_needed: float
    per_hour_possible: float
    records_per_s: float

    @property
    def in_time(self) -> bool:
        """Whether each instance is maintained once in three weeks."""
        return self.period_share <= 1.0


# Reservation, four steps, release.
_RECORDS_PER_INSTANCE = 6


def calculate(
    fleet: FleetShape, times: StepTimes, bounds: ScheduleBounds
) -> Schedule:
    """Computes the longest time for one round over the fleet.

    Args:
        fleet: Sizes.
        times: Step times; pass the limits of the steps for the worst case.
        bounds: Bounds, and what outages and closed times take from them.

    Returns:
        The schedule.

    Raises:
        ValueError: If outages leave nothing of the zone bound.

    >>> fleet = FleetShape(1400, 349, 8, 4, 200)
    >>> limits = StepTimes(600.0, 600.0, 300.0, 30.0)
    >>> calculate(fleet, limits, ScheduleBounds(1, 1, 2)).in_time
    True
    >>> calculate(fleet, limits, ScheduleBounds(1, 1, 2)).per_hour_needed
    2.8
    """
    zone = bounds.zone - bounds.zone_outages
    if zone <= 0:
        raise ValueError("outages leave nothing of the zone bound")
    step = times.total_s / bounds.open_share
    zone_s = math.ceil(fleet.largest_zone / zone) * step
    rack_s = math.ceil(fleet.largest_rack / bounds.rack) * step
    pool_s = math.ceil(fleet.largest_pool / bounds.pool) * step
    worst = zone_s + rack_s + pool_s + step
    zones = fleet.instances / fleet.largest_zone
    needed = fleet.instances / (PERIOD_S / 3600.0)
    return Schedule(
        worst,
        zone_s,
        worst / PERIOD_S,
        round(needed, 1),
        zones * zone / step * 3600.0,
        needed * _RECORDS_PER_INSTANCE / 3600.0,
    )
