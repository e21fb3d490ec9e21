"""Decisions of other packages that a control round asks for.

This is the one place that connects lending, maintenance and placement with the
control rounds. Each entry of `DECISIONS` is a pure function of the state and
the view. It returns records that carry the fence of a lease of this process,
and calls for steps that were read back as accepted.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from acaciawing.control.view import Call, ControlView
from acaciawing.fold import FleetState


@dataclass(frozen=True)
class Proposal:
    """What one decision wants.

    Attributes:
        subjects: Lease subjects that it needs someone to hold.
        records: Records to append.
        calls: Calls to the worker interface.
    """

    subjects: tuple[str, ...] = ()
    records: tuple[object, ...] = ()
    calls: tuple[Call, ...] = ()


Decide: TypeAlias = Callable[[FleetState, ControlView, float, Random], Proposal]

DECISIONS: tuple[Decide, ...] = ()
