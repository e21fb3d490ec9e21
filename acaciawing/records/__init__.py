"""Typed and versioned records of the platform's log."""

from acaciawing.records.envelope import (
    Envelope,
    LogPosition,
    Malformed,
    decode,
    encode,
    record_type,
    record_type_name,
)

__all__ = [
    "Envelope",
    "LogPosition",
    "Malformed",
    "decode",
    "encode",
    "record_type",
    "record_type_name",
]
