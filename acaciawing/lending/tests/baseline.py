"""Naive lending: a threshold on the current load."""

from collections.abc import Mapping

from acaciawing.lending import MoveIntent, PoolView

BORROW_ABOVE_SHARE = 0.8
RETURN_BELOW = 0.3


def baseline_moves(
    pools: Mapping[str, PoolView],
    homes: Mapping[str, str],
    coming: Mapping[str, int],
) -> list[MoveIntent]:
    """Borrows for each pool above one threshold, returns below the other.

    Args:
        pools: All pools at present.
        homes: Home pool of each instance.
        coming: Instances on their way to each pool; they count as capacity,
            so that the same load does not order instances twice.

    Returns:
        At most one move for each pool.
    """
    moves = []
    taken: set[str] = set()
    for view in sorted(pools.values(), key=lambda v: v.pool):
        size = len(view.available) + coming.get(view.pool, 0)
        load = view.demand / max(1, size * view.slots)
        if load > BORROW_ABOVE_SHARE:
            move = _borrow(view, pools, homes, taken)
        elif load < RETURN_BELOW:
            move = _give_back(view, homes, taken)
        else:
            move = None
        if move is not None:
            taken.add(move.instance)
            moves.append(move)
    return moves


def _borrow(
    view: PoolView,
    pools: Mapping[str, PoolView],
    homes: Mapping[str, str],
    taken: set[str],
) -> MoveIntent | None:
    """Takes a home instance of the least loaded pool, spare pools first."""
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
            if i.instance not in taken and homes[i.instance] == lender.pool:
                return MoveIntent(i.instance, i.epoch, lender.pool, view.pool)
    return None


def _give_back(
    view: PoolView, homes: Mapping[str, str], taken: set[str]
) -> MoveIntent | None:
    for i in view.available:
        home = homes[i.instance]
        if home != view.pool and i.instance not in taken:
            return MoveIntent(i.instance, i.epoch, view.pool, home)
    return None
