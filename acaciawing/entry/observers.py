"""Tasks that read the control stream and the instance list."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from acaciawing.fold import FleetState, Step, step
from acaciawing.platform import (
    CONTROL_STREAM,
    Batch,
    InstanceList,
    ListUnavailable,
    Log,
    LogUnavailable,
    OffsetExpired,
)
from acaciawing.platform import Listing as PlatformListing
from acaciawing.snapshots import NotRecovered, Recovered, recover

# A configuration must be in force within 2 s while the log is available; a read
# each 0.5 s leaves time for one failed read.
LOG_POLL_INTERVAL_S = 0.5
LIST_POLL_INTERVAL_S = 1.0
_MAX_BATCH_RECORDS = 500


@dataclass(frozen=True)
class ReadResult:
    """Result of reading the control stream up to its end.

    Attributes:
        state: State after the records read.
        steps: Result of folding each record read.
        caught_up: Whether the end of the stream was reached.
        error: Error that stopped the reading, or an empty string.
        expired: Whether the stream no longer has the next record.
        from_peer: Whether the state is from a peer, read while the log was
            unavailable.
    """

    state: FleetState
    steps: tuple[Step, ...]
    caught_up: bool
    error: str = ""
    expired: bool = False
    from_peer: bool = False


def catch_up(log: Log, state: FleetState) -> ReadResult:
    """Folds all records of the control stream after a state.

    Args:
        log: The platform's log.
        state: State to continue from.

    Returns:
        The result; ``error`` is set if the log is unavailable.
    """
    steps: list[Step] = []
    while True:
        batch = log.read(CONTROL_STREAM, state.offset, _MAX_BATCH_RECORDS)
        if isinstance(batch, LogUnavailable):
            return ReadResult(state, tuple(steps), False, batch.detail)
        if isinstance(batch, OffsetExpired):
            detail = f"oldest offset is {batch.first_offset}"
            return ReadResult(state, tuple(steps), False, detail, expired=True)
        state = _fold_batch(state, batch, steps)
        if batch.next_offset >= batch.head_offset:
            return ReadResult(state, tuple(steps), True)


def _fold_batch(
    state: FleetState, batch: Batch, steps: list[Step]
) -> FleetState:
    for entry in batch.entries:
        result = step(state, entry.payload, entry.position)
        steps.append(result)
        state = result.state
    return state


class LogObserver(threading.Thread):
    """Owns the fold: recovers its state, then publishes each new one.

    Args:
        log: The platform's log.
        peer_states: Requests the states of peers; called while the log is
            unavailable.
        publish: Receives the result of each read.
        on_replay: Receives each step of a recovery; the result of a recovery
            contains none.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        log: Log,
        peer_states: Callable[[], Iterable[FleetState]],
        publish: Callable[[ReadResult], None],
        on_replay: Callable[[Step], None] = lambda step: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Stores the arguments; `start` begins to read."""
        super().__init__(name="log-observer", daemon=True)
        self._log = log
        self._peer_states = peer_states
        self._publish = publish
        self._on_replay = on_replay
        self._clock = clock
        self._state: FleetState | None = None
        self._peer_is_ahead = threading.Event()
        self._wake = threading.Event()
        self._stopping = False

    def read_now(self) -> None:
        """Triggers a read of the log, for example after an append."""
        self._wake.set()

    def mark_peer_ahead(self) -> None:
        """Records that a peer has a newer configuration in force."""
        self._peer_is_ahead.set()
        self._wake.set()

    def stop(self) -> None:
        """Ends the task."""
        self._stopping = True
        self._wake.set()

    def run(self) -> None:
        """Reads until stopped."""
        while not self._stopping:
            result = self._read()
            if result is not None:
                self._state = result.state
                self._publish(result)
            self._wake.wait(LOG_POLL_INTERVAL_S)
            self._wake.clear()

    def _read(self) -> ReadResult | None:
        if self._state is None:
            return self._recover("")
        result = catch_up(self._log, self._state)
        if result.expired:
            return self._recover(result.error)
        if result.error and self._peer_is_ahead.is_set():
            return self._recover(result.error)
        self._peer_is_ahead.clear()
        return result

    def _recover(self, error: str) -> ReadResult | None:
        """Recovers the newest state available, never an older one."""
        outcome = recover(
            self._log, (), self._clock(), self._state, self._on_replay
        )
        if not isinstance(outcome, Recovered):
            self._peer_is_ahead.clear()
            outcome = recover(
                self._log,
                self._peer_states(),
                self._clock(),
                self._state,
                self._on_replay,
            )
        if isinstance(outcome, NotRecovered):
            return ReadResult(
                self._state or FleetState(), (), False, outcome.detail
            )
        if isinstance(outcome, Recovered):
            return ReadResult(outcome.state, (), True)
        return ReadResult(
            outcome.state, (), False, outcome.detail, from_peer=True
        )


class ListObserver(threading.Thread):
    """Reads the instance list each second.

    Args:
        instances: Client of the list.
        publish: Receives each answer.
    """

    def __init__(
        self,
        instances: InstanceList,
        publish: Callable[[PlatformListing | ListUnavailable], None],
    ) -> None:
        """Stores the arguments; `start` begins to read."""
        super().__init__(name="list-observer", daemon=True)
        self._instances = instances
        self._publish = publish
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Ends the task."""
        self._stopping.set()

    def run(self) -> None:
        """Reads until stopped."""
        while not self._stopping.is_set():
            self._publish(self._instances.fetch())
            self._stopping.wait(LIST_POLL_INTERVAL_S)
