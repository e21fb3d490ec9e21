"""Leases of control subjects, agreed through the log."""

from acaciawing.leases.holding import (
    LEASE_S,
    Confirmation,
    HeldLease,
    act_before,
    confirm,
    held_leases,
    may_act,
    ranking,
    renewal_due,
    should_claim,
)
from acaciawing.leases.records import (
    NO_LEASE,
    Fence,
    LeaseClaimed,
    LeasesReleased,
    LeasesRenewed,
    pool_subject,
)
from acaciawing.leases.table import (
    LONGEST_LEASE_S,
    Lease,
    LeaseTable,
    Session,
    check_fence,
    end_of,
    is_held,
)

__all__ = [
    "LEASE_S",
    "LONGEST_LEASE_S",
    "NO_LEASE",
    "Confirmation",
    "Fence",
    "HeldLease",
    "Lease",
    "LeaseClaimed",
    "LeaseTable",
    "LeasesReleased",
    "LeasesRenewed",
    "Session",
    "act_before",
    "check_fence",
    "confirm",
    "end_of",
    "held_leases",
    "is_held",
    "may_act",
    "pool_subject",
    "ranking",
    "renewal_due",
    "should_claim",
]
