"""Admission of requests within the limits of their plan."""

from acaciawing.admission.admit import (
    Admission,
    AdmissionState,
    Arrival,
    Decision,
    PlanUse,
    admit,
    end,
    integer_share,
    leave,
    lowest_demand,
    may_start,
    published_demand,
    sample_demand,
    start,
)
from acaciawing.admission.shares import (
    DEMAND_WINDOW_S,
    DemandHistory,
    EntryView,
    observe_demand,
    share,
)

__all__ = [
    "DEMAND_WINDOW_S",
    "AdmissionState",
    "Admission",
    "Arrival",
    "Decision",
    "DemandHistory",
    "EntryView",
    "PlanUse",
    "admit",
    "sample_demand",
    "end",
    "leave",
    "lowest_demand",
    "may_start",
    "observe_demand",
    "published_demand",
    "share",
    "start",
    "integer_share",
]
