"""State of one pool, with an index of the endpoints that have a free slot."""

from bisect import insort

from immutables import Map
from msgspec import Struct
from msgspec.structs import replace

from acaciawing.routing.model import Credit, Endpoint, EndpointStatus, Result
from acaciawing.routing.sampled_set import SampledSet

# An endpoint is ejected if its success rate is below this share of the pool's.
EJECTION_SUCCESS_SHARE = 0.5
# Fewer answers are too small a sample for a success rate.
EJECTION_MIN_ANSWERS = 10
MIN_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# Only the last answers of an endpoint count, so that an endpoint that starts to
# fail is detected regardless of how many requests succeeded before.
MAX_RECENT_ANSWERS = 16
MIN_REST_S = 0.05
# With 0.8 s and 9 entry instances, refused exchanges halve, but the p99 wait of
# short work doubles (0.80 s instead of 0.37 s).
MAX_REST_S = 0.1
# Lower bound of the success weight, to avoid a division by zero in the score.
MIN_SUCCESS_WEIGHT = 0.05

_EJECTION_STATUSES = (
    EndpointStatus.EJECTED,
    EndpointStatus.PROBE_PENDING,
    EndpointStatus.PROBING,
)


class EndpointState(Struct, frozen=True):
    """State of one endpoint.

    Attributes:
        endpoint: The endpoint.
        credit: Slots that this entry instance may use.
        status: Availability for new requests.
        in_flight: Requests in flight from this entry instance.
        long_in_flight: Long requests among them.
        answers: Number of answers in the success rate.
        recent_results: The last answers as bits, the newest one lowest; 1 is a success.
        last_ejection_s: Duration of the last ejection in seconds, or 0.
        last_rest_s: Duration of the last rest after a "not run" in seconds, or 0.
    """

    endpoint: Endpoint
    credit: Credit
    status: EndpointStatus = EndpointStatus.OPEN
    in_flight: int = 0
    long_in_flight: int = 0
    answers: int = 0
    recent_results: int = 0
    last_ejection_s: float = 0.0
    last_rest_s: float = 0.0

    @property
    def free(self) -> bool:
        """Whether it has a free slot for short work."""
        return (
            self.status is EndpointStatus.OPEN
            and self.in_flight < self.credit.slots
        )

    @property
    def free_long(self) -> bool:
        """Whether it has a free slot for long work."""
        return self.free and self.long_in_flight < self.credit.long

    @property
    def successes(self) -> int:
        """Number of successes in the success rate."""
        return self.recent_results.bit_count()

    @property
    def score(self) -> float:
        """Load divided by success weight; the lower score is preferred."""
        weight = (self.successes + 1.0) / (self.answers + 1.0)
        load = (self.in_flight + 1) / max(1, self.credit.slots)
        return load / max(MIN_SUCCESS_WEIGHT, weight)

    # Each request changes the state of an endpoint four times, and a constructor call
    # costs a third of dataclasses.replace.
    def with_load(
        self, requests: int, long: int, status: EndpointStatus
    ) -> "EndpointState":
        """Adds to the requests in flight and sets the status."""
        return EndpointState(
            self.endpoint,
            self.credit,
            status,
            max(0, self.in_flight + requests),
            max(0, self.long_in_flight + long),
            self.answers,
            self.recent_results,
            self.last_ejection_s,
            self.last_rest_s,
        )


class ZoneView(Struct, frozen=True):
    """Endpoints of one pool in one zone.

    Attributes:
        free: Endpoints with a free slot for short work.
        free_long: Endpoints with a free slot for long work.
        in_flight: Requests in flight to the open endpoints.
        slots: Slots of the open endpoints that this entry instance may use.
    """

    free: SampledSet = SampledSet()
    free_long: SampledSet = SampledSet()
    in_flight: int = 0
    slots: int = 0

    @property
    def load(self) -> float:
        """Requests in flight divided by slots."""
        return self.in_flight / self.slots if self.slots else 1.0


class Pool(Struct, frozen=True):
    """State of one pool.

    Attributes:
        endpoint_states: Endpoint states by instance id.
        zones: Views by zone.
        timers: End time and instance of each rest or ejection, sorted.
        pending_probes: Instances whose ejection has ended and that wait for a
            probe.
        ejected: Number of endpoints that are ejected, waiting for a probe or being
            probed.
        size: Number of endpoints that are not leaving.
        answers: Number of recent answers of the whole pool; older ones count less.
        successes: Number of successes among them.
    """

    endpoint_states: Map[str, EndpointState] = Map()
    zones: Map[str, ZoneView] = Map()
    timers: tuple[tuple[float, str], ...] = ()
    pending_probes: tuple[str, ...] = ()
    ejected: int = 0
    size: int = 0
    answers: float = 0.0
    successes: float = 0.0


