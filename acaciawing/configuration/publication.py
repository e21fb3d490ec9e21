"""Publication records and the configuration in force.

Of two publications based on the same version, the fold accepts the first. The
other one is reported as a lost race and overwrites nothing.
"""

from dataclasses import dataclass, replace
from functools import singledispatch

from acaciawing.configuration.model import Configuration
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition, record_type

NO_VERSION = -1


@record_type("configuration-published", version=1)
@dataclass(frozen=True)
class ConfigurationPublished:
    """A whole configuration, published by an operator.

    Attributes:
        publication_id: Unique id, the same for all retries of a publication.
        based_on: Version (log offset) that the lists were edited from.
        author: Name of the operator, for the audit.
        configuration: The checked configuration.
    """

    publication_id: str
    based_on: int
    author: str
    configuration: Configuration


@dataclass(frozen=True)
class ConfigurationState:
    """The configuration in force.

    Attributes:
        version: Log offset of the accepted publication, or `NO_VERSION`.
        publication_id: Id of that publication.
        accepted_at: Time of its append on the log's clock, in seconds.
        configuration: Its configuration.
    """

    version: int = NO_VERSION
    publication_id: str = ""
    accepted_at: float = 0.0
    configuration: Configuration = Configuration()


@singledispatch
def apply(
    record: object, state: ConfigurationState, position: LogPosition
) -> tuple[ConfigurationState, RecordOutcome]:
    """Applies a record to the configuration in force.

    Args:
        record: The decoded record.
        state: The state before the record.
        position: Position of the record in the log.

    Returns:
        The state after the record, and the outcome.

    Raises:
        TypeError: If the record type does not concern configuration.
    """
    raise TypeError(type(record).__name__)


@apply.register
def _(
    record: ConfigurationPublished,
    state: ConfigurationState,
    position: LogPosition,
) -> tuple[ConfigurationState, RecordOutcome]:
    if record.publication_id == state.publication_id:
        return state, Ignored("duplicate", "the publication is in force")
    if record.based_on != state.version:
        detail = f"based on {record.based_on}, in force is {state.version}"
        return state, Ignored("lost-race", detail)
    accepted = replace(
        state,
        version=position.offset,
        publication_id=record.publication_id,
        accepted_at=position.appended_at,
        configuration=record.configuration,
    )
    return accepted, Accepted()
