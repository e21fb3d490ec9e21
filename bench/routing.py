"""Cost of a routing decision at the present and at the target size."""

from collections import deque
from dataclasses import dataclass
from random import Random
from statistics import median
from time import perf_counter

from acaciawing.platform import ListedInstance, Listing
from acaciawing.routing import (
    Result,
    Route,
    RouteRequest,
    RoutingState,
    choose,
    observe_listing,
    observe_result,
    release,
    reserve,
)

SIZES = ((40, 5), (400, 100), (400, 1), (1400, 349), (1400, 1))


@dataclass(frozen=True)
class RoutingFigures:
    """Figures of one fleet size; the times in microseconds are medians.

    Attributes:
        workers: Number of workers in the fleet.
        pools: Number of pools that they are divided into.
        choose_us: Time of one decision.
        reserve_us: Time to reserve the slot.
        release_us: Time to apply the result and release the slot.
        first_list_ms: Time to apply the first listing, in milliseconds.
        unchanged_list_ms: Time to apply a listing without changes, in
            milliseconds.
        ratio_to_smallest: Ratio of `choose_us` to that of the smallest size.
    """

    workers: int
    pools: int
    choose_us: float
    reserve_us: float
    release_us: float
    first_list_ms: float
    unchanged_list_ms: float
    ratio_to_smallest: float


def fleet(workers: int, pools: int, as_of: float) -> Listing:
    """Lists workers, assigned in rotation to pools and then to four zones."""
    return Listing(
        as_of,
        tuple(
            ListedInstance(
                f"worker-{i}",
                1,
                f"pool-{i % pools}",
                f"zone-{i // pools % 4}",
                f"rack-{i // 4}",
                f"192.0.2.{i % 250}:{8000 + i // 250}",
                "live",
            )
            for i in range(workers)
        ),
    )


def _measure_decisions(
    state: RoutingState, workers: int, pools: int, count: int
) -> tuple[float, float, float]:
    """Measures requests; as many are in flight as there are workers."""
    random = Random(1)
    routes_in_flight: deque[Route] = deque()
    choose_times_s, reserve_times_s, release_times_s = [], [], []
    for number in range(count):
        request = RouteRequest(f"pool-{number % pools}", f"zone-{number % 4}")
        now = number * 1e-3
        started = perf_counter()
        choice = choose(state, request, now, random)
        chosen_at = perf_counter()
        assert isinstance(choice, Route)
        state = reserve(state, choice, now)
        reserve_times_s.append(perf_counter() - chosen_at)
        choose_times_s.append(chosen_at - started)
        routes_in_flight.append(choice)
        if len(routes_in_flight) > workers:
            route = routes_in_flight.popleft()
            started = perf_counter()
            state = observe_result(
                state, route.endpoint, Result.SUCCESS, 0.1, now
            )
            state = release(state, route, now)
            release_times_s.append(perf_counter() - started)
    return (
        median(choose_times_s),
        median(reserve_times_s),
        median(release_times_s),
    )


def run_routing(count: int = 10_000) -> tuple[RoutingFigures, ...]:
    """Measures each size.

    Args:
        count: Number of requests for each size.

    Returns:
        One row for each size, the smallest first.
    """
    rows: list[RoutingFigures] = []
    for workers, pools in SIZES:
        first_listing = fleet(workers, pools, 1.0)
        started = perf_counter()
        state = observe_listing(RoutingState(), first_listing, {}, 0.0)
        first_s = perf_counter() - started
        unchanged_listing = fleet(workers, pools, 2.0)
        started = perf_counter()
        state = observe_listing(state, unchanged_listing, {}, 1.0)
        unchanged_s = perf_counter() - started
        choose_s, reserve_s, release_s = _measure_decisions(
            state, workers, pools, count
        )
        smallest_us = rows[0].choose_us if rows else choose_s * 1e6
        rows.append(
            RoutingFigures(
                workers,
                pools,
                choose_s * 1e6,
                reserve_s * 1e6,
                release_s * 1e6,
                first_s * 1e3,
                unchanged_s * 1e3,
                choose_s * 1e6 / smallest_us,
            )
        )
    return tuple(rows)
