"""Numbered log events and metrics."""

from acaciawing.telemetry.events import Event
from acaciawing.telemetry.logs import configure_logs, log_event

__all__ = ["Event", "configure_logs", "log_event"]
