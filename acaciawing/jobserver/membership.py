"""Membership in the store's group, which assigns cells to instances."""

import threading
from collections.abc import Callable

from xxhash import xxh32_intdigest

from acaciawing.jobs.holding import JoinAnswer, Membership
from acaciawing.jobserver.cell_log import JOBS_TOPIC
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.holding import GROUP
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
from acaciawing.platform.store import Store, StoreUnavailable
from acaciawing.telemetry import Event, log_event

# Interval between two reads of the cells' holders.
_HOLDERS_READ_INTERVAL_S = 1.0

# Minimum time between two reads, however many were requested.
_MIN_HOLDERS_READ_INTERVAL_S = 0.05

# Suffix of the names of members that hold cells only if no other does.
_STANDBY_SUFFIX = "/standby"

# Time for the engine to drop a cell before the next join releases it.
_HANDOVER_S = 0.03


def group_member(address: str, *, standby: bool) -> str:
    """Returns an instance's name in the group.

    Args:
        address: The instance's address for its peers.
        standby: Whether it holds cells only if no more capable one does.
    """
    return address + _STANDBY_SUFFIX if standby else address


def cell_of(service: str, partitions: int) -> int:
    """Returns the cell of a service.

    The last partition is reserved for the fleet's cell.
    """
    return xxh32_intdigest(service.encode()) % max(1, partitions - 1)


def fleet_cell(partitions: int) -> int:
    """Returns the cell whose holder runs waves and moves machines."""
    return partitions - 1


class StoreContact:
    """Records when the store last answered any task of this instance."""

    def __init__(self) -> None:
        """Starts without an answer."""
        self._answered_at = float("-inf")
        self._last_call_failed = False

    @property
    def answered_at(self) -> float:
        """Time of the last answer, in seconds."""
        return self._answered_at

    def is_lost(self, now: float) -> bool:
        """Returns whether the store is considered unreachable."""
        return now - self._answered_at > STORE_LOST_AFTER_S

    def record_answer(self, now: float) -> None:
        """Records an answer."""
        self._answered_at = now
        if self._last_call_failed:
            self._last_call_failed = False
            log_event(Event.STORE_REGAINED, {})

    def record_failure(self, now: float, detail: str) -> None:
        """Records a call without a usable answer."""
        if not self._last_call_failed:
            self._last_call_failed = True
            age_s = round(now - self._answered_at, 3)
            log_event(Event.STORE_LOST, {"detail": detail, "age_s": age_s})


