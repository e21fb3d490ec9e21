"""Runs a publish against the log."""

from collections.abc import Callable
from typing import TypeAlias

from acaciawing.commandline.publish_decisions import (
    AppendNow,
    Outcome,
    OwnRecord,
    Progress,
    Publication,
    ReadAgain,
    Seen,
    StateExpired,
    after_append,
    decide,
)
from acaciawing.configuration import ConfigurationPublished
from acaciawing.fold import FleetState, step
from acaciawing.platform import (
    CONTROL_STREAM,
    Log,
    LogEntry,
    LogUnavailable,
    OffsetExpired,
)
from acaciawing.records import Envelope, decode, encode
from acaciawing.snapshots import NotRecovered, Recovered, recover

_BATCH = 500
_WRITER = "operator/0"

Reading: TypeAlias = Seen | LogUnavailable | StateExpired


class ControlReader:
    """Follows the control stream for one publication.

    The version in force comes from the fold, which starts from a snapshot if
    the log has dropped its first records. Whether an older publication was
    accepted follows from the records themselves: each accepted one names the
    version that it replaced, so the accepted ones form a chain that ends at
    the version in force.

    Args:
        log: The log.
        publication: The publication whose records are looked for.
    """

    def __init__(self, log: Log, publication: Publication) -> None:
        """Reads nothing yet."""
        self._log = log
        self._publication = publication
        self._state: FleetState | None = None
        self._next = 0
        # Base of each publication that the log still has, by offset.
        self._bases: dict[int, int] = {}
        # Offsets of own records, and whether they hold the same document.
        self._own: dict[int, bool] = {}

    def read(self) -> Reading:
        """Reads to the head of the stream."""
        while True:
            state = self._recover() if self._state is None else self._state
            if not isinstance(state, FleetState):
                return state
            self._state = state
            batch = self._log.read(CONTROL_STREAM, self._next, _BATCH)
            if isinstance(batch, LogUnavailable):
                return batch
            if isinstance(batch, OffsetExpired):
                self._skip(batch.first_offset, state)
                continue
            for entry in batch.entries:
                state = self._apply(entry, state)
            self._state, self._next = state, batch.next_offset
            if not batch.entries or batch.next_offset >= batch.head_offset:
                return self._seen(state)

    def _recover(self) -> FleetState | LogUnavailable | StateExpired:
        recovery = recover(self._log, (), 0.0)
        if isinstance(recovery, Recovered):
            return recovery.state
        if isinstance(recovery, NotRecovered) and (
            recovery.reason == "history-lost"
        ):
            return StateExpired(recovery.detail)
        return LogUnavailable(recovery.detail)

    def _skip(self, first_offset: int, state: FleetState) -> None:
        """Goes on after records that the log has dropped."""
        self._next = first_offset
        if state.offset < first_offset:
            self._state = None

    def _apply(self, entry: LogEntry, state: FleetState) -> FleetState:
        offset = entry.position.offset
        envelope = decode(entry.payload)
        if isinstance(envelope, Envelope):
            record, ours = envelope.record, self._publication
            if isinstance(record, ConfigurationPublished):
                self._bases[offset] = record.based_on
                if record.publication_id == ours.publication_id:
                    same = record.configuration == ours.configuration
                    self._own[offset] = same
        return step(state, entry.payload, entry.position).state

    def _seen(self, state: FleetState) -> Seen:
        version = state.configuration.version
        if (
            state.configuration.publication_id
            == self._publication.publication_id
        ):
            # The record itself may have been dropped by the log.
            document = state.configuration.configuration
            self._own[version] = document == self._publication.configuration
        accepted = {version}
        while version in self._bases:
            accepted.add(version)
            version = self._bases[version]
        own = tuple(
            OwnRecord(offset, offset in accepted, same)
            for offset, same in self._own.items()
        )
        return Seen(state.offset, state.configuration.version, own)


def run_publish(
    publication: Publication,
    log: Log,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
) -> Outcome:
    """Publishes and waits until the outcome is known or the log is away.

    Args:
        publication: What is to be published.
        log: The log.
        clock: Monotonic clock, in seconds.
        sleep: Waits for some seconds.
    """
    reader = ControlReader(log, publication)
    progress = Progress(clock())
    while True:
        decision = decide(publication, progress, reader.read(), clock())
        if isinstance(decision, ReadAgain):
            sleep(decision.after_s)
        elif isinstance(decision, AppendNow):
            record = ConfigurationPublished(
                publication.publication_id,
                decision.based_on,
                publication.author,
                publication.configuration,
            )
            answer = log.append(CONTROL_STREAM, encode(record, _WRITER))
            progress = after_append(
                progress, decision.based_on, answer, clock()
            )
        else:
            return decision
