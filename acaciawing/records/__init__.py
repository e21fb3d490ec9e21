"""Typed, versioned records of the platform's log."""

from acaciawing.records.envelope import (
    Envelope,
    LogPosition,
    Malformed,
    decode,
    encode,
    name_of,
    record_type,
)

__all__ = [
    "Envelope",
    "LogPosition",
    "Malformed",
    "decode",
    "encode",
    "name_of",
    "record_type",
]
