"""Decision functions that a control round calls.

This is the only module that connects lending, maintenance and placement to the
control rounds. Each entry of `DECISION_FUNCTIONS` is a pure function of the
state and the view. It returns records with the fence of a lease of this
process, and calls for steps that were read back as accepted.
"""

from acaciawing.control.loan_decisions import begin_moves, lend
from acaciawing.control.proposals import DecisionFunction, Proposal
from acaciawing.control.task_decisions import place_tasks
from acaciawing.control.wave_decisions import maintain

__all__ = ["DECISION_FUNCTIONS", "DecisionFunction", "Proposal"]

DECISION_FUNCTIONS: tuple[DecisionFunction, ...] = (
    maintain,
    lend,
    begin_moves,
    place_tasks,
)
