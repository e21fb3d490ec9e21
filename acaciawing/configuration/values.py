"""TOML values with their places."""

from dataclasses import dataclass
from typing import Any

from acaciawing.configuration.findings import Place


@dataclass(frozen=True)
class TomlValue:
    """A value and its place in the file.

    Attributes:
        place: Place of its first character.
        value: A `Table`, a tuple of `TomlValue` for an array, or a scalar.
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
    value: TomlValue


@dataclass(frozen=True)
class Table:
    """A table; a key occurs more than once only in an invalid file.

    Attributes:
        place: Place of its header or opening brace.
        entries: Keys and values in the order of the file.
        complete: Whether all its statements could be read. If not, the file may
            have keys that are missing here.
    """

    place: Place
    entries: tuple[Entry, ...] = ()
    complete: bool = True
