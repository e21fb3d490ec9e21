"""Decisions of a lease holder, on its own monotonic clock.

The holder counts from before it sent the record that was accepted, and the
fold from the append, which is later. Less a margin for clocks that run at
different rates, the holder therefore stops before another may take over.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from acaciawing.leases.records import Fence
from acaciawing.leases.table import LeaseTable

LEASE_S = 10.0
RENEWAL_INTERVAL_S = 3.0
# Covers clocks that drift apart by up to 10% over a lease.
CLOCK_MARGIN_S = 1.0
# Delay between the tries of successive ranks; longer than an append and a read
# of the log take (2 s at most while it is up), so that a rank sees whether the
# ranks before it have succeeded.
CLAIM_DELAY_STEP_S = 2.0


@dataclass(frozen=True)
class HeldLease:
    """A lease that was read back as accepted.

    Attributes:
        fence: Subject and token, for the records decided under it.
        counted_from: Monotonic time just before the first send of the newest
            accepted claim or renewal, in seconds.
        duration_s: Length in that record, in seconds.
    """

    fence: Fence
    counted_from: float
    duration_s: float


@dataclass(frozen=True)
class Confirmation:
    """The newest own lease record that was read back as accepted.

    Attributes:
        session: `Session.started` at that record.
        counted_from: See `HeldLease`.
        duration_s: Length in that record, in seconds.
    """

    session: int
    counted_from: float
    duration_s: float


def may_act(lease: HeldLease, now: float) -> bool:
    """Returns whether the holder may act under the lease.

    Args:
        lease: A lease of this process.
        now: Monotonic time in seconds.

    >>> lease = HeldLease(Fence("pool:visits", 7), 100.0, 10.0)
    >>> may_act(lease, 108.9), may_act(lease, 109.0)
    (True, False)
    """
    return now < action_deadline(lease)


def action_deadline(lease: HeldLease) -> float:
    """Returns the monotonic time from which the holder may no longer act."""
    return lease.counted_from + lease.duration_s - CLOCK_MARGIN_S


def renewal_due(counted_from: float, now: float) -> bool:
    """Returns whether the holder has to renew its leases.

    Args:
        counted_from: Time before the send of the last accepted claim or
            renewal, in seconds.
        now: Monotonic time in seconds.
    """
    return now - counted_from >= RENEWAL_INTERVAL_S


def update_confirmation(
    previous: Confirmation | None,
    table: LeaseTable,
    holder: str,
    sent_at: float,
    duration_s: float,
) -> Confirmation | None:
    """Takes note of an own claim or renewal read back as accepted.

    Args:
        previous: The confirmation so far.
        table: Leases after the record.
        holder: ``instance/incarnation`` of this process.
        sent_at: Monotonic time before the first send of the record.
        duration_s: Length in the record, in seconds.

    Returns:
        The confirmation to count from, or None without a session.
    """
    session = table.sessions.get(holder)
    if session is None:
        return None
    fresh = Confirmation(session.started, sent_at, duration_s)
    if previous is None or previous.session != session.started:
        return fresh
    if previous.counted_from + previous.duration_s > sent_at + duration_s:
        return previous
    return fresh


def held_leases(
    table: LeaseTable, holder: str, confirmation: Confirmation | None
) -> dict[str, HeldLease]:
    """Returns the leases of a process by subject.

    There are none in a session that has no confirmation yet.
    """
    session = table.sessions.get(holder)
    if confirmation is None or session is None:
        return {}
    if confirmation.session != session.started:
        return {}
    return {
        subject: HeldLease(
            Fence(subject, lease.token),
            confirmation.counted_from,
            confirmation.duration_s,
        )
        for subject, lease in table.leases.items()
        if lease.holder == holder
    }


def ranking(subject: str, live: Sequence[str]) -> list[str]:
    """Orders instances by rendezvous hashing, the first choice first.

    Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Args:
        subject: What is to be assigned.
        live: Ids of the instances in the live view, in any order.

    >>> ranking("pool:visits", ["a", "b"]) == ranking("pool:visits", ["b", "a"])
    True
    """
    return sorted(
        live,
        key=lambda i: (xxh3_64_intdigest(f"{subject}\0{i}".encode()), i),
        reverse=True,
    )


def should_claim(
    subject: str, instance: str, live: Sequence[str], free_for_s: float
) -> bool:
    """Returns whether an instance should claim a free subject now.

    The first in rank claims at once and each following one `CLAIM_DELAY_STEP_S`
    later, so a first choice that can't claim doesn't leave the subject free.
    It only saves appends: two claims at once do no harm.

    Args:
        subject: What the lease is for.
        instance: Id of this instance.
        live: Ids of the instances in the live view.
        free_for_s: How long this process has seen the subject free.
    """
    order = ranking(subject, sorted({*live, instance}))
    return order.index(instance) * CLAIM_DELAY_STEP_S <= free_for_s
