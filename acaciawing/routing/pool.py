"""State of one pool, with the endpoints that have a free slot kept at hand."""

from bisect import insort

from immutables import Map
from msgspec import Struct
from msgspec.structs import replace

from acaciawing.routing.model import Credit, Endpoint, EndpointStatus, Result
from acaciawing.routing.sampled import SampledSet

EJECT_BELOW = 0.5  # share of the pool's success rate
EJECT_AFTER = 10  # fewer answers say too little
EJECT_FIRST_S = 5.0
EJECT_LONGEST_S = 60.0
# Results kept for each endpoint. A worker that turns bad must be found by its
# last answers, however many good ones came before.
ANSWERS_KEPT = 16
REST_FIRST_S = 0.05
# With 0.8 s and 9 entry instances the p99 wait of short work was twice as long
# (0.80 s against 0.37 s), for half as many refused exchanges.
REST_LONGEST_S = 0.1
# Weight of an endpoint that fails everything; zero would divide by zero.
LEAST_WEIGHT = 0.05

_OUT = (
    EndpointStatus.EJECTED,
    EndpointStatus.PROBE_DUE,
    EndpointStatus.PROBING,
)


class Cell(Struct, frozen=True):
    """State of one endpoint.

    Attributes:
        endpoint: The endpoint.
        credit: Slots that this entry instance may use.
        status: Whether it takes requests.
        in_flight: Requests in flight from this entry instance.
        long_in_flight: Long requests among them.
        answers: Answers that count for the success rate.
        recent: The last answers as bits, the newest lowest; 1 is a success.
        ejected_s: Last ejection period, or 0.
        rest_s: Last rest after a "not run" of the endpoint, or 0.
    """

    endpoint: Endpoint
    credit: Credit
    status: EndpointStatus = EndpointStatus.OPEN
    in_flight: int = 0
    long_in_flight: int = 0
    answers: int = 0
    recent: int = 0
    ejected_s: float = 0.0
    rest_s: float = 0.0

    @property
    def free(self) -> bool:
        """Whether short work may go there."""
        return (
            self.status is EndpointStatus.OPEN
            and self.in_flight < self.credit.slots
        )

    @property
    def free_long(self) -> bool:
        """Whether long work may go there."""
        return self.free and self.long_in_flight < self.credit.long

    @property
    def successes(self) -> int:
        """Successes among the answers that count."""
        return self.recent.bit_count()

    @property
    def score(self) -> float:
        """Load over success weight; the lower one of two choices wins."""
        weight = (self.successes + 1.0) / (self.answers + 1.0)
        load = (self.in_flight + 1) / max(1, self.credit.slots)
        return load / max(LEAST_WEIGHT, weight)

    # Four changes of a cell lie on the path of each request; a constructor call
    # costs a third of dataclasses.replace.
    def with_load(
        self, requests: int, long: int, status: EndpointStatus
    ) -> "Cell":
        """Adds to the requests in flight and sets the status."""
        return Cell(
            self.endpoint,
            self.credit,
            status,
            max(0, self.in_flight + requests),
            max(0, self.long_in_flight + long),
            self.answers,
            self.recent,
            self.ejected_s,
            self.rest_s,
        )


class ZoneView(Struct, frozen=True):
    """Endpoints of one pool in one zone.

    Attributes:
        free: Endpoints that short work may go to.
        free_long: Endpoints that long work may go to.
        in_flight: Requests in flight.
        slots: Credits of the endpoints that take requests.
    """

    free: SampledSet = SampledSet()
    free_long: SampledSet = SampledSet()
    in_flight: int = 0
    slots: int = 0

    @property
    def load(self) -> float:
        """Requests in flight over credits."""
        return self.in_flight / self.slots if self.slots else 1.0


class Pool(Struct, frozen=True):
    """State of one pool.

    Attributes:
        cells: Endpoints by instance id.
        zones: Views by zone.
        timers: Time and instance of each end of a rest or ejection, sorted.
        probes_due: Instances whose ejection is over and that wait for a probe.
        ejected: Endpoints that are ejected, waiting for a probe or probed.
        size: Endpoints that are not leaving.
        answers: Recent answers of the whole pool.
        successes: Successes among them.
    """

    endpoint_states: Map[str, Cell] = Map()
    zones: Map[str, ZoneView] = Map()
    timers: tuple[tuple[float, str], ...] = ()
    probes_due: tuple[str, ...] = ()
    ejected: int = 0
    size: int = 0
    answers: float = 0.0
    successes: float = 0.0


