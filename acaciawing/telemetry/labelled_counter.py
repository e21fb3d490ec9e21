"""Thread-safe counter with labels."""

import threading
from collections.abc import Mapping

LabelPair = tuple[str, str]


class LabelledCounter:
    """Counts by a pair of labels; thread-safe."""

    def __init__(self) -> None:
        """Creates the counter without any labels."""
        self._lock = threading.Lock()
        self._counts: dict[LabelPair, int] = {}

    def add(self, labels: LabelPair) -> None:
        """Adds one to the count of a pair of labels."""
        with self._lock:
            self._counts[labels] = self._counts.get(labels, 0) + 1

    def read(self) -> Mapping[LabelPair, int]:
        """Returns a copy of all counts."""
        with self._lock:
            return dict(self._counts)
