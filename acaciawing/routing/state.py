"""State of all endpoints as known to this entry instance."""

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
    EndpointState,
    Pool,
    end_expired_periods,
    end_probe,
    limit_ejections,
    observe,
    set_endpoint_state,
)

# A mark must outlive any delayed list that still shows the instance as live. A list
# can only be delayed by this long if the platform was down for most of that time.
LEAVE_MARK_RETENTION_S = 3600.0


class LeaveMark(Struct, frozen=True):
    """The highest incarnation of an instance that is known to leave.

    Attributes:
        incarnation: This and all lower incarnations get no new work.
        since: Time of the first leave signal, in seconds.
        observed_at: Last time that a list or a signal contained the instance, in
            seconds.
    """

    incarnation: int
    since: float
    observed_at: float


class RoutingState(Struct, frozen=True):
    """Endpoints, their health and the work in flight to them.

    Attributes:
        as_of: Platform time of the newest list, in seconds.
        pools: Pools by name.
        pool_of: Pool by listed instance.
        leaving: Leave marks by instance.
        credit: Default credit of an endpoint, until `set_credits` sets one.
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
    """Updates the endpoints with the platform's list of instances.

    If the list is older than a previous one, only its leave signals are applied,
    since a leave is final for its incarnation. Otherwise the list determines which
    instances exist.

    Args:
        state: The state before.
        listing: The list.
        pool_of: Pool by instance from the ownership table; takes precedence
            over the pool in the list. An empty name removes the instance from
            all pools without a leave mark, for example during a move.
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
    changed_pools: set[str] = set()
    for listed in listing.instances:
        pool = pool_of.get(listed.instance, listed.pool)
        state = _observe_listed(state, listed, pool, changed_pools)
    listed_ids = {listed.instance for listed in listing.instances}
    for instance in [i for i in state.pool_of if i not in listed_ids]:
        changed_pools.add(state.pool_of[instance])
        state = _remove_instance(state, instance)
    pools = state.pools
    for name in changed_pools:
        pools = pools.set(name, limit_ejections(pools[name]))
    return replace(
        state,
        as_of=listing.as_of,
        pools=pools,
        leaving=_prune_leave_marks(state.leaving, listed_ids, now),
    )


def _prune_leave_marks(
    leaving: Map[str, LeaveMark], listed: set[str], now: float
) -> Map[str, LeaveMark]:
    for instance, mark in leaving.items():
        if instance in listed:
            leaving = leaving.set(instance, replace(mark, observed_at=now))
        elif now - mark.observed_at > LEAVE_MARK_RETENTION_S:
            leaving = leaving.delete(instance)
    return leaving


def _is_unchanged(known: Endpoint, listed: ListedInstance, pool: str) -> bool:
    return (
        known.incarnation == listed.incarnation
        and known.pool == pool
        and known.address == listed.address
        and known.zone == listed.zone
        and known.rack == listed.rack
    )


def _observe_listed(
    state: RoutingState,
    listed: ListedInstance,
    pool: str,
    changed_pools: set[str],
) -> RoutingState:
    instance = listed.instance
    old_pool = state.pool_of.get(instance)
    old = None
    if old_pool is not None:
        old = state.pools[old_pool].endpoint_states[instance]
        if _is_unchanged(old.endpoint, listed, pool):
            return state
        if old.endpoint.incarnation > listed.incarnation:
            return state
        changed_pools.add(old_pool)
    changed_pools.add(pool)
    endpoint = Endpoint(
        instance,
        listed.incarnation,
        pool,
        listed.zone,
        listed.rack,
        listed.address,
    )
    mark = state.leaving.get(instance)
    is_leaving = mark is not None and mark.incarnation >= listed.incarnation
    endpoint_state = EndpointState(
        endpoint,
        old.credit if old else state.credit,
        EndpointStatus.LEAVING if is_leaving else EndpointStatus.OPEN,
    )
    if old is not None and old.endpoint.incarnation == listed.incarnation:
        # Requests in flight continue when an instance moves to another pool.
        endpoint_state = replace(
            endpoint_state,
            in_flight=old.in_flight,
            long_in_flight=old.long_in_flight,
        )
    state = _remove_instance(state, instance)
    changed = set_endpoint_state(
        state.pools.get(pool) or Pool(), instance, endpoint_state
    )
    return replace(
        state,
        pools=state.pools.set(pool, changed),
        pool_of=state.pool_of.set(instance, pool),
    )


def _remove_instance(state: RoutingState, instance: str) -> RoutingState:
    name = state.pool_of.get(instance)
    if name is None:
        return state
    changed = set_endpoint_state(state.pools[name], instance, None)
    return replace(
        state,
        pools=state.pools.set(name, changed),
        pool_of=state.pool_of.delete(instance),
    )