def _update_view(
    view: ZoneView,
    instance: str,
    old: EndpointState | None,
    new: EndpointState | None,
) -> ZoneView:
    free, free_long = view.free, view.free_long
    if new is not None and new.free:
        free = free.add(instance)
    else:
        free = free.discard(instance)
    if new is not None and new.free_long:
        free_long = free_long.add(instance)
    else:
        free_long = free_long.discard(instance)
    in_flight, slots = view.in_flight, view.slots
    if old is not None and old.status is EndpointStatus.OPEN:
        in_flight -= old.in_flight
        slots -= old.credit.slots
    if new is not None and new.status is EndpointStatus.OPEN:
        in_flight += new.in_flight
        slots += new.credit.slots
    return ZoneView(free, free_long, in_flight, slots)


def set_endpoint_state(
    pool: Pool, instance: str, new: EndpointState | None
) -> Pool:
    """Adds, replaces or removes the state of an endpoint.

    Args:
        pool: The pool before.
        instance: Id of the instance.
        new: Its new state, or None to remove it. The zone must not change.

    Returns:
        The pool with its views updated. Costs O(log n).
    """
    old = pool.endpoint_states.get(instance)
    known = new or old
    if known is None:
        return pool
    zone = known.endpoint.zone
    view = pool.zones.get(zone) or ZoneView()
    zones = pool.zones.set(zone, _update_view(view, instance, old, new))
    if new is None:
        endpoint_states = pool.endpoint_states.delete(instance)
    else:
        endpoint_states = pool.endpoint_states.set(instance, new)
    ejected, size = pool.ejected, pool.size
    timers, pending = pool.timers, pool.pending_probes
    if old is not None:
        ejected -= old.status in _EJECTION_STATUSES
        size -= old.status is not EndpointStatus.LEAVING
        if new is None or new.status is not old.status:
            # The linear scan is acceptable, since the status rarely changes.
            if old.status in (EndpointStatus.RESTING, EndpointStatus.EJECTED):
                timers = tuple(t for t in timers if t[1] != instance)
            elif old.status is EndpointStatus.PROBE_PENDING:
                pending = tuple(name for name in pending if name != instance)
    if new is not None:
        ejected += new.status in _EJECTION_STATUSES
        size += new.status is not EndpointStatus.LEAVING
        if (
            new.status is EndpointStatus.PROBE_PENDING
            and instance not in pending
        ):
            pending = (*pending, instance)
    return Pool(
        endpoint_states,
        zones,
        timers,
        pending,
        ejected,
        size,
        pool.answers,
        pool.successes,
    )


def _set_with_timer(
    pool: Pool, endpoint_state: EndpointState, until: float
) -> Pool:
    pool = set_endpoint_state(
        pool, endpoint_state.endpoint.instance, endpoint_state
    )
    timers = list(pool.timers)
    insort(timers, (until, endpoint_state.endpoint.instance))
    return replace(pool, timers=tuple(timers))


def end_expired_periods(pool: Pool, now: float) -> Pool:
    """Ends the rests and ejections whose time is up.

    Args:
        pool: The pool before.
        now: Time in seconds.

    Returns:
        The pool after; the same object if nothing ended.
    """
    while pool.timers and pool.timers[0][0] <= now:
        instance = pool.timers[0][1]
        endpoint_state = pool.endpoint_states[instance]
        ended = (
            EndpointStatus.OPEN
            if endpoint_state.status is EndpointStatus.RESTING
            else EndpointStatus.PROBE_PENDING
        )
        pool = set_endpoint_state(
            pool, instance, replace(endpoint_state, status=ended)
        )
    return pool


def limit_ejections(pool: Pool) -> Pool:
    """Reopens ejected endpoints until at most half of the pool is ejected.

    A pool can shrink after an ejection. With more than half of the endpoints
    ejected, the remaining ones would be overloaded.
    """
    while pool.ejected > pool.size // 2:
        ejected = [
            s
            for s in pool.endpoint_states.values()
            if s.status in _EJECTION_STATUSES
        ]
        selected = min(
            ejected, key=lambda s: (s.last_ejection_s, s.endpoint.instance)
        )
        opened = replace(
            selected, status=EndpointStatus.OPEN, answers=0, recent_results=0
        )
        pool = set_endpoint_state(pool, selected.endpoint.instance, opened)
    return pool


