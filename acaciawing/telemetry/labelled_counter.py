"""Counts that one thread adds to and another one reads."""

import threading
from collections.abc import Mapping

Key = tuple[str, str]


class LabelledCounter:
    """Counts by a pair of labels; for any thread."""

    def __init__(self) -> None:
        """Starts with no count."""
        self._lock = threading.Lock()
        self._counts: dict[Key, int] = {}

    def add(self, key: Key) -> None:
        """Adds one to a count."""
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + 1

    def read(self) -> Mapping[Key, int]:
        """A copy of all counts."""
        with self._lock:
            return dict(self._counts)
