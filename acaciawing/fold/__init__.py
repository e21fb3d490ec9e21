"""Deterministic fold of the control stream into the fleet's state."""

from acaciawing.fold.dispatch import Step, step
from acaciawing.fold.marks import SnapshotMark, SnapshotWritten
from acaciawing.fold.state import FleetState

__all__ = ["FleetState", "SnapshotMark", "SnapshotWritten", "Step", "step"]
