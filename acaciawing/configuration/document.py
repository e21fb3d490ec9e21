"""Parser of TOML files that gives each value its place in the file.

A file that tomllib accepts is parsed as a whole. Otherwise it is split at its
table headers and then into statements, so that one syntax error hides neither
other syntax errors nor faults in the valid statements.
"""

import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path as FilePath
from typing import Any

from acaciawing.configuration.findings import (
    Code,
    Finding,
    Findings,
    Place,
    sort_findings,
)
from acaciawing.configuration.recovery import OpenTable, freeze_table
from acaciawing.configuration.syntax import (
    EntryPlaces,
    KeyPath,
    Statement,
    SyntaxTree,
    key_names,
)
from acaciawing.configuration.values import Entry, Table, TomlValue

# Before Python 3.14, tomllib reports the position only in its message.
_TOMLLIB_MESSAGE = re.compile(
    r"(?P<text>.*) \(at (?:line (?P<line>\d+), column (?P<column>\d+)|"
    r"end of document)\)",
    re.DOTALL,
)
_HEADER_LINE = re.compile(r"^[ \t]*\[[^,\n]*$", re.MULTILINE)
_HEADER_NAMES = re.compile(
    r"\s*(?:\[\[(?P<array>.*)\]\]|\[(?P<table>.*)\])\s*(?:#.*)?"
)
_NESTING_MESSAGE = "tables or arrays nest too deeply"
_KEY_LINE = re.compile(r"^[ \t]*[A-Za-z0-9_.\"'-]+[ \t]*=", re.MULTILINE)


@dataclass(frozen=True)
class Source:
    """Content of a file.

    Attributes:
        file: Path as the operator gave it.
        data: Its bytes.
    """

    file: str
    data: bytes


@dataclass(frozen=True)
class Document:
    """The readable part of a TOML file.

    Attributes:
        root: Root table.
        findings: Encoding errors, syntax errors and duplicate keys.
    """

    root: Table
    findings: Findings = ()


def read_source(path: FilePath) -> Source | Finding:
    """Reads a file; a failure is a finding."""
    try:
        return Source(str(path), path.read_bytes())
    except OSError as error:
        text = error.strerror or type(error).__name__
        return Finding(Place(str(path)), Code.UNREADABLE_FILE, text)


def parse(source: Source) -> Document:
    """Parses a TOML file.

    Args:
        source: The file.

    Returns:
        The readable part with all faults. Never raises on bad input.
    """
    text, encoding_findings = _decode(source)
    start = Place(source.file)
    try:
        document = _parse_whole(text, start)
    except RecursionError:
        finding = Finding(start, Code.NESTED_TOO_DEEPLY, _NESTING_MESSAGE)
        document = Document(Table(start, complete=False), (finding,))
    if not encoding_findings:
        return document
    # The replacement characters are usually syntax errors as well; one
    # finding for each line is enough.
    bad_lines = {f.place.line for f in encoding_findings}
    others = [f for f in document.findings if f.place.line not in bad_lines]
    return replace(
        document, findings=sort_findings([*encoding_findings, *others])
    )


def _decode(source: Source) -> tuple[str, list[Finding]]:
    findings = []
    for number, line in enumerate(source.data.split(b"\n"), start=1):
        try:
            line.decode()
        except UnicodeDecodeError as error:
            column = len(line[: error.start].decode()) + 1
            text = f"not UTF-8: byte 0x{line[error.start]:02x}"
            place = Place(source.file, number, column)
            findings.append(Finding(place, Code.BAD_ENCODING, text))
    text = source.data.decode("utf-8", "replace")
    return text.replace("\r\n", "\n"), findings


def _parse_whole(text: str, start: Place) -> Document:
    try:
        values = tomllib.loads(text)
        entry_places = SyntaxTree(text, start.file).entry_places()
        return Document(_attach_table_places(values, start, entry_places, ()))
    except (ValueError, RecursionError) as error:
        return _parse_sections(text, start, error)


def _attach_table_places(
    values: dict[str, Any],
    place: Place,
    entry_places: dict[KeyPath, EntryPlaces],
    path: KeyPath,
) -> Table:
    entries = []
    for key, value in values.items():
        places = entry_places.get((*path, key), EntryPlaces(place, place))
        attached = _attach_places(
            value, places.value, entry_places, (*path, key)
        )
        entries.append(Entry(key, places.key, attached))
    return Table(place, tuple(entries))


def _attach_places(
    value: Any,
    place: Place,
    entry_places: dict[KeyPath, EntryPlaces],
    path: KeyPath,
) -> TomlValue:
    if isinstance(value, dict):
        return TomlValue(
            place, _attach_table_places(value, place, entry_places, path)
        )
    if not isinstance(value, list):
        return TomlValue(place, value)
    elements = []
    for number, element in enumerate(value):
        places = entry_places.get((*path, number), EntryPlaces(place, place))
        elements.append(
            _attach_places(element, places.value, entry_places, (*path, number))
        )
    return TomlValue(place, tuple(elements))


