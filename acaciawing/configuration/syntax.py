"""Places of the keys and values in a TOML file.

The places come from tree-sitter-toml, the values from tomllib; see
`acaciawing.configuration.document`.
"""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

from acaciawing.configuration.findings import Place

# Keys and array indices from the root table to an entry or element.
KeyPath = tuple[str | int, ...]

_LANGUAGE = Language(tree_sitter_toml.language())


@dataclass(frozen=True)
class EntryPlaces:
    """Places of the key and the value of an entry.

    Attributes:
        key: Place of its key or table header.
        value: Place of its value.
    """

    key: Place
    value: Place


@dataclass(frozen=True)
class Statement:
    """A key with its value, or a part of the file that is not valid TOML.

    Attributes:
        text: Source text.
        place: Place of its first character.
        valid: Whether tree-sitter-toml found no error in it.
    """

    text: str
    place: Place
    valid: bool


class SyntaxTree:
    """Syntax tree of a TOML text.

    Args:
        text: The text.
        file: Path of its file.
        first_line: Line number of the text's first line in the file.
    """

    def __init__(self, text: str, file: str, first_line: int = 1) -> None:
        """Parses the text; never raises on bad input."""
        data = text.encode()
        self._lines = data.split(b"\n")
        self._file = file
        self._first_line = first_line
        self._root = Parser(_LANGUAGE).parse(data).root_node

    def entry_places(self) -> dict[KeyPath, EntryPlaces]:
        """Returns the places of all entries by their path.

        An element of an array, and of an array of tables, has its index as
        the last part of its path.
        """
        places: dict[KeyPath, EntryPlaces] = {}
        sizes: dict[KeyPath, int] = {}
        for node in self._root.children:
            if node.type == "pair":
                self._add_pair(node, (), places)
            elif node.type in ("table", "table_array_element"):
                self._add_table(node, places, sizes)
        return places

    def statements(self) -> Iterator[Statement]:
        """Yields the statements of the text, without its table headers."""
        pending = list(reversed(self._root.children))
        while pending:
            node = pending.pop()
            if node.type in ("table", "table_array_element"):
                pending.extend(
                    c
                    for c in reversed(node.children)
                    if c.type == "pair" or c.is_error or c.is_missing
                )
            elif node.type == "pair" or node.is_error or node.is_missing:
                text = (node.text or b"").decode("utf-8", "replace")
                valid = node.type == "pair" and not node.has_error
                yield Statement(text, self._place(node), valid)

    def _place(self, node: Node) -> Place:
        row, column = node.start_point
        before = self._lines[row][:column].decode("utf-8", "replace")
        return Place(self._file, self._first_line + row, len(before) + 1)

    def _add_table(
        self,
        node: Node,
        places: dict[KeyPath, EntryPlaces],
        sizes: dict[KeyPath, int],
    ) -> None:
        header = next((c for c in node.children if _is_key(c)), None)
        names = _key_parts(header) if header else None
        if header is None or not names:
            return
        place = self._place(node)
        path: KeyPath = ()
        for name in names[:-1]:
            path = _last_element_path((*path, name), sizes)
            places.setdefault(path, EntryPlaces(place, place))
        path = (*path, names[-1])
        places.setdefault(path, EntryPlaces(place, place))
        if node.type == "table_array_element":
            sizes[path] = sizes.get(path, 0) + 1
            path = _last_element_path(path, sizes)
        places.setdefault(path, EntryPlaces(place, place))
        for child in node.children:
            if child.type == "pair":
                self._add_pair(child, path, places)

    def _add_pair(
        self, node: Node, base: KeyPath, places: dict[KeyPath, EntryPlaces]
    ) -> None:
        pending: list[tuple[Node, KeyPath]] = [(node, base)]
        while pending:
            pair, prefix = pending.pop()
            parts = [c for c in pair.children if c.is_named]
            names = _key_parts(parts[0]) if len(parts) > 1 else None
            if not names:
                continue
            key = self._place(parts[0])
            path = prefix
            for name in names:
                path = (*path, name)
                places.setdefault(
                    path, EntryPlaces(key, self._place(parts[-1]))
                )
            pending.extend(self._add_array_elements(parts[-1], path, places))

    def _add_array_elements(
        self, value: Node, path: KeyPath, places: dict[KeyPath, EntryPlaces]
    ) -> Iterator[tuple[Node, KeyPath]]:
        """Adds array elements to `places`; yields pairs of inline tables."""
        pending = [(value, path)]
        while pending:
            node, prefix = pending.pop()
            if node.type == "inline_table":
                yield from (
                    (c, prefix) for c in node.children if c.type == "pair"
                )
            elif node.type == "array":
                elements = [
                    c
                    for c in node.children
                    if c.is_named and c.type != "comment"
                ]
                for number, element in enumerate(elements):
                    place = self._place(element)
                    places.setdefault(
                        (*prefix, number), EntryPlaces(place, place)
                    )
                    pending.append((element, (*prefix, number)))


def key_names(text: str) -> tuple[str, ...] | None:
    """Splits a possibly dotted and quoted key.

    >>> key_names('plans."a b".rate')
    ('plans', 'a b', 'rate')
    >>> key_names("a..b"), key_names("a = 1 #"), key_names("# a")
    (None, None, None)
    """
    try:
        # Only a key is valid both in a header and before an equals sign.
        tomllib.loads(f"[{text}]")
        table: Any = tomllib.loads(f"{text} = 0")
    except (ValueError, RecursionError):
        return None
    names = []
    while isinstance(table, dict) and table:
        name, table = next(iter(table.items()))
        names.append(name)
    return tuple(names) or None


def _is_key(node: Node) -> bool:
    return node.type in ("bare_key", "quoted_key", "dotted_key")


def _key_parts(node: Node) -> tuple[str, ...] | None:
    text = (node.text or b"").decode("utf-8", "replace")
    if node.type == "bare_key":
        return (text,)
    return key_names(text)


def _last_element_path(path: KeyPath, sizes: dict[KeyPath, int]) -> KeyPath:
    size = sizes.get(path)
    return path if size is None else (*path, size - 1)
