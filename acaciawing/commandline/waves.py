"""Starts, stops and resumes maintenance through the log.

Each command appends under a writer of its own, so it recognizes its record when
it reads the stream back, also after a lost answer. A repeated append is
harmless: the fold ignores all but the first.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.commandline.publish_decisions import (
    PUBLISH_LIMIT_S,
    StateExpired,
)
from acaciawing.fold import FleetState, step
from acaciawing.maintenance import WaveRequested, WaveResumed, WaveStopped
from acaciawing.outcomes import Accepted, Verdict
from acaciawing.platform import (
    CONTROL_STREAM,
    Batch,
    Log,
    NotAppended,
    OffsetExpired,
)
from acaciawing.records import encode
from acaciawing.snapshots import NotRecovered, Recovered, recover

_PAUSE_S = 0.5
_BATCH = 500

WAVE_REFUSALS = ("unknown-pool", "wave-active", "wave-stopped", "not-stopped")


@dataclass(frozen=True)
class WaveOrder:
    """What an operator wants.

    Attributes:
        order_id: Unique id of this command.
        pool: Name of the pool.
        action: ``start``, ``stop`` or ``resume``.
        author: Name of the operator.
        at_once: For ``start``: instances out of service at a time, or 0.
        reason: For ``stop``: text for other operators.
    """

    order_id: str
    pool: str
    action: str
    author: str
    at_once: int = 0
    reason: str = ""

    @property
    def writer(self) -> str:
        """Writer of the record."""
        return f"operator-{self.order_id}/0"


@dataclass(frozen=True)
class WaveAccepted:
    """The record took effect."""

    action: str
    pool: str
    offset: int


@dataclass(frozen=True)
class WaveRefused:
    """The state of the pool does not permit it; nothing was appended.

    Attributes:
        code: One of `WAVE_REFUSALS`.
        detail: Text for the operator.
    """

    code: str
    detail: str


@dataclass(frozen=True)
class WaveLost:
    """The fold ignored the record, since the state had changed.

    Attributes:
        reason: Reason of the fold.
        detail: Its detail.
    """

    reason: str
    detail: str


@dataclass(frozen=True)
class WaveUndecided:
    """The log did not answer in time.

    Attributes:
        detail: What it last answered.
        in_doubt: Whether the record may have taken effect.
    """

    detail: str
    unconfirmed: bool


WaveOutcome: TypeAlias = (
    WaveAccepted | WaveRefused | WaveLost | WaveUndecided | StateExpired
)


def run_wave(
    order: WaveOrder,
    log: Log,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
) -> WaveOutcome:
    """Appends the record and waits until its verdict is known.

    Args:
        order: What is wanted.
        log: The log.
        clock: Monotonic clock, in seconds.
        sleep: Waits for some seconds.
    """
    limit = clock() + PUBLISH_LIMIT_S
    state = recover(log, (), clock())
    while not isinstance(state, Recovered):
        if isinstance(state, NotRecovered) and state.reason == "history-lost":
            return StateExpired(state.detail)
        if clock() >= limit:
            return WaveUndecided(state.detail, unconfirmed=False)
        sleep(_PAUSE_S)
        state = recover(log, (), clock())
    record = _record(order, state.state)
    if isinstance(record, WaveRefused):
        return record
    return _append(order, record, log, state.state, clock, sleep, limit)


def _record(order: WaveOrder, state: FleetState) -> object:
    """The record to append, or why there is none."""
    pool, waves = order.pool, state.waves
    stopped = waves.stopped.get(pool)
    if order.action == "resume":
        if stopped is None:
            return WaveRefused("not-stopped", f"pool {pool}")
        return WaveResumed(pool, order.author, stopped)
    if pool not in state.ownership.counts:
        return WaveRefused("unknown-pool", f"no instance is in pool {pool}")
    if stopped is not None or (
        order.action == "start" and waves.is_stopped(pool)
    ):
        return WaveRefused("wave-stopped", f"maintenance of {pool} is stopped")
    if order.action == "stop":
        return WaveStopped(pool, order.author, order.reason)
    if pool in waves.active or pool in waves.requested:
        return WaveRefused("wave-active", f"a wave over {pool} is under way")
    return WaveRequested(pool, order.author, order.at_once)


def _append(
    order: WaveOrder,
    record: object,
    log: Log,
    state: FleetState,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
    limit: float,
) -> WaveOutcome:
    payload = encode(record, order.writer)
    unconfirmed = False
    while True:
        answer = log.append(CONTROL_STREAM, payload)
        unconfirmed = unconfirmed or not isinstance(answer, NotAppended)
        detail = getattr(answer, "detail", "the record is not in the log yet")
        state, verdicts, problem = _read_back(order.writer, log, state)
        for offset, verdict in verdicts:
            if isinstance(verdict, Accepted):
                return WaveAccepted(order.action, order.pool, offset)
        if verdicts:
            ignored = verdicts[0][1]
            assert not isinstance(ignored, Accepted)
            return WaveLost(ignored.reason, ignored.detail)
        if clock() >= limit:
            return WaveUndecided(problem or detail, unconfirmed)
        sleep(_PAUSE_S)


def _read_back(
    writer: str, log: Log, state: FleetState
) -> tuple[FleetState, list[tuple[int, Verdict]], str]:
    """Folds the rest of the stream; returns the verdicts on own records."""
    found: list[tuple[int, Verdict]] = []
    while True:
        batch = log.read(CONTROL_STREAM, state.offset, _BATCH)
        if isinstance(batch, OffsetExpired):
            return state, found, "the log dropped the records in between"
        if not isinstance(batch, Batch):
            return state, found, batch.detail
        for entry in batch.entries:
            folded = step(state, entry.payload, entry.position)
            state = folded.state
            if folded.writer == writer:
                found.append((entry.position.offset, folded.verdict))
        if not batch.entries or batch.next_offset >= batch.head_offset:
            return state, found, ""
