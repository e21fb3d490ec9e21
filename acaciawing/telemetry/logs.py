"""Structured logs."""

import logging
import sys
from collections.abc import Mapping
from typing import Any, TextIO, cast

import msgspec
import structlog

from acaciawing.telemetry.events import Event
from acaciawing.telemetry.stream import BoundedStream

_context: dict[str, str] = {}
_encoder = msgspec.json.Encoder(enc_hook=str)


def configure_logs(
    style: str, stream: TextIO | BoundedStream | None = None, **context: str
) -> None:
    """Sets up structlog for the process.

    Args:
        style: ``json`` or ``console``.
        stream: Destination of the lines; standard error by default.
        **context: Values that are added to each line, for example ``entry``.
    """
    renderer: Any = structlog.processors.JSONRenderer(serializer=_serialize)
    if style == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(
            file=cast(TextIO, stream or sys.stderr)
        ),
        cache_logger_on_first_use=False,
    )
    _context.clear()
    _context.update(context)
    global _logger
    _logger = structlog.get_logger().bind()


def _serialize(values: Any, **_: Any) -> str:
    return _encoder.encode(values).decode()


_logger: Any = structlog.get_logger()


def log_event(event: Event, values: Mapping[str, object]) -> None:
    """Writes one numbered event.

    Args:
        event: The event.
        values: Values of the event; must not contain secrets. A value
            replaces a context value of the same name.
    """
    _logger.info(event.text, **{**_context, **values, "number": event.number})
