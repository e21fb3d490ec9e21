"""Typed parsers for the entries of a table."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from acaciawing.configuration.findings import Code, Finding, Findings, Place
from acaciawing.configuration.units import parse_duration, parse_rate
from acaciawing.configuration.values import Table, TomlValue

# Upper bounds of numbers: far above the target fleet size, and small enough for
# JSON numbers to be exact.
MAX_COUNT = 1_000_000
MAX_RATE_PER_S = 1e6
MAX_DURATION_S = 366 * 86400.0

# Names are used as path segments and metric labels.
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True)
class Rejection:
    """A value that could not be parsed.

    Attributes:
        findings: Its faults.
        usable: The valid part, which is checked further, or None.
    """

    findings: Findings
    usable: Any = None


ParseResult: TypeAlias = Any | Rejection
Parser: TypeAlias = Callable[[TomlValue], ParseResult]


@dataclass(frozen=True)
class Key:
    """A key that a table may contain.

    Attributes:
        name: Name of the key.
        parse: Parser of its value.
        required: Whether the key must be present.
    """

    name: str
    parse: Parser
    required: bool = True


@dataclass(frozen=True)
class Fields:
    """The readable values of a table.

    Attributes:
        place: Place of the table.
        values: Values by key, without defaults.
        places: Places of the values by key.
        findings: Faults of the table.
        complete: Whether every value is readable and none is missing.
    """

    place: Place
    values: dict[str, Any] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)
    findings: Findings = ()
    complete: bool = False


def reject(place: Place, code: Code, text: str) -> Rejection:
    """Returns a rejection with one finding."""
    return Rejection((Finding(place, code, text),))


def read_fields(
    table: Table, keys: tuple[Key, ...], description: str
) -> Fields:
    """Reads the keys of a table.

    Missing keys are reported only if the table is complete; otherwise they may
    be in its unreadable part.

    Args:
        table: The table.
        keys: Keys that it may contain.
        description: Noun phrase for the findings, for example ``a plan``.
    """
    known = {key.name: key for key in keys}
    values: dict[str, Any] = {}
    places: dict[str, Place] = {}
    findings: list[Finding] = []
    present = set()
    for entry in table.entries:
        key = known.get(entry.key)
        if key is None:
            text = f"{description} has no key {entry.key[:40]!r}"
            findings.append(Finding(entry.place, Code.UNKNOWN_KEY, text))
            continue
        present.add(entry.key)
        value = key.parse(entry.value)
        if isinstance(value, Rejection):
            findings.extend(value.findings)
            value = value.usable
        if value is not None and entry.key not in values:
            values[entry.key] = value
            places[entry.key] = entry.value.place
    missing = [k.name for k in keys if k.required and k.name not in present]
    if table.complete:
        findings.extend(
            Finding(
                table.place, Code.MISSING_KEY, f"{description} needs {name!r}"
            )
            for name in missing
        )
    complete = not findings and not missing
    return Fields(table.place, values, places, tuple(findings), complete)


def _wrong_type(toml_value: TomlValue, expected: str) -> Rejection:
    text = f"{expected} is needed, this is {_kind(toml_value.value)}"
    return reject(toml_value.place, Code.WRONG_TYPE, text)


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


def table(toml_value: TomlValue) -> ParseResult:
    """Reads a table."""
    if isinstance(toml_value.value, Table):
        return toml_value.value
    return _wrong_type(toml_value, "a table")


def array(toml_value: TomlValue) -> ParseResult:
    """Reads an array as a tuple of `TomlValue`."""
    if isinstance(toml_value.value, tuple):
        return toml_value.value
    return _wrong_type(toml_value, "an array")


def array_of(parse: Parser) -> Parser:
    """Returns a parser of arrays without duplicate elements.

    The parser returns a tuple of `TomlValue`, so that later findings can give
    the place of an element.
    """

    def parse_array(toml_value: TomlValue) -> ParseResult:
        if not isinstance(toml_value.value, tuple):
            return _wrong_type(toml_value, "an array")
        findings: list[Finding] = []
        values: dict[Any, TomlValue] = {}
        for element in toml_value.value:
            value = parse(element)
            if isinstance(value, Rejection):
                findings.extend(value.findings)
            elif value in values:
                text = f"{value!r} occurs twice in the array"
                findings.append(
                    Finding(element.place, Code.DUPLICATE_NAME, text)
                )
            else:
                values[value] = TomlValue(element.place, value)
        elements = tuple(values.values())
        return (
            Rejection(tuple(findings), elements or None)
            if findings
            else elements
        )

    return parse_array


def text(toml_value: TomlValue) -> ParseResult:
    """Reads a non-empty string; findings never contain the value."""
    if not isinstance(toml_value.value, str):
        return _wrong_type(toml_value, "a string")
    if not toml_value.value.strip():
        return reject(
            toml_value.place, Code.OUT_OF_RANGE, "the string is empty"
        )
    return toml_value.value


def boolean(toml_value: TomlValue) -> ParseResult:
    """Reads ``true`` or ``false``."""
    if isinstance(toml_value.value, bool):
        return toml_value.value
    return _wrong_type(toml_value, "true or false")


def name(toml_value: TomlValue) -> ParseResult:
    """Reads a name that follows `NAME_RULE`."""
    if not isinstance(toml_value.value, str):
        return _wrong_type(toml_value, "a name in quotes")
    if not is_name(toml_value.value):
        return reject(toml_value.place, Code.MALFORMED_NAME, NAME_RULE)
    return toml_value.value


NAME_RULE = (
    "a name is 1 to 63 lower-case letters, digits and hyphens and begins with "
    "a letter or digit"
)


def is_name(value: str) -> bool:
    """Returns whether a string is a valid name.

    >>> is_name("plate-house"), is_name("Plate house")
    (True, False)
    """
    return _NAME.fullmatch(value) is not None


def digest(toml_value: TomlValue) -> ParseResult:
    """Reads a SHA-256 digest; findings never contain the value."""
    if not isinstance(toml_value.value, str):
        return _wrong_type(toml_value, "a SHA-256 digest in quotes")
    if _DIGEST.fullmatch(toml_value.value):
        return toml_value.value
    length = len(toml_value.value)
    return reject(
        toml_value.place,
        Code.MALFORMED_DIGEST,
        "a SHA-256 digest has 64 lower-case hexadecimal digits, this has "
        f"{length} characters",
    )


def choice(*choices: str) -> Parser:
    """Returns a parser that accepts only the given strings."""

    def parse(toml_value: TomlValue) -> ParseResult:
        if not isinstance(toml_value.value, str):
            return _wrong_type(toml_value, "a string")
        if toml_value.value not in choices:
            expected = " or ".join(repr(c) for c in choices)
            return reject(
                toml_value.place, Code.UNKNOWN_CHOICE, f"{expected} is needed"
            )
        return toml_value.value

    return parse


def count(minimum: int, maximum: int = MAX_COUNT) -> Parser:
    """Returns a parser of integers in a range."""

    def parse(toml_value: TomlValue) -> ParseResult:
        if type(toml_value.value) is not int:
            return _wrong_type(toml_value, "an integer")
        if not minimum <= toml_value.value <= maximum:
            return reject(
                toml_value.place,
                Code.OUT_OF_RANGE,
                f"an integer from {minimum} to {maximum} is needed",
            )
        return toml_value.value

    return parse


def success_share(toml_value: TomlValue) -> ParseResult:
    """Reads a success rate; an integer is converted to a float."""
    if type(toml_value.value) not in (int, float):
        return _wrong_type(toml_value, "a number above 0 and below 1")
    if toml_value.value >= 1:
        return reject(
            toml_value.place,
            Code.UNMEETABLE_RATE,
            "a rate of 1 or more leaves no failure to spend; percentages are "
            "written as shares, 99.9 % as 0.999",
        )
    if not toml_value.value > 0:
        return reject(
            toml_value.place, Code.OUT_OF_RANGE, "a number above 0 is needed"
        )
    return float(toml_value.value)


def duration(toml_value: TomlValue) -> ParseResult:
    """Reads a duration with a unit; the result is in seconds."""
    example = 'a duration such as "250ms", "2s" or "7d"'
    value = _parse_quantity(toml_value, parse_duration, example)
    if isinstance(value, Rejection) or 0 < value <= MAX_DURATION_S:
        return value
    return reject(
        toml_value.place, Code.OUT_OF_RANGE, "a duration above 0 and up to 366d"
    )


def rate(toml_value: TomlValue) -> ParseResult:
    """Reads a rate with a unit; the result is in requests per second."""
    value = _parse_quantity(toml_value, parse_rate, 'a rate such as "120/s"')
    if isinstance(value, Rejection) or value <= MAX_RATE_PER_S:
        return value
    return reject(
        toml_value.place, Code.OUT_OF_RANGE, "a rate up to 1000000/s is needed"
    )


def _parse_quantity(
    toml_value: TomlValue, parse: Callable[[str], float | None], example: str
) -> ParseResult:
    if type(toml_value.value) in (int, float):
        return reject(
            toml_value.place,
            Code.WRONG_UNIT,
            f"the number has no unit; {example} is needed",
        )
    if not isinstance(toml_value.value, str):
        return _wrong_type(toml_value, example)
    value = parse(toml_value.value)
    if value is None:
        return reject(toml_value.place, Code.WRONG_UNIT, f"{example} is needed")
    return value
