"""Log records about the pool that each instance belongs to.

Each record names the lease of the pool that the instance is in, and each
record about a known instance names the ownership epoch that its writer saw.
"""

from dataclasses import dataclass

from acaciawing.leases import Fence
from acaciawing.records import record_type


@record_type("instance-adopted", version=1)
@dataclass(frozen=True)
class InstanceAdopted:
    """An instance of the platform's list that the fleet doesn't know yet.

    Attributes:
        instance: Id of the instance.
        incarnation: Its start number.
        pool: Pool that the platform started it in.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port`` of its endpoint.
        listed_at: `Listing.as_of` of the list it was seen in, seconds.
        fence: Lease of the pool.
    """

    instance: str
    incarnation: int
    pool: str
    zone: str
    rack: str
    address: str
    listed_at: float
    fence: Fence


@record_type("instance-replaced", version=1)
@dataclass(frozen=True)
class InstanceReplaced:
    """A newer incarnation of a known instance; it keeps its pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the writer saw.
        incarnation: Start number of the new incarnation.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port`` of its endpoint.
        listed_at: `Listing.as_of` of the list it was seen in, seconds.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    incarnation: int
    zone: str
    rack: str
    address: str
    listed_at: float
    fence: Fence


@record_type("instance-retired", version=1)
@dataclass(frozen=True)
class InstanceRetired:
    """A known instance that the platform no longer lists.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the writer saw.
        listed_at: `Listing.as_of` of the list that lacks it, seconds.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    listed_at: float
    fence: Fence


@record_type("move-begun", version=1)
@dataclass(frozen=True)
class MoveBegun:
    """Marks an instance as leaving; it stays in its pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the writer saw.
        to_pool: Pool that it moves to.
        reason: Why, for the audit, for example ``lent`` or ``loan-due``.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    to_pool: str
    reason: str
    fence: Fence


@record_type("move-finished", version=1)
@dataclass(frozen=True)
class MoveFinished:
    """Puts a drained instance into its new pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that `MoveBegun` led to.
        fence: Lease of the pool that the instance leaves.
    """

    instance: str
    epoch: int
    fence: Fence


@record_type("move-cancelled", version=1)
@dataclass(frozen=True)
class MoveCancelled:
    """Ends a move; the instance stays in its pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that `MoveBegun` led to.
        reason: Why, for the audit.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    reason: str
    fence: Fence


@record_type("instance-returned", version=1)
@dataclass(frozen=True)
class InstanceReturned:
    """An instance takes work again after a finished or cancelled move.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the end of the move led to.
        incarnation: Start number after the reboot.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    incarnation: int
    fence: Fence
