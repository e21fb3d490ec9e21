"""Speed of the fold and of recovery from a snapshot at three fleet sizes."""

import gc
import tracemalloc
from dataclasses import dataclass, field, replace
from random import Random
from statistics import median
from time import perf_counter

from acaciawing.configuration import ConfigurationPublished
from acaciawing.fold import FleetState, step
from acaciawing.leases import Fence, LeaseClaimed, LeasesRenewed, pool_subject
from acaciawing.membership import EntryJoined
from acaciawing.ownership import (
    LEAVING,
    SERVING,
    InstanceAdopted,
    InstanceReturned,
    MoveBegun,
    MoveFinished,
    OwnedInstance,
)
from acaciawing.platform import (
    CONTROL_STREAM,
    Appended,
    AppendOutcome,
    Batch,
    LogEntry,
    ReadOutcome,
)
from acaciawing.records import LogPosition, encode
from acaciawing.snapshots import (
    SNAPSHOT_INTERVAL_RECORDS,
    SNAPSHOT_STREAM,
    Recovered,
    decode_state,
    encode_state,
    recover,
    schema_of,
    split,
)
from bench.target import configuration

# Number of instances, pools and entry instances: today, halfway to the target,
# and at the target in two years.
SIZES = ((40, 5, 9), (400, 100, 20), (1400, 349, 60))

# Cumulative shares of the records after start-up: lease renewals, then steps of
# moves. The rest are records that the fold rejects for an outdated epoch.
_RENEWALS_SHARE, _MOVES_CUMULATIVE_SHARE = 0.6, 0.85


@dataclass(frozen=True)
class FoldFigures:
    """Figures of one fleet size.

    `records_per_s` and `recovery_s` are medians of the repeats; the other
    figures are of one run.

    Attributes:
        instances: Number of owned instances.
        pools: Number of pools that they belong to.
        records_per_s: Records folded per second, including decoding.
        accepted_share: Share of the folded records that were accepted.
        encode_ms: Time to encode and split a snapshot, in milliseconds.
        snapshot_bytes: Size of the payloads of all parts in the log.
        parts: Number of parts.
        recovery_s: Time to recover from the snapshot and a tail of 5,000
            records, without the network, in seconds.
        recovery_bytes: Size of the payloads that recovery reads.
        state_mb: Memory that the state uses, in MB (10^6 bytes).
    """

    instances: int
    pools: int
    records_per_s: float
    accepted_share: float
    encode_ms: float
    snapshot_bytes: int
    parts: int
    recovery_s: float
    recovery_bytes: int
    state_mb: float