class MembershipTask:
    """Renews the membership and reports assigned cells to the engine.

    Args:
        address: ``ip:port`` of the store.
        member: Name in the group: this instance's address for its peers.
        contact: Records whether the store answers.
        send: Adds a message to the engine's inbox.
        partitions: Number of partitions that the group assigns.
        holders: Determines whether this instance must stand by for a more
            capable one; None if it is capable itself.
    """

    def __init__(
        self,
        address: str,
        member: str,
        contact: StoreContact,
        send: Callable[[PartitionsAssigned], None],
        partitions: int,
        holders: "CellHolders | None" = None,
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._store = Store(address)
        self._member = group_member(member, standby=holders is not None)
        self._holders = holders
        self._partition_count = partitions
        self._contact = contact
        self._send = send
        self._closed = threading.Event()
        self._ended = threading.Event()
        self._membership = Membership()
        self._rejoin_requested = threading.Event()
        self._timeout_s = JOIN_TIMEOUT_S

    def start(self) -> None:
        """Starts the thread."""
        start_task("membership", self._run)

    def request_rejoin(self) -> None:
        """Requests that the instance leaves the group and joins it anew."""
        self._rejoin_requested.set()

    def leave(self, timeout_s: float) -> None:
        """Leaves the group, so that others take over immediately."""
        self._closed.set()
        self._ended.wait(timeout_s)

    def _run(self) -> None:
        # An earlier process with the same address may still be a member. Leaving
        # makes its cells return with a new generation, which fences it.
        while not self._closed.is_set():
            if self._store.leave(GROUP, self._member):
                break
            self._contact.record_failure(
                steady_s(), "no answer to the leave request"
            )
            self._closed.wait(JOIN_INTERVAL_S)
        while not self._closed.is_set():
            if self._holders is not None and self._holders.standby_required(
                steady_s()
            ):
                if self._membership.generation:
                    self._begin_anew()
                self._closed.wait(JOIN_INTERVAL_S)
                continue
            if self._rejoin_requested.is_set():
                self._rejoin_requested.clear()
                self._begin_anew()
            before = self._membership.partitions
            self._join()
            # The next join releases the cells assigned to other instances.
            removed = before - self._membership.partitions
            self._closed.wait(_HANDOVER_S if removed else JOIN_INTERVAL_S)
        self._store.leave(GROUP, self._member)
        self._ended.set()

    def _begin_anew(self) -> None:
        """Releases all cells and leaves the group."""
        self._membership = Membership()
        self._send_assignment()
        self._closed.wait(_HANDOVER_S)
        if not self._store.leave(GROUP, self._member):
            self._contact.record_failure(
                steady_s(), "no answer to the leave request"
            )

    def _join(self) -> None:
        requested_at = steady_s()
        result = self._store.join(
            GROUP,
            self._member,
            JOBS_TOPIC,
            MEMBER_TTL_MS,
            self._membership.generation,
            self._timeout_s,
        )
        if isinstance(result, StoreUnavailable):
            self._timeout_s = SLOW_JOIN_TIMEOUT_S
            self._contact.record_failure(steady_s(), result.detail)
            return
        self._timeout_s = JOIN_TIMEOUT_S
        self._contact.record_answer(steady_s())
        answer = JoinAnswer(result.generation, result.partitions, requested_at)
        fault = self._membership.find_fault(answer, self._partition_count)
        if fault is not None:
            log_event(Event.FINDING, {"place": "join", "fault": fault})
            self._begin_anew()
            return
        before = self._membership
        self._membership = before.renew(answer, MEMBER_TTL_MS / 1000)
        _log_change(before, self._membership)
        self._send_assignment()

    def _send_assignment(self) -> None:
        membership = self._membership
        self._send(
            PartitionsAssigned(
                membership.partitions,
                membership.generation,
                membership.confirmed_at,
                membership.first_generation,
            )
        )


def _log_change(before: Membership, after: Membership) -> None:
    """Logs an answered join after which other instances may hold cells."""
    gap_s = after.confirmed_at - before.confirmed_at
    if after.generation == before.generation and 1000 * gap_s <= MEMBER_TTL_MS:
        return
    log_event(
        Event.MEMBERSHIP_CHANGED,
        {
            "generation": after.generation,
            "before": before.generation,
            "gap_s": round(gap_s, 3) if before.generation else 0,
            "unbroken": after.first_generation == before.first_generation,
            "kept": len(before.partitions & after.partitions),
            "gained": len(after.partitions - before.partitions),
            "lost": len(before.partitions - after.partitions),
        },
    )


class CellHolders:
    """Addresses of the cells' holders, refreshed by a thread.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Stores the address; `start` starts the thread."""
        self._store = Store(address)
        self._members: dict[int, str] = {}
        self._refresh_requested = threading.Event()
        self._standby_only_since: float | None = None

    def start(self) -> None:
        """Starts the thread."""
        start_task("holders", self._run, restart=True)

    def member(self, partition: int) -> str:
        """Returns the address of a cell's holder, or an empty string."""
        return self._members.get(partition, "").removesuffix(_STANDBY_SUFFIX)

    def standby_required(self, now: float) -> bool:
        """Returns whether a less capable instance must not hold cells."""
        return (
            self._standby_only_since is None
            or now - self._standby_only_since < STANDBY_DELAY_S
        )

    def request_refresh(self) -> None:
        """Requests a refresh before the interval has passed."""
        self._refresh_requested.set()

    def _run(self) -> None:
        while True:
            result = self._store.owners(GROUP, JOBS_TOPIC)
            if isinstance(result, StoreUnavailable):
                log_event(
                    Event.FINDING, {"place": "owners", "fault": result.detail}
                )
            else:
                self._members = result
                self._update_standby_only_since(steady_s())
            self._refresh_requested.wait(_HOLDERS_READ_INTERVAL_S)
            self._refresh_requested.clear()
            # Several requests in close succession need only one refresh.
            threading.Event().wait(_MIN_HOLDERS_READ_INTERVAL_S)

    def _update_standby_only_since(self, now: float) -> None:
        members = self._members.values()
        if any(not member.endswith(_STANDBY_SUFFIX) for member in members):
            self._standby_only_since = None
        elif self._standby_only_since is None:
            self._standby_only_since = now
