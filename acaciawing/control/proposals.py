"""Type of the decision functions that a control round calls."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from acaciawing.control.view import ControlView, WorkerCall
from acaciawing.fold import FleetState
from acaciawing.lending import DemandHistory


@dataclass(frozen=True)
class Proposal:
    """Result of one decision function.

    Attributes:
        subjects: Lease subjects that have to be held by some instance.
        records: Records to append.
        calls: Calls to the worker interface.
        history: Demand history including this round, for the next round, or
            None if unchanged.
    """

    subjects: tuple[str, ...] = ()
    records: tuple[object, ...] = ()
    calls: tuple[WorkerCall, ...] = ()
    history: DemandHistory | None = None


DecisionFunction: TypeAlias = Callable[
    [FleetState, ControlView, float, Random], Proposal
]
