"""Bounds of the leases that a worker may hold without this holder's knowledge."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LeaseBounds:
    """How long a lease may last after its order was given, in seconds.

    The deadline of a lease is a time on the clock of the incarnation that the
    order is meant for. The clock of its successor starts anew, so the successor
    takes the deadline for a much later one and grants the longest lease.

    Attributes:
        intended_s: On the incarnation that the order is meant for.
        longest_s: On any other incarnation of the worker.
    """

    intended_s: float
    longest_s: float

    @property
    def excess_s(self) -> float:
        """How much longer a lease may last on another incarnation."""
        return max(0.0, self.longest_s - self.intended_s)
