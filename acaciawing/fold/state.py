"""State of the fleet at one offset of the control stream."""

from dataclasses import dataclass

from acaciawing.budgets import Ledger
from acaciawing.configuration import ConfigurationState
from acaciawing.fold.marks import SnapshotMark
from acaciawing.leases import LeaseTable
from acaciawing.lending import LoanTable
from acaciawing.maintenance import WaveTable
from acaciawing.membership import Roster
from acaciawing.ownership import Ownership
from acaciawing.placement import TaskTable


@dataclass(frozen=True)
class FleetState:
    """State that all readers of the control stream share at an offset.

    Attributes:
        offset: Offset of the next record to apply.
        configuration: The active configuration.
        roster: Entry instances.
        leases: Leases of control subjects.
        ownership: Pool of each instance.
        snapshot: The newest complete snapshot.
        budgets: Counts and reservations of the plans.
        waves: Maintenance waves and outages.
        loans: Instances lent between pools.
        tasks: Tasks that have not ended.
    """

    offset: int = 0
    configuration: ConfigurationState = ConfigurationState()
    roster: Roster = Roster()
    leases: LeaseTable = LeaseTable()
    ownership: Ownership = Ownership()
    snapshot: SnapshotMark = SnapshotMark()
    budgets: Ledger = Ledger()
    waves: WaveTable = WaveTable()
    loans: LoanTable = LoanTable()
    tasks: TaskTable = TaskTable()
