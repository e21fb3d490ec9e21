"""Tests of the pages of long lists."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.entry.paging import MAX_LIMIT, PageRequest, page, read_query

_KEYS = st.sets(st.text(max_size=4), max_size=30)


class TestPages:
    """Guards against entries that are skipped or repeated between pages."""

    @settings(derandomize=True)
    @given(_KEYS, st.integers(1, 8))
    def test_pages_contain_every_entry_once(
        self, keys: set[str], limit: int
    ) -> None:
        keys_read: list[str] = []
        after: str | None = None
        while True:
            part = page(keys, PageRequest(limit, after))
            assert len(part.keys) <= limit
            keys_read += part.keys
            after = part.next
            if after is None:
                break
        assert keys_read == sorted(keys)

    @settings(derandomize=True)
    @given(_KEYS, st.text(max_size=4), st.integers(1, 8))
    def test_removed_entry_hides_no_other(
        self, keys: set[str], removed: str, limit: int
    ) -> None:
        first = page(keys | {removed}, PageRequest(limit))
        rest = page(keys, PageRequest(MAX_LIMIT, first.keys[-1]))
        assert keys <= {*first.keys, *rest.keys}


class TestQuery:
    """Guards against queries that are misparsed or cost too much time."""

    @pytest.mark.parametrize(
        "query",
        [
            "limit=0",
            "limit=1001",
            "limit=-1",
            "limit=" + "9" * 5000,
            "limit=%C2%B2",
            "lmit=3",
            "after=x",
            "&".join(["limit=1"] * 20),
        ],
    )
    def test_bad_query_is_refused(self, query: str) -> None:
        assert isinstance(read_query(query, int), str)

    def test_parameters_and_their_defaults(self) -> None:
        assert read_query("", int) == PageRequest[int]()
        assert read_query("after=7&limit=2", int) == PageRequest(2, 7)
