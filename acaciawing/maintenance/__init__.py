"""Maintenance waves: drain, reboot, verify, return."""

from acaciawing.maintenance.progress import (
    MaintenanceSnapshot,
    ObservedInstance,
    StepLimits,
)
from acaciawing.maintenance.records import (
    ALL_POOLS,
    Bounds,
    OutageChanged,
    Place,
    Stage,
    WavePlanned,
    WaveRequested,
    WaveResumed,
    WaveStep,
    WaveStopped,
)
from acaciawing.maintenance.rounds import (
    PERIOD_S,
    Held,
    MaintenanceRecord,
    PlatformCall,
    RoundDecision,
    RoundRequest,
    decide,
    reservation_id,
)
from acaciawing.maintenance.schedule import (
    FleetShape,
    Schedule,
    ScheduleBounds,
    StepTimes,
    calculate,
)
from acaciawing.maintenance.waves import (
    Down,
    Member,
    Wave,
    WaveTable,
    exceeded_bounds,
    occupancy,
)

__all__ = [
    "ALL_POOLS",
    "PERIOD_S",
    "Bounds",
    "Down",
    "FleetShape",
    "Held",
    "MaintenanceRecord",
    "MaintenanceSnapshot",
    "Member",
    "ObservedInstance",
    "OutageChanged",
    "Place",
    "PlatformCall",
    "RoundDecision",
    "RoundRequest",
    "Schedule",
    "ScheduleBounds",
    "Stage",
    "StepLimits",
    "StepTimes",
    "Wave",
    "WavePlanned",
    "WaveRequested",
    "WaveResumed",
    "WaveStep",
    "WaveStopped",
    "WaveTable",
    "calculate",
    "decide",
    "exceeded_bounds",
    "occupancy",
    "reservation_id",
]
