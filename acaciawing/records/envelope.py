"""Envelope and registry of log record types.

A payload is a JSON object with the members ``type``, ``version``, ``writer``
and ``body``. `decode` returns `Malformed` for a type that this process doesn't
know instead of raising, so that daemons of two releases can read one stream.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from acaciawing.decoding import DECODE_ERRORS

T = TypeVar("T")

_CLASSES: dict[tuple[str, int], type] = {}
_TYPE_KEYS: dict[type, tuple[str, int]] = {}


@dataclass(frozen=True)
class LogPosition:
    """Position of a record in its stream.

    Attributes:
        offset: Offset that the log assigned to the record.
        appended_at: Time of the append on the log's clock, in seconds.
    """

    offset: int
    appended_at: float


@dataclass(frozen=True)
class Envelope:
    """A decoded record and the process that wrote it.

    Attributes:
        writer: ``instance/incarnation`` of the writer.
        record: The typed record.
    """

    writer: str
    record: Any


@dataclass(frozen=True)
class Malformed:
    """A payload that could not be decoded.

    Attributes:
        reason: ``not-json``, ``unknown-type`` or ``invalid-body``.
        detail: What the decoder reported.
    """

    reason: str
    detail: str


class _Wire(msgspec.Struct):
    type: str
    version: int
    writer: str
    body: msgspec.Raw


def record_type(name: str, version: int) -> Callable[[type[T]], type[T]]:
    """Registers a frozen data class as the record type ``name``.

    Args:
        name: Type name in the log, in kebab case.
        version: Version of the body's layout, from 1.

    Returns:
        A class decorator.

    Raises:
        ValueError: If a class is registered for the name and version.
    """

    def register(cls: type[T]) -> type[T]:
        key = (name, version)
        if key in _CLASSES:
            raise ValueError(f"record type {name!r} v{version} exists already")
        _CLASSES[key] = cls
        _TYPE_KEYS[cls] = key
        return cls

    return register


def record_type_name(record: object) -> str:
    """Returns the name of a record's type in the log, in kebab case.

    Raises:
        KeyError: If the class is not registered.
    """
    return _TYPE_KEYS[type(record)][0]


def encode(record: object, writer: str) -> bytes:
    """Encodes a record for the log.

    Args:
        record: An instance of a class registered by `record_type`.
        writer: ``instance/incarnation`` of the writing process.

    Returns:
        The JSON payload.

    Raises:
        KeyError: If the class is not registered.
    """
    name, version = _TYPE_KEYS[type(record)]
    body = msgspec.Raw(msgspec.json.encode(record))
    return msgspec.json.encode(_Wire(name, version, writer, body))


_WIRE_DECODER = msgspec.json.Decoder(_Wire)
_BODY_DECODERS: dict[type, msgspec.json.Decoder[Any]] = {}


def decode(payload: bytes) -> Envelope | Malformed:
    """Decodes a log payload.

    Args:
        payload: Bytes as read from the log.

    Returns:
        The envelope, or `Malformed` with the reason. Never raises on bad
        input.

    >>> decode(b"{").reason
    'not-json'
    >>> decode(b'{"type":"x","version":9,"writer":"a/1","body":{}}').reason
    'unknown-type'
    """
    try:
        wire = _WIRE_DECODER.decode(payload)
    except DECODE_ERRORS as error:
        return Malformed("not-json", str(error))
    cls = _CLASSES.get((wire.type, wire.version))
    if cls is None:
        return Malformed("unknown-type", f"{wire.type} v{wire.version}")
    decoder = _BODY_DECODERS.get(cls)
    if decoder is None:
        decoder = _BODY_DECODERS[cls] = msgspec.json.Decoder(cls)
    try:
        record = decoder.decode(wire.body)
    except (*DECODE_ERRORS, ValueError) as error:
        return Malformed("invalid-body", f"{wire.type}: {error}")
    return Envelope(wire.writer, record)
