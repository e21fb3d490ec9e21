"""Leases of control subjects, agreed through the log."""

from acaciawing.leases.holder import (
    LEASE_S,
    Confirmation,
    HeldLease,
    action_deadline,
    held_leases,
    may_act,
    ranking,
    renewal_due,
    should_claim,
    update_confirmation,
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
    MAX_LEASE_S,
    Lease,
    LeaseTable,
    Session,
    check_fence,
    is_held,
    lease_end,
)

__all__ = [
    "LEASE_S",
    "MAX_LEASE_S",
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
    "action_deadline",
    "check_fence",
    "held_leases",
    "is_held",
    "lease_end",
    "may_act",
    "pool_subject",
    "ranking",
    "renewal_due",
    "should_claim",
    "update_confirmation",
]
