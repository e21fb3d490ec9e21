"""What this entry instance knows of all endpoints."""

from collections.abc import Mapping

from immutables import Map
from msgspec import Struct, field
from msgspec.structs import replace

from acaciawing.platform import ListedInstance, Listing
from acaciawing.routing.model import (
    Credit,
    Endpoint,
    EndpointStatus,
    Result,
    Route,
)
from acaciawing.routing.pool import (
    Cell,
    Pool,
    advance,
    end_probe,
    observe,
    put,
    within_half,
)

# A list that lags longer than this has been down for most of the time.
LEAVING_KEPT_S = 3600.0


class LeaveMark(Struct, frozen=True):
    """The highest incarnation of an instance that is known to leave.

    Attributes:
        incarnation: This and each lower incarnation get no new work.
        since: Time of the first signal, in seconds.
        seen: Last time that a list or a signal named it, in seconds.
    """

    incarnation: int
    since: float
    seen: float


class RoutingState(Struct, frozen=True):
    """Endpoints, their health and the work in flight to them.

    Attributes:
        as_of: Platform time of the newest list, in seconds.
        pools: Pools by name.
        pool_of: Pool of each listed instance.
        leaving: Leave marks by instance.
        credit: Credit of an endpoint for which `set_credits` gave none.
    """

    as_of: float = float("-inf")
    pools: Map[str, Pool] = Map()
    pool_of: Map[str, str] = Map()
    leaving: Map[str, LeaveMark] = Map()
    credit: Credit = field(default_factory=lambda: Credit(8, 6))


def observe_listing(
    state: RoutingState,
    listing: Listing,
    pool_of: Mapping[str, str],
    now: float,
) -> RoutingState:
    """Applies an answer of the platform's list.

    A list older than one seen before adds only its leave signals, since a leave
    stays true for its incarnation. A newer list says which instances exist.

    Args:
        state: The state before.
        listing: The list.
        pool_of: Pool by instance where the ownership table has one; it takes
            precedence over the list's. An empty name takes the instance out
            of all pools, for example during a move, without a leave mark.
        now: Time in seconds.

    Returns:
        The state after. Costs one comparison for each listed instance and
        O(log n) for each that changed.
    """
    for listed in listing.instances:
        if listed.state == "leaving":
            state = observe_leaving(
                state, listed.instance, listed.incarnation, now
            )
    if listing.as_of < state.as_of:
        return state
    touched: set[str] = set()
    for listed in listing.instances:
        pool = pool_of.get(listed.instance, listed.pool)
        state = _observe_listed(state, listed, pool, touched)
    listed_ids = {listed.instance for listed in listing.instances}
    for instance in [i for i in state.pool_of if i not in listed_ids]:
        touched.add(state.pool_of[instance])
        state = _removed(state, instance)
    pools = state.pools
    for name in touched:
        pools = pools.set(name, within_half(pools[name]))
    return replace(
        state,
        as_of=listing.as_of,
        pools=pools,
        leaving=_pruned(state.leaving, listed_ids, now),
    )


def _pruned(
    leaving: Map[str, LeaveMark], listed: set[str], now: float
) -> Map[str, LeaveMark]:
    for instance, mark in leaving.items():
        if instance in listed:
            leaving = leaving.set(instance, replace(mark, seen=now))
        elif now - mark.seen > LEAVING_KEPT_S:
            leaving = leaving.delete(instance)
    return leaving


def _is_same(known: Endpoint, listed: ListedInstance, pool: str) -> bool:
    return (
        known.incarnation == listed.incarnation
        and known.pool == pool
        and known.address == listed.address
        and known.zone == listed.zone
        and known.rack == listed.rack
    )


def _observe_listed(
    state: RoutingState, listed: ListedInstance, pool: str, touched: set[str]
) -> RoutingState:
    instance = listed.instance
    old_pool = state.pool_of.get(instance)
    old = None
    if old_pool is not None:
        old = state.pools[old_pool].endpoint_states[instance]
        if _is_same(old.endpoint, listed, pool):
            return state
        if old.endpoint.incarnation > listed.incarnation:
            return state
        touched.add(old_pool)
    touched.add(pool)
    endpoint = Endpoint(
        instance,
        listed.incarnation,
        pool,
        listed.zone,
        listed.rack,
        listed.address,
    )
    mark = state.leaving.get(instance)
    leaves = mark is not None and mark.incarnation >= listed.incarnation
    cell = Cell(
        endpoint,
        old.credit if old else state.credit,
        EndpointStatus.LEAVING if leaves else EndpointStatus.OPEN,
    )
    if old is not None and old.endpoint.incarnation == listed.incarnation:
        # Work in flight goes on when an instance moves to another pool.
        cell = replace(
            cell,
            in_flight=old.in_flight,
            long_in_flight=old.long_in_flight,
        )
    state = _removed(state, instance)
    changed = put(state.pools.get(pool) or Pool(), instance, cell)
    return replace(
        state,
        pools=state.pools.set(pool, changed),
        pool_of=state.pool_of.set(instance, pool),
    )


def _removed(state: RoutingState, instance: str) -> RoutingState:
    name = state.pool_of.get(instance)
    if name is None:
        return state
    changed = put(state.pools[name], instance, None)
    return replace(
        state,
        pools=state.pools.set(name, changed),
        pool_of=state.pool_of.delete(instance),
    )


