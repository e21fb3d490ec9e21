"""Over-admission and usable share of a plan's limit across instances."""

from collections.abc import Callable
from dataclasses import dataclass

from acaciawing.admission.tests.fleet import (
    LIMIT,
    Event,
    Fleet,
    Policy,
    equal_share,
    max_admission_ratio,
    newest_demand,
    windowed_demand,
)

MEMBERS = 9
DURATION_S = 50.0
_NAMES = tuple(f"e{i}" for i in range(MEMBERS))
_HEAL = Event(35.0, "heal", ())


def _even_demand(name: str, now: float) -> float:
    return 60.0


def _synchronized_peaks(name: str, now: float) -> float:
    return 400.0 if now % 20.0 >= 10.0 else 5.0


def _single_instance_demand(name: str, now: float) -> float:
    return 400.0 if name == "e0" else 0.0


def _moving_demand(name: str, now: float) -> float:
    return 400.0 if int(now / 4.0) % MEMBERS == int(name[1:]) else 5.0


DEMANDS: dict[str, Callable[[str, float], float]] = {
    "even": _even_demand,
    "all rise at once": _synchronized_peaks,
    "one instance": _single_instance_demand,
    "moves each 4 s": _moving_demand,
}
EVENTS: dict[str, tuple[Event, ...]] = {
    "none": (),
    "three zones part for 20 s": (
        Event(15.0, "cut", _NAMES[:3]),
        Event(15.0, "cut", _NAMES[3:6]),
        _HEAL,
    ),
    "one instance cut off for 20 s": (Event(15.0, "cut", ("e0",)), _HEAL),
    "one instance heard by nobody": (
        Event(15.0, "cut", ("e0",), one_way=True),
        _HEAL,
    ),
    "four replaced one by one": tuple(
        event
        for i in range(1, 5)
        for event in (
            Event(15.0 + i, "vanish", (f"e{i}",)),
            Event(16.0 + i, "join", (f"e{i + MEMBERS}",)),
            Event(20.0 + i, "ended", (f"e{i}",)),
        )
    ),
}
POLICIES: dict[str, Policy] = {
    "limit / n": equal_share,
    "newest demand": newest_demand,
    "windowed demand": windowed_demand,
}


@dataclass(frozen=True)
class AdmissionFigures:
    """Figures of one policy under one demand and one sequence of events.

    Attributes:
        events: Name of the sequence of events in the fleet.
        demand: Name of the shape of the demand.
        policy: Name of the way to divide the limit.
        max_ratio_1s: Highest ratio of admitted rate to limit in any second;
            full token buckets alone allow up to 2.
        max_ratio_10s: The same for any 10 s; full buckets allow up to 1.1.
        used_share: Ratio of admitted requests to the limit, from 10 s on.
    """

    events: str
    demand: str
    policy: str
    max_ratio_1s: float
    max_ratio_10s: float
    used_share: float


def run_admission(
    loss_probability: float = 0.3,
) -> tuple[AdmissionFigures, ...]:
    """Simulates each combination of events, demand and policy.

    Args:
        loss_probability: Probability that a gossip message is lost.

    Returns:
        One row for each combination.
    """
    rows = []
    for events_name, events in EVENTS.items():
        for demand_name, demand_at in DEMANDS.items():
            for name, policy in POLICIES.items():
                admitted = Fleet(
                    MEMBERS, policy, demand_at, events, loss_probability
                ).run(DURATION_S)
                settled = admitted[len(admitted) // 5 :]
                rows.append(
                    AdmissionFigures(
                        events_name,
                        demand_name,
                        name,
                        max_admission_ratio(admitted, 1.0),
                        max_admission_ratio(admitted, 10.0),
                        sum(settled) / (LIMIT * DURATION_S * 0.8),
                    )
                )
    return tuple(rows)
