"""Control rounds inside the entry daemon."""

from acaciawing.control.decisions import DECISIONS, Decide, Proposal
from acaciawing.control.loop import ControlLoop
from acaciawing.control.messages import (
    ControlMessage,
    ListingRead,
    LiveChanged,
    OperationEnded,
    StepsFolded,
    TimedCall,
)
from acaciawing.control.rounds import decide_round
from acaciawing.control.task import ControlTask, WorkerTask, make_call
from acaciawing.control.view import Call, ControlView, Round

__all__ = [
    "DECISIONS",
    "Call",
    "ControlLoop",
    "ControlMessage",
    "ControlTask",
    "ControlView",
    "Decide",
    "ListingRead",
    "LiveChanged",
    "OperationEnded",
    "Proposal",
    "Round",
    "StepsFolded",
    "TimedCall",
    "WorkerTask",
    "decide_round",
    "make_call",
]
