"""Recovery of the state from the log, or from peers if it is unavailable."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.fold import FleetState, Step, step
from acaciawing.platform import (
    CONTROL_STREAM,
    Batch,
    Log,
    LogUnavailable,
    OffsetExpired,
)
from acaciawing.records import Envelope, decode
from acaciawing.snapshots.codec import Undecodable, decode_state, schema_of
from acaciawing.snapshots.parts import (
    SNAPSHOT_STREAM,
    Snapshot,
    SnapshotPart,
    assemble,
)
from acaciawing.snapshots.schedule import SNAPSHOT_INTERVAL_RECORDS

# Limit of records per read of the control stream and of the snapshot stream. A
# part has up to 256 KiB, so 16 parts bound a read to 4 MiB.
_REPLAY_BATCH_RECORDS = 500
_SNAPSHOT_BATCH_RECORDS = 16

# Retention may overtake a reader between two reads. Each further attempt starts
# from a newer snapshot. If retention overtakes all of them, the history is
# considered lost.
_MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class Recovered:
    """The state at the head of the log.

    Attributes:
        state: The state.
        started_from: Offset at which the replay started.
        replayed: Number of records replayed.
        recovered_at: Argument ``now`` of `recover`, in seconds.
    """

    state: FleetState
    started_from: int
    replayed: int
    recovered_at: float


@dataclass(frozen=True)
class RecoveredWithoutLog:
    """The newest known state while the log is unavailable.

    Attributes:
        state: The state; may be behind the head of the log.
        detail: Error reported by the log client.
        recovered_at: Argument ``now`` of `recover`, in seconds.
    """

    state: FleetState
    detail: str
    recovered_at: float


@dataclass(frozen=True)
class NotRecovered:
    """No state could be recovered.

    Attributes:
        reason: ``log-unavailable`` if neither the log nor a peer provided a
            state, or ``history-lost`` if no state reaches the oldest record
            that the log retains.
        detail: Text for the operator.
    """

    reason: str
    detail: str


Recovery: TypeAlias = Recovered | RecoveredWithoutLog | NotRecovered


def recover(
    log: Log,
    peer_states: Iterable[FleetState],
    now: float,
    held: FleetState | None = None,
    replayed: Callable[[Step], None] = lambda step: None,
) -> Recovery:
    """Recovers the state, never to a lower offset than that of ``held``.

    Args:
        log: The platform's log.
        peer_states: States received from peers, in any order.
        now: Time of the recovery, in seconds.
        held: State of a process that fell behind the log's retention.
        replayed: Receives each step of the replay; a later attempt may repeat
            steps.

    Returns:
        The recovered state, or the reason for the failure.
    """
    candidates = [*peer_states, *([] if held is None else [held])]
    best = max(candidates, key=lambda s: s.offset, default=None)
    detail = ""
    for _ in range(_MAX_ATTEMPTS):
        start = _choose_start(log, best)
        if isinstance(start, LogUnavailable):
            return _recover_without_log(best, start.detail, now)
        if isinstance(start, NotRecovered):
            return start
        # The start is never behind the best state, and a replay only advances.
        best, outcome = _replay(log, start, replayed)
        if outcome is None:
            count = best.offset - start.offset
            return Recovered(best, start.offset, count, now)
        if isinstance(outcome, LogUnavailable):
            return _recover_without_log(best, outcome.detail, now)
        detail = f"overtaken by retention at {best.offset}"
    return NotRecovered("history-lost", detail)


def _recover_without_log(
    best: FleetState | None, detail: str, now: float
) -> RecoveredWithoutLog | NotRecovered:
    if best is None:
        return NotRecovered("log-unavailable", detail)
    return RecoveredWithoutLog(best, detail, now)


def _choose_start(
    log: Log, best: FleetState | None
) -> FleetState | LogUnavailable | NotRecovered:
    """Chooses the state from which to replay the rest of the log."""
    bounds = _read_bounds(log, CONTROL_STREAM)
    if isinstance(bounds, LogUnavailable):
        return bounds
    start = FleetState() if best is None else best
    # Reading a snapshot pays off only if it saves the replay of many records.
    if (
        bounds.first_offset
        <= start.offset
        >= (bounds.head_offset - SNAPSHOT_INTERVAL_RECORDS)
    ):
        return start
    found = _newest_snapshot(log, bounds.first_offset)
    if isinstance(found, LogUnavailable):
        return found
    if found is not None and found.offset > start.offset:
        start = found
    if start.offset < bounds.first_offset:
        detail = f"state at {start.offset}, log from {bounds.first_offset}"
        return NotRecovered("history-lost", detail)
    return start


def _read_bounds(log: Log, stream: str) -> Batch | LogUnavailable:
    """Reads the first and head offsets of a stream."""
    offset = 0
    for _ in range(_MAX_ATTEMPTS):
        outcome = log.read(stream, offset, 1)
        if not isinstance(outcome, OffsetExpired):
            return outcome
        offset = outcome.first_offset
    return LogUnavailable(f"{stream} expires faster than it is read")


def _replay(
    log: Log, state: FleetState, replayed: Callable[[Step], None]
) -> tuple[FleetState, OffsetExpired | LogUnavailable | None]:
    """Folds the log from a state on; the outcome is None at the head."""
    while True:
        outcome = log.read(CONTROL_STREAM, state.offset, _REPLAY_BATCH_RECORDS)
        if not isinstance(outcome, Batch):
            return state, outcome
        for entry in outcome.entries:
            result = step(state, entry.payload, entry.position)
            state = result.state
            replayed(result)
        if not outcome.entries or state.offset >= outcome.head_offset:
            return state, None


def _newest_snapshot(
    log: Log, min_offset: int
) -> FleetState | LogUnavailable | None:
    """Reads the snapshot stream backwards for the newest usable snapshot.

    Snapshots with the schema of this process are preferred. One of another
    release may lack tables and is used only if there is no other.
    """
    bounds = _read_bounds(log, SNAPSHOT_STREAM)
    if isinstance(bounds, LogUnavailable):
        return bounds
    parts: list[SnapshotPart] = []
    high, schema = bounds.head_offset, schema_of(FleetState)
    while high > bounds.first_offset:
        low = max(bounds.first_offset, high - _SNAPSHOT_BATCH_RECORDS)
        read = _read_parts(log, low, high)
        if isinstance(read, LogUnavailable):
            return read
        parts += read
        complete = [s for s in assemble(parts) if s.offset >= min_offset]
        state = _first_usable([s for s in complete if s.schema == schema])
        if state is not None:
            return state
        high = low
    others = [s for s in assemble(parts) if s.schema != schema]
    return _first_usable([s for s in others if s.offset >= min_offset])


def _read_parts(
    log: Log, low: int, high: int
) -> list[SnapshotPart] | LogUnavailable:
    parts = []
    while low < high:
        outcome = log.read(SNAPSHOT_STREAM, low, high - low)
        if isinstance(outcome, LogUnavailable):
            return outcome
        if isinstance(outcome, OffsetExpired):
            low = max(low + 1, outcome.first_offset)
            continue
        for entry in outcome.entries:
            envelope = decode(entry.payload)
            if isinstance(envelope, Envelope) and isinstance(
                envelope.record, SnapshotPart
            ):
                parts.append(envelope.record)
        if not outcome.entries:
            break
        low = outcome.next_offset
    return parts


def _first_usable(snapshots: list[Snapshot]) -> FleetState | None:
    for snapshot in snapshots:
        state = decode_state(snapshot.body, FleetState)
        if isinstance(state, Undecodable) or state.offset != snapshot.offset:
            continue
        return state
    return None