@dataclass
class MemoryLog:
    """In-memory log that implements `acaciawing.platform.Log`."""

    streams: dict[str, list[LogEntry]] = field(default_factory=dict)
    time: float = 1_764_800_000.0
    bytes_read: int = 0

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Appends a record with a time 10 ms after the previous one."""
        entries = self.streams.setdefault(stream, [])
        self.time += 0.01
        position = LogPosition(len(entries), self.time)
        entries.append(LogEntry(position, payload))
        return Appended(position)

    def read(self, stream: str, offset: int, limit: int) -> ReadOutcome:
        """Reads records and counts their bytes."""
        entries = self.streams.get(stream, [])
        found = tuple(entries[offset : offset + limit])
        self.bytes_read += sum(len(entry.payload) for entry in found)
        return Batch(found, offset + len(found), len(entries), 0)


@dataclass
class _FoldedStream:
    """Stream whose records are folded as they are appended."""

    log: MemoryLog = field(default_factory=MemoryLog)
    state: FleetState = FleetState()

    def append(self, record: object, writer: str) -> None:
        self.log.append(CONTROL_STREAM, encode(record, writer))
        entry = self.log.streams[CONTROL_STREAM][-1]
        self.state = step(self.state, entry.payload, entry.position).state


def _create_fleet(instances: int, pools: int, entries: int) -> _FoldedStream:
    """Appends joins, a configuration, lease claims and adoptions."""
    stream = _FoldedStream()
    for number in range(entries):
        address = f"10.0.{number}.1:8081"
        joined = EntryJoined(f"entry-{number}", 1, f"z{number % 7}", address)
        stream.append(joined, f"entry-{number}/1")
    document = configuration(pools)
    stream.append(
        ConfigurationPublished("p", -1, "bench", document), "operator"
    )
    for number in range(pools):
        writer = f"entry-{number % entries}/1"
        subject = pool_subject(f"pool-{number}")
        stream.append(LeaseClaimed(subject, writer, -1, 60.0), writer)
    for number in range(instances):
        pool = f"pool-{number % pools}"
        fence, writer = _lease(stream.state, pool)
        location = (f"z{number % 7}", f"rack-{number // 4}", "10.1.2.3:8080")
        adopted_at = stream.log.time
        name = f"worker-{number}"
        adopted = InstanceAdopted(name, 1, pool, *location, adopted_at, fence)
        stream.append(adopted, writer)
        if number % 50 == 0:
            _renew_all_leases(stream, entries)
    return stream


def _lease(state: FleetState, pool: str) -> tuple[Fence, str]:
    subject = pool_subject(pool)
    lease = state.leases.leases[subject]
    return Fence(subject, lease.token), lease.holder


def _renew_all_leases(stream: _FoldedStream, entries: int) -> None:
    for number in range(entries):
        _renew_leases(stream, number)


def _renew_leases(stream: _FoldedStream, number: int) -> None:
    writer = f"entry-{number}/1"
    stream.append(LeasesRenewed(writer, stream.state.offset, 60.0), writer)


def _append_busy_load(
    stream: _FoldedStream, pools: int, entries: int, count: int
) -> None:
    """Appends records of a busy fleet."""
    random = Random(5)
    names = sorted(stream.state.ownership.instances)
    for number in range(count):
        kind = random.random()
        if kind < _RENEWALS_SHARE:
            _renew_leases(stream, number % min(entries, pools))
            continue
        instance = stream.state.ownership.instances[random.choice(names)]
        fence, writer = _lease(stream.state, instance.pool)
        target = f"pool-{random.randrange(pools)}"
        record = _next_step(instance, target, fence)
        if kind >= _MOVES_CUMULATIVE_SHARE:
            record = replace(record, epoch=instance.epoch - 1)
        stream.append(record, writer)


def _next_step(
    instance: OwnedInstance, target: str, fence: Fence
) -> MoveBegun | MoveFinished | InstanceReturned:
    name, epoch = instance.instance, instance.epoch
    if instance.phase == SERVING:
        return MoveBegun(name, epoch, target, "lent", fence)
    if instance.phase == LEAVING:
        return MoveFinished(name, epoch, fence)
    incarnation = instance.incarnation + 1
    return InstanceReturned(name, epoch, incarnation, fence)


def _fold(state: FleetState, entries: list[LogEntry]) -> tuple[float, float]:
    """Returns the records per second and the accepted share."""
    accepted = 0
    started = perf_counter()
    for entry in entries:
        folded = step(state, entry.payload, entry.position)
        state = folded.state
        accepted += folded.outcome.__class__.__name__ == "Accepted"
    return len(entries) / (perf_counter() - started), accepted / len(entries)


def _memory_mb(state: FleetState) -> float:
    """Returns the memory that a decoded copy of the state takes."""
    body = encode_state(state)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copy = decode_state(body, FleetState)
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del copy
    return allocated_bytes / 1e6


def run_fold(count: int = 20_000, repeats: int = 5) -> tuple[FoldFigures, ...]:
    """Measures each size.

    Args:
        count: Number of records to fold after start-up.
        repeats: Number of repeats of the fold and of the recovery.

    Returns:
        One row for each size, the smallest first.
    """
    return tuple(_measure(*size, count, repeats) for size in SIZES)


def _measure(
    instances: int, pools: int, entries: int, count: int, repeats: int
) -> FoldFigures:
    stream = _create_fleet(instances, pools, entries)
    start = stream.state
    _append_busy_load(stream, pools, entries, count)
    tail = stream.log.streams[CONTROL_STREAM][start.offset :]
    folds = [_fold(start, tail) for _ in range(repeats)]
    snapshot_state = stream.state
    started = perf_counter()
    parts = split(snapshot_state, snapshot_state.offset, schema_of(FleetState))
    encode_s = perf_counter() - started
    payloads = [encode(part, "entry-0/1") for part in parts]
    for payload in payloads:
        stream.log.append(SNAPSHOT_STREAM, payload)
    _append_busy_load(stream, pools, entries, SNAPSHOT_INTERVAL_RECORDS + 1)
    times = []
    for _ in range(repeats):
        stream.log.bytes_read = 0
        started = perf_counter()
        outcome = recover(stream.log, [], now=0.0)
        times.append(perf_counter() - started)
        if not isinstance(outcome, Recovered) or outcome.started_from == 0:
            raise RuntimeError(f"not recovered from the snapshot: {outcome}")
    return FoldFigures(
        instances,
        pools,
        median(rate for rate, _ in folds),
        folds[0][1],
        encode_s * 1e3,
        sum(map(len, payloads)),
        len(parts),
        median(times),
        stream.log.bytes_read,
        _memory_mb(snapshot_state),
    )
