"""Decisions of a lease holder, on its own monotonic clock.

The holder counts the duration from a time before it sent the accepted record;
the fold counts it from the append, which is later. With a margin for clocks
that run at different rates, the holder therefore stops acting before another
process may take over.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from acaciawing.leases.records import Fence
from acaciawing.leases.table import LeaseTable

LEASE_S = 10.0
RENEWAL_INTERVAL_S = 3.0
# Allows for clocks that drift apart by up to 10% over a lease.
CLOCK_MARGIN_S = 1.0
# Delay between the claims of instances that follow each other in `ranking`. An
# append and a read of the log take at most 2 s while it is available, so each
# instance learns whether an earlier one has succeeded before it claims.
CLAIM_DELAY_STEP_S = 2.0


@dataclass(frozen=True)
class HeldLease:
    """A lease that this process has read back as accepted.

    Attributes:
        fence: Subject and token, for the records decided under the lease.
        counted_from: Monotonic time just before the newest accepted claim or
            renewal was first sent, in seconds.
        duration_s: Lease duration in that record, in seconds.
    """

    fence: Fence
    counted_from: float
    duration_s: float


@dataclass(frozen=True)
class Confirmation:
    """The newest claim or renewal that this process read back as accepted.

    Attributes:
        session: `Session.started` of the holder's session after that record.
        counted_from: See `HeldLease`.
        duration_s: Lease duration in that record, in seconds.
    """

    session: int
    counted_from: float
    duration_s: float


def may_act(lease: HeldLease, now: float) -> bool:
    """Returns whether the holder may still act under the lease.

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
    """Returns whether the holder has to renew its leases now.

    Args:
        counted_from: Monotonic time before the last accepted claim or
            renewal was sent, in seconds.
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
    """Updates the confirmation with a claim or renewal read back as accepted.

    Args:
        previous: The previous confirmation, if any.
        table: Leases after that record.
        holder: ``instance/incarnation`` of this process.
        sent_at: Monotonic time before the record was first sent, in seconds.
        duration_s: Lease duration in the record, in seconds.

    Returns:
        The previous or the new confirmation, whichever gives the leases of
        the current session the later end; None if the holder has no session.
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

    Returns none while the current session has no confirmation.
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
    """Orders instances by rendezvous hashing, the preferred holder first.

    Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Args:
        subject: The subject to assign.
        live: Ids of the live instances, in any order.

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

    The first instance in `ranking` claims at once and each further one
    `CLAIM_DELAY_STEP_S` later, so that another instance claims the subject if
    the first can't. The delay only saves appends: concurrent claims do no harm.

    Args:
        subject: Subject of the lease.
        instance: Id of this instance.
        live: Ids of the live instances.
        free_for_s: Time for which this process has observed the subject as
            free, in seconds.
    """
    order = ranking(subject, sorted({*live, instance}))
    return order.index(instance) * CLAIM_DELAY_STEP_S <= free_for_s
