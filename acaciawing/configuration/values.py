"""TOML values with their places."""

from dataclasses import dataclass
from typing import Any

from acaciawing.configuration.findings import Place


@dataclass(frozen=True)
class Placed:
    """A value and its place.

    Attributes:
        place: Place of its first character.
        value: A `Table`, a tuple of `Placed` for an array, or a scalar.
    """

    place: Place
    value: Any


@dataclass(frozen=True)
class Entry:
    """A key with its value.

    Attributes:
        key: Name.
        place: Place of the key or of the table header.
        value: The value.
    """

    key: str
    place: Place
    value: Placed


@dataclass(frozen=True)
class Table:
    """A table. A key occurs twice only in a file that tomllib rejects.

    Attributes:
        place: Place of its header or opening brace.
        entries: Keys and values in the order of the file.
        whole: Whether all its statements could be read. If not, a key may be
            absent here although the file has it.
    """

    place: Place
    entries: tuple[Entry, ...] = ()
    whole: bool = True