def _parse_sections(text: str, start: Place, error: Exception) -> Document:
    root = OpenTable(start)
    findings: list[Finding] = []
    for section in _split_sections(text, start.file):
        findings.extend(_read_section(section, root))
    table, duplicates = freeze_table(root)
    findings.extend(duplicates)
    if not findings:
        findings.append(_syntax_error(error, text, start))
    return Document(table, sort_findings(findings))


def _split_sections(text: str, file: str) -> Iterator[tuple[str, Place]]:
    starts = [match.start() for match in _HEADER_LINE.finditer(text)]
    line = 1
    for begin, end in zip([0, *starts], [*starts, len(text)], strict=True):
        if begin < end:
            yield text[begin:end], Place(file, line)
            line += text.count("\n", begin, end)


def _read_section(
    section: tuple[str, Place], root: OpenTable
) -> Iterator[Finding]:
    text, start = section
    table: OpenTable | None = root
    if _HEADER_LINE.match(text):
        header, _, body = text.partition("\n")
        indent = len(header) - len(header.lstrip())
        place = replace(start, column=indent + 1)
        table = _open_header(header, place, root)
        if table is None:
            root.complete = False
            yield _header_error(header, place)
        text, start = body, replace(start, line=start.line + 1)
    tree = SyntaxTree(text, start.file, start.line)
    for statement in tree.statements():
        for part in _split_at_keys(statement):
            faults = list(_read_statement(part, table))
            if faults and table is not None:
                table.complete = False
            yield from faults


def _open_header(
    header: str, place: Place, root: OpenTable
) -> OpenTable | None:
    match = _HEADER_NAMES.fullmatch(header)
    if match is None:
        return None
    names = key_names(match["array"] or match["table"] or "")
    if names is None:
        return None
    return root.open(names, place, array=match["array"] is not None)


def _header_error(header: str, place: Place) -> Finding:
    try:
        tomllib.loads(header)
    except ValueError as error:
        return _syntax_error(error, header, replace(place, column=1))
    return Finding(place, Code.SYNTAX_ERROR, "not a table header")


def _split_at_keys(statement: Statement) -> Iterator[Statement]:
    """Splits an invalid statement at lines that look like ``key =``."""
    if statement.valid:
        yield statement
        return
    text, place = statement.text, statement.place
    starts = [m.start() for m in _KEY_LINE.finditer(text) if m.start() > 0]
    line = place.line
    for begin, end in zip([0, *starts], [*starts, len(text)], strict=True):
        column = place.column if begin == 0 else 1
        yield Statement(text[begin:end], Place(place.file, line, column), False)
        line += text.count("\n", begin, end)


def _read_statement(
    statement: Statement, table: OpenTable | None
) -> Iterator[Finding]:
    text, place = statement.text, statement.place
    try:
        values = tomllib.loads(text)
        entry_places = SyntaxTree(text, place.file, place.line).entry_places()
        shifted = {
            path: _shift_to_origin(places, place)
            for path, places in entry_places.items()
        }
        root = _attach_table_places(values, place, shifted, ())
    except ValueError as error:
        yield _syntax_error(error, text, place)
    except RecursionError:
        yield Finding(place, Code.NESTED_TOO_DEEPLY, _NESTING_MESSAGE)
    else:
        if table is not None:
            names = key_names(text.partition("=")[0]) or ()
            _add_entries(root, names, table)


def _add_entries(root: Table, names: tuple[str, ...], table: OpenTable) -> None:
    """Adds a statement's entries to the table that its dotted key refers to."""
    if len(root.entries) == 1:
        for name in names[:-1]:
            (entry,) = root.entries
            root = entry.value.value
            table = table.descend(name, entry.place)
    for entry in root.entries:
        table.add(entry)


def _shift_to_origin(places: EntryPlaces, origin: Place) -> EntryPlaces:
    """Converts columns relative to a text to columns of the file.

    Only the first line of the text has other columns than the file, because it
    may begin in the middle of a line.
    """
    if places.key.line != origin.line:
        return places
    offset = origin.column - 1
    key = replace(places.key, column=places.key.column + offset)
    if places.value.line != origin.line:
        return EntryPlaces(key, places.value)
    value = replace(places.value, column=places.value.column + offset)
    return EntryPlaces(key, value)


def _syntax_error(error: Exception, text: str, origin: Place) -> Finding:
    """Converts an error of parsing a text to a finding.

    Args:
        error: The error; its position is relative to the text.
        text: The text.
        origin: Place of the text in the file.
    """
    match = _TOMLLIB_MESSAGE.fullmatch(str(error))
    if match is None:
        # An error of the interpreter, for example on too many digits; the
        # part after the semicolon is advice for programmers.
        text = str(error).partition(";")[0]
        return Finding(origin, Code.SYNTAX_ERROR, text)
    line, column = _parse_message_position(match, text)
    offset = origin.column - 1 if line == 1 else 0
    place = Place(origin.file, origin.line + line - 1, column + offset)
    return Finding(place, Code.SYNTAX_ERROR, match["text"])


def _parse_message_position(match: re.Match[str], text: str) -> tuple[int, int]:
    if match["line"]:
        return int(match["line"]), int(match["column"])
    lines = text.rstrip("\n").split("\n")
    return len(lines), len(lines[-1]) + 1
