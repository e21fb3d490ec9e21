"""Runs a publish against the log."""

from collections.abc import Callable
from typing import TypeAlias

from acaciawing.commandline.publishing import (
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
from acaciawing.fold import FleetState, Step, step
from acaciawing.platform import (
    CONTROL_STREAM,
    Batch,
    Expired,
    Log,
    LogUnavailable,
)
from acaciawing.records import encode

_BATCH = 500
_WRITER = "operator/0"

Reading: TypeAlias = Seen | LogUnavailable | StateExpired


class ControlReader:
    """Follows the control stream for one publication.

    Args:
        log: The log.
        publication: The publication whose records are looked for.
    """

    def __init__(self, log: Log, publication: Publication) -> None:
        """Starts at the beginning of the stream."""
        self._log = log
        self._publication = publication
        self._state = FleetState()
        self._own: tuple[OwnRecord, ...] = ()

    def read(self) -> Reading:
        """Reads to the head of the stream."""
        while True:
            batch = self._log.read(CONTROL_STREAM, self._state.offset, _BATCH)
            if isinstance(batch, LogUnavailable):
                return batch
            if isinstance(batch, Expired):
                return StateExpired(batch.first_offset)
            self._fold(batch)
            if not batch.entries or batch.next_offset >= batch.head_offset:
                version = self._state.configuration.version
                return Seen(self._state.offset, version, self._own)

    def _fold(self, batch: Batch) -> None:
        for entry in batch.entries:
            result = step(self._state, entry.payload, entry.position)
            self._state = result.state
            self._note(result, entry.position.offset)

    def _note(self, result: Step, offset: int) -> None:
        record, publication = result.record, self._publication
        if (
            isinstance(record, ConfigurationPublished)
            and record.publication_id == publication.publication_id
        ):
            same = record.configuration == publication.configuration
            self._own += (OwnRecord(offset, result.verdict, same),)


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
