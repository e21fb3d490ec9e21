"""Builds tables from the readable statements of an invalid TOML file."""

from dataclasses import dataclass, field

from acaciawing.configuration.findings import Code, Finding, Place
from acaciawing.configuration.values import Entry, Table, TomlValue


@dataclass
class OpenTable:
    """A table under construction.

    Attributes:
        place: Place of its header, or of the first header that implies it.
        declared: Whether a header declares it explicitly.
        complete: Whether all its statements could be read.
        items: Values, tables and arrays of tables in the order of the file.
    """

    place: Place
    declared: bool = False
    complete: bool = True
    items: list["_Item"] = field(default_factory=list)

    def add(self, entry: Entry) -> None:
        """Adds an entry; the caller resolves dotted keys with `descend`."""
        self.items.append(_Item(entry.key, entry.place, entry.value))

    def open(
        self, names: tuple[str, ...], place: Place, array: bool
    ) -> "OpenTable":
        """Returns the table that a header opens.

        Args:
            names: Parts of the header's key.
            place: Place of the header.
            array: Whether it is the header of an array of tables.
        """
        table = self
        for name in names[:-1]:
            table = table.descend(name, place)
        return table._declare(names[-1], place, array)

    def descend(self, name: str, place: Place) -> "OpenTable":
        """Returns the table that a part of a dotted key refers to."""
        for item in reversed(self.items):
            if item.key == name and item.tables:
                return item.tables[-1]
        table = OpenTable(place)
        self.items.append(_Item(name, place, tables=[table]))
        return table

    def _declare(self, name: str, place: Place, array: bool) -> "OpenTable":
        table = OpenTable(place, declared=True)
        for item in self.items:
            if item.key != name or not item.tables:
                continue
            if array and item.array:
                item.tables.append(table)
                return table
            if not array and not item.tables[-1].declared:
                item.tables[-1].declared = True
                return item.tables[-1]
            # A key that seems to be missing may be under the other header.
            item.tables[-1].complete = table.complete = False
        self.items.append(_Item(name, place, tables=[table], array=array))
        return table


@dataclass
class _Item:
    """A key of an `OpenTable`; has either a value or tables."""

    key: str
    place: Place
    value: TomlValue | None = None
    tables: list[OpenTable] = field(default_factory=list)
    array: bool = False


def freeze_table(table: OpenTable) -> tuple[Table, list[Finding]]:
    """Converts a table to its immutable form; duplicate keys are findings.

    Both values of a duplicate key are kept, so that the faults of both are
    reported.
    """
    findings: list[Finding] = []
    entries: list[Entry] = []
    first: dict[str, Place] = {}
    for item in table.items:
        value = item.value
        if value is None:
            frozen = [freeze_table(inner) for inner in item.tables]
            for _, duplicates in frozen:
                findings.extend(duplicates)
            tables = tuple(TomlValue(t.place, t) for t, _ in frozen)
            value = TomlValue(item.place, tables) if item.array else tables[0]
        earlier = first.setdefault(item.key, item.place)
        if earlier is not item.place:
            text = f"{item.key!r} is already at line {earlier.line}"
            code = Code.DUPLICATE_NAME if item.tables else Code.DUPLICATE_KEY
            findings.append(Finding(item.place, code, text))
        entries.append(Entry(item.key, item.place, value))
    return Table(table.place, tuple(entries), table.complete), findings
