"""Over-admission and usable share of a plan's limit over several instances."""

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
UNTIL_S = 50.0
_NAMES = tuple(f"e{i}" for i in range(MEMBERS))
_HEAL = Event(35.0, "heal", ())


def _even(name: str, now: float) -> float:
    return 60.0


def _together(name: str, now: float) -> float:
    return 400.0 if now % 20.0 >= 10.0 else 5.0


def _one(name: str, now: float) -> float:
    return 400.0 if name == "e0" else 0.0


def _moving(name: str, now: float) -> float:
    return 400.0 if int(now / 4.0) % MEMBERS == int(name[1:]) else 5.0


DEMANDS: dict[str, Callable[[str, float], float]] = {
    "even": _even,
    "all rise at once": _together,
    "one instance": _one,
    "moves each 4 s": _moving,
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
    """One policy under one demand and one sequence of events.

    Attributes:
        events: What happens to the fleet.
        demand: Shape of the demand.
        policy: How the limit is shared.
        worst_1s: Highest admitted rate of any second over the limit; a full
            token bucket alone allows up to 2.
        worst_10s: The same for any 10 s; 1.1 includes full buckets.
        used: Admitted requests over limit, from 10 s on.
    """

    events: str
    demand: str
    policy: str
    worst_1s: float
    worst_10s: float
    used: float


def run_admission(loss: float = 0.3) -> tuple[AdmissionFigures, ...]:
    """Replays each combination with that share of gossip lost.

    Args:
        loss: Probability that a message is lost.

    Returns:
        One row for each combination.
    """
    rows = []
    for happens, events in EVENTS.items():
        for shape, offered in DEMANDS.items():
            for name, policy in POLICIES.items():
                admitted = Fleet(MEMBERS, policy, offered, events, loss).run(
                    UNTIL_S
                )
                late = admitted[len(admitted) // 5 :]
                rows.append(
                    AdmissionFigures(
                        happens,
                        shape,
                        name,
                        max_admission_ratio(admitted, 1.0),
                        max_admission_ratio(admitted, 10.0),
                        sum(late) / (LIMIT * UNTIL_S * 0.8),
                    )
                )
    return tuple(rows)
