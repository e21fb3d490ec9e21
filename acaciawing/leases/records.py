"""Log records of leases."""

from dataclasses import dataclass

from acaciawing.records import record_type

# Named by a claim when the subject has no lease to replace.
NO_LEASE = -1


@dataclass(frozen=True)
class Fence:
    """Names the lease under which a record was decided.

    The fold checks the fence of each record that has a field ``fence``; see
    `acaciawing.fold.step`.

    Attributes:
        subject: What the lease is for, for example ``pool:visits``.
        token: Offset of the accepted lease record (fencing token).
    """

    subject: str
    token: int


@record_type("lease-claimed", version=1)
@dataclass(frozen=True)
class LeaseClaimed:
    """Asks for the lease of a subject.

    Attributes:
        subject: What the lease is for.
        holder: ``instance/incarnation`` of the claimant.
        replaces: Token of the lease that it replaces, or `NO_LEASE`.
        duration_s: Length of the lease on the log's clock, in seconds. It is
            part of the record, so that releases with different settings fold
            the same stream to the same state.
    """

    subject: str
    holder: str
    replaces: int
    duration_s: float


@record_type("leases-renewed", version=1)
@dataclass(frozen=True)
class LeasesRenewed:
    """Renews every lease of a holder.

    Attributes:
        holder: ``instance/incarnation`` of the holder.
        sequence: Number of the renewal; tells the holder which of its sends
            was read back.
        duration_s: Length of the renewed leases, in seconds.
    """

    holder: str
    sequence: int
    duration_s: float


@record_type("leases-released", version=1)
@dataclass(frozen=True)
class LeasesReleased:
    """Gives leases back before their end, for example at a planned stop.

    Each lease is named by its token, so that a repeated or late record cannot
    release a lease that the holder has claimed again since.

    Attributes:
        holder: ``instance/incarnation`` of the holder.
        leases: The leases to release. The holder acts under none of them once
            it has sent this record.
    """

    holder: str
    leases: tuple[Fence, ...]


def pool_subject(pool: str) -> str:
    """Returns the lease subject of a pool.

    >>> pool_subject("visits")
    'pool:visits'
    """
    return f"pool:{pool}"
