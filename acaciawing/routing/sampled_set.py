"""Persistent set with uniform sampling."""

from immutables import Map
from msgspec import Struct


class SampledSet(Struct, frozen=True):
    """A set whose members have consecutive indices from 0.

    Removing a member moves the last one to its index, so adding, removing and
    sampling a member each cost O(log n).

    Attributes:
        by_index: Members by index.
        index_of: Indices by member.

    >>> numbers = SampledSet().add("a").add("b").add("c").discard("a")
    >>> sorted(numbers.by_index.values())
    ['b', 'c']
    """

    by_index: Map[int, str] = Map()
    index_of: Map[str, int] = Map()

    def __len__(self) -> int:
        """Number of members."""
        return len(self.by_index)

    def add(self, member: str) -> "SampledSet":
        """Returns the set with `member`."""
        if member in self.index_of:
            return self
        index = len(self.by_index)
        return SampledSet(
            self.by_index.set(index, member), self.index_of.set(member, index)
        )

    def discard(self, member: str) -> "SampledSet":
        """Returns the set without `member`."""
        index = self.index_of.get(member)
        if index is None:
            return self
        last = len(self.by_index) - 1
        moved = self.by_index[last]
        by_index = self.by_index.delete(last)
        index_of = self.index_of.delete(member)
        if index != last:
            by_index = by_index.set(index, moved)
            index_of = index_of.set(moved, index)
        return SampledSet(by_index, index_of)
