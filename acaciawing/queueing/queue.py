"""Queue of the requests of one pool in one entry instance."""

from bisect import bisect_left
from typing import TypeAlias

from immutables import Map
from msgspec import Struct

from acaciawing.outcomes import NotRun
from acaciawing.queueing.run_times import RunClass, WorkKey

# Long work that has waited for this many of its median run times goes before short
# work.
MAX_WAIT_MEDIANS = 20.0
# The same bound for work without a known median, in seconds.
UNKNOWN_MAX_WAIT_S = 10.0

# Sorted pairs of a sort key and a request id. Each waiting request occupies a
# thread, so there are at most a few hundred entries. At this size, copying a tuple
# is faster than updating a balanced tree in Python.
_Order: TypeAlias = tuple[tuple[float, str], ...]


class WaitingRequest(Struct, frozen=True):
    """A request that waits for a slot.

    Attributes:
        request: Unique id of the request.
        key: Service, operation and customer.
        plan: Plan of the customer.
        run: Run-time class at arrival.
        enqueued: Time of arrival, in seconds.
        deadline: Time by which it must end, in seconds.
    """

    request: str
    key: WorkKey
    plan: str
    run: RunClass
    enqueued: float
    deadline: float

    @property
    def latest_start(self) -> float:
        """Latest start that can still meet the deadline, in seconds."""
        return self.deadline - self.run.min_run_time_s

    @property
    def priority_from(self) -> float:
        """Time from which long work goes before short work, in seconds."""
        median_s = self.run.expected_s
        bound_s = (
            MAX_WAIT_MEDIANS * median_s if median_s else UNKNOWN_MAX_WAIT_S
        )
        return self.enqueued + bound_s


class DroppedRequest(Struct, frozen=True):
    """A request that left the queue without running.

    Attributes:
        waiting: The request.
        reason: ``deadline-passed`` or ``deadline-unreachable``.
    """

    waiting: WaitingRequest
    reason: str

    @property
    def refusal(self) -> NotRun:
        """The refusal to return to the caller."""
        run = self.waiting.run
        return NotRun(
            self.reason,
            f"no slot became free in time; typical run time"
            f" {run.expected_s:.3f} s",
            503,
            max(1.0, run.expected_s),
        )


class Queue(Struct, frozen=True):
    """Waiting requests of a pool.

    Attributes:
        waiting: Requests by id.
        short: Short work, sorted by arrival.
        long: Long work, sorted by `WaitingRequest.priority_from`.
        by_latest_start: All work, sorted by latest start.
        plans: Work of each plan, sorted by arrival.
        short_s: Sum of the expected run times of short work, in seconds.
        long_s: Sum of the expected run times of long work, in seconds.
    """

    waiting: Map[str, WaitingRequest] = Map()
    short: _Order = ()
    long: _Order = ()
    by_latest_start: _Order = ()
    plans: Map[str, _Order] = Map()
    short_s: float = 0.0
    long_s: float = 0.0

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self.waiting)


def _insert(order: _Order, key: float, request: str) -> _Order:
    entry = (key, request)
    index = bisect_left(order, entry)
    return (*order[:index], entry, *order[index:])


def _delete(order: _Order, key: float, request: str) -> _Order:
    index = bisect_left(order, (key, request))
    return (*order[:index], *order[index + 1 :])


def enqueue(queue: Queue, waiting: WaitingRequest) -> Queue:
    """Adds a request.

    Args:
        queue: The queue before.
        waiting: The request; its id must not be in the queue yet.

    Returns:
        The queue after.
    """
    request, run = waiting.request, waiting.run
    short, long = queue.short, queue.long
    if run.long:
        long = _insert(long, waiting.priority_from, request)
    else:
        short = _insert(short, waiting.enqueued, request)
    of_plan = queue.plans.get(waiting.plan, ())
    return Queue(
        queue.waiting.set(request, waiting),
        short,
        long,
        _insert(queue.by_latest_start, waiting.latest_start, request),
        queue.plans.set(
            waiting.plan, _insert(of_plan, waiting.enqueued, request)
        ),
        queue.short_s + (0.0 if run.long else run.expected_s),
        queue.long_s + (run.expected_s if run.long else 0.0),
    )


