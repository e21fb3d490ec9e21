"""Baseline lending: thresholds on the current load, without history."""

from collections.abc import Mapping

from acaciawing.lending import MoveIntent, PoolView

BORROW_ABOVE_SHARE = 0.8
RETURN_BELOW_SHARE = 0.3


def baseline_moves(
    pools: Mapping[str, PoolView],
    homes: Mapping[str, str],
    arriving: Mapping[str, int],
) -> list[MoveIntent]:
    """Chooses moves by the current load of each pool.

    A pool borrows above one threshold and returns an instance below another.

    Args:
        pools: Current state of all pools.
        homes: Home pool of each instance.
        arriving: Number of instances that move to each pool. They are treated
            as capacity, so that the same load does not order them twice.

    Returns:
        At most one move for each pool.
    """
    moves = []
    moving: set[str] = set()
    for view in sorted(pools.values(), key=lambda v: v.pool):
        size = len(view.available) + arriving.get(view.pool, 0)
        load = view.demand / max(1, size * view.slots)
        if load > BORROW_ABOVE_SHARE:
            move = _borrow(view, pools, homes, moving)
        elif load < RETURN_BELOW_SHARE:
            move = _return_instance(view, homes, moving)
        else:
            move = None
        if move is not None:
            moving.add(move.instance)
            moves.append(move)
    return moves


def _borrow(
    view: PoolView,
    pools: Mapping[str, PoolView],
    homes: Mapping[str, str],
    moving: set[str],
) -> MoveIntent | None:
    """Borrows an instance of the least loaded pool, spare pools first.

    Only instances whose home is the lender are lent.
    """
    lenders = [
        v
        for v in pools.values()
        if v.pool != view.pool
        and len(v.available) > 2
        and v.demand < BORROW_ABOVE_SHARE * (v.capacity - v.slots)
    ]
    lenders.sort(key=lambda v: (not v.spare, v.demand / v.capacity, v.pool))
    for lender in lenders:
        for i in lender.available:
            if i.instance not in moving and homes[i.instance] == lender.pool:
                return MoveIntent(i.instance, i.epoch, lender.pool, view.pool)
    return None


def _return_instance(
    view: PoolView, homes: Mapping[str, str], moving: set[str]
) -> MoveIntent | None:
    for i in view.available:
        home = homes[i.instance]
        if home != view.pool and i.instance not in moving:
            return MoveIntent(i.instance, i.epoch, view.pool, home)
    return None
