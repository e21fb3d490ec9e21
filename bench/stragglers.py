"""Arrivals of one pool with stragglers, for `bench.short_behind_long`."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from acaciawing.queueing import WorkKey

WORKERS = 6
SLOTS = 8
SHORT_S = 0.05
STRAGGLER_FACTOR = 100.0
STRAGGLERS = 0.05
_MEAN_S = SHORT_S * (1 - STRAGGLERS + STRAGGLERS * STRAGGLER_FACTOR)


@dataclass(frozen=True)
class Piece:
    """One piece of work of the replay; times in seconds."""

    arrives: float
    runs: float
    straggler: bool
    key: WorkKey
    declared: float | None


def _steady(load: float) -> Callable[[float], float]:
    return lambda now: load


def _peaks(now: float) -> float:
    """Peaks of 6 s each minute at five times the mean load of 0.4.

    The load between the peaks makes up the mean.
    """
    return 2.0 if now % 60.0 < 6.0 else (0.4 - 2.0 * 0.1) / 0.9


def pieces(
    load_at: Callable[[float], float],
    known: bool,
    horizon: float = 120.0,
    seed: int = 11,
) -> list[Piece]:
    """Draws the arrivals.

    Args:
        load_at: Offered work over the pool's capacity at a time.
        known: Whether stragglers are an operation of their own. If not, each
            request may be one, and nothing tells before it runs.
        horizon: Time of the last arrival, in seconds.
        seed: Seed of the random numbers.

    Returns:
        Pieces by time of arrival. Declared times are off by a factor of up to
        100 in either direction; a third declares nothing.
    """
    random = Random(seed)
    capacity = WORKERS * SLOTS / _MEAN_S
    drawn: list[Piece] = []
    now = 0.0
    while True:
        now += random.expovariate(capacity * load_at(now))
        if now >= horizon:
            return drawn
        straggler = random.random() < STRAGGLERS
        runs = SHORT_S * random.uniform(0.5, 1.5)
        runs *= STRAGGLER_FACTOR if straggler else 1.0
        operation = "batch" if straggler and known else "render"
        customer = f"customer-{random.randrange(20)}"
        declared = runs * 10 ** random.uniform(-2, 2)
        drawn.append(
            Piece(
                now,
                runs,
                straggler,
                WorkKey("proofdesk", operation, customer),
                declared if random.random() < 2 / 3 else None,
            )
        )


WORKLOADS: dict[str, tuple[Callable[[float], float], bool]] = {
    "steady load 0.8, stragglers an operation": (_steady(0.8), True),
    "steady load 0.9, stragglers an operation": (_steady(0.9), True),
    "five-fold peaks, stragglers an operation": (_peaks, True),
    "steady load 0.8, stragglers anywhere": (_steady(0.8), False),
    "five-fold peaks, stragglers anywhere": (_peaks, False),
}
