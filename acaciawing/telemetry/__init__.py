"""Numbered log events and metrics."""

from acaciawing.telemetry.events import Event
from acaciawing.telemetry.labelled_counter import LabelledCounter
from acaciawing.telemetry.logs import configure_logs, log_event
from acaciawing.telemetry.metrics import (
    COUNTERS,
    GAUGES,
    LABELS,
    Metrics,
    MetricValues,
)

__all__ = [
    "COUNTERS",
    "Event",
    "GAUGES",
    "LABELS",
    "LabelledCounter",
    "MetricValues",
    "Metrics",
    "configure_logs",
    "log_event",
]
