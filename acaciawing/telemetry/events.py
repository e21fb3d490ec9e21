"""Catalogue of numbered log events.

``docs/events.md`` lists the same events for operators; a test compares the two.
"""

from enum import Enum


class Event(Enum):
    """A log event; the value is its number and its fixed text."""

    ENTRY_STARTED = ("AW1001", "entry instance started")
    ENTRY_READY = ("AW1002", "entry instance ready")
    ENTRY_DRAINING = ("AW1003", "drain begun")
    ENTRY_STOPPED = ("AW1004", "entry instance stopped")
    CONFIGURATION_IN_FORCE = ("AW1101", "configuration in force")
    RECORD_IGNORED = ("AW1102", "log record ignored")
    LOG_UNAVAILABLE = ("AW1103", "log unavailable")
    LOG_AVAILABLE = ("AW1104", "log available again")
    LIST_UNAVAILABLE = ("AW1105", "instance list unavailable")
    CONTROL_DECIDED = ("AW1106", "control decision read back")
    PUBLICATION_ENDED = ("AW1107", "publication through the API ended")
    REQUEST_ROUTED = ("AW2001", "request routed")
    REQUEST_REFUSED = ("AW2002", "request refused")

    @property
    def number(self) -> str:
        """Number in the catalogue, for example ``AW2001``."""
        return self.value[0]

    @property
    def text(self) -> str:
        """Fixed text of the event."""
        return self.value[1]
