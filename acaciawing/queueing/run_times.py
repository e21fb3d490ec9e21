"""Run-time classes derived from the run times of earlier requests."""

from statistics import median

from immutables import Map
from msgspec import Struct
from msgspec.structs import replace

# Work is long if it runs for at least this many medians of its service.
LONG_MIN_MEDIANS = 4.0
# Minimum number of results to classify by; two could both be stragglers.
MIN_RESULTS = 3
_KEY_WINDOW_SIZE = 9
_SERVICE_WINDOW_SIZE = 63
# With at least this share of long results, an operation does not determine the class
# of a customer without results of its own, whose work is then treated as long.
_MIXED_MIN_LONG_SHARE = 0.1
# Callers choose the operation names, so the number of keys must be bounded.
_MAX_CURRENT_KEYS = 4096


class WorkKey(Struct, frozen=True):
    """Key that run times are recorded under.

    Attributes:
        service: Name of the service.
        operation: Name of the operation.
        customer: Name of the customer.
    """

    service: str
    operation: str
    customer: str


class Window(Struct, frozen=True):
    """The last run times of a key, an operation or a service.

    Attributes:
        times: Run times in seconds, oldest first.
        median: Median of the run times, in seconds.
    """

    times: tuple[float, ...] = ()
    median: float = 0.0


class RunClass(Struct, frozen=True):
    """Run-time class of a request.

    Attributes:
        long: Whether it is long, so that it may not use the reserved slots.
        expected_s: Typical run time in seconds, or 0 if unknown.
        min_run_time_s: Shortest recent run time in seconds, or 0 if unknown.
            Requests are dropped by this time rather than by the median, since a
            request may take less than the median.
        source: Origin of the class: ``customer``, ``operation``, ``declared`` or
            ``unknown``.
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
        older: Windows of customers and operations from the previous generation;
            a generation ends after `_MAX_CURRENT_KEYS` new keys.
    """

    customers: Map[tuple[str, ...], Window] = Map()
    operations: Map[tuple[str, ...], Window] = Map()
    services: Map[str, Window] = Map()
    older: Map[tuple[str, ...], Window] = Map()


def _append_result(window: Window, run_time_s: float, size: int) -> Window:
    times = (*window.times, run_time_s)[-size:]
    return Window(times, median(times))


def _find_window(state: RunTimes, path: tuple[str, ...]) -> Window:
    current = state.customers if len(path) == 3 else state.operations
    return current.get(path) or state.older.get(path) or Window()


def observe_run(
    state: RunTimes, key: WorkKey, run_time_s: float, finished: bool = True
) -> RunTimes:
    """Records a run time.

    Unfinished work has run for at least `run_time_s`. It is recorded only if this
    is already long, so that cancellations don't make long work look short. Call
    this with ``finished=False`` also for work that is still running after
    `LONG_MIN_MEDIANS` medians of its service. Recording it only at its end would
    let more work of the same key into the reserved slots.

    Args:
        state: The state before.
        key: Key of the work.
        run_time_s: Run time in seconds.
        finished: Whether the work ran to its end.

    Returns:
        The state after.
    """
    service = state.services.get(key.service) or Window()
    if not finished and not (
        service.median and run_time_s >= LONG_MIN_MEDIANS * service.median
    ):
        return state
    path = (key.service, key.operation, key.customer)
    by_key = _append_result(
        _find_window(state, path), run_time_s, _KEY_WINDOW_SIZE
    )
    by_operation = _append_result(
        _find_window(state, path[:2]), run_time_s, _SERVICE_WINDOW_SIZE
    )
    if len(state.customers) + len(state.operations) >= _MAX_CURRENT_KEYS:
        older = state.customers.update(state.operations)
        state = replace(state, customers=Map(), operations=Map(), older=older)
    services = state.services
    if finished:
        # Work that was recorded while running is recorded again at its end.
        # Counting both would raise the median of the service.
        service_window = _append_result(
            service, run_time_s, _SERVICE_WINDOW_SIZE
        )
        services = services.set(key.service, service_window)
    return RunTimes(
        state.customers.set(path, by_key),
        state.operations.set(path[:2], by_operation),
        services,
        state.older,
    )


def classify(
    state: RunTimes, key: WorkKey, declared_s: float | None = None
) -> RunClass:
    """Classifies work before it runs.

    The class follows the customer's own results. Without enough of them, it
    follows the results of the operation, which is long if a noticeable share of
    them is long. A declared run time is used only for work without enough results
    of its own, and only to classify it as long. A wrong short declaration would
    fill the reserved slots before the first result; a wrong long one only costs
    some waiting.

    Args:
        state: Recorded run times.
        key: Key of the work.
        declared_s: Run time declared by the customer, in seconds.

    Returns:
        The class. Unknown work is treated as long.
    """
    service = state.services.get(key.service) or Window()
    if len(service.times) < MIN_RESULTS:
        return RunClass(True, 0.0, 0.0, "unknown")
    limit = LONG_MIN_MEDIANS * service.median
    path = (key.service, key.operation, key.customer)
    own = _find_window(state, path)
    if len(own.times) >= MIN_RESULTS:
        return RunClass(
            own.median >= limit, own.median, min(own.times), "customer"
        )
    if declared_s is not None and declared_s >= limit:
        return RunClass(True, 0.0, 0.0, "declared")
    operation = _find_window(state, path[:2])
    if len(operation.times) >= MIN_RESULTS:
        long = sum(time >= limit for time in operation.times)
        is_long = long >= _MIXED_MIN_LONG_SHARE * len(operation.times)
        return RunClass(
            is_long, operation.median, min(operation.times), "operation"
        )
    return RunClass(True, 0.0, 0.0, "unknown")


def long_threshold_s(state: RunTimes, service: str) -> float | None:
    """Returns the run time from which work is long, or None if unknown."""
    window = state.services.get(service)
    if window is None or len(window.times) < MIN_RESULTS:
        return None
    return LONG_MIN_MEDIANS * window.median