def observe_leaving(
    state: RoutingState, instance: str, incarnation: int, now: float
) -> RoutingState:
    """Applies a leave signal from the list, the endpoint or a peer.

    The endpoint gets no new work from now on. The mark is sticky: apart from
    `observe_reinstatement`, only a higher incarnation makes the instance usable
    again.

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
    endpoint_state = pool.endpoint_states[instance]
    if endpoint_state.endpoint.incarnation > incarnation:
        return state
    leaving_state = replace(endpoint_state, status=EndpointStatus.LEAVING)
    pool = limit_ejections(set_endpoint_state(pool, instance, leaving_state))
    return replace(state, pools=state.pools.set(name, pool))


def observe_reinstatement(
    state: RoutingState, instance: str, incarnation: int
) -> RoutingState:
    """Removes the leave mark of an instance whose drain was cancelled.

    This is the only exception to the sticky mark. The caller must know from the
    log that the drain has ended, and from a later list that the instance is live.
    A delayed leave signal that arrives afterwards marks it again.

    Args:
        state: The state before.
        instance: Id of the instance.
        incarnation: The incarnation that stays in service.
    """
    mark = state.leaving.get(instance)
    if mark is None or mark.incarnation != incarnation:
        return state
    state = replace(state, leaving=state.leaving.delete(instance))
    name = state.pool_of.get(instance)
    if name is None:
        return state
    endpoint_state = state.pools[name].endpoint_states[instance]
    if endpoint_state.status is not EndpointStatus.LEAVING:
        return state
    opened = replace(endpoint_state, status=EndpointStatus.OPEN)
    pool = set_endpoint_state(state.pools[name], instance, opened)
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
        endpoint_state = pools[name].endpoint_states[instance]
        if endpoint_state.credit != credit:
            changed = replace(endpoint_state, credit=credit)
            pools = pools.set(
                name, set_endpoint_state(pools[name], instance, changed)
            )
    return replace(state, pools=pools)


def _with_pool(state: RoutingState, name: str, pool: Pool) -> RoutingState:
    return RoutingState(
        state.as_of,
        state.pools.set(name, pool),
        state.pool_of,
        state.leaving,
        state.credit,
    )


def _find_endpoint_state(
    state: RoutingState, endpoint: Endpoint
) -> tuple[str, EndpointState] | None:
    """Finds the pool and state of an endpoint, also after a pool change."""
    name = state.pool_of.get(endpoint.instance)
    if name is None:
        return None
    endpoint_state = state.pools[name].endpoint_states[endpoint.instance]
    if endpoint_state.endpoint.incarnation != endpoint.incarnation:
        return None
    return name, endpoint_state


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
        run_time_s: Duration of the exchange in seconds. It is ignored, so that an
            endpoint that fails fast does not rank above one that succeeds slowly.
        now: Time in seconds.

    Returns:
        The state after; unchanged for an incarnation that has ended.
    """
    del run_time_s
    found = _find_endpoint_state(state, endpoint)
    if found is None:
        return state
    name, endpoint_state = found
    # This may also end the rest of this endpoint, so its state is read afterwards.
    pool = end_expired_periods(state.pools[name], now)
    endpoint_state = pool.endpoint_states[endpoint.instance]
    return _with_pool(state, name, observe(pool, endpoint_state, result, now))


def reserve(state: RoutingState, route: Route, now: float) -> RoutingState:
    """Reserves the slot of a route.

    Args:
        state: The state passed to `choose`, or a later one.
        route: The decision.
        now: Time in seconds.

    Returns:
        The state after.
    """
    found = _find_endpoint_state(state, route.endpoint)
    if found is None:
        return state
    name, endpoint_state = found
    pool = end_expired_periods(state.pools[name], now)
    endpoint_state = pool.endpoint_states[route.endpoint.instance]
    is_probe = (
        route.probe and endpoint_state.status is EndpointStatus.PROBE_PENDING
    )
    reserved = endpoint_state.with_load(
        1,
        int(route.long),
        EndpointStatus.PROBING if is_probe else endpoint_state.status,
    )
    return _with_pool(
        state, name, set_endpoint_state(pool, route.endpoint.instance, reserved)
    )


def release(state: RoutingState, route: Route, now: float) -> RoutingState:
    """Releases the slot of a route.

    If a probe ended without `observe_result`, the next request probes the
    endpoint again.

    Args:
        state: The state before.
        route: The decision passed to `reserve`.
        now: Time in seconds.

    Returns:
        The state after; unchanged for an incarnation that has ended.
    """
    found = _find_endpoint_state(state, route.endpoint)
    if found is None:
        return state
    name, endpoint_state = found
    pool = state.pools[name]
    released = endpoint_state.with_load(
        -1, -int(route.long), endpoint_state.status
    )
    pool = set_endpoint_state(pool, route.endpoint.instance, released)
    if route.probe and released.status is EndpointStatus.PROBING:
        pool = end_probe(pool, released, Result.CANCELLED, now)
    return _with_pool(state, name, pool)
