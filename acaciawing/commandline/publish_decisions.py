"""Decides the next step of a publish.

Only the control stream decides: a publication takes effect if the fold of the
stream accepts it, whatever the answers to the appends were. Appends are safe
to retry, since all retries have the same base and the fold accepts at most one
publication for each base.
"""

from dataclasses import dataclass, replace
from typing import TypeAlias

from acaciawing.configuration import Configuration
from acaciawing.platform import (
    AppendOutcome,
    LogUnavailable,
    NotAppended,
)

# A log that is up answers in milliseconds; 15 s covers several attempts with
# the client's timeout of 2 s each.
PUBLISH_TIMEOUT_S = 15.0
_INITIAL_PAUSE_S = 0.1

# Pause before a read of a log that does not answer is repeated, in seconds.
_UNAVAILABLE_PAUSE_S = 0.5
_MAX_PAUSE_S = 2.0


@dataclass(frozen=True)
class Publication:
    """A configuration that an operator publishes.

    Attributes:
        publication_id: Unique id, the same for all retries.
        author: Name of the operator.
        configuration: The checked configuration.
        base: Version that the lists were edited from, or None for the version
            in force at the first read.
    """

    publication_id: str
    author: str
    configuration: Configuration
    base: int | None = None


@dataclass(frozen=True)
class OwnRecord:
    """A record in the control stream with the id of this publication.

    Attributes:
        offset: Its offset in the stream.
        accepted: Whether it took effect.
        same_configuration: Whether its configuration is this publication's.
    """

    offset: int
    accepted: bool
    same_configuration: bool


@dataclass(frozen=True)
class ObservedStream:
    """State of the control stream at its head.

    Attributes:
        next_offset: Offset after the last record.
        version: Version in force.
        own_records: Records of this publication.
    """

    next_offset: int
    version: int
    own_records: tuple[OwnRecord, ...] = ()


@dataclass(frozen=True)
class StateExpired:
    """The state cannot be restored: no snapshot covers the dropped records."""

    detail: str


@dataclass(frozen=True)
class Progress:
    """Progress of a publish.

    Attributes:
        started_at: Time of the start, in seconds.
        base: Base version of the appends; None before the first.
        attempts: Number of appends.
        last_append_at: Time of the last append, in seconds.
        unconfirmed: Whether an append may have taken effect.
        detail: Result of the last append, for the operator.
    """

    started_at: float
    base: int | None = None
    attempts: int = 0
    last_append_at: float = 0.0
    unconfirmed: bool = False
    detail: str = ""


@dataclass(frozen=True)
class AppendNow:
    """Append the publication with this base version."""

    based_on: int


@dataclass(frozen=True)
class RetryRead:
    """Read the stream again after a pause in seconds."""

    after_s: float


@dataclass(frozen=True)
class Published:
    """The publication took effect.

    Attributes:
        version: Its version.
        in_force: Version in force now; higher if it was replaced since.
    """

    version: int
    in_force: int


@dataclass(frozen=True)
class LostRace:
    """Another publication replaced the base version; this had no effect.

    Attributes:
        base: Version that this publication is based on.
        in_force: Version in force.
    """

    base: int
    in_force: int


@dataclass(frozen=True)
class IdInUse:
    """An earlier publication has the same id and another configuration."""

    version: int


@dataclass(frozen=True)
class PublishUnfinished:
    """The publish ended before its outcome was known.

    Attributes:
        detail: Last error of the log, or ``interrupted``.
        unconfirmed: Whether the publication may have taken effect. If not,
            nothing was changed.
    """

    detail: str
    unconfirmed: bool


Outcome: TypeAlias = (
    Published | LostRace | IdInUse | PublishUnfinished | StateExpired
)
Decision: TypeAlias = AppendNow | RetryRead | Outcome


def decide(
    publication: Publication,
    progress: Progress,
    observed: ObservedStream | LogUnavailable | StateExpired,
    now: float,
) -> Decision:
    """Decides the next step of a publish.

    Args:
        publication: The configuration to publish.
        progress: The attempts so far.
        observed: Result of the latest read of the control stream.
        now: Time in seconds, on the clock of ``progress``.

    Returns:
        The next step, or the outcome.
    """
    if isinstance(observed, StateExpired):
        if progress.unconfirmed:
            return PublishUnfinished(observed.detail, unconfirmed=True)
        return observed
    timed_out = now - progress.started_at >= PUBLISH_TIMEOUT_S
    if isinstance(observed, LogUnavailable):
        if timed_out:
            return PublishUnfinished(observed.detail, progress.unconfirmed)
        return RetryRead(_UNAVAILABLE_PAUSE_S)
    base = _base_version(publication, progress, observed)
    if observed.own_records:
        return _own_outcome(observed, base)
    if base != observed.version:
        # Also final for an append that is still in flight: its base is never in
        # force again, because versions only increase.
        return LostRace(base, observed.version)
    if timed_out:
        return PublishUnfinished(progress.detail, progress.unconfirmed)
    if progress.attempts == 0:
        return AppendNow(base)
    pause = min(_MAX_PAUSE_S, _INITIAL_PAUSE_S * 2**progress.attempts)
    remaining = progress.last_append_at + pause - now
    return RetryRead(remaining) if remaining > 0 else AppendNow(base)


def after_append(
    progress: Progress, based_on: int, outcome: AppendOutcome, now: float
) -> Progress:
    """Returns the progress after an append that ended at ``now``."""
    rejected = isinstance(outcome, NotAppended)
    return replace(
        progress,
        base=based_on,
        attempts=progress.attempts + 1,
        last_append_at=now,
        unconfirmed=progress.unconfirmed or not rejected,
        detail=getattr(outcome, "detail", "the record is not in the log yet"),
    )


def _base_version(
    publication: Publication, progress: Progress, observed: ObservedStream
) -> int:
    if progress.base is not None:
        return progress.base
    if publication.base is not None:
        return publication.base
    return observed.version


def _own_outcome(observed: ObservedStream, base: int) -> Outcome:
    for record in observed.own_records:
        if record.accepted:
            if not record.same_configuration:
                return IdInUse(record.offset)
            return Published(record.offset, observed.version)
    return LostRace(base, observed.version)