def observe_leaving(
    state: RoutingState, instance: str, incarnation: int, now: float
) -> RoutingState:
    """Applies a leave signal of the list, the endpoint or a peer.

    The endpoint gets no new work from now on. The mark is sticky: nothing but a
    higher incarnation makes the instance usable again.

    Args:
        state: The state before.
        instance: Id of the instance.
        incarnation: The incarnation that leaves.
        now: Time in seconds.

    Returns:
        The state after.
    """
    mark = state.leaving.get(instance)
    if mark is not None and mark.incarnation >= incarnation:
        return state
    leaving = state.leaving.set(instance, LeaveMark(incarnation, now, now))
    state = replace(state, leaving=leaving)
    name = state.pool_of.get(instance)
    if name is None:
        return state
    pool = state.pools[name]
    cell = pool.endpoint_states[instance]
    if cell.endpoint.incarnation > incarnation:
        return state
    left = replace(cell, status=EndpointStatus.LEAVING)
    pool = within_half(put(pool, instance, left))
    return replace(state, pools=state.pools.set(name, pool))


def observe_reinstatement(
    state: RoutingState, instance: str, incarnation: int
) -> RoutingState:
    """Lifts the leave mark of an instance whose drain was given up.

    This is the one exception from the sticky mark. The caller must know from
    the log that the drain has ended, and from a later list that the instance
    is live; a signal that is still on its way marks it again.

    Args:
        state: The state before.
        instance: Id of the instance.
        incarnation: The incarnation that stays.
    """
    mark = state.leaving.get(instance)
    if mark is None or mark.incarnation != incarnation:
        return state
    state = replace(state, leaving=state.leaving.delete(instance))
    name = state.pool_of.get(instance)
    if name is None:
        return state
    cell = state.pools[name].endpoint_states[instance]
    if cell.status is not EndpointStatus.LEAVING:
        return state
    opened = replace(cell, status=EndpointStatus.OPEN)
    pool = put(state.pools[name], instance, opened)
    return replace(state, pools=state.pools.set(name, pool))


def set_credits(
    state: RoutingState, credit_of: Mapping[str, Credit]
) -> RoutingState:
    """Sets the credits of the named instances; see `divide_credits`."""
    pools = state.pools
    for instance, credit in credit_of.items():
        name = state.pool_of.get(instance)
        if name is None:
            continue
        cell = pools[name].endpoint_states[instance]
        if cell.credit != credit:
            changed = replace(cell, credit=credit)
            pools = pools.set(name, put(pools[name], instance, changed))
    return replace(state, pools=pools)


def _with_pool(state: RoutingState, name: str, pool: Pool) -> RoutingState:
    return RoutingState(
        state.as_of,
        state.pools.set(name, pool),
        state.pool_of,
        state.leaving,
        state.credit,
    )


def _cell(state: RoutingState, endpoint: Endpoint) -> tuple[str, Cell] | None:
    """Finds the endpoint, also after a move to another pool."""
    name = state.pool_of.get(endpoint.instance)
    if name is None:
        return None
    cell = state.pools[name].endpoint_states[endpoint.instance]
    if cell.endpoint.incarnation != endpoint.incarnation:
        return None
    return name, cell


def observe_result(
    state: RoutingState,
    endpoint: Endpoint,
    result: Result,
    run_time_s: float,
    now: float,
) -> RoutingState:
    """Applies the result of an exchange; call it before `release`.

    Args:
        state: The state before.
        endpoint: The endpoint of the exchange.
        result: How it ended.
        run_time_s: Time between sending and the end, in seconds. Not used: a
            fast failure must not look better than a slow success.
        now: Time in seconds.

    Returns:
        The state after; unchanged for an incarnation that is gone.
    """
    del run_time_s
    found = _cell(state, endpoint)
    if found is None:
        return state
    name, cell = found
    # Rests that are over end here too; the cell may be one of them.
    pool = advance(state.pools[name], now)
    cell = pool.endpoint_states[endpoint.instance]
    return _with_pool(state, name, observe(pool, cell, result, now))


def reserve(state: RoutingState, route: Route, now: float) -> RoutingState:
    """Takes the slot of a route.

    Args:
        state: The state that `choose` saw, or a later one.
        route: The decision.
        now: Time in seconds.

    Returns:
        The state after.
    """
    found = _cell(state, route.endpoint)
    if found is None:
        return state
    name, cell = found
    pool = advance(state.pools[name], now)
    cell = pool.endpoint_states[route.endpoint.instance]
    probes = route.probe and cell.status is EndpointStatus.PROBE_DUE
    taken = cell.with_load(
        1, int(route.long), EndpointStatus.PROBING if probes else cell.status
    )
    return _with_pool(state, name, put(pool, route.endpoint.instance, taken))


def release(state: RoutingState, route: Route, now: float) -> RoutingState:
    """Gives back the slot of a route.

    A probe that ended without `observe_result` is made again by the next
    request.

    Args:
        state: The state before.
        route: The decision that `reserve` got.
        now: Time in seconds.

    Returns:
        The state after; unchanged for an incarnation that is gone.
    """
    found = _cell(state, route.endpoint)
    if found is None:
        return state
    name, cell = found
    pool = state.pools[name]
    freed = cell.with_load(-1, -int(route.long), cell.status)
    pool = put(pool, route.endpoint.instance, freed)
    if route.probe and freed.status is EndpointStatus.PROBING:
        pool = end_probe(pool, freed, Result.CANCELLED, now)
    return _with_pool(state, name, pool)
