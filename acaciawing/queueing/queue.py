"""Queue of one pool in one entry instance."""

from bisect import bisect_left
from typing import TypeAlias

from immutables import Map
from msgspec import Struct

from acaciawing.outcomes import NotRun
from acaciawing.queueing.run_times import RunClass, WorkKey

# Long work waits at most this many of its medians before it goes first.
AGE_BOUND = 20.0
# Age bound for work whose median is unknown, in seconds.
UNKNOWN_AGE_S = 10.0

# Sorted pairs of a sort key and a request id. Each waiting request occupies a
# request thread, so some hundred entries are the most, and copying a short tuple
# is faster than a balanced tree in Python.
_Order: TypeAlias = tuple[tuple[float, str], ...]


class WaitingRequest(Struct, frozen=True):
    """A request that waits for a slot.

    Attributes:
        request: Unique id of the request.
        key: What runs.
        plan: Plan of the customer.
        run: Its class at arrival.
        enqueued: Time of arrival, in seconds.
        deadline: Time by which it must have ended, in seconds.
    """

    request: str
    key: WorkKey
    plan: str
    run: RunClass
    enqueued: float
    deadline: float

    @property
    def latest_start(self) -> float:
        """Time after which it can't end by its deadline, in seconds."""
        return self.deadline - self.run.min_run_time_s

    @property
    def first_from(self) -> float:
        """Time from which long work goes before short work, in seconds."""
        median_s = self.run.expected_s
        bound_s = AGE_BOUND * median_s if median_s else UNKNOWN_AGE_S
        return self.enqueued + bound_s


class Dropped(Struct, frozen=True):
    """A request that left the queue without running.

    Attributes:
        waiting: The request.
        reason: ``deadline-passed`` or ``deadline-unreachable``.
    """

    waiting: WaitingRequest
    reason: str

    @property
    def refusal(self) -> NotRun:
        """What its caller gets."""
        run = self.waiting.run
        return NotRun(
            self.reason,
            f"no slot became free in time; typical run time"
            f" {run.expected_s:.3f} s",
            503,
            max(1.0, run.expected_s),
        )


class Queue(Struct, frozen=True):
    """Waiting requests.

    Attributes:
        waiting: Requests by id.
        short: Short work by arrival.
        long: Long work by the time from which it goes first.
        starts: All work by latest start.
        plans: Work of each plan by arrival.
        short_s: Sum of the expected run times of short work, in seconds.
        long_s: The same of long work.
    """

    waiting: Map[str, WaitingRequest] = Map()
    short: _Order = ()
    long: _Order = ()
    starts: _Order = ()
    plans: Map[str, _Order] = Map()
    short_s: float = 0.0
    long_s: float = 0.0

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self.waiting)


def _with(order: _Order, key: float, request: str) -> _Order:
    entry = (key, request)
    place = bisect_left(order, entry)
    return (*order[:place], entry, *order[place:])


def _without(order: _Order, key: float, request: str) -> _Order:
    place = bisect_left(order, (key, request))
    return (*order[:place], *order[place + 1 :])


def enqueue(queue: Queue, waiting: WaitingRequest) -> Queue:
    """Adds a request.

    Args:
        queue: The queue before.
        waiting: The request; its id must not be in the queue.

    Returns:
        The queue after.
    """
    request, run = waiting.request, waiting.run
    short, long = queue.short, queue.long
    if run.long:
        long = _with(long, waiting.first_from, request)
    else:
        short = _with(short, waiting.enqueued, request)
    of_plan = queue.plans.get(waiting.plan, ())
    return Queue(
        queue.waiting.set(request, waiting),
        short,
        long,
        _with(queue.starts, waiting.latest_start, request),
        queue.plans.set(
            waiting.plan, _with(of_plan, waiting.enqueued, request)
        ),
        queue.short_s + (0.0 if run.long else run.expected_s),
        queue.long_s + (run.expected_s if run.long else 0.0),
    )


def remove(queue: Queue, request: str) -> Queue:
    """Takes out a request that starts or was cancelled.

    Args:
        queue: The queue before.
        request: Id of the request.

    Returns:
        The queue after; unchanged if the request does not wait.
    """
    waiting = queue.waiting.get(request)
    if waiting is None:
        return queue
    run = waiting.run
    short, long = queue.short, queue.long
    if run.long:
        long = _without(long, waiting.first_from, request)
    else:
        short = _without(short, waiting.enqueued, request)
    of_plan = _without(queue.plans[waiting.plan], waiting.enqueued, request)
    plans = (
        queue.plans.set(waiting.plan, of_plan)
        if of_plan
        else queue.plans.delete(waiting.plan)
    )
    return Queue(
        queue.waiting.delete(request),
        short,
        long,
        _without(queue.starts, waiting.latest_start, request),
        plans,
        # An empty class has no run time; sums of floats would drift from 0.
        queue.short_s - (0.0 if run.long else run.expected_s) if short else 0.0,
        queue.long_s - (run.expected_s if run.long else 0.0) if long else 0.0,
    )


def _first(
    queue: Queue, order: _Order, blocked: frozenset[str]
) -> WaitingRequest | None:
    for _, request in order:
        waiting = queue.waiting[request]
        if waiting.plan not in blocked:
            return waiting
    return None


def next_work(
    queue: Queue,
    now: float,
    long_free: bool = True,
    blocked: frozenset[str] = frozenset(),
) -> WaitingRequest | None:
    """Tells which request goes next; it stays in the queue until `remove`.

    Long work that has reached its age bound goes first, then short work in order
    of arrival, then other long work.

    Args:
        queue: The queue.
        now: Time in seconds.
        long_free: Whether a slot for long work is free.
        blocked: Plans that are at their limit of concurrency; passed over, so
            that they do not hold up the others.

    Returns:
        The request, or None if nothing may start.
    """
    long = _first(queue, queue.long, blocked) if long_free else None
    if long is not None and long.first_from <= now:
        return long
    return _first(queue, queue.short, blocked) or long


def next_expiry(queue: Queue) -> float | None:
    """Time in seconds at which `expire` drops something next."""
    return queue.starts[0][0] if queue.starts else None


def expire(queue: Queue, now: float) -> tuple[Queue, tuple[Dropped, ...]]:
    """Drops the requests that can no longer meet their deadline.

    Args:
        queue: The queue before.
        now: Time in seconds.

    Returns:
        The queue after and what was dropped.
    """
    dropped: list[Dropped] = []
    while queue.starts and queue.starts[0][0] < now:
        waiting = queue.waiting[queue.starts[0][1]]
        reason = (
            "deadline-passed"
            if waiting.deadline < now
            else "deadline-unreachable"
        )
        dropped.append(Dropped(waiting, reason))
        queue = remove(queue, waiting.request)
    return queue, tuple(dropped)


def newest_request(queue: Queue, plan: str) -> WaitingRequest | None:
    """The request of a plan that has waited least; shed first."""
    order = queue.plans.get(plan)
    return queue.waiting[order[-1][1]] if order else None


def waiting_of(queue: Queue, plan: str) -> int:
    """Number of waiting requests of a plan."""
    return len(queue.plans.get(plan, ()))


def expected_wait_s(queue: Queue, run: RunClass, slots: int) -> float:
    """Estimates how long a new request would wait.

    Args:
        queue: The queue.
        run: Class of the new request.
        slots: Slots that this entry instance may use in the pool.

    Returns:
        The work that goes before it, divided by the slots, in seconds. Running
        work is left out, so the estimate is low rather than high.
    """
    ahead_s = queue.short_s + (queue.long_s if run.long else 0.0)
    return ahead_s / max(1, slots)
