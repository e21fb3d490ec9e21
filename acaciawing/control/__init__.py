"""Control rounds of the entry daemon."""

from acaciawing.control.decisions import (
    DECISION_FUNCTIONS,
    DecisionFunction,
    Proposal,
)
from acaciawing.control.loan_decisions import begin_moves, lend
from acaciawing.control.loop import ControlLoop
from acaciawing.control.messages import (
    ControlMessage,
    DemandObserved,
    ListingRead,
    LiveInstancesChanged,
    OperationEnded,
    StepsFolded,
    TimedCall,
)
from acaciawing.control.rounds import decide_round
from acaciawing.control.task import ControlTask, WorkerTask, make_call
from acaciawing.control.task_decisions import place_tasks
from acaciawing.control.view import ControlView, Round, WorkerCall
from acaciawing.control.wave_decisions import maintain

__all__ = [
    "DECISION_FUNCTIONS",
    "ControlLoop",
    "ControlMessage",
    "ControlTask",
    "ControlView",
    "DecisionFunction",
    "DemandObserved",
    "ListingRead",
    "LiveInstancesChanged",
    "OperationEnded",
    "Proposal",
    "Round",
    "StepsFolded",
    "TimedCall",
    "WorkerCall",
    "WorkerTask",
    "begin_moves",
    "decide_round",
    "lend",
    "maintain",
    "make_call",
    "place_tasks",
]
