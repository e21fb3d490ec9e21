"""Lending decisions of a control round.

The holder of the lending lease decides loans and returns. The holder of the
lease of the instance's current pool begins the moves for them, because the
records of a move carry the fence of that lease. A loan therefore continues when
either holder fails.
"""

from random import Random

from acaciawing.configuration import Service
from acaciawing.control.proposals import Proposal
from acaciawing.control.view import ControlView
from acaciawing.control.wave_decisions import (
    failures_by_plan,
    make_budget_snapshot,
)
from acaciawing.fold import FleetState
from acaciawing.leases import pool_subject
from acaciawing.lending import (
    LENDING_SUBJECT,
    DemandHistory,
    LendingRequest,
    LendingSnapshot,
    PoolInstance,
    PoolView,
    decide,
)
from acaciawing.maintenance import Stage, WaveStep
from acaciawing.ownership import SERVING, MoveBegun, OwnedInstance
from acaciawing.platform import Listing

# Loans follow demand that lasts for many seconds. A decision over 349 pools
# takes about 40 ms; at this interval per pool it is made every 17 s, which is
# 0.3% of a core.
_MIN_INTERVAL_S = 2.0
_INTERVAL_PER_POOL_S = 0.05

# Older demand doesn't show the current load; lending pauses until newer demand
# is known.
MAX_DEMAND_AGE_S = 60.0

# Slots of each instance of a pool without a service.
_DEFAULT_SLOTS = 8


def lend(
    state: FleetState, view: ControlView, now: float, random: Random
) -> Proposal:
    """Decides loans and returns under the lending lease."""
    no_proposal = Proposal(subjects=(LENDING_SUBJECT,))
    fence = view.fence(LENDING_SUBJECT, now)
    if fence is None or view.listing is None or view.demand_at is None:
        return no_proposal
    if now - view.demand_at > MAX_DEMAND_AGE_S:
        return no_proposal
    interval = _INTERVAL_PER_POOL_S * len(state.ownership.counts)
    since = view.log_now - view.history.updated_at
    if since < max(_MIN_INTERVAL_S, interval):
        return no_proposal
    # After a gap, for example without the lease, the history doesn't show
    # whether demand has lasted, so it starts anew.
    gap = since > MAX_DEMAND_AGE_S
    pools = _pools(state, view, view.listing)
    impact_by_pool = failures_by_plan(state.configuration.configuration)
    snapshot = LendingSnapshot(
        state.loans,
        pools,
        DemandHistory() if gap else view.history,
        view.move_cost_s,
        make_budget_snapshot(state),
        {
            owned.instance: impact_by_pool.get(owned.pool, {})
            for owned in state.ownership.instances.values()
        },
    )
    decided = decide(snapshot, LendingRequest(fence), view.log_now)
    return Proposal(
        (LENDING_SUBJECT,), decided.records, history=decided.history
    )


def begin_moves(
    state: FleetState, view: ControlView, now: float, random: Random
) -> Proposal:
    """Begins the moves that accepted loans and returns require."""
    draining = {
        record.instance
        for record in view.pending_records
        if isinstance(record, WaveStep) and record.stage is Stage.DRAINING
    }
    moves = []
    for name, loan in sorted(state.loans.active.items()):
        owned = state.ownership.instances.get(name)
        target = loan.home if loan.returning else loan.borrower
        if owned is None or owned.pool == target or owned.phase != SERVING:
            continue
        fence = view.fence(pool_subject(owned.pool), now)
        # A wave that has begun to maintain the instance completes first.
        busy = name in state.waves.in_progress or name in draining
        if fence is None or busy:
            continue
        reason = "loan-return" if loan.returning else "lent"
        moves.append(MoveBegun(name, owned.epoch, target, reason, fence))
    return Proposal(records=tuple(moves))


def _pools(
    state: FleetState, view: ControlView, listing: Listing
) -> dict[str, PoolView]:
    """Returns all pools; a pool without a service neither lends nor borrows."""
    services: dict[str, Service] = {
        s.pool: s for s in state.configuration.configuration.services
    }
    live = {i.instance for i in listing.instances if i.state == "live"}
    found: dict[str, list[PoolInstance]] = {name: [] for name in services}
    for owned in state.ownership.instances.values():
        available = owned.pool in services and _is_available(state, owned, live)
        instance = PoolInstance(
            owned.instance, owned.zone, owned.epoch, available
        )
        found.setdefault(owned.pool, []).append(instance)
    views = {}
    for name, instances in found.items():
        service = services.get(name)
        views[name] = PoolView(
            name,
            tuple(sorted(instances, key=lambda i: i.instance)),
            _DEFAULT_SLOTS if service is None else service.slots,
            view.demand.get(name, 0.0),
            spare=service is not None and service.spare,
        )
    return views


def _is_available(
    state: FleetState, owned: OwnedInstance, live: set[str]
) -> bool:
    return (
        owned.phase == SERVING
        and owned.instance in live
        and owned.instance not in state.waves.in_progress
        and owned.instance not in state.waves.outages
    )
