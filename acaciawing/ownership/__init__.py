"""Ownership: the pool that each instance belongs to."""

from acaciawing.ownership.records import (
    InstanceAdopted,
    InstanceReplaced,
    InstanceRetired,
    InstanceReturned,
    MoveBegun,
    MoveCancelled,
    MoveFinished,
)
from acaciawing.ownership.table import (
    LEAVING,
    RETURNING,
    SERVING,
    OwnedInstance,
    Ownership,
    Retirement,
    members,
)

__all__ = [
    "LEAVING",
    "RETURNING",
    "SERVING",
    "InstanceAdopted",
    "InstanceReplaced",
    "InstanceRetired",
    "InstanceReturned",
    "MoveBegun",
    "MoveCancelled",
    "MoveFinished",
    "OwnedInstance",
    "Ownership",
    "Retirement",
    "members",
]
