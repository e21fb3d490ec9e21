"""Which leases to claim, renew and release in a round."""

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

SNAPSHOTS = "snapshots"

# A renewal that was not read back is sent again; two reads of the log fit in.
_RENEWAL_RETRY_S = 1.0


def subjects(state: FleetState, view: ControlView) -> list[str]:
    """Returns the subjects that someone has to hold, ordered.

    The pools are those of the configuration, of the instances, and of the list,
    whose instances can only be adopted under the lease of their pool.
    """
    pools = {s.pool for s in state.configuration.configuration.services}
    pools |= set(state.ownership.counts)
    if view.listing is not None:
        pools |= {listed.pool for listed in view.listing.instances}
    return [SNAPSHOTS, *(pool_subject(pool) for pool in sorted(pools))]


def renewals(view: ControlView, now: float) -> Iterator[LeasesRenewed]:
    """Yields the renewal of all leases of this process when it is due."""
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
    wanted: list[str],
    now: float,
    random: Random,
) -> Iterator[LeaseClaimed]:
    """Yields claims of free subjects, in random order.

    With a random order, two instances that both want all subjects don't race
    for each of them.
    """
    free = [s for s in wanted if not is_held(state.leases, s, view.log_now)]
    random.shuffle(free)
    for subject in free:
        free_for = now - view.free_since.get(subject, now)
        if should_claim(subject, view.instance, view.live, free_for):
            lease = state.leases.leases.get(subject)
            token = NO_LEASE if lease is None else lease.token
            yield LeaseClaimed(subject, view.writer, token, LEASE_S)


def releases(view: ControlView, wanted: list[str]) -> Iterator[LeasesReleased]:
    """Yields the release of all leases at a stop, else of those not needed."""
    keep = set() if view.stopping else set(wanted)
    fences = [
        lease.fence
        for subject, lease in sorted(view.held.items())
        if subject not in keep
    ]
    if fences:
        yield LeasesReleased(view.writer, tuple(fences))
