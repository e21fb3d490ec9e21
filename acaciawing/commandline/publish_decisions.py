"""Decision of what a publish does next.

The control stream is the only authority: a publication is in force when the
fold of the stream accepted it, whatever the answers to the appends were. An
append may be repeated, since every repeat names the same base and the fold
accepts at most one publication for a base.
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
# the client's time limit of 2 s each.
PUBLISH_LIMIT_S = 15.0
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 2.0


@dataclass(frozen=True)
class Publication:
    """What an operator wants to be in force.

    Attributes:
        publication_id: Unique id, kept over retries.
        author: Name of the operator.
        configuration: The checked document.
        base: Version that the operator started from, or None for the one in
            force at the first read.
    """

    publication_id: str
    author: str
    configuration: Configuration
    base: int | None = None


@dataclass(frozen=True)
class OwnRecord:
    """A record in the control stream with the id of this publication.

    Attributes:
        offset: Its place.
        accepted: Whether it took effect.
        same_document: Whether it holds this publication's configuration.
    """

    offset: int
    accepted: bool
    same_document: bool


@dataclass(frozen=True)
class Seen:
    """What the control stream says up to its head.

    Attributes:
        next_offset: Offset after the last record.
        version: Version in force.
        own: Records of this publication.
    """

    next_offset: int
    version: int
    own: tuple[OwnRecord, ...] = ()


@dataclass(frozen=True)
class StateExpired:
    """Neither the log nor a snapshot holds what the state follows from."""

    detail: str


@dataclass(frozen=True)
class Progress:
    """What was tried so far.

    Attributes:
        started_at: Time of the start, in seconds.
        base: Version named by the appends; None before the first.
        attempts: Number of appends.
        last_at: Time of the last append, in seconds.
        in_doubt: Whether an append may have taken effect.
        detail: What the log last answered.
    """

    started_at: float
    base: int | None = None
    attempts: int = 0
    last_at: float = 0.0
    unconfirmed: bool = False
    detail: str = ""


@dataclass(frozen=True)
class AppendNow:
    """Append the publication, based on the given version."""

    based_on: int


@dataclass(frozen=True)
class ReadAgain:
    """Read the stream again after a pause, in seconds."""

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
    """Another publication came first; this one changed nothing.

    Attributes:
        base: Version that this publication is based on.
        in_force: Version in force.
    """

    base: int
    in_force: int


@dataclass(frozen=True)
class IdInUse:
    """The id belongs to a publication of another document."""

    version: int


@dataclass(frozen=True)
class PublishUnfinished:
    """The log did not answer in time.

    Attributes:
        detail: What it last answered.
        in_doubt: Whether the publication may have taken effect. If not,
            nothing was changed.
    """

    detail: str
    unconfirmed: bool


Outcome: TypeAlias = (
    Published | LostRace | IdInUse | PublishUnfinished | StateExpired
)
Decision: TypeAlias = AppendNow | ReadAgain | Outcome


def decide(
    publication: Publication,
    progress: Progress,
    seen: Seen | LogUnavailable | StateExpired,
    now: float,
) -> Decision:
    """Decides the next step of a publish.

    Args:
        publication: What is to be published.
        progress: What was tried so far.
        seen: Result of reading the control stream just now.
        now: Time in seconds, on the clock of ``progress``.

    Returns:
        The next step, or the outcome.
    """
    if isinstance(seen, StateExpired):
        if progress.unconfirmed:
            return PublishUnfinished(seen.detail, unconfirmed=True)
        return seen
    late = now - progress.started_at >= PUBLISH_LIMIT_S
    if isinstance(seen, LogUnavailable):
        if late:
            return PublishUnfinished(seen.detail, progress.unconfirmed)
        return ReadAgain(_FIRST_PAUSE_S * 5)
    base = _base(publication, progress, seen)
    if seen.own:
        return _judge(seen, base)
    if base != seen.version:
        # Also final for an append still under way: its base never comes back
        # into force, because versions only grow.
        return LostRace(base, seen.version)
    if late:
        return PublishUnfinished(progress.detail, progress.unconfirmed)
    if progress.attempts == 0:
        return AppendNow(base)
    pause = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**progress.attempts)
    remaining = progress.last_at + pause - now
    return ReadAgain(remaining) if remaining > 0 else AppendNow(base)


def after_append(
    progress: Progress, based_on: int, outcome: AppendOutcome, now: float
) -> Progress:
    """Returns the progress after an append that ended at ``now``."""
    safe = isinstance(outcome, NotAppended)
    return replace(
        progress,
        base=based_on,
        attempts=progress.attempts + 1,
        last_at=now,
        unconfirmed=progress.unconfirmed or not safe,
        detail=getattr(outcome, "detail", "the record is not in the log yet"),
    )


def _base(publication: Publication, progress: Progress, seen: Seen) -> int:
    if progress.base is not None:
        return progress.base
    if publication.base is not None:
        return publication.base
    return seen.version


def _judge(seen: Seen, base: int) -> Outcome:
    for own in seen.own:
        if own.accepted:
            if not own.same_document:
                return IdInUse(own.offset)
            return Published(own.offset, seen.version)
    return LostRace(base, seen.version)
