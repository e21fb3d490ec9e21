"""Run-time classes learnt from what ran."""

from statistics import median

from immutables import Map
from msgspec import Struct
from msgspec.structs import replace

# Work is short below this many medians of its service.
LONG_FROM = 4.0
# Fewer results of a key are no evidence; two could both be stragglers.
ENOUGH_RESULTS = 3
_KEY_RESULTS = 9
_SERVICE_RESULTS = 63
# An operation with a larger share of long results does not tell the class of a
# customer that has no results of its own.
_MIXED_FROM = 0.1
# Operation names come from callers, so the number of keys must be bounded.
_KEYS_KEPT = 4096


class WorkKey(Struct, frozen=True):
    """What run times are learnt for.

    Attributes:
        service: Name of the service.
        operation: Name of the operation.
        customer: Name of the customer.
    """

    service: str
    operation: str
    customer: str


class Window(Struct, frozen=True):
    """The last results of one subject.

    Attributes:
        times: Run times in seconds, oldest first.
        median: Their median, in seconds.
    """

    times: tuple[float, ...] = ()
    median: float = 0.0


class RunClass(Struct, frozen=True):
    """Class of a piece of work.

    Attributes:
        long: Whether it must leave the reserved slots free.
        expected_s: Typical run time in seconds, or 0 if nothing is known.
        least_s: Shortest recent run time in seconds, or 0 if unknown. Used to
            drop work, since a median would drop work that can still end in
            time.
        source: ``customer``, ``operation``, ``declared`` or ``unknown``.
    """

    long: bool
    expected_s: float
    min_run_time_s: float
    source: str


class RunTimes(Struct, frozen=True):
    """Run times by customer, operation and service.

    Attributes:
        customers: Windows by service, operation and customer.
        operations: Windows by service and operation.
        services: Windows by service.
        older: Windows by key from before the last `_KEYS_KEPT` new keys.
    """

    customers: Map[tuple[str, ...], Window] = Map()
    operations: Map[tuple[str, ...], Window] = Map()
    services: Map[str, Window] = Map()
    older: Map[tuple[str, ...], Window] = Map()


def _added(window: Window, run_time_s: float, kept: int) -> Window:
    times = (*window.times, run_time_s)[-kept:]
    return Window(times, median(times))


def _window(state: RunTimes, path: tuple[str, ...]) -> Window:
    current = state.customers if len(path) == 3 else state.operations
    return current.get(path) or state.older.get(path) or Window()


def observe_run(
    state: RunTimes, key: WorkKey, run_time_s: float, finished: bool = True
) -> RunTimes:
    """Learns from a result.

    Work that was cut off has run for at least `run_time_s`. That says something
    only if it is long already, so a burst of cancellations does not make long
    work look short. Call it with ``finished=False`` also for work that still
    runs after `LONG_FROM` medians of its service: waiting for the end would let
    more of it into the reserve.

    Args:
        state: The state before.
        key: What ran.
        run_time_s: Run time in seconds.
        finished: Whether the work came to its end.

    Returns:
        The state after.
    """
    service = state.services.get(key.service) or Window()
    if not finished and not (
        service.median and run_time_s >= LONG_FROM * service.median
    ):
        return state
    path = (key.service, key.operation, key.customer)
    by_key = _added(_window(state, path), run_time_s, _KEY_RESULTS)
    by_operation = _added(
        _window(state, path[:2]), run_time_s, _SERVICE_RESULTS
    )
    if len(state.customers) + len(state.operations) >= _KEYS_KEPT:
        older = state.customers.update(state.operations)
        state = replace(state, customers=Map(), operations=Map(), older=older)
    services = state.services
    if finished:
        # Work that is seen while it runs is counted again at its end, which
        # would raise the service's median.
        whole = _added(service, run_time_s, _SERVICE_RESULTS)
        services = services.set(key.service, whole)
    return RunTimes(
        state.customers.set(path, by_key),
        state.operations.set(path[:2], by_operation),
        services,
        state.older,
    )


def classify(
    state: RunTimes, key: WorkKey, declared_s: float | None = None
) -> RunClass:
    """Tells the class of work before it runs.

    The customer's own results decide; without enough of them the results of the
    operation, unless these are mixed. A declared time can only make unproven
    work long: a short declaration that is wrong would fill the reserve before
    its first result, while a long one that is wrong costs a few waits.

    Args:
        state: What has been learnt.
        key: What is to run.
        declared_s: Run time that the customer declared, in seconds.

    Returns:
        The class. Work of which nothing is known counts as long.
    """
    service = state.services.get(key.service) or Window()
    if len(service.times) < ENOUGH_RESULTS:
        return RunClass(True, 0.0, 0.0, "unknown")
    limit = LONG_FROM * service.median
    path = (key.service, key.operation, key.customer)
    own = _window(state, path)
    if len(own.times) >= ENOUGH_RESULTS:
        return RunClass(
            own.median >= limit, own.median, min(own.times), "customer"
        )
    if declared_s is not None and declared_s >= limit:
        return RunClass(True, 0.0, 0.0, "declared")
    alike = _window(state, path[:2])
    if len(alike.times) >= ENOUGH_RESULTS:
        long = sum(time >= limit for time in alike.times)
        mixed = long >= _MIXED_FROM * len(alike.times)
        return RunClass(mixed, alike.median, min(alike.times), "operation")
    return RunClass(True, 0.0, 0.0, "unknown")


def long_threshold_s(state: RunTimes, service: str) -> float | None:
    """Run time from which work of the service is long, if it is known."""
    window = state.services.get(service)
    if window is None or len(window.times) < ENOUGH_RESULTS:
        return None
    return LONG_FROM * window.median
