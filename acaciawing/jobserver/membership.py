"""Membership in the store's group, which deals cells to instances."""

import threading
from collections.abc import Callable

from xxhash import xxh32_intdigest

from acaciawing.jobserver.cell_log import JOBS_TOPIC
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import (
    JOIN_INTERVAL_S,
    JOIN_TIMEOUT_S,
    MEMBER_TTL_MS,
    SLOW_JOIN_TIMEOUT_S,
    STANDBY_DELAY_S,
    STORE_LOST_AFTER_S,
)
from acaciawing.jobserver.messages import PartitionsAssigned
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.store import Membership, Store, Unavailable
from acaciawing.telemetry import Event, log_event

GROUP = "cells"

# Time between two reads of the cells' holders, in seconds.
_OWNERS_INTERVAL_S = 1.0

# Ends the names of members that hold cells only when no other does.
_STANDBY_SUFFIX = "/standby"

# Time in which the engine drops a cell before the next join releases it, in
# seconds.
_HANDOVER_S = 0.03


def cell_of(service: str, partitions: int) -> int:
    """Returns the cell of a service.

    The last partition is kept for work of the fleet as a whole.
    """
    return xxh32_intdigest(service.encode()) % max(1, partitions - 1)


def fleet_cell(partitions: int) -> int:
    """Returns the cell of waves and of moves between pools."""
    return partitions - 1


class StoreContact:
    """When the store last answered this instance, as any of its tasks saw."""

    def __init__(self) -> None:
        """Starts without contact."""
        self._answered_at = float("-inf")
        self._lost = False

    @property
    def answered_at(self) -> float:
        """Time of the last answer, in seconds."""
        return self._answered_at

    def is_lost(self, now: float) -> bool:
        """Whether nothing can be stored through this instance now."""
        return now - self._answered_at > STORE_LOST_AFTER_S

    def record_answer(self, now: float) -> None:
        """Notes an answer."""
        self._answered_at = now
        if self._lost:
            self._lost = False
            log_event(Event.STORE_REGAINED, {})

    def record_failure(self, now: float, detail: str) -> None:
        """Notes a call without a usable answer."""
        if not self._lost:
            self._lost = True
            age_s = round(now - self._answered_at, 3)
            log_event(Event.STORE_LOST, {"detail": detail, "age_s": age_s})


class MembershipTask:
    """Keeps the membership and tells the engine which cells are ours.

    Args:
        address: ``ip:port`` of the store.
        member: Name in the group: the address for other instances.
        contact: Receives whether the store answers.
        send: Puts a message into the engine's inbox.
        holders: Tells whether a more capable instance holds cells; None for
            an instance that is capable itself.
    """

    def __init__(
        self,
        address: str,
        member: str,
        contact: StoreContact,
        send: Callable[[PartitionsAssigned], None],
        holders: "CellHolders | None" = None,
    ) -> None:
        """Keeps the arguments; `start` starts the thread."""
        self._store = Store(address)
        self._member = member if holders is None else member + _STANDBY_SUFFIX
        self._holders = holders
        self._contact = contact
        self._send = send
        self._closed = threading.Event()
        self._ended = threading.Event()
        self._partitions: frozenset[int] = frozenset()
        self._timeout_s = JOIN_TIMEOUT_S

    def start(self) -> None:
        """Starts the thread."""
        start_task("membership", self._run)

    def leave(self, timeout_s: float) -> None:
        """Leaves the group, so that others take over at once."""
        self._closed.set()
        self._ended.wait(timeout_s)

    def _run(self) -> None:
        # An earlier process of the same address may still be a member; its
        # cells must come to us with a new generation, which fences it.
        while not self._closed.is_set():
            if self._store.leave(GROUP, self._member):
                break
            self._contact.record_failure(steady_s(), "no answer to leave")
            self._closed.wait(JOIN_INTERVAL_S)
        generation = 0
        while not self._closed.is_set():
            if self._holders is not None and self._holders.standby_required(
                steady_s()
            ):
                if generation:
                    self._step_down(generation)
                generation = 0
                self._closed.wait(JOIN_INTERVAL_S)
                continue
            before = self._partitions
            generation = self._join(generation)
            # The next join hands over what was dealt to others.
            removed = before - self._partitions
            self._closed.wait(_HANDOVER_S if removed else JOIN_INTERVAL_S)
        self._store.leave(GROUP, self._member)
        self._ended.set()

    def _step_down(self, generation: int) -> None:
        """Hands all cells to a more capable instance."""
        self._partitions = frozenset()
        self._send(PartitionsAssigned(frozenset(), generation, steady_s()))
        self._closed.wait(_HANDOVER_S)
        if not self._store.leave(GROUP, self._member):
            self._contact.record_failure(steady_s(), "no answer to leave")

    def _join(self, generation: int) -> int:
        requested_at = steady_s()
        result = self._store.join(
            GROUP,
            self._member,
            JOBS_TOPIC,
            MEMBER_TTL_MS,
            generation,
            self._timeout_s,
        )
        if isinstance(result, Membership):
            self._timeout_s = JOIN_TIMEOUT_S
            self._partitions = result.partitions
            self._contact.record_answer(steady_s())
            self._send(
                PartitionsAssigned(
                    result.partitions, result.generation, requested_at
                )
            )
            return result.generation
        self._timeout_s = SLOW_JOIN_TIMEOUT_S
        self._contact.record_failure(steady_s(), result.detail)
        return generation


class CellHolders:
    """Which instance holds each cell; refreshed by a thread of its own.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Keeps the address; `start` starts the thread."""
        self._store = Store(address)
        self._members: dict[int, str] = {}
        self._refresh_requested = threading.Event()
        self._alone_since: float | None = None

    def start(self) -> None:
        """Starts the thread."""
        start_task("holders", self._run, restart=True)

    def member(self, partition: int) -> str:
        """Returns the address of a cell's holder, or an empty text."""
        return self._members.get(partition, "").removesuffix(_STANDBY_SUFFIX)

    def standby_required(self, now: float) -> bool:
        """Whether an instance of small means need not hold cells."""
        return (
            self._alone_since is None
            or now - self._alone_since < STANDBY_DELAY_S
        )

    def request_refresh(self) -> None:
        """Asks for an early refresh."""
        self._refresh_requested.set()

    def _run(self) -> None:
        while True:
            result = self._store.owners(GROUP, JOBS_TOPIC)
            if isinstance(result, Unavailable):
                log_event(
                    Event.FINDING, {"place": "owners", "fault": result.detail}
                )
            else:
                self._members = result
                self._update_alone_since(steady_s())
            self._refresh_requested.wait(_OWNERS_INTERVAL_S)
            self._refresh_requested.clear()
            # Several requests may ask for the same refresh.
            threading.Event().wait(0.05)

    def _update_alone_since(self, now: float) -> None:
        members = self._members.values()
        if any(not member.endswith(_STANDBY_SUFFIX) for member in members):
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
