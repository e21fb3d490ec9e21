"""Speed of the fold, and recovery from a snapshot, at three sizes."""

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

# Instances, pools and entry instances: today, halfway, and in two years.
SIZES = ((40, 5, 9), (400, 100, 20), (1400, 349, 60))

# Parts of the stream after start-up: renewals, steps of moves, and records that
# the fold ignores, such as late ones.
_RENEWALS, _MOVES = 0.6, 0.85


@dataclass(frozen=True)
class FoldFigures:
    """Figures of one size; medians of the repeats.

    Attributes:
        instances: Instances owned.
        pools: Pools that they belong to.
        records_per_s: Records folded in a second, decoding included.
        accepted: Share of the folded records that took effect.
        encode_ms: Encoding and splitting a snapshot, in milliseconds.
        snapshot_bytes: Payload of all parts in the log.
        parts: Number of parts.
        recovery_s: Recovery from the snapshot and a tail of 5,000 records,
            without the network, in seconds.
        recovery_bytes: Payloads read for it.
        state_mb: Memory of the state, in MB (10^6 bytes).
    """

    instances: int
    pools: int
    records_per_s: float
    accepted: float
    encode_ms: float
    snapshot_bytes: int
    parts: int
    recovery_s: float
    recovery_bytes: int
    state_mb: float


@dataclass
class MemoryLog:
    """Log in memory; implements `acaciawing.platform.Log`."""

    streams: dict[str, list[LogEntry]] = field(default_factory=dict)
    time: float = 1_764_800_000.0
    bytes_read: int = 0

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Appends a record 10 ms after the one before."""
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
class _Stream:
    """Writes a stream of which each record is folded as it is appended."""

    log: MemoryLog = field(default_factory=MemoryLog)
    state: FleetState = FleetState()

    def put(self, record: object, writer: str) -> None:
        self.log.append(CONTROL_STREAM, encode(record, writer))
        entry = self.log.streams[CONTROL_STREAM][-1]
        self.state = step(self.state, entry.payload, entry.position).state


def _started(instances: int, pools: int, entries: int) -> _Stream:
    """Writes joins, a configuration, claims and adoptions."""
    stream = _Stream()
    for number in range(entries):
        address = f"10.0.{number}.1:8081"
        joined = EntryJoined(f"entry-{number}", 1, f"z{number % 7}", address)
        stream.put(joined, f"entry-{number}/1")
    document = configuration(pools)
    stream.put(ConfigurationPublished("p", -1, "bench", document), "operator")
    for number in range(pools):
        writer = f"entry-{number % entries}/1"
        subject = pool_subject(f"pool-{number}")
        stream.put(LeaseClaimed(subject, writer, -1, 60.0), writer)
    for number in range(instances):
        pool = f"pool-{number % pools}"
        fence, writer = _lease(stream.state, pool)
        place = (f"z{number % 7}", f"rack-{number // 4}", "10.1.2.3:8080")
        seen = stream.log.time
        name = f"worker-{number}"
        adopted = InstanceAdopted(name, 1, pool, *place, seen, fence)
        stream.put(adopted, writer)
        if number % 50 == 0:
            _renew_all(stream, entries)
    return stream


def _lease(state: FleetState, pool: str) -> tuple[Fence, str]:
    subject = pool_subject(pool)
    lease = state.leases.leases[subject]
    return Fence(subject, lease.token), lease.holder


def _renew_all(stream: _Stream, entries: int) -> None:
    for number in range(entries):
        _renew(stream, number)


def _renew(stream: _Stream, number: int) -> None:
    writer = f"entry-{number}/1"
    stream.put(LeasesRenewed(writer, stream.state.offset, 60.0), writer)


def _busy(stream: _Stream, pools: int, entries: int, count: int) -> None:
    """Writes records of a busy fleet."""
    random = Random(5)
    names = sorted(stream.state.ownership.instances)
    for number in range(count):
        kind = random.random()
        if kind < _RENEWALS:
            _renew(stream, number % min(entries, pools))
            continue
        known = stream.state.ownership.instances[random.choice(names)]
        fence, writer = _lease(stream.state, known.pool)
        target = f"pool-{random.randrange(pools)}"
        record = _next_step(known, target, fence)
        if kind >= _MOVES:
            record = replace(record, epoch=known.epoch - 1)
        stream.put(record, writer)


def _next_step(
    known: OwnedInstance, target: str, fence: Fence
) -> MoveBegun | MoveFinished | InstanceReturned:
    name, epoch = known.instance, known.epoch
    if known.phase == SERVING:
        return MoveBegun(name, epoch, target, "lent", fence)
    if known.phase == LEAVING:
        return MoveFinished(name, epoch, fence)
    incarnation = known.incarnation + 1
    return InstanceReturned(name, epoch, incarnation, fence)


def _fold(state: FleetState, entries: list[LogEntry]) -> tuple[float, float]:
    """Returns records a second and the share accepted."""
    accepted = 0
    began = perf_counter()
    for entry in entries:
        taken = step(state, entry.payload, entry.position)
        state = taken.state
        accepted += taken.outcome.__class__.__name__ == "Accepted"
    return len(entries) / (perf_counter() - began), accepted / len(entries)


def _memory_mb(state: FleetState) -> float:
    """Returns the memory that a decoded copy of the state takes."""
    body = encode_state(state)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copy = decode_state(body, FleetState)
    gc.collect()
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del copy
    return taken / 1e6


def run_fold(count: int = 20_000, repeats: int = 5) -> tuple[FoldFigures, ...]:
    """Measures each size.

    Args:
        count: Records folded after start-up.
        repeats: Repeats, of which the median counts.

    Returns:
        One row for each size, the smallest first.
    """
    return tuple(_measured(*size, count, repeats) for size in SIZES)


def _measured(
    instances: int, pools: int, entries: int, count: int, repeats: int
) -> FoldFigures:
    stream = _started(instances, pools, entries)
    start = stream.state
    _busy(stream, pools, entries, count)
    tail = stream.log.streams[CONTROL_STREAM][start.offset :]
    folds = [_fold(start, tail) for _ in range(repeats)]
    kept = stream.state
    began = perf_counter()
    parts = split(kept, kept.offset, schema_of(FleetState))
    encode_s = perf_counter() - began
    payloads = [encode(part, "entry-0/1") for part in parts]
    for payload in payloads:
        stream.log.append(SNAPSHOT_STREAM, payload)
    _busy(stream, pools, entries, SNAPSHOT_INTERVAL_RECORDS + 1)
    times = []
    for _ in range(repeats):
        stream.log.bytes_read = 0
        began = perf_counter()
        outcome = recover(stream.log, [], now=0.0)
        times.append(perf_counter() - began)
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
        _memory_mb(kept),
    )
