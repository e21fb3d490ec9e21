"""Control rounds inside the entry daemon."""

from acaciawing.control.decisions import DECISIONS, Decide, Proposal
from acaciawing.control.loan_rounds import begin_moves, lend
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
from acaciawing.control.task_rounds import place_tasks
from acaciawing.control.view import Call, ControlView, Round
from acaciawing.control.wave_rounds import maintain

__all__ = [
    "DECISIONS",
    "Call",
    "ControlLoop",
    "ControlMessage",
    "ControlTask",
    "ControlView",
    "Decide",
    "DemandObserved",
    "ListingRead",
    "LiveInstancesChanged",
    "OperationEnded",
    "Proposal",
    "Round",
    "StepsFolded",
    "TimedCall",
    "WorkerTask",
    "begin_moves",
    "decide_round",
    "lend",
    "maintain",
    "make_call",
    "place_tasks",
]
