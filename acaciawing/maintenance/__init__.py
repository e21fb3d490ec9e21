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
    MAINTENANCE_PERIOD_S,
    BlockedInstance,
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
    compute_schedule,
)
from acaciawing.maintenance.waves import (
    Down,
    Member,
    Wave,
    WaveTable,
    count_out_of_service,
    exceeded_bounds,
)

__all__ = [
    "ALL_POOLS",
    "MAINTENANCE_PERIOD_S",
    "BlockedInstance",
    "Bounds",
    "Down",
    "FleetShape",
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
    "compute_schedule",
    "count_out_of_service",
    "decide",
    "exceeded_bounds",
    "reservation_id",
]
