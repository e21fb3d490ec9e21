"""Requests and failures of one plan over time, in buckets that widen with age.

Recent buckets are narrow, as the burn rate requires; old ones are wide, so that
a window of 35 days needs at most 450 buckets. This is the resolution scheme of
round-robin databases (Oetiker 1998), applied on each append.
"""

from dataclasses import dataclass, replace

# Time between two counts of an entry instance, and width of a new bucket.
COUNTS_INTERVAL_S = 10.0

# Age from which buckets are merged, and width of the merged bucket, in seconds.
_TIERS = ((600.0, 600.0), (86_400.0, 21_600.0))
_MAX_WINDOW_S = 35 * 86_400.0


@dataclass(frozen=True)
class Bucket:
    """Counts of one time span.

    Attributes:
        start: Start on the log's clock, in seconds.
        width: Length, in seconds.
        requests: Requests that ended.
        failed: Those that failed or were refused.
    """

    start: float
    width: float
    requests: int
    failed: int


@dataclass(frozen=True)
class Series:
    """Counts of one plan, oldest bucket first.

    Attributes:
        buckets: Disjoint buckets in time order.
        requests_total: Requests ever counted.
        failed_total: Failures ever counted.
    """

    buckets: tuple[Bucket, ...] = ()
    requests_total: int = 0
    failed_total: int = 0


def add_counts(series: Series, at: float, requests: int, failed: int) -> Series:
    """Adds requests that ended at the same time.

    Args:
        series: Counts so far.
        at: Time on the log's clock, in seconds. A time before the newest
            bucket is counted in the newest bucket.
        requests: Requests that ended.
        failed: Those that failed or were refused.

    Returns:
        The series with the counts.
    """
    buckets = series.buckets
    start = at - at % COUNTS_INTERVAL_S
    last = buckets[-1] if buckets else None
    if last is not None and last.start >= start:
        merged = Bucket(
            last.start,
            last.width,
            last.requests + requests,
            last.failed + failed,
        )
        buckets = (*buckets[:-1], merged)
    else:
        # Buckets can only be merged after a boundary of the first tier.
        boundary = start - start % _TIERS[0][1]
        if last is not None and last.start < boundary:
            buckets = _merge_old_buckets(buckets, start)
        buckets = (*buckets, Bucket(start, COUNTS_INTERVAL_S, requests, failed))
    return Series(
        buckets,
        series.requests_total + requests,
        series.failed_total + failed,
    )


def window_totals(
    series: Series, now: float, window_s: float
) -> tuple[int, int]:
    """Requests and failures of a window that ends now.

    A bucket that lies partly in the window is counted as a whole.

    Args:
        series: Counts of the plan.
        now: End of the window, in seconds.
        window_s: Length of the window, in seconds.

    Returns:
        Requests and failures.

    >>> window_totals(add_counts(Series(), 5.0, 10, 1), 60.0, 60.0)
    (10, 1)
    >>> window_totals(add_counts(Series(), 5.0, 10, 1), 71.0, 60.0)
    (0, 0)
    """
    requests = failed = 0
    for bucket in reversed(series.buckets):
        if bucket.start + bucket.width <= now - window_s:
            break
        requests += bucket.requests
        failed += bucket.failed
    return requests, failed


def _merge_old_buckets(
    buckets: tuple[Bucket, ...], now: float
) -> tuple[Bucket, ...]:
    """Merges old buckets and drops those older than the longest window.

    Buckets that have not reached the age of a wider tier stay as they are.
    """
    merged_buckets: list[Bucket] = []
    for bucket in buckets:
        if bucket.start + bucket.width <= now - _MAX_WINDOW_S:
            continue
        bucket = _widen(bucket, now)
        if merged_buckets and merged_buckets[-1].start == bucket.start:
            bucket = replace(
                bucket,
                requests=bucket.requests + merged_buckets[-1].requests,
                failed=bucket.failed + merged_buckets[-1].failed,
            )
            merged_buckets[-1] = bucket
        else:
            merged_buckets.append(bucket)
    return tuple(merged_buckets)


def _widen(bucket: Bucket, now: float) -> Bucket:
    for age, width in reversed(_TIERS):
        start = bucket.start - bucket.start % width
        # Only complete spans, so that wide buckets never overlap narrow ones.
        if start + width <= now - age and bucket.width < width:
            return replace(bucket, start=start, width=width)
    return bucket
