"""Publishes a configuration by reading and appending to the log."""

from collections.abc import Callable
from typing import TypeAlias

from acaciawing.commandline.publish_decisions import (
    AppendNow,
    ObservedStream,
    Outcome,
    OwnRecord,
    Progress,
    Publication,
    RetryRead,
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

_BATCH_RECORDS = 500
_WRITER = "operator/0"

ReadResult: TypeAlias = ObservedStream | LogUnavailable | StateExpired


class ControlReader:
    """Reads the control stream for one publication.

    The version in force comes from the fold, which starts from a snapshot if
    the log has dropped its first records. Each accepted publication contains
    the version that it replaced, so the accepted ones form a chain that ends
    at the version in force. An older publication was accepted if it is in
    that chain.

    Args:
        log: The log.
        publication: Its records are searched for in the stream.
    """

    def __init__(self, log: Log, publication: Publication) -> None:
        """Creates the reader; the first `read` contacts the log."""
        self._log = log
        self._publication = publication
        self._state: FleetState | None = None
        self._next_offset = 0
        # Base version of each publication that is still in the log, by offset.
        self._base_versions: dict[int, int] = {}
        # Whether an own record has the same configuration, by offset.
        self._own_records: dict[int, bool] = {}

    def read(self) -> ReadResult:
        """Reads up to the head of the stream."""
        while True:
            state = self._recover() if self._state is None else self._state
            if not isinstance(state, FleetState):
                return state
            self._state = state
            batch = self._log.read(
                CONTROL_STREAM, self._next_offset, _BATCH_RECORDS
            )
            if isinstance(batch, LogUnavailable):
                return batch
            if isinstance(batch, OffsetExpired):
                self._skip_expired(batch.first_offset, state)
                continue
            for entry in batch.entries:
                state = self._apply(entry, state)
            self._state, self._next_offset = state, batch.next_offset
            if not batch.entries or batch.next_offset >= batch.head_offset:
                return self._observe(state)

    def _recover(self) -> FleetState | LogUnavailable | StateExpired:
        recovery = recover(self._log, (), 0.0)
        if isinstance(recovery, Recovered):
            return recovery.state
        if isinstance(recovery, NotRecovered) and (
            recovery.reason == "history-lost"
        ):
            return StateExpired(recovery.detail)
        return LogUnavailable(recovery.detail)

    def _skip_expired(self, first_offset: int, state: FleetState) -> None:
        """Continues after the records that the log has dropped.

        A state that does not cover them is recovered from a snapshot.
        """
        self._next_offset = first_offset
        if state.offset < first_offset:
            self._state = None

    def _apply(self, entry: LogEntry, state: FleetState) -> FleetState:
        offset = entry.position.offset
        envelope = decode(entry.payload)
        if isinstance(envelope, Envelope):
            record, publication = envelope.record, self._publication
            if isinstance(record, ConfigurationPublished):
                self._base_versions[offset] = record.based_on
                if record.publication_id == publication.publication_id:
                    same = record.configuration == publication.configuration
                    self._own_records[offset] = same
        return step(state, entry.payload, entry.position).state

    def _observe(self, state: FleetState) -> ObservedStream:
        version = state.configuration.version
        if (
            state.configuration.publication_id
            == self._publication.publication_id
        ):
            # The log may have dropped the record itself.
            in_force = state.configuration.configuration
            self._own_records[version] = (
                in_force == self._publication.configuration
            )
        accepted = {version}
        while version in self._base_versions:
            accepted.add(version)
            version = self._base_versions[version]
        own_records = tuple(
            OwnRecord(offset, offset in accepted, same)
            for offset, same in self._own_records.items()
        )
        return ObservedStream(
            state.offset, state.configuration.version, own_records
        )


def run_publish(
    publication: Publication,
    log: Log,
    clock: Callable[[], float],
    sleep: Callable[[float], None],
) -> Outcome:
    """Publishes and waits for the outcome, at most `PUBLISH_TIMEOUT_S`.

    Args:
        publication: The configuration to publish.
        log: The log.
        clock: Monotonic clock, in seconds.
        sleep: Blocks for a time in seconds.
    """
    reader = ControlReader(log, publication)
    progress = Progress(clock())
    while True:
        decision = decide(publication, progress, reader.read(), clock())
        if isinstance(decision, RetryRead):
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
