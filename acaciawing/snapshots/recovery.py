"""Recovery of the state from the log, and from peers while the log is away."""

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
from acaciawing.snapshots.due import SNAPSHOT_INTERVAL_RECORDS
from acaciawing.snapshots.parts import (
    SNAPSHOT_STREAM,
    Snapshot,
    SnapshotPart,
    assemble,
)

# Records in one read of the control stream and of the snapshot stream. Parts
# are up to 256 KiB each, so 16 of them bound a read to 4 MiB.
_TAIL_READ = 500
_PARTS_READ = 16

# Retention may overtake a reader between two reads. Each further attempt starts
# from a newer snapshot; a log that overtakes three has lost the history.
_ATTEMPTS = 3


@dataclass(frozen=True)
class Recovered:
    """The state at the head of the log.

    Attributes:
        state: The state.
        started_from: Offset that the replay started from.
        replayed: Number of records replayed.
        recovered_at: ``now`` of the recovery, seconds.
    """

    state: FleetState
    started_from: int
    replayed: int
    recovered_at: float


@dataclass(frozen=True)
class RecoveredBehind:
    """The newest state within reach while the log does not answer.

    Attributes:
        state: The state; may be older than the head of the log.
        detail: What the log client reported.
        recovered_at: ``now`` of the recovery, seconds.
    """

    state: FleetState
    detail: str
    recovered_at: float


@dataclass(frozen=True)
class NotRecovered:
    """There is no state to go on with.

    Attributes:
        reason: ``log-unavailable`` if neither log nor peer gave a state, or
            ``history-lost`` if no snapshot reaches the records that the log
            still keeps.
        detail: Text for the operator.
    """

    reason: str
    detail: str


Recovery: TypeAlias = Recovered | RecoveredBehind | NotRecovered


def recover(
    log: Log,
    peer_states: Iterable[FleetState],
    now: float,
    held: FleetState | None = None,
    replayed: Callable[[Step], None] = lambda step: None,
) -> Recovery:
    """Recovers the state; never to a lower offset than that of ``held``.

    Args:
        log: The platform's log.
        peer_states: States that peers gave, in any order.
        now: Time of the recovery, seconds.
        held: State of a process that fell behind the log's retention.
        replayed: Receives each step of the replay; a later attempt may repeat
            steps.

    Returns:
        What was reached.
    """
    known = [*peer_states, *([] if held is None else [held])]
    best = max(known, key=lambda s: s.offset, default=None)
    detail = ""
    for _ in range(_ATTEMPTS):
        start = _start(log, best)
        if isinstance(start, LogUnavailable):
            return _without_log(best, start.detail, now)
        if isinstance(start, NotRecovered):
            return start
        # The start is never below the best state, and a replay only adds.
        best, outcome = _replay(log, start, replayed)
        if outcome is None:
            count = best.offset - start.offset
            return Recovered(best, start.offset, count, now)
        if isinstance(outcome, LogUnavailable):
            return _without_log(best, outcome.detail, now)
        detail = f"overtaken by retention at {best.offset}"
    return NotRecovered("history-lost", detail)


def _without_log(
    best: FleetState | None, detail: str, now: float
) -> RecoveredBehind | NotRecovered:
    if best is None:
        return NotRecovered("log-unavailable", detail)
    return RecoveredBehind(best, detail, now)


def _start(
    log: Log, best: FleetState | None
) -> FleetState | LogUnavailable | NotRecovered:
    """Chooses the state to replay the tail of the log on."""
    bounds = _bounds(log, CONTROL_STREAM)
    if isinstance(bounds, LogUnavailable):
        return bounds
    start = FleetState() if best is None else best
    # A snapshot is worth its read only if it spares many records.
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


def _bounds(log: Log, stream: str) -> Batch | LogUnavailable:
    """Reads the first and the head offset of a stream."""
    offset = 0
    for _ in range(_ATTEMPTS):
        outcome = log.read(stream, offset, 1)
        if not isinstance(outcome, OffsetExpired):
            return outcome
        offset = outcome.first_offset
    return LogUnavailable(f"{stream} expires faster than it is read")


def _replay(
    log: Log, state: FleetState, replayed: Callable[[Step], None]
) -> tuple[FleetState, OffsetExpired | LogUnavailable | None]:
    """Folds the tail of the log; the outcome is None at its head."""
    while True:
        outcome = log.read(CONTROL_STREAM, state.offset, _TAIL_READ)
        if not isinstance(outcome, Batch):
            return state, outcome
        for entry in outcome.entries:
            result = step(state, entry.payload, entry.position)
            state = result.state
            replayed(result)
        if not outcome.entries or state.offset >= outcome.head_offset:
            return state, None


def _newest_snapshot(
    log: Log, first_needed: int
) -> FleetState | LogUnavailable | None:
    """Reads backwards from the head of the snapshots for the newest usable one.

    A snapshot of the own schema is preferred, since one of another release may
    lack tables; such a one is used only if there is no other.
    """
    bounds = _bounds(log, SNAPSHOT_STREAM)
    if isinstance(bounds, LogUnavailable):
        return bounds
    parts: list[SnapshotPart] = []
    high, schema = bounds.head_offset, schema_of(FleetState)
    while high > bounds.first_offset:
        low = max(bounds.first_offset, high - _PARTS_READ)
        read = _read_parts(log, low, high)
        if isinstance(read, LogUnavailable):
            return read
        parts += read
        whole = [s for s in assemble(parts) if s.offset >= first_needed]
        state = _first_usable([s for s in whole if s.schema == schema])
        if state is not None:
            return state
        high = low
    others = [s for s in assemble(parts) if s.schema != schema]
    return _first_usable([s for s in others if s.offset >= first_needed])


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
