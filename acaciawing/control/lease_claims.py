"""Claims, renewals and releases of leases in a control round."""

from collections.abc import Iterator
from random import Random

from acaciawing.control.view import ControlView
from acaciawing.fold import FleetState
from acaciawing.leases import (
    LEASE_S,
    NO_LEASE,
    LeaseClaimed,
    LeasesReleased,
    LeasesRenewed,
    is_held,
    pool_subject,
    renewal_due,
    should_claim,
)

SNAPSHOT_SUBJECT = "snapshots"

# A renewal that was not read back within this time is sent again. The log is
# read about twice in that time.
_RENEWAL_RETRY_S = 1.0


def required_subjects(state: FleetState, view: ControlView) -> list[str]:
    """Returns the subjects whose leases have to be held, in order.

    The pools are those of the configuration, of the owned instances and of the
    platform's list. A listed instance can only be adopted under the lease of
    its pool.
    """
    pools = {s.pool for s in state.configuration.configuration.services}
    pools |= set(state.ownership.counts)
    if view.listing is not None:
        pools |= {listed.pool for listed in view.listing.instances}
    return [SNAPSHOT_SUBJECT, *(pool_subject(pool) for pool in sorted(pools))]


def renewals(view: ControlView, now: float) -> Iterator[LeasesRenewed]:
    """Yields one renewal of all leases of this process when it is due."""
    if not view.held or view.counted_from is None:
        return
    if not renewal_due(view.counted_from, now):
        return
    sent = view.renewal_sent_at
    if sent is None or now - sent >= _RENEWAL_RETRY_S:
        yield LeasesRenewed(view.writer, view.sequence, LEASE_S)


def claims(
    state: FleetState,
    view: ControlView,
    required_subjects: list[str],
    now: float,
    random: Random,
) -> Iterator[LeaseClaimed]:
    """Yields claims of free subjects, in random order.

    The random order keeps two instances that claim all free subjects from
    competing for each of them.
    """
    free = [
        s
        for s in required_subjects
        if not is_held(state.leases, s, view.log_now)
    ]
    random.shuffle(free)
    for subject in free:
        unheld_s = now - view.free_since.get(subject, now)
        if should_claim(subject, view.instance, view.live, unheld_s):
            lease = state.leases.leases.get(subject)
            token = NO_LEASE if lease is None else lease.token
            yield LeaseClaimed(subject, view.writer, token, LEASE_S)


def releases(
    view: ControlView, required_subjects: list[str]
) -> Iterator[LeasesReleased]:
    """Yields the release of leases: all at a stop, else those not required."""
    keep = set() if view.stopping else set(required_subjects)
    fences = [
        lease.fence
        for subject, lease in sorted(view.held.items())
        if subject not in keep
    ]
    if fences:
        yield LeasesReleased(view.writer, tuple(fences))
