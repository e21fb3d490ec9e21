"""Slots used under several ways to divide a pool's slots among entry instances.

Each step lasts one gossip round (0.5 s). Each entry instance requests some
slots and uses as many as its credits allow; a worker accepts at most its slots.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from acaciawing.routing import divide_credits

RequestedSlots = dict[str, int]
Division = Callable[[list[str], int, str, Mapping[str, float]], dict[str, int]]


@dataclass(frozen=True)
class CreditFigures:
    """Result of one division under one demand.

    Attributes:
        division: Name of the way to divide the slots.
        demand: Name of the shape of the demand.
        used_share: Ratio of used slots to requested slots, of which at most the
            pool's slots count.
        refused_share: Share of the sent requests that a worker refused.
        starved_share: Share of steps in which some entry instance requested
            slots and had no credit at all.
    """

    division: str
    demand: str
    used_share: float
    refused_share: float
    starved_share: float


def even_floor(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Gives each member slots // members of each worker."""
    return dict.fromkeys(workers, slots // len(demand))


def even_ceiling(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Gives each member slots / members of each worker, rounded up."""
    return dict.fromkeys(workers, -(-slots // len(demand)))


def subset(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Gives each member an even share of all slots, on two workers."""
    index = sorted(demand).index(member)
    share = max(1, slots * len(workers) // len(demand))
    first_index = 2 * index % len(workers)
    second_index = (first_index + 1) % len(workers)
    return {
        workers[first_index]: -(-share // 2),
        workers[second_index]: share // 2,
    }


def credits(
    workers: list[str], slots: int, member: str, demand: Mapping[str, float]
) -> dict[str, int]:
    """Weights the credits by the gossiped demand of the previous step."""
    credit_of = divide_credits("visits", workers, slots, member, demand)
    return {worker: credit.slots for worker, credit in credit_of.items()}


def _even_demand(
    members: list[str], step: int, random: Random
) -> RequestedSlots:
    return {m: random.randint(3, 6) for m in members}


def _single_instance_demand(
    members: list[str], step: int, random: Random
) -> RequestedSlots:
    return {m: 40 if m == members[0] else 0 for m in members}


def _moving_demand(
    members: list[str], step: int, random: Random
) -> RequestedSlots:
    """One member in turn requests 30 slots for 5 s; the others 0 to 3."""
    busy = members[step // 10 % len(members)]
    return {m: 30 if m == busy else random.randint(0, 3) for m in members}


DIVISIONS: dict[str, Division] = {
    "even, rounded down": even_floor,
    "even, rounded up": even_ceiling,
    "subset of two workers": subset,
    "credits": credits,
}
DEMANDS = {
    "even": _even_demand,
    "one instance": _single_instance_demand,
    "moving burst": _moving_demand,
}


def _simulate_step(
    credits_of: Mapping[str, Mapping[str, int]],
    requested: RequestedSlots,
    slots: int,
) -> tuple[int, int]:
    """Sends requests within the credits; counts accepted and refused ones."""
    occupied: dict[str, int] = {}
    accepted = refused = 0
    for member, remaining in requested.items():
        for worker, credit in credits_of[member].items():
            sent = min(remaining, credit)
            free = slots - occupied.get(worker, 0)
            admitted = min(sent, free)
            occupied[worker] = occupied.get(worker, 0) + admitted
            accepted += admitted
            refused += sent - admitted
            remaining -= admitted
    return accepted, refused


def run_credits(
    members: int = 9, workers: int = 6, slots: int = 8, steps: int = 900
) -> tuple[CreditFigures, ...]:
    """Simulates every division under every demand.

    Args:
        members: Number of entry instances.
        workers: Number of workers of the pool.
        slots: Number of slots of each worker.
        steps: Number of gossip rounds.

    Returns:
        One row for each pair of division and demand.
    """
    names = [f"entry-{i:02}" for i in range(members)]
    pool = [f"w{i}" for i in range(workers)]
    rows = []
    for demand_name, demand_at in DEMANDS.items():
        for name, division in DIVISIONS.items():
            random = Random(7)
            previous_demand: Mapping[str, float] = dict.fromkeys(names, 0.0)
            used_slots = usable_slots = refused_requests = starved_steps = 0
            for step in range(steps):
                requested = demand_at(names, step, random)
                credits_of = {
                    m: division(pool, slots, m, previous_demand) for m in names
                }
                accepted, refused = _simulate_step(credits_of, requested, slots)
                used_slots += accepted
                refused_requests += refused
                usable_slots += min(sum(requested.values()), workers * slots)
                starved_steps += any(
                    requested[m] and not sum(credits_of[m].values())
                    for m in names
                )
                previous_demand = {m: float(w) for m, w in requested.items()}
            rows.append(
                CreditFigures(
                    name,
                    demand_name,
                    used_slots / usable_slots,
                    refused_requests / max(1, used_slots + refused_requests),
                    starved_steps / steps,
                )
            )
    return tuple(rows)
