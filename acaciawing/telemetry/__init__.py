"""Numbered log events and metrics."""

from acaciawing.telemetry.events import Event
from acaciawing.telemetry.logs import configure_logs, log_event
from acaciawing.telemetry.metrics import (
    COUNTERS,
    GAUGES,
    LABELS,
    Metrics,
    Reading,
)
from acaciawing.telemetry.tally import Tally

__all__ = [
    "COUNTERS",
    "GAUGES",
    "LABELS",
    "Event",
    "Metrics",
    "Reading",
    "Tally",
    "configure_logs",
    "log_event",
]
