"""Log records of leases."""

from dataclasses import dataclass

from acaciawing.records import record_type

# Value of `LeaseClaimed.replaces` if the subject has no lease.
NO_LEASE = -1


@dataclass(frozen=True)
class Fence:
    """Identifies the lease under which a record was decided.

    The fold checks the fence of each record that has a field ``fence``; see
    `acaciawing.fold.step`.

    Attributes:
        subject: Subject of the lease, for example ``pool:visits``.
        token: Offset of the accepted claim (fencing token).
    """

    subject: str
    token: int


@record_type("lease-claimed", version=1)
@dataclass(frozen=True)
class LeaseClaimed:
    """Requests the lease of a subject.

    Attributes:
        subject: Subject of the lease.
        holder: ``instance/incarnation`` of the requester.
        replaces: Token of the lease that it replaces, or `NO_LEASE`.
        duration_s: Duration of the lease on the log's clock, in seconds. It
            is part of the record so that software versions with different
            settings fold the same stream to the same state.
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
        sequence: Number of the renewal, by which the holder recognises the
            renewal when it reads it back.
        duration_s: Duration of the renewed leases, in seconds.
    """

    holder: str
    sequence: int
    duration_s: float


@record_type("leases-released", version=1)
@dataclass(frozen=True)
class LeasesReleased:
    """Releases leases before their end, for example at a planned stop.

    Each lease is identified by its token, so that a duplicate or late record
    cannot release a lease that the holder has claimed since.

    Attributes:
        holder: ``instance/incarnation`` of the holder.
        leases: The leases to release. The holder must not act under them
            once it has sent this record.
    """

    holder: str
    leases: tuple[Fence, ...]


def pool_subject(pool: str) -> str:
    """Returns the lease subject of a pool.

    >>> pool_subject("visits")
    'pool:visits'
    """
    return f"pool:{pool}"
