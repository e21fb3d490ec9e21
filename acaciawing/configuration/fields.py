"""Typed reading of the keys of a table."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from acaciawing.configuration.findings import Code, Finding, Findings, Place
from acaciawing.configuration.units import parse_duration, parse_rate
from acaciawing.configuration.values import Placed, Table

# Bounds of numbers. They are far above the target size and keep every value
# within what JSON numbers carry exactly.
MAXIMUM_COUNT = 1_000_000
MAXIMUM_RATE_PER_S = 1e6
MAXIMUM_DURATION_S = 366 * 86400.0

# Names are path segments and metric labels.
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True)
class Rejected:
    """A value that could not be used.

    Attributes:
        findings: Its faults.
        usable: The part that can be checked further, or None.
    """

    findings: Findings
    usable: Any = None


Parsed: TypeAlias = Any | Rejected
Parser: TypeAlias = Callable[[Placed], Parsed]


@dataclass(frozen=True)
class Key:
    """A key that a table may have.

    Attributes:
        name: The key.
        parse: Reads its value.
        required: Whether the key must be there.
    """

    name: str
    parse: Parser
    required: bool = True


@dataclass(frozen=True)
class Fields:
    """The readable values of a table.

    Attributes:
        place: Place of the table.
        values: Values by key; holds no default values.
        places: Places of the values by key.
        findings: Faults of the table.
        complete: Whether every value was readable and none is missing.
    """

    place: Place
    values: dict[str, Any] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)
    findings: Findings = ()
    complete: bool = False


def rejected(place: Place, code: Code, text: str) -> Rejected:
    """Makes a rejection with one finding."""
    return Rejected((Finding(place, code, text),))


def read_fields(table: Table, keys: tuple[Key, ...], title: str) -> Fields:
    """Reads the keys of a table.

    Missing keys of a table that could not be read whole are not reported,
    since they may stand in the unreadable part.

    Args:
        table: The table.
        keys: Keys that it may have.
        title: What the table describes, for the findings.
    """
    known = {key.name: key for key in keys}
    values: dict[str, Any] = {}
    places: dict[str, Place] = {}
    findings: list[Finding] = []
    present = set()
    for entry in table.entries:
        key = known.get(entry.key)
        if key is None:
            text = f"{title} has no key {entry.key[:40]!r}"
            findings.append(Finding(entry.place, Code.UNKNOWN_KEY, text))
            continue
        present.add(entry.key)
        value = key.parse(entry.value)
        if isinstance(value, Rejected):
            findings.extend(value.findings)
            value = value.usable
        if value is not None and entry.key not in values:
            values[entry.key] = value
            places[entry.key] = entry.value.place
    missing = [k.name for k in keys if k.required and k.name not in present]
    if table.whole:
        findings.extend(
            Finding(table.place, Code.MISSING_KEY, f"{title} needs {name!r}")
            for name in missing
        )
    complete = not findings and not missing
    return Fields(table.place, values, places, tuple(findings), complete)


def _wrong_type(placed: Placed, wanted: str) -> Rejected:
    text = f"{wanted} is needed, this is {_kind(placed.value)}"
    return rejected(placed.place, Code.WRONG_TYPE, text)


def _kind(value: Any) -> str:
    kinds = {
        bool: "a boolean",
        int: "an integer",
        float: "a float",
        str: "a string",
        tuple: "an array",
        Table: "a table",
    }
    return kinds.get(type(value), "a date or time")


def table(placed: Placed) -> Parsed:
    """Reads a table."""
    if isinstance(placed.value, Table):
        return placed.value
    return _wrong_type(placed, "a table")


def array(placed: Placed) -> Parsed:
    """Reads an array as a tuple of `Placed`."""
    if isinstance(placed.value, tuple):
        return placed.value
    return _wrong_type(placed, "an array")


def array_of(parse: Parser) -> Parser:
    """Returns a parser of arrays whose elements all differ.

    The parser returns a tuple of `Placed`, so that a later finding can name
    the place of an element.
    """

    def parse_array(placed: Placed) -> Parsed:
        if not isinstance(placed.value, tuple):
            return _wrong_type(placed, "an array")
        findings: list[Finding] = []
        values: dict[Any, Placed] = {}
        for element in placed.value:
            value = parse(element)
            if isinstance(value, Rejected):
                findings.extend(value.findings)
            elif value in values:
                text = f"{value!r} occurs twice in the array"
                findings.append(
                    Finding(element.place, Code.DUPLICATE_NAME, text)
                )
            else:
                values[value] = Placed(element.place, value)
        read = tuple(values.values())
        return Rejected(tuple(findings), read or None) if findings else read

    return parse_array


def text(placed: Placed) -> Parsed:
    """Reads a string that is not empty; the value is never reported."""
    if not isinstance(placed.value, str):
        return _wrong_type(placed, "a string")
    if not placed.value.strip():
        return rejected(placed.place, Code.OUT_OF_RANGE, "the string is empty")
    return placed.value


def boolean(placed: Placed) -> Parsed:
    """Reads ``true`` or ``false``."""
    if isinstance(placed.value, bool):
        return placed.value
    return _wrong_type(placed, "true or false")


def name(placed: Placed) -> Parsed:
    """Reads a name."""
    if not isinstance(placed.value, str):
        return _wrong_type(placed, "a name in quotes")
    if not is_name(placed.value):
        return rejected(placed.place, Code.MALFORMED_NAME, NAME_RULE)
    return placed.value


NAME_RULE = (
    "a name is 1 to 63 lower-case letters, digits and hyphens and begins with "
    "a letter or digit"
)


def is_name(value: str) -> bool:
    """Tells whether a string is usable as a name.

    >>> is_name("plate-house"), is_name("Plate house")
    (True, False)
    """
    return _NAME.fullmatch(value) is not None


def digest(placed: Placed) -> Parsed:
    """Reads a SHA-256 digest; the value is never reported."""
    if not isinstance(placed.value, str):
        return _wrong_type(placed, "a SHA-256 digest in quotes")
    if _DIGEST.fullmatch(placed.value):
        return placed.value
    length = len(placed.value)
    return rejected(
        placed.place,
        Code.MALFORMED_DIGEST,
        "a SHA-256 digest has 64 lower-case hexadecimal digits, this has "
        f"{length} characters",
    )


def choice(*choices: str) -> Parser:
    """Returns a parser of one of some strings."""

    def parse(placed: Placed) -> Parsed:
        if not isinstance(placed.value, str):
            return _wrong_type(placed, "a string")
        if placed.value not in choices:
            wanted = " or ".join(repr(c) for c in choices)
            return rejected(
                placed.place, Code.UNKNOWN_CHOICE, f"{wanted} is needed"
            )
        return placed.value

    return parse


def count(minimum: int, maximum: int = MAXIMUM_COUNT) -> Parser:
    """Returns a parser of integers in a range."""

    def parse(placed: Placed) -> Parsed:
        if type(placed.value) is not int:
            return _wrong_type(placed, "an integer")
        if not minimum <= placed.value <= maximum:
            return rejected(
                placed.place,
                Code.OUT_OF_RANGE,
                f"an integer from {minimum} to {maximum} is needed",
            )
        return placed.value

    return parse


def share(placed: Placed) -> Parsed:
    """Reads a success rate; a whole number is read as a float."""
    if type(placed.value) not in (int, float):
        return _wrong_type(placed, "a number above 0 and below 1")
    if placed.value >= 1:
        return rejected(
            placed.place,
            Code.UNMEETABLE_RATE,
            "a rate of 1 or more leaves no failure to spend; percentages are "
            "written as shares, 99.9 % as 0.999",
        )
    if not placed.value > 0:
        return rejected(
            placed.place, Code.OUT_OF_RANGE, "a number above 0 is needed"
        )
    return float(placed.value)


def duration(placed: Placed) -> Parsed:
    """Reads a duration in seconds."""
    example = 'a duration such as "250ms", "2s" or "7d"'
    value = _measure(placed, parse_duration, example)
    if isinstance(value, Rejected) or 0 < value <= MAXIMUM_DURATION_S:
        return value
    return rejected(
        placed.place, Code.OUT_OF_RANGE, "a duration above 0 and up to 366d"
    )


def rate(placed: Placed) -> Parsed:
    """Reads a rate in requests per second."""
    value = _measure(placed, parse_rate, 'a rate such as "120/s"')
    if isinstance(value, Rejected) or value <= MAXIMUM_RATE_PER_S:
        return value
    return rejected(
        placed.place, Code.OUT_OF_RANGE, "a rate up to 1000000/s is needed"
    )


def _measure(
    placed: Placed, parse: Callable[[str], float | None], example: str
) -> Parsed:
    if type(placed.value) in (int, float):
        return rejected(
            placed.place,
            Code.WRONG_UNIT,
            f"the number has no unit; {example} is needed",
        )
    if not isinstance(placed.value, str):
        return _wrong_type(placed, example)
    value = parse(placed.value)
    if value is None:
        return rejected(placed.place, Code.WRONG_UNIT, f"{example} is needed")
    return value