def remove(queue: Queue, request: str) -> Queue:
    """Removes a request that starts or was cancelled.

    Args:
        queue: The queue before.
        request: Id of the request.

    Returns:
        The queue after; unchanged if the request is not in it.
    """
    waiting = queue.waiting.get(request)
    if waiting is None:
        return queue
    run = waiting.run
    short, long = queue.short, queue.long
    if run.long:
        long = _delete(long, waiting.priority_from, request)
    else:
        short = _delete(short, waiting.enqueued, request)
    of_plan = _delete(queue.plans[waiting.plan], waiting.enqueued, request)
    plans = (
        queue.plans.set(waiting.plan, of_plan)
        if of_plan
        else queue.plans.delete(waiting.plan)
    )
    return Queue(
        queue.waiting.delete(request),
        short,
        long,
        _delete(queue.by_latest_start, waiting.latest_start, request),
        plans,
        # Resets the sum of an empty class to 0 to discard rounding errors.
        queue.short_s - (0.0 if run.long else run.expected_s) if short else 0.0,
        queue.long_s - (run.expected_s if run.long else 0.0) if long else 0.0,
    )


def _first_unblocked(
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
    """Returns the request to start next; it stays in the queue until `remove`.

    Long work that has waited for its maximum time goes first, then short work in
    order of arrival, then other long work.

    Args:
        queue: The queue.
        now: Time in seconds.
        long_free: Whether a slot for long work is free.
        blocked: Plans at their concurrency limit. They are skipped, so that they
            do not block other plans.

    Returns:
        The request, or None if nothing may start.
    """
    long = _first_unblocked(queue, queue.long, blocked) if long_free else None
    if long is not None and long.priority_from <= now:
        return long
    return _first_unblocked(queue, queue.short, blocked) or long


def next_expiry(queue: Queue) -> float | None:
    """Returns the time in seconds after which `expire` drops a request."""
    return queue.by_latest_start[0][0] if queue.by_latest_start else None


def expire(
    queue: Queue, now: float
) -> tuple[Queue, tuple[DroppedRequest, ...]]:
    """Drops the requests that can no longer meet their deadline.

    Args:
        queue: The queue before.
        now: Time in seconds.

    Returns:
        The queue after and the dropped requests.
    """
    dropped: list[DroppedRequest] = []
    while queue.by_latest_start and queue.by_latest_start[0][0] < now:
        waiting = queue.waiting[queue.by_latest_start[0][1]]
        reason = (
            "deadline-passed"
            if waiting.deadline < now
            else "deadline-unreachable"
        )
        dropped.append(DroppedRequest(waiting, reason))
        queue = remove(queue, waiting.request)
    return queue, tuple(dropped)


def newest_request(queue: Queue, plan: str) -> WaitingRequest | None:
    """Returns the newest request of a plan, which is the first to be shed."""
    order = queue.plans.get(plan)
    return queue.waiting[order[-1][1]] if order else None


def waiting_count(queue: Queue, plan: str) -> int:
    """Returns the number of waiting requests of a plan."""
    return len(queue.plans.get(plan, ()))


def expected_wait_s(queue: Queue, run: RunClass, slots: int) -> float:
    """Estimates how long a new request would wait.

    Args:
        queue: The queue.
        run: Class of the new request.
        slots: Slots that this entry instance may use in the pool.

    Returns:
        The expected run time of the work ahead of it divided by the slots, in
        seconds. Running work is not included, so the estimate tends to be low.
    """
    ahead_s = queue.short_s + (queue.long_s if run.long else 0.0)
    return ahead_s / max(1, slots)
