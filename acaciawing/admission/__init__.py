"""Admission of requests within the limits of their plan."""

from acaciawing.admission.admit import (
    AdmissionState,
    Admitted,
    Arrival,
    Decision,
    PlanUse,
    admit,
    close_step,
    end,
    leave,
    lowest_demand,
    may_start,
    published_demand,
    start,
    whole_share,
)
from acaciawing.admission.shares import (
    WINDOW_S,
    DemandHistory,
    EntryView,
    observe_demand,
    share,
)

__all__ = [
    "WINDOW_S",
    "AdmissionState",
    "Admitted",
    "Arrival",
    "Decision",
    "DemandHistory",
    "EntryView",
    "PlanUse",
    "admit",
    "close_step",
    "end",
    "leave",
    "lowest_demand",
    "may_start",
    "observe_demand",
    "published_demand",
    "share",
    "start",
    "whole_share",
]
