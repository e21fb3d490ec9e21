"""Snapshots of the fleet's state, and recovery from them."""

from acaciawing.snapshots.codec import (
    Undecodable,
    decode_state,
    encode_state,
    schema_of,
)
from acaciawing.snapshots.parts import (
    SNAPSHOT_STREAM,
    Snapshot,
    SnapshotPart,
    assemble,
    split,
)
from acaciawing.snapshots.recovery import (
    NotRecovered,
    Recovered,
    RecoveredWithoutLog,
    Recovery,
    recover,
)
from acaciawing.snapshots.schedule import (
    SNAPSHOT_INTERVAL_RECORDS,
    is_snapshot_due,
)

__all__ = [
    "SNAPSHOT_INTERVAL_RECORDS",
    "SNAPSHOT_STREAM",
    "NotRecovered",
    "Recovered",
    "RecoveredWithoutLog",
    "Recovery",
    "Snapshot",
    "SnapshotPart",
    "Undecodable",
    "assemble",
    "decode_state",
    "encode_state",
    "is_snapshot_due",
    "recover",
    "schema_of",
    "split",
]
