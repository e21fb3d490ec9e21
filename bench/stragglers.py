"""Arrivals of one pool with stragglers, for `bench.short_behind_long`."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from acaciawing.queueing import WorkKey

WORKERS = 6
SLOTS = 8
SHORT_S = 0.05
STRAGGLER_FACTOR = 100.0
STRAGGLER_SHARE = 0.05
_MEAN_RUN_S = SHORT_S * (
    1 - STRAGGLER_SHARE + STRAGGLER_SHARE * STRAGGLER_FACTOR
)


@dataclass(frozen=True)
class WorkItem:
    """One request of the simulation; times in seconds."""

    arrival_s: float
    run_s: float
    straggler: bool
    key: WorkKey
    declared: float | None


def _steady_load(load: float) -> Callable[[float], float]:
    return lambda now: load


def _five_fold_peaks(now: float) -> float:
    """Returns a load of 0.4 on average, with a peak of 6 s in each minute.

    In a peak the load is five times the average; the load between the peaks
    follows from the average.
    """
    return 2.0 if now % 60.0 < 6.0 else (0.4 - 2.0 * 0.1) / 0.9


def draw_work_items(
    load_at: Callable[[float], float],
    separate_operation: bool,
    last_arrival_s: float = 120.0,
    seed: int = 11,
) -> list[WorkItem]:
    """Draws the requests of one simulation.

    Args:
        load_at: Ratio of offered work to the pool's capacity at a time.
        separate_operation: Whether stragglers have an operation of their own.
            If not, any request may be a straggler, which shows only as it runs.
        last_arrival_s: Time of the last arrival, in seconds.
        seed: Seed of the random numbers.

    Returns:
        Requests by time of arrival. Declared run times are wrong by a factor of
        up to 100 in either direction; a third of the requests declare none.
    """
    random = Random(seed)
    capacity = WORKERS * SLOTS / _MEAN_RUN_S
    items: list[WorkItem] = []
    now = 0.0
    while True:
        now += random.expovariate(capacity * load_at(now))
        if now >= last_arrival_s:
            return items
        straggler = random.random() < STRAGGLER_SHARE
        run_s = SHORT_S * random.uniform(0.5, 1.5)
        run_s *= STRAGGLER_FACTOR if straggler else 1.0
        operation = "batch" if straggler and separate_operation else "render"
        customer = f"customer-{random.randrange(20)}"
        declared = run_s * 10 ** random.uniform(-2, 2)
        items.append(
            WorkItem(
                now,
                run_s,
                straggler,
                WorkKey("proofdesk", operation, customer),
                declared if random.random() < 2 / 3 else None,
            )
        )


WORKLOADS: dict[str, tuple[Callable[[float], float], bool]] = {
    "steady load 0.8, stragglers an operation": (_steady_load(0.8), True),
    "steady load 0.9, stragglers an operation": (_steady_load(0.9), True),
    "five-fold peaks, stragglers an operation": (_five_fold_peaks, True),
    "steady load 0.8, stragglers anywhere": (_steady_load(0.8), False),
    "five-fold peaks, stragglers anywhere": (_five_fold_peaks, False),
}
