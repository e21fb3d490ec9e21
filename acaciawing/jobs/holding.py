"""How long this instance has held its cells without a break.

The store's group deals the cells to its members. A member that it does not hear
from loses its cells to others, and may get them back, in a later generation,
before it has noticed. What it knows of a cell is then out of date.
"""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True)
class JoinAnswer:
    """Answer of the store's group to a join.

    Attributes:
        generation: Generation of the group; rises with each change of it.
        partitions: Partitions assigned to the member.
        requested_at: When the join was sent, in seconds.
    """

    generation: int
    partitions: Collection[int]
    requested_at: float


@dataclass(frozen=True)
class Membership:
    """Membership in the store's group that was never interrupted.

    Attributes:
        first_generation: Generation in which it began; 0 before the first join.
        generation: Generation of the last answered join.
        confirmed_at: When that join was sent, in seconds.
        partitions: Partitions assigned by its answer.
    """

    first_generation: int = 0
    generation: int = 0
    confirmed_at: float = float("-inf")
    partitions: frozenset[int] = frozenset()

    def renew(self, answer: JoinAnswer, ttl_s: float) -> "Membership":
        """Returns the membership after an answered join.

        A group in the same generation has not changed. In another one, a member
        that was silent for its lifetime may have been removed and added again.

        Args:
            answer: The answer.
            ttl_s: Lifetime of a member after a join, in seconds.
        """
        unbroken = answer.generation == self.generation or (
            answer.requested_at - self.confirmed_at <= ttl_s
        )
        return Membership(
            self.first_generation if unbroken else answer.generation,
            answer.generation,
            answer.requested_at,
            frozenset(answer.partitions),
        )

    def find_fault(self, answer: JoinAnswer, partitions: int) -> str | None:
        """Returns why an answer can't be right, or None.

        Args:
            answer: The answer.
            partitions: Number of partitions of the topic.
        """
        if answer.generation < self.generation:
            return (
                f"generation {answer.generation} after generation"
                f" {self.generation}"
            )
        if len(set(answer.partitions)) < len(answer.partitions):
            return "a partition is assigned twice"
        unknown = [p for p in answer.partitions if not 0 <= p < partitions]
        if unknown:
            return f"partition {unknown[0]} of {partitions}"
        return None
