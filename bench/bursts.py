"""Requests of five services whose load peaks in turn."""

import random

SLOTS = 8
POOLS = 5
DURATION_S = 600.0

_SERVICE_S = 0.5

# Five times the mean in a burst, a twentieth between: bursts take up 0.192 of
# a cycle, so one of five services is nearly always in its burst.
_CYCLE_S = 62.5
_BURST_S = 12.0
# A burst is a quarter more than a pool holds (design 1.3: "more than").
_PEAK_SHARE = 1.25


def arrivals(
    workers: int, scenario: str, seed: int
) -> list[tuple[float, int, float]]:
    """Draws the requests of a run.

    Returns:
        Arrival time, service and run time, in order of arrival.
    """
    generator = random.Random(f"{seed}/{workers}/{scenario}")
    peak = _PEAK_SHARE * workers * SLOTS
    drawn = []
    for service in range(POOLS):
        at = 0.0
        while at < DURATION_S:
            # Thinning (Lewis and Shedler 1979) of a Poisson process.
            at += generator.expovariate(peak / _SERVICE_S)
            share = _demand_share(scenario, service, at)
            if generator.random() < share:
                run = generator.expovariate(1.0 / _SERVICE_S)
                drawn.append((at, service, run))
    drawn.sort()
    return drawn


def _demand_share(scenario: str, service: int, at: float) -> float:
    """Demand of a service as a share of its peak."""
    if scenario == "lasting":
        return 1.0 if service == 0 and 60.0 <= at < 420.0 else 0.2
    phase = (at - service * _CYCLE_S / POOLS) % _CYCLE_S
    return 1.0 if phase < _BURST_S else 0.01
