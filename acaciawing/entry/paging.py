"""Pages of long lists; a page starts after the last key of the one before."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar
from urllib.parse import parse_qs

DEFAULT_LIMIT = 100
# An entry is about 200 bytes, so a page stays below 256 KB.
MAX_LIMIT = 1000

K = TypeVar("K", str, int)


@dataclass(frozen=True)
class PageRequest(Generic[K]):
    """Position and size of the requested page.

    Attributes:
        limit: Maximum number of entries.
        after: Key of the last entry of the page before, or None for the
            first page.
    """

    limit: int = DEFAULT_LIMIT
    after: K | None = None


@dataclass(frozen=True)
class Page(Generic[K]):
    """Keys of one page in ascending order.

    Attributes:
        keys: The keys.
        next: Value of ``after`` for the next page, or None on the last one.
    """

    keys: tuple[K, ...]
    next: K | None


def page(keys: Iterable[K], request: PageRequest[K]) -> Page[K]:
    """Returns one page of a list.

    Args:
        keys: Unique keys of all entries, in any order.
        request: The requested page.

    >>> page(["b", "a", "c"], PageRequest(2))
    Page(keys=('a', 'b'), next='b')
    >>> page(["b", "a", "c"], PageRequest(2, "b"))
    Page(keys=('c',), next=None)
    """
    after = request.after
    rest = sorted(k for k in keys if after is None or k > after)
    selected = tuple(rest[: request.limit])
    return Page(selected, selected[-1] if len(rest) > len(selected) else None)


def read_query(query: str, convert: Callable[[str], K]) -> PageRequest[K] | str:
    """Parses ``limit`` and ``after`` of a query string.

    Args:
        query: Query part of the request target.
        convert: Converts the key; raises ValueError for an invalid one.

    Returns:
        The request, or a message about the error in the query.

    >>> read_query("limit=5&after=a%20b", str)
    PageRequest(limit=5, after='a b')
    >>> read_query("limit=0", str)
    'limit: a number from 1 to 1000 is needed'
    """
    try:
        values = parse_qs(query, keep_blank_values=True, max_num_fields=8)
    except ValueError:
        return "too many parameters"
    unknown = sorted(set(values) - {"limit", "after"})
    if unknown:
        return f"unknown parameter {unknown[0]!r}"
    limit = values.get("limit", [str(DEFAULT_LIMIT)])[-1]
    if not _is_limit(limit):
        return f"limit: a number from 1 to {MAX_LIMIT} is needed"
    if "after" not in values:
        return PageRequest(int(limit))
    try:
        return PageRequest(int(limit), convert(values["after"][-1]))
    except ValueError:
        return "after: not a key of this list"


def _is_limit(text: str) -> bool:
    # The length is checked first, since int() is slow for long numbers.
    if not (text.isascii() and text.isdigit() and len(text) < 6):
        return False
    return 1 <= int(text) <= MAX_LIMIT
