"""Structured logs."""

import logging
import sys
from typing import Any

import structlog

from acaciawing.telemetry.events import Event


def configure_logs(style: str, **context: str) -> None:
    """Sets up structlog for the process.

    Args:
        style: ``json`` or ``console``.
        **context: Values that each line carries, for example ``instance``.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if style == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    _context.update(context)


_context: dict[str, str] = {}


def log_event(event: Event, **values: Any) -> None:
    """Writes one numbered event.

    Args:
        event: Entry of the catalogue.
        **values: Values of the event; must hold no secret.
    """
    structlog.get_logger().info(
        event.text, number=event.number, **_context, **values
    )