def _count_answer(pool: Pool, success: bool) -> Pool:
    answers, successes = pool.answers + 1.0, pool.successes + success
    if answers >= max(100, EJECTION_MIN_ANSWERS * pool.size):
        answers, successes = answers / 2, successes / 2
    return Pool(
        pool.endpoint_states,
        pool.zones,
        pool.timers,
        pool.pending_probes,
        pool.ejected,
        pool.size,
        answers,
        successes,
    )


def _start_rest(pool: Pool, endpoint_state: EndpointState, now: float) -> Pool:
    rest_s = min(MAX_REST_S, max(MIN_REST_S, 2 * endpoint_state.last_rest_s))
    resting = replace(
        endpoint_state, status=EndpointStatus.RESTING, last_rest_s=rest_s
    )
    return _set_with_timer(pool, resting, now + rest_s)


def _start_ejection(
    pool: Pool, endpoint_state: EndpointState, now: float
) -> Pool:
    period = min(
        MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * endpoint_state.last_ejection_s)
    )
    ejected = replace(
        endpoint_state, status=EndpointStatus.EJECTED, last_ejection_s=period
    )
    return _set_with_timer(pool, ejected, now + period)


def _is_outlier(pool: Pool, endpoint_state: EndpointState) -> bool:
    return (
        endpoint_state.answers >= EJECTION_MIN_ANSWERS
        and endpoint_state.successes * pool.answers
        < EJECTION_SUCCESS_SHARE * pool.successes * endpoint_state.answers
    )


def end_probe(
    pool: Pool, endpoint_state: EndpointState, result: Result, now: float
) -> Pool:
    """Applies the result of a probe; without a result, the probe is retried."""
    if result is Result.SUCCESS:
        opened = replace(
            endpoint_state,
            status=EndpointStatus.OPEN,
            answers=1,
            recent_results=1,
        )
        return set_endpoint_state(
            pool, endpoint_state.endpoint.instance, opened
        )
    if result is Result.FAILURE:
        return _start_ejection(pool, endpoint_state, now)
    pending = replace(endpoint_state, status=EndpointStatus.PROBE_PENDING)
    return set_endpoint_state(pool, endpoint_state.endpoint.instance, pending)


def observe(
    pool: Pool, endpoint_state: EndpointState, result: Result, now: float
) -> Pool:
    """Applies the result of an exchange to an endpoint of the pool.

    Args:
        pool: The pool before.
        endpoint_state: State of the endpoint in the pool.
        result: How the exchange ended.
        now: Time in seconds.

    Returns:
        The pool after.
    """
    instance = endpoint_state.endpoint.instance
    if (
        result is Result.NOT_RUN
        and endpoint_state.status is EndpointStatus.OPEN
    ):
        return _start_rest(pool, endpoint_state, now)
    if result in (Result.SUCCESS, Result.FAILURE):
        pool = _count_answer(pool, result is Result.SUCCESS)
    if endpoint_state.status is EndpointStatus.PROBING:
        return end_probe(pool, endpoint_state, result, now)
    if (
        endpoint_state.status is not EndpointStatus.OPEN
        or result is Result.CANCELLED
    ):
        return pool
    return _apply_answer(
        pool, endpoint_state, instance, result is Result.SUCCESS, now
    )


def _apply_answer(
    pool: Pool,
    endpoint_state: EndpointState,
    instance: str,
    success: bool,
    now: float,
) -> Pool:
    answers = min(MAX_RECENT_ANSWERS, endpoint_state.answers + 1)
    mask = (1 << MAX_RECENT_ANSWERS) - 1
    endpoint_state = EndpointState(
        endpoint_state.endpoint,
        endpoint_state.credit,
        endpoint_state.status,
        endpoint_state.in_flight,
        endpoint_state.long_in_flight,
        answers,
        (endpoint_state.recent_results << 1 | success) & mask,
        endpoint_state.last_ejection_s,
        0.0 if success else endpoint_state.last_rest_s,
    )
    if not _is_outlier(pool, endpoint_state):
        if answers >= EJECTION_MIN_ANSWERS and endpoint_state.last_ejection_s:
            # A successful probe does not reset the ejection period; a series of
            # good answers does.
            endpoint_state = replace(endpoint_state, last_ejection_s=0.0)
    elif not success and pool.ejected + 1 <= pool.size // 2:
        return _start_ejection(pool, endpoint_state, now)
    return set_endpoint_state(pool, instance, endpoint_state)
