"""Random requests of five services whose load peaks in turn."""

import random

SLOTS = 8
POOLS = 5
DURATION_S = 600.0

_MEAN_RUN_S = 0.5

# Demand is five times the mean in a burst and a twentieth of the mean between
# bursts. A burst takes 0.192 of a cycle, so nearly always one of the five
# services is in its burst.
_BURST_CYCLE_S = 62.5
_BURST_S = 12.0
# A burst exceeds the capacity of a pool by a quarter; design 1.3 requires "more
# than" the capacity.
_PEAK_SHARE = 1.25


def arrivals(
    workers: int, scenario: str, seed: int
) -> list[tuple[float, int, float]]:
    """Draws the requests of a simulation.

    Returns:
        Arrival time, service and run time, in order of arrival.
    """
    generator = random.Random(f"{seed}/{workers}/{scenario}")
    peak = _PEAK_SHARE * workers * SLOTS
    requests = []
    for service in range(POOLS):
        arrival_s = 0.0
        while arrival_s < DURATION_S:
            # Thinning (Lewis and Shedler 1979) of a Poisson process.
            arrival_s += generator.expovariate(peak / _MEAN_RUN_S)
            share = _demand_share(scenario, service, arrival_s)
            if generator.random() < share:
                run_s = generator.expovariate(1.0 / _MEAN_RUN_S)
                requests.append((arrival_s, service, run_s))
    requests.sort()
    return requests


def _demand_share(scenario: str, service: int, arrival_s: float) -> float:
    """Demand of a service as a share of its peak."""
    if scenario == "lasting":
        return 1.0 if service == 0 and 60.0 <= arrival_s < 420.0 else 0.2
    phase = (arrival_s - service * _BURST_CYCLE_S / POOLS) % _BURST_CYCLE_S
    return 1.0 if phase < _BURST_S else 0.01
