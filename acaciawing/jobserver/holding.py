"""Right of this instance to give orders for a cell that it holds."""

import threading
from collections.abc import Callable
from functools import partial

from acaciawing.jobserver.cell_log import JOBS_TOPIC
from acaciawing.jobserver.limits import (
    AUTHORITY_S,
    MAX_RETRY_PAUSE_S,
    MEMBER_TTL_MS,
    RETRY_PAUSE_S,
)
from acaciawing.jobserver.messages import (
    CellKey,
    HoldingInterrupted,
    HoldingVerified,
    PartitionsAssigned,
)
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.store import Committed, NotOwned, Store

# Name of the store's group that deals the cells to instances.
GROUP = "cells"


class Holding:
    """Right of this instance to give orders for a cell under one fence.

    It lasts for a limited time after the last join that confirmed it, and ends
    for good with the membership that it was acquired under. After a change of
    the group, the store is asked whether the cell was held all the time.

    Args:
        key: The cell.
        member: Name of this instance in the group.
        store: ``ip:port`` of the store.
        send: Adds a message to the engine's inbox.
        confirmed_at: When the join was sent that assigned the cell, in
            seconds.
    """

    def __init__(
        self,
        key: CellKey,
        member: str,
        store: str,
        send: Callable[[HoldingVerified | HoldingInterrupted], None],
        confirmed_at: float,
    ) -> None:
        """Starts with the right to give orders."""
        self._key = key
        self._member = member
        self._store = store
        self._send = send
        self._confirmed_at = confirmed_at
        self._verified_generation = key.fence
        self._requested_generation = key.fence
        self._revoked = threading.Event()

    @property
    def key(self) -> CellKey:
        """The cell; its fence is the generation in which it was acquired."""
        return self._key

    @property
    def confirmed_at(self) -> float:
        """Time in seconds up to which no other instance held the cell."""
        return self._confirmed_at

    def is_valid(self, now: float) -> bool:
        """Returns whether orders may be given and leases be granted.

        May be called from any thread.
        """
        return (
            not self._revoked.is_set()
            and now - self._confirmed_at < AUTHORITY_S
        )

    def excludes_others(self, now: float) -> bool:
        """Returns whether no other instance can hold the cell yet."""
        return (
            self.is_valid(now)
            and now - self._confirmed_at < MEMBER_TTL_MS / 1000
        )

    def revoke(self) -> None:
        """Ends the right; may be called from any thread."""
        self._revoked.set()

    def update(self, assignment: PartitionsAssigned, now: float) -> str | None:
        """Prolongs the right after an answered join, or tells why it ends.

        Args:
            assignment: The answer.
            now: Current time in seconds.

        Returns:
            Why the cell must be given up, or acquired anew; None if it is held.
        """
        if self._key.partition not in assignment.partitions:
            return "assigned to another instance"
        if self._key.fence < assignment.first_generation:
            return "membership was interrupted"
        self._confirm(assignment)
        if assignment.generation > self._key.fence and not self.is_valid(now):
            # No other instance gets the cell while the joins are answered.
            return "not verified in time"
        return None

    def accept(self, verified: HoldingVerified) -> None:
        """Prolongs the right after the cell was held up to a generation."""
        self._verified_generation = max(
            self._verified_generation, verified.generation
        )
        self._prolong(verified.requested_at)

    def _confirm(self, assignment: PartitionsAssigned) -> None:
        """Prolongs the right; a new generation has to be verified first."""
        if assignment.generation == self._verified_generation:
            self._prolong(assignment.requested_at)
        elif assignment.generation != self._requested_generation:
            self._requested_generation = assignment.generation
            start_task(
                "holding",
                partial(
                    self._verify, assignment.generation, assignment.requested_at
                ),
            )

    def _prolong(self, confirmed_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def _verify(self, generation: int, requested_at: float) -> None:
        """Asks the store whether the cell was held since its fence."""
        store = Store(self._store)
        pause = RETRY_PAUSE_S
        while (
            generation == self._requested_generation
            and not self._revoked.is_set()
        ):
            result = store.commit(
                GROUP,
                self._member,
                JOBS_TOPIC,
                self._key.partition,
                self._key.fence,
            )
            if isinstance(result, Committed):
                self._send(HoldingVerified(self._key, generation, requested_at))
                return
            if isinstance(result, NotOwned):
                self._send(HoldingInterrupted(self._key))
                return
            self._revoked.wait(pause)
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)
