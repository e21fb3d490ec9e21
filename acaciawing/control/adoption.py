"""Adoption, replacement and retirement of the platform's instances."""

from collections.abc import Iterator

from acaciawing.control.view import STATUS, ControlView, WorkerCall
from acaciawing.fold import FleetState
from acaciawing.leases import pool_subject
from acaciawing.ownership import (
    InstanceAdopted,
    InstanceReplaced,
    InstanceRetired,
    OwnedInstance,
)
from acaciawing.platform import ListedInstance, Listing

LIVE = "live"

# The platform's list lags and omits an instance that reboots. The status of an
# instance is requested only once it has been off the list for this long, and it
# is retired only if the platform doesn't know it.
RETIREMENT_ABSENCE_S = 10.0


def adoptions(
    state: FleetState, view: ControlView, now: float
) -> Iterator[InstanceAdopted | InstanceReplaced]:
    """Yields records that adopt new instances and new incarnations."""
    if view.listing is None:
        return
    # Nearly all instances are known, so fences are looked up only for the rest.
    owned = state.ownership.instances
    unknown = [
        listed
        for listed in view.listing.instances
        if listed.state == LIVE and _is_new(listed, owned.get(listed.instance))
    ]
    for listed in sorted(unknown, key=lambda i: i.instance):
        record = _adoption(state, view, view.listing, listed, now)
        if record is not None:
            yield record


def _is_new(listed: ListedInstance, known: OwnedInstance | None) -> bool:
    return known is None or listed.incarnation > known.incarnation


def _adoption(
    state: FleetState,
    view: ControlView,
    listing: Listing,
    listed: ListedInstance,
    now: float,
) -> InstanceAdopted | InstanceReplaced | None:
    known = state.ownership.instances.get(listed.instance)
    pool = listed.pool if known is None else known.pool
    fence = view.fence(pool_subject(pool), now)
    if fence is None:
        return None
    place = (listed.zone, listed.rack, listed.address)
    if known is None:
        return InstanceAdopted(
            listed.instance,
            listed.incarnation,
            listed.pool,
            *place,
            listing.as_of,
            fence,
        )
    return InstanceReplaced(
        known.instance,
        known.epoch,
        listed.incarnation,
        *place,
        listing.as_of,
        fence,
    )


def retirements(
    state: FleetState, view: ControlView, now: float
) -> Iterator[InstanceRetired | WorkerCall]:
    """Yields a status call for each absent instance, then its retirement."""
    if view.listing is None:
        return
    for instance, since in sorted(view.absent_since.items()):
        known = state.ownership.instances.get(instance)
        if known is None or now - since < RETIREMENT_ABSENCE_S:
            continue
        fence = view.fence(pool_subject(known.pool), now)
        if fence is None:
            continue
        if instance in view.unknown_instances:
            as_of = view.listing.as_of
            yield InstanceRetired(instance, known.epoch, as_of, fence)
        else:
            operation_id = f"{instance}/{known.epoch}/{STATUS}"
            yield WorkerCall(STATUS, instance, operation_id, fence)
