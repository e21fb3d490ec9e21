"""Count of slots used under three ways to share a pool's slots.

Each step lasts one gossip round (0.5 s). Each entry instance wants some slots;
it uses as many as its credits allow, and a worker takes at most its slots.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from acaciawing.routing import divide_credits

Wanted = dict[str, int]
Division = Callable[[list[str], int, str, Mapping[str, float]], dict[str, int]]


@dataclass(frozen=True)
class CreditFigures:
    """Result of one division under one demand.

    Attributes:
        division: Way to share the slots.
        demand: Shape of the demand.
        used: Slots used over slots wanted (at most the pool's slots).
        pushed_back: Requests that a worker refused over requests sent.
        starved: Share of steps in which some entry instance wanted slots and
            had no credit at all.
    """

    division: str
    demand: str
    used: float
    pushed_back: float
    starved: float


def even_floor(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Each member gets slots // members of each worker."""
    return dict.fromkeys(workers, slots // len(demand))


def even_ceiling(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Each member gets slots / members of each worker, rounded up."""
    return dict.fromkeys(workers, -(-slots // len(demand)))


def subset(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Each member gets its even share of all slots on two workers."""
    index = sorted(demand).index(member)
    share = max(1, slots * len(workers) // len(demand))
    first = 2 * index % len(workers)
    second = (first + 1) % len(workers)
    return {workers[first]: -(-share // 2), workers[second]: share // 2}


def credits(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Credits weighted by the gossiped demand of the step before."""
    divided = divide_credits("visits", workers, slots, member, demand)
    return {worker: credit.slots for worker, credit in divided.items()}


def _even(members: list[str], step: int, random: Random) -> Wanted:
    return {m: random.randint(3, 6) for m in members}


def _one(members: list[str], step: int, random: Random) -> Wanted:
    return {m: 40 if m == members[0] else 0 for m in members}


def _moving(members: list[str], step: int, random: Random) -> Wanted:
    """One member in turn wants 30 slots for 5 s; the others want 0 to 3."""
    busy = members[step // 10 % len(members)]
    return {m: 30 if m == busy else random.randint(0, 3) for m in members}


DIVISIONS: dict[str, Division] = {
    "even, rounded down": even_floor,
    "even, rounded up": even_ceiling,
    "subset of two workers": subset,
    "credits": credits,
}
DEMANDS = {"even": _even, "one instance": _one, "moving burst": _moving}


def _step(
    parts: Mapping[str, Mapping[str, int]], wanted: Wanted, slots: int
) -> tuple[int, int]:
    """Sends what each member may send; returns accepted and refused."""
    taken: dict[str, int] = {}
    accepted = refused = 0
    for member, want in wanted.items():
        for worker, credit in parts[member].items():
            sent = min(want, credit)
            free = slots - taken.get(worker, 0)
            fits = min(sent, free)
            taken[worker] = taken.get(worker, 0) + fits
            accepted += fits
            refused += sent - fits
            want -= fits
    return accepted, refused


def run_credits(
    members: int = 9, workers: int = 6, slots: int = 8, steps: int = 900
) -> tuple[CreditFigures, ...]:
    """Counts every division under every demand.

    Args:
        members: Entry instances.
        workers: Workers of the pool.
        slots: Slots of each worker.
        steps: Gossip rounds.

    Returns:
        One row for each pair of division and demand.
    """
    names = [f"entry-{i:02}" for i in range(members)]
    pool = [f"w{i}" for i in range(workers)]
    rows = []
    for shape, demand_at in DEMANDS.items():
        for name, division in DIVISIONS.items():
            random = Random(7)
            known: Mapping[str, float] = dict.fromkeys(names, 0.0)
            used = possible = pushed = starved = 0
            for step in range(steps):
                wanted = demand_at(names, step, random)
                parts = {m: division(pool, slots, m, known) for m in names}
                accepted, refused = _step(parts, wanted, slots)
                used += accepted
                pushed += refused
                possible += min(sum(wanted.values()), workers * slots)
                starved += any(
                    wanted[m] and not sum(parts[m].values()) for m in names
                )
                known = {m: float(w) for m, w in wanted.items()}
            rows.append(
                CreditFigures(
                    name,
                    shape,
                    used / possible,
                    pushed / max(1, used + pushed),
                    starved / steps,
                )
            )
    return tuple(rows)
