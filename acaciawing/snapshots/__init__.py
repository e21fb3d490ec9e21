"""Snapshots of the fleet's state, and recovery from them."""

from acaciawing.snapshots.codec import (
    Undecodable,
    decode_state,
    encode_state,
    schema_of,
)
from acaciawing.snapshots.due import SNAPSHOT_INTERVAL_RECORDS, snapshot_due
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
    RecoveredBehind,
    Recovery,
    recover,
)

__all__ = [
    "SNAPSHOT_INTERVAL_RECORDS",
    "SNAPSHOT_STREAM",
    "NotRecovered",
    "Recovered",
    "RecoveredBehind",
    "Recovery",
    "Snapshot",
    "SnapshotPart",
    "Undecodable",
    "assemble",
    "decode_state",
    "encode_state",
    "recover",
    "schema_of",
    "snapshot_due",
    "split",
]
