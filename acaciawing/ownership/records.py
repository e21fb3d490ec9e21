"""Log records about the pool that each instance belongs to.

Each record has the fence of the pool that the instance is in. Each record about
an owned instance also has the ownership epoch that its writer read.
"""

from dataclasses import dataclass

from acaciawing.leases import Fence
from acaciawing.records import record_type


@record_type("instance-adopted", version=1)
@dataclass(frozen=True)
class InstanceAdopted:
    """Adds an instance that the platform lists and that no pool owns yet.

    Attributes:
        instance: Id of the instance.
        incarnation: Its start number.
        pool: Pool that the platform started it in.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port`` of its endpoint.
        listed_at: `Listing.as_of` of the list that it was read from, seconds.
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
    """Records a new incarnation of an owned instance, which stays in its pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the writer read.
        incarnation: Start number of the new incarnation.
        zone: Availability zone.
        rack: Rack within the zone.
        address: ``ip:port`` of its endpoint.
        listed_at: `Listing.as_of` of the list that it was read from, seconds.
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
    """Removes an owned instance that the platform no longer lists.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the writer read.
        listed_at: `Listing.as_of` of the list without it, seconds.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    listed_at: float
    fence: Fence


@record_type("move-begun", version=1)
@dataclass(frozen=True)
class MoveBegun:
    """Begins a move; the instance stays in its pool until the move finishes.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the writer read.
        to_pool: Pool that it moves to.
        reason: Reason for the audit, for example ``lent`` or ``loan-due``.
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
    """Finishes a move: puts a drained instance into its new pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that `MoveBegun` set.
        fence: Lease of the pool that the instance leaves.
    """

    instance: str
    epoch: int
    fence: Fence


@record_type("move-cancelled", version=1)
@dataclass(frozen=True)
class MoveCancelled:
    """Cancels a move; the instance stays in its pool.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that `MoveBegun` set.
        reason: Reason for the audit.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    reason: str
    fence: Fence


@record_type("instance-returned", version=1)
@dataclass(frozen=True)
class InstanceReturned:
    """Records that an instance serves again after the end of a move.

    Attributes:
        instance: Id of the instance.
        epoch: Ownership epoch that the end of the move set.
        incarnation: Start number after the reboot.
        fence: Lease of the pool that the instance is in.
    """

    instance: str
    epoch: int
    incarnation: int
    fence: Fence
