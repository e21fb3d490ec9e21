"""Acquires cells under fences that this instance has not used before."""

from collections.abc import Callable

from acaciawing.jobserver.holding import Holding
from acaciawing.jobserver.messages import (
    CellKey,
    FleetTenure,
    HoldingInterrupted,
    HoldingVerified,
    PartitionsAssigned,
)


class Holdings:
    """Makes the holdings of an instance.

    Run numbers and late orders of an earlier holding have its fence, so each
    holding of a cell has a later one.

    Args:
        member: Name of this instance in the group.
        store: ``ip:port`` of the store.
        send: Adds a message to the engine's inbox.
    """

    def __init__(
        self,
        member: str,
        store: str,
        send: Callable[[HoldingVerified | HoldingInterrupted], None],
    ) -> None:
        """Starts without holdings."""
        self._member = member
        self._store = store
        self._send = send
        self._last_fences: dict[int, int] = {}
        self._ended_at = float("-inf")
        self._request_rejoin: Callable[[], None] = lambda: None

    def set_rejoin_requester(self, request_rejoin: Callable[[], None]) -> None:
        """Sets the function that joins the group anew."""
        self._request_rejoin = request_rejoin

    def acquire(
        self, partition: int, assignment: PartitionsAssigned
    ) -> Holding | None:
        """Returns a holding under the generation of an assignment.

        Returns None if this instance has held the cell in that generation. If
        the group has not changed since, only a new membership gives a later one.
        """
        if assignment.generation <= self._last_fences.get(partition, 0):
            if assignment.requested_at > self._ended_at:
                self._request_rejoin()
            return None
        self._last_fences[partition] = assignment.generation
        return Holding(
            CellKey(partition, assignment.generation),
            self._member,
            self._store,
            self._send,
            assignment.requested_at,
        )

    def end(self, holding: Holding, now: float) -> None:
        """Ends a holding for good."""
        holding.revoke()
        self._ended_at = now


class FleetHolding:
    """Holding of the fleet's cell, which has no records or workers of its own.

    Args:
        partition: The fleet's cell.
        holdings: Makes the holding.
    """

    def __init__(self, partition: int, holdings: Holdings) -> None:
        """Starts without the cell."""
        self._partition = partition
        self._holdings = holdings
        self._holding: Holding | None = None
        self._since = float("-inf")

    def tenure(self, now: float) -> FleetTenure | None:
        """Returns the tenure of the fleet's cell; may be called by any thread.

        Returns None if the cell is not held or this instance has no authority.
        """
        holding = self._holding
        if holding is None or not holding.is_valid(now):
            return None
        return FleetTenure(holding.key.fence, self._since)

    def may_order(self, tenure: FleetTenure, now: float) -> bool:
        """Returns whether machines may be ordered; may be called by any thread.

        The next holder orders machines soon after its takeover, so no other
        instance may be able to hold the cell yet.
        """
        holding = self._holding
        return (
            holding is not None
            and holding.key.fence == tenure.fence
            and holding.excludes_others(now)
        )

    def update(self, assignment: PartitionsAssigned, now: float) -> None:
        """Confirms, ends or acquires the cell after an answered join."""
        if self._holding is not None and self._holding.update(assignment, now):
            self.release(now)
        if self._holding is None and self._partition in assignment.partitions:
            # The time is read with the holding, by another thread.
            self._since = now
            self._holding = self._holdings.acquire(self._partition, assignment)

    def accept(self, verified: HoldingVerified) -> None:
        """Handles that a cell was held up to a later generation."""
        if self._holding is not None and self._holding.key == verified.key:
            self._holding.accept(verified)

    def interrupt(self, key: CellKey, now: float) -> None:
        """Handles that another instance has held a cell meanwhile."""
        if self._holding is not None and self._holding.key == key:
            self.release(now)

    def release(self, now: float) -> None:
        """Ends the holding."""
        if self._holding is not None:
            self._holdings.end(self._holding, now)
            self._holding = None
