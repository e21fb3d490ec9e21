"""Numbered log events and metrics."""

from acaciawing.telemetry.events import Event
from acaciawing.telemetry.logs import configure_logs, log_event
from acaciawing.telemetry.tally import Tally

__all__ = ["Event", "Tally", "configure_logs", "log_event"]
