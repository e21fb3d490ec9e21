"""Mark of the newest snapshot, from which the next one is scheduled."""

from dataclasses import dataclass
from functools import singledispatch

from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition, record_type


@record_type("snapshot-written", version=1)
@dataclass(frozen=True)
class SnapshotWritten:
    """All parts of a snapshot are in the stream ``snapshots``.

    Attributes:
        snapshot_id: Id of the snapshot.
        offset: `FleetState.offset` of the state in it.
        fence: Lease of the subject ``snapshots``.
    """

    snapshot_id: str
    offset: int
    fence: Fence


@dataclass(frozen=True)
class SnapshotMark:
    """The newest complete snapshot; its offset is 0 if there is none."""

    snapshot_id: str = ""
    offset: int = 0


@singledispatch
def apply(
    record: object, table: SnapshotMark, position: LogPosition
) -> tuple[SnapshotMark, RecordOutcome]:
    """Applies a record to the mark; called by `acaciawing.fold.step`."""
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: SnapshotWritten, table: SnapshotMark, position: LogPosition
) -> tuple[SnapshotMark, RecordOutcome]:
    if record.offset <= table.offset or record.offset > position.offset:
        return table, Ignored("stale-snapshot", record.snapshot_id)
    return SnapshotMark(record.snapshot_id, record.offset), Accepted()
