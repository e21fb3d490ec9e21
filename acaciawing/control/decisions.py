"""Decisions of other packages that a control round asks for.

This is the one place that connects lending, maintenance and placement with the
control rounds. Each entry of `DECISIONS` is a pure function of the state and
the view. It returns records that carry the fence of a lease of this process,
and calls for steps that were read back as accepted.
"""

from acaciawing.control.loan_rounds import begin_moves, lend
from acaciawing.control.proposals import Decide, Proposal
from acaciawing.control.task_rounds import place_tasks
from acaciawing.control.wave_rounds import maintain

__all__ = ["DECISIONS", "Decide", "Proposal"]

DECISIONS: tuple[Decide, ...] = (maintain, lend, begin_moves, place_tasks)
