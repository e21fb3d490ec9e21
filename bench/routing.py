"""Cost of the routing decision at today's and at the target size."""

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
    """Medians of one size; times in microseconds unless named otherwise.

    Attributes:
        workers: Workers in the fleet.
        pools: Pools that they are divided into.
        choose_us: One decision.
        reserve_us: Taking the slot.
        end_us: Applying the result and giving the slot back.
        first_list_ms: The first answer of the list, in milliseconds.
        same_list_ms: An answer without changes, in milliseconds.
        over_smallest: `choose_us` over that of the smallest size.
    """

    workers: int
    pools: int
    choose_us: float
    reserve_us: float
    end_us: float
    first_list_ms: float
    same_list_ms: float
    over_smallest: float


def fleet(workers: int, pools: int, as_of: float) -> Listing:
    """A list of workers dealt out to pools and then to four zones."""
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


def _decisions(
    state: RoutingState, workers: int, pools: int, count: int
) -> tuple[float, float, float]:
    """Measures requests with as many in flight as there are workers."""
    random = Random(1)
    open_routes: deque[Route] = deque()
    chosen, reserved, ended = [], [], []
    for number in range(count):
        request = RouteRequest(f"pool-{number % pools}", f"zone-{number % 4}")
        now = number * 1e-3
        began = perf_counter()
        choice = choose(state, request, now, random)
        between = perf_counter()
        assert isinstance(choice, Route)
        state = reserve(state, choice, now)
        reserved.append(perf_counter() - between)
        chosen.append(between - began)
        open_routes.append(choice)
        if len(open_routes) > workers:
            route = open_routes.popleft()
            began = perf_counter()
            state = observe_result(
                state, route.endpoint, Result.SUCCESS, 0.1, now
            )
            state = release(state, route, now)
            ended.append(perf_counter() - began)
    return median(chosen), median(reserved), median(ended)


def run_routing(count: int = 10_000) -> tuple[RoutingFigures, ...]:
    """Measures each size.

    Args:
        count: Requests for each size.

    Returns:
        One row for each size, the smallest first.
    """
    rows: list[RoutingFigures] = []
    for workers, pools in SIZES:
        seen = fleet(workers, pools, 1.0)
        began = perf_counter()
        state = observe_listing(RoutingState(), seen, {}, 0.0)
        first = perf_counter() - began
        again = fleet(workers, pools, 2.0)
        began = perf_counter()
        state = observe_listing(state, again, {}, 1.0)
        same = perf_counter() - began
        chosen, reserved, ended = _decisions(state, workers, pools, count)
        base = rows[0].choose_us if rows else chosen * 1e6
        rows.append(
            RoutingFigures(
                workers,
                pools,
                chosen * 1e6,
                reserved * 1e6,
                ended * 1e6,
                first * 1e3,
                same * 1e3,
                chosen * 1e6 / base,
            )
        )
    return tuple(rows)
