"""Deterministic fold of the control stream into the fleet's state."""

from acaciawing.fold.marks import SnapshotMark, SnapshotWritten
from acaciawing.fold.state import FleetState
from acaciawing.fold.steps import Step, step

__all__ = ["FleetState", "SnapshotMark", "SnapshotWritten", "Step", "step"]
