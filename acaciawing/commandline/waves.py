"""Starts, stops and resumes maintenance by appending to the log.

Each command appends with a unique writer, so it recognizes its record when it
reads the stream back, even if the answer to the append was lost. Appends are
safe to retry: the fold ignores all but the first.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from acaciawing.commandline.publish_decisions import (
    PUBLISH_TIMEOUT_S,
    StateExpired,
)
from acaciawing.fold import FleetState, step
from acaciawing.maintenance import WaveRequested, WaveResumed, WaveStopped
from acaciawing.outcomes import Accepted, RecordOutcome
from acaciawing.platform import (
    CONTROL_STREAM,
    Batch,
    Log,
    NotAppended,
    OffsetExpired,
)
from acaciawing.records import encode
from acaciawing.snapshots import NotRecovered, Recovered, recover

_RETRY_PAUSE_S = 0.5
_BATCH_RECORDS = 500

WAVE_REFUSALS = ("unknown-pool", "wave-active", "wave-stopped", "not-stopped")


@dataclass(frozen=True)
class WaveCommand:
    """A maintenance command of an operator.

    Attributes:
        command_id: Unique id of this command.
        pool: Name of the pool.
        action: ``start``, ``stop`` or ``resume``.
        author: Name of the operator.
        at_once: For ``start``: maximum of instances out of service at a time,
            or 0 for the pool's usual limit.
        reason: For ``stop``: text for other operators.
    """

    command_id: str
    pool: str
    action: str
    author: str
    at_once: int = 0
    reason: str = ""

    @property
    def writer(self) -> str:
        """Writer id of the command's record."""
        return f"operator-{self.command_id}/0"


@dataclass(frozen=True)
class WaveAccepted:
    """The record took effect."""

    action: str
    pool: str
    offset: int


@dataclass(frozen=True)
class WaveRefused:
    """The state of the pool does not permit the command; nothing is appended.

    Attributes:
        code: One of `WAVE_REFUSALS`.
        detail: Text for the operator.
    """

    code: str
    detail: str


@dataclass(frozen=True)
class WaveLostRace:
    """The fold ignored the record, since the state had changed.

    Attributes:
        reason: Code of the fold's reason.
        detail: Text of the reason.
    """

    reason: str
    detail: str


@dataclass(frozen=True)
class WaveUnfinished:
    """The command ended before its outcome was known.

    Attributes:
        detail: Last error of the log, or ``interrupted``.
        unconfirmed: Whether the record may have taken effect.
    """

    detail: str
    unconfirmed: bool


WaveOutcome: TypeAlias = (
    WaveAccepted | WaveRefused | WaveLostRace | WaveUnfinished | StateExpired
)


def run_wave(
    command: WaveCommand,
    log: Log,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
) -> WaveOutcome:
    """Appends the record and waits for its outcome.

    Args:
        command: The command.
        log: The log.
        clock: Monotonic clock, in seconds.
        sleep: Blocks for a time in seconds.
    """
    deadline = clock() + PUBLISH_TIMEOUT_S
    state = recover(log, (), clock())
    while not isinstance(state, Recovered):
        if isinstance(state, NotRecovered) and state.reason == "history-lost":
            return StateExpired(state.detail)
        if clock() >= deadline:
            return WaveUnfinished(state.detail, unconfirmed=False)
        sleep(_RETRY_PAUSE_S)
        state = recover(log, (), clock())
    record = _choose_record(command, state.state)
    if isinstance(record, WaveRefused):
        return record
    return _append_and_confirm(
        command, record, log, state.state, clock, sleep, deadline
    )


def _choose_record(command: WaveCommand, state: FleetState) -> object:
    """Returns the record to append, or the refusal."""
    pool, waves = command.pool, state.waves
    stopped = waves.stopped.get(pool)
    if command.action == "resume":
        if stopped is None:
            return WaveRefused("not-stopped", f"pool {pool}")
        return WaveResumed(pool, command.author, stopped)
    if pool not in state.ownership.counts:
        return WaveRefused("unknown-pool", f"no instance is in pool {pool}")
    if stopped is not None or (
        command.action == "start" and waves.is_stopped(pool)
    ):
        return WaveRefused("wave-stopped", f"maintenance of {pool} is stopped")
    if command.action == "stop":
        return WaveStopped(pool, command.author, command.reason)
    if pool in waves.active or pool in waves.requested:
        return WaveRefused("wave-active", f"a wave over {pool} is under way")
    return WaveRequested(pool, command.author, command.at_once)


def _append_and_confirm(
    command: WaveCommand,
    record: object,
    log: Log,
    state: FleetState,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
    deadline: float,
) -> WaveOutcome:
    payload = encode(record, command.writer)
    unconfirmed = False
    while True:
        answer = log.append(CONTROL_STREAM, payload)
        unconfirmed = unconfirmed or not isinstance(answer, NotAppended)
        detail = getattr(answer, "detail", "the record is not in the log yet")
        state, outcomes, failure = _read_back(command.writer, log, state)
        for offset, outcome in outcomes:
            if isinstance(outcome, Accepted):
                return WaveAccepted(command.action, command.pool, offset)
        if outcomes:
            ignored = outcomes[0][1]
            assert not isinstance(ignored, Accepted)
            return WaveLostRace(ignored.reason, ignored.detail)
        if clock() >= deadline:
            return WaveUnfinished(failure or detail, unconfirmed)
        sleep(_RETRY_PAUSE_S)


def _read_back(
    writer: str, log: Log, state: FleetState
) -> tuple[FleetState, list[tuple[int, RecordOutcome]], str]:
    """Applies the rest of the stream and collects the writer's outcomes.

    Returns:
        The new state, offset and outcome of each record of the writer, and the
        error if the stream could not be read to its head.
    """
    outcomes: list[tuple[int, RecordOutcome]] = []
    while True:
        batch = log.read(CONTROL_STREAM, state.offset, _BATCH_RECORDS)
        if isinstance(batch, OffsetExpired):
            return state, outcomes, "the log dropped the records in between"
        if not isinstance(batch, Batch):
            return state, outcomes, batch.detail
        for entry in batch.entries:
            folded = step(state, entry.payload, entry.position)
            state = folded.state
            if folded.writer == writer:
                outcomes.append((entry.position.offset, folded.outcome))
        if not batch.entries or batch.next_offset >= batch.head_offset:
            return state, outcomes, ""