def _changed_view(
    view: ZoneView, instance: str, old: Cell | None, new: Cell | None
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


def put(pool: Pool, instance: str, new: Cell | None) -> Pool:
    """Replaces, adds or (with None) removes an endpoint.

    Args:
        pool: The pool before.
        instance: Id of the instance.
        new: Its new state. The zone must be the same as before.

    Returns:
        The pool with all of its views brought up to date, in O(log n).
    """
    old = pool.endpoint_states.get(instance)
    some = new or old
    if some is None:
        return pool
    zone = some.endpoint.zone
    view = pool.zones.get(zone) or ZoneView()
    zones = pool.zones.set(zone, _changed_view(view, instance, old, new))
    if new is None:
        endpoint_states = pool.endpoint_states.delete(instance)
    else:
        endpoint_states = pool.endpoint_states.set(instance, new)
    ejected, size = pool.ejected, pool.size
    timers, due = pool.timers, pool.probes_due
    if old is not None:
        ejected -= old.status in _OUT
        size -= old.status is not EndpointStatus.LEAVING
        if new is None or new.status is not old.status:
            # Only a change of status, which is rare, costs a pass.
            if old.status in (EndpointStatus.RESTING, EndpointStatus.EJECTED):
                timers = tuple(t for t in timers if t[1] != instance)
            elif old.status is EndpointStatus.PROBE_DUE:
                due = tuple(name for name in due if name != instance)
    if new is not None:
        ejected += new.status in _OUT
        size += new.status is not EndpointStatus.LEAVING
        if new.status is EndpointStatus.PROBE_DUE and instance not in due:
            due = (*due, instance)
    return Pool(
        endpoint_states,
        zones,
        timers,
        due,
        ejected,
        size,
        pool.answers,
        pool.successes,
    )


def _put_until(pool: Pool, cell: Cell, until: float) -> Pool:
    pool = put(pool, cell.endpoint.instance, cell)
    timers = list(pool.timers)
    insort(timers, (until, cell.endpoint.instance))
    return replace(pool, timers=tuple(timers))


def advance(pool: Pool, now: float) -> Pool:
    """Ends the rests and ejections that are over.

    Args:
        pool: The pool before.
        now: Time in seconds.

    Returns:
        The pool after; the same object if nothing was due.
    """
    while pool.timers and pool.timers[0][0] <= now:
        instance = pool.timers[0][1]
        cell = pool.endpoint_states[instance]
        ended = (
            EndpointStatus.OPEN
            if cell.status is EndpointStatus.RESTING
            else EndpointStatus.PROBE_DUE
        )
        pool = put(pool, instance, replace(cell, status=ended))
    return pool


def within_half(pool: Pool) -> Pool:
    """Returns ejected endpoints to work while more than half are ejected.

    A pool can shrink after an ejection, and a pool whose larger part is ejected
    would overload the rest.
    """
    while pool.ejected > pool.size // 2:
        out = [c for c in pool.endpoint_states.values() if c.status in _OUT]
        best = min(out, key=lambda c: (c.ejected_s, c.endpoint.instance))
        opened = replace(best, status=EndpointStatus.OPEN, answers=0, recent=0)
        pool = put(pool, best.endpoint.instance, opened)
    return pool


def _counted(pool: Pool, success: bool) -> Pool:
    answers, successes = pool.answers + 1.0, pool.successes + success
    if answers >= max(100, EJECT_AFTER * pool.size):
        answers, successes = answers / 2, successes / 2
    return Pool(
        pool.endpoint_states,
        pool.zones,
        pool.timers,
        pool.probes_due,
        pool.ejected,
        pool.size,
        answers,
        successes,
    )


def _rest(pool: Pool, cell: Cell, now: float) -> Pool:
    rest_s = min(REST_LONGEST_S, max(REST_FIRST_S, 2 * cell.rest_s))
    resting = replace(cell, status=EndpointStatus.RESTING, rest_s=rest_s)
    return _put_until(pool, resting, now + rest_s)


def _eject(pool: Pool, cell: Cell, now: float) -> Pool:
    period = min(EJECT_LONGEST_S, max(EJECT_FIRST_S, 2 * cell.ejected_s))
    ejected = replace(cell, status=EndpointStatus.EJECTED, ejected_s=period)
    return _put_until(pool, ejected, now + period)


def _is_outlier(pool: Pool, cell: Cell) -> bool:
    return (
        cell.answers >= EJECT_AFTER
        and cell.successes * pool.answers
        < EJECT_BELOW * pool.successes * cell.answers
    )


def end_probe(pool: Pool, cell: Cell, result: Result, now: float) -> Pool:
    """Ends a probe by its result; one without a result is made again."""
    if result is Result.SUCCESS:
        opened = replace(cell, status=EndpointStatus.OPEN, answers=1, recent=1)
        return put(pool, cell.endpoint.instance, opened)
    if result is Result.FAILURE:
        return _eject(pool, cell, now)
    due = replace(cell, status=EndpointStatus.PROBE_DUE)
    return put(pool, cell.endpoint.instance, due)


def observe(pool: Pool, cell: Cell, result: Result, now: float) -> Pool:
    """Applies the result of an exchange to an endpoint of the pool.

    Args:
        pool: The pool before.
        cell: The endpoint's state in it.
        result: How the exchange ended.
        now: Time in seconds.

    Returns:
        The pool after.
    """
    instance = cell.endpoint.instance
    if result is Result.NOT_RUN and cell.status is EndpointStatus.OPEN:
        return _rest(pool, cell, now)
    if result in (Result.SUCCESS, Result.FAILURE):
        pool = _counted(pool, result is Result.SUCCESS)
    if cell.status is EndpointStatus.PROBING:
        return end_probe(pool, cell, result, now)
    if cell.status is not EndpointStatus.OPEN or result is Result.CANCELLED:
        return pool
    return _answered(pool, cell, instance, result is Result.SUCCESS, now)


def _answered(
    pool: Pool, cell: Cell, instance: str, success: bool, now: float
) -> Pool:
    answers = min(ANSWERS_KEPT, cell.answers + 1)
    kept = (1 << ANSWERS_KEPT) - 1
    cell = Cell(
        cell.endpoint,
        cell.credit,
        cell.status,
        cell.in_flight,
        cell.long_in_flight,
        answers,
        (cell.recent << 1 | success) & kept,
        cell.ejected_s,
        0.0 if success else cell.rest_s,
    )
    if not _is_outlier(pool, cell):
        if answers >= EJECT_AFTER and cell.ejected_s:
            # Only a run of good answers, not one probe, ends the doubling.
            cell = replace(cell, ejected_s=0.0)
    elif not success and pool.ejected + 1 <= pool.size // 2:
        return _eject(pool, cell, now)
    return put(pool, instance, cell)
