"""Form of the decisions that a control round asks for."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from acaciawing.control.view import Call, ControlView
from acaciawing.fold import FleetState
from acaciawing.lending import DemandHistory


@dataclass(frozen=True)
class Proposal:
    """What one decision wants.

    Attributes:
        subjects: Lease subjects that it needs someone to hold.
        records: Records to append.
        calls: Calls to the worker interface.
        history: Demand with this round's observation, to be kept for the next
            round, or None.
    """

    subjects: tuple[str, ...] = ()
    records: tuple[object, ...] = ()
    calls: tuple[Call, ...] = ()
    history: DemandHistory | None = None


Decide: TypeAlias = Callable[[FleetState, ControlView, float, Random], Proposal]
