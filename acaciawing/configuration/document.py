"""TOML documents whose values carry their place in the file.

A file that tomllib accepts is taken as a whole. Otherwise the file is divided
at its table headers and then into statements, so that one syntax error hides
neither the other syntax errors nor the faults of the remaining statements.
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
    ordered,
)
from acaciawing.configuration.recovery import OpenTable, close
from acaciawing.configuration.syntax import (
    Path,
    Spot,
    Statement,
    SyntaxTree,
    key_names,
)
from acaciawing.configuration.values import Entry, Placed, Table

# tomllib before Python 3.14 tells the place only in its message.
_MESSAGE = re.compile(
    r"(?P<text>.*) \(at (?:line (?P<line>\d+), column (?P<column>\d+)|"
    r"end of document)\)",
    re.DOTALL,
)
_HEADER = re.compile(r"^[ \t]*\[[^,\n]*$", re.MULTILINE)
_HEADER_NAMES = re.compile(
    r"\s*(?:\[\[(?P<array>.*)\]\]|\[(?P<table>.*)\])\s*(?:#.*)?"
)
_TOO_DEEP = "tables or arrays nest too deeply"
_KEY = re.compile(r"^[ \t]*[A-Za-z0-9_.\"'-]+[ \t]*=", re.MULTILINE)


@dataclass(frozen=True)
class Source:
    """Bytes of a file.

    Attributes:
        file: File as the operator named it.
        data: Content.
    """

    file: str
    data: bytes


@dataclass(frozen=True)
class Document:
    """A TOML file as far as it could be read.

    Attributes:
        root: Its entries.
        findings: Faults of encoding and syntax, and repeated keys.
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
        What could be read, with all faults. Never raises on bad input.
    """
    text, badly_encoded = _decode(source)
    start = Place(source.file)
    try:
        document = _parse_whole(text, start)
    except RecursionError:
        deep = Finding(start, Code.NESTED_TOO_DEEPLY, _TOO_DEEP)
        document = Document(Table(start, whole=False), (deep,))
    if not badly_encoded:
        return document
    # The replacement characters are usually syntax errors as well; one
    # finding for each line is enough.
    bad_lines = {f.place.line for f in badly_encoded}
    others = [f for f in document.findings if f.place.line not in bad_lines]
    return replace(document, findings=ordered([*badly_encoded, *others]))


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
        spots = SyntaxTree(text, start.file).spots()
        return Document(_attach_table(values, start, spots, ()))
    except (ValueError, RecursionError) as error:
        return _parse_sections(text, start, error)


def _attach_table(
    values: dict[str, Any], place: Place, spots: dict[Path, Spot], path: Path
) -> Table:
    entries = []
    for key, value in values.items():
        spot = spots.get((*path, key), Spot(place, place))
        attached = _attach(value, spot.value, spots, (*path, key))
        entries.append(Entry(key, spot.key, attached))
    return Table(place, tuple(entries))


def _attach(
    value: Any, place: Place, spots: dict[Path, Spot], path: Path
) -> Placed:
    if isinstance(value, dict):
        return Placed(place, _attach_table(value, place, spots, path))
    if not isinstance(value, list):
        return Placed(place, value)
    elements = []
    for number, element in enumerate(value):
        spot = spots.get((*path, number), Spot(place, place))
        elements.append(_attach(element, spot.value, spots, (*path, number)))
    return Placed(place, tuple(elements))


def _parse_sections(text: str, start: Place, error: Exception) -> Document:
    root = OpenTable(start)
    findings: list[Finding] = []
    for section in _sections(text, start.file):
        findings.extend(_read_section(section, root))
    table, repeated = close(root)
    findings.extend(repeated)
    if not findings:
        findings.append(_syntax_error(error, text, start))
    return Document(table, ordered(findings))


def _sections(text: str, file: str) -> Iterator[tuple[str, Place]]:
    cuts = [match.start() for match in _HEADER.finditer(text)]
    line = 1
    for begin, end in zip([0, *cuts], [*cuts, len(text)], strict=True):
        if begin < end:
            yield text[begin:end], Place(file, line)
            line += text.count("\n", begin, end)


def _read_section(
    section: tuple[str, Place], root: OpenTable
) -> Iterator[Finding]:
    text, start = section
    table: OpenTable | None = root
    if _HEADER.match(text):
        header, _, body = text.partition("\n")
        indent = len(header) - len(header.lstrip())
        place = replace(start, column=indent + 1)
        table = _open_header(header, place, root)
        if table is None:
            root.whole = False
            yield _header_error(header, place)
        text, start = body, replace(start, line=start.line + 1)
    tree = SyntaxTree(text, start.file, start.line)
    for statement in tree.statements():
        for part in _chunks(statement):
            faults = list(_read_statement(part, table))
            if faults and table is not None:
                table.whole = False
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


def _chunks(statement: Statement) -> Iterator[Statement]:
    """Divides a faulty part at the lines that look like ``key =``."""
    if statement.valid:
        yield statement
        return
    text, place = statement.text, statement.place
    cuts = [m.start() for m in _KEY.finditer(text) if m.start() > 0]
    line = place.line
    for begin, end in zip([0, *cuts], [*cuts, len(text)], strict=True):
        column = place.column if begin == 0 else 1
        yield Statement(text[begin:end], Place(place.file, line, column), False)
        line += text.count("\n", begin, end)


def _read_statement(
    statement: Statement, table: OpenTable | None
) -> Iterator[Finding]:
    text, place = statement.text, statement.place
    try:
        values = tomllib.loads(text)
        spots = SyntaxTree(text, place.file, place.line).spots()
        shifted = {path: _shift(spot, place) for path, spot in spots.items()}
        root = _attach_table(values, place, shifted, ())
    except ValueError as error:
        yield _syntax_error(error, text, place)
    except RecursionError:
        yield Finding(place, Code.NESTED_TOO_DEEPLY, _TOO_DEEP)
    else:
        if table is not None:
            names = key_names(text.partition("=")[0]) or ()
            _add_entries(root, names, table)


def _add_entries(root: Table, names: tuple[str, ...], table: OpenTable) -> None:
    if len(root.entries) == 1:
        for name in names[:-1]:
            (entry,) = root.entries
            root = entry.value.value
            table = table.descend(name, entry.place)
    for entry in root.entries:
        table.add(entry)


def _shift(spot: Spot, origin: Place) -> Spot:
    """Moves places of a text's first line to where the text begins."""
    if spot.key.line != origin.line:
        return spot
    offset = origin.column - 1
    key = replace(spot.key, column=spot.key.column + offset)
    if spot.value.line != origin.line:
        return Spot(key, spot.value)
    value = replace(spot.value, column=spot.value.column + offset)
    return Spot(key, value)


def _syntax_error(error: Exception, text: str, origin: Place) -> Finding:
    """Makes a finding of tomllib's message about a text at ``origin``."""
    match = _MESSAGE.fullmatch(str(error))
    if match is None:
        # The interpreter's own message; its second part is for programmers.
        text = str(error).partition(";")[0]
        return Finding(origin, Code.SYNTAX_ERROR, text)
    line, column = _message_place(match, text)
    offset = origin.column - 1 if line == 1 else 0
    place = Place(origin.file, origin.line + line - 1, column + offset)
    return Finding(place, Code.SYNTAX_ERROR, match["text"])


def _message_place(match: re.Match[str], text: str) -> tuple[int, int]:
    if match["line"]:
        return int(match["line"]), int(match["column"])
    lines = text.rstrip("\n").split("\n")
    return len(lines), len(lines[-1]) + 1
