"""The four measures and the achieved rate; see ``docs/measures.md``.

Daemon, benchmarks and reports share these functions, so that their figures are
comparable.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

# The histogram counts in thousandths of a unit (ms for seconds), with three
# significant digits, and its range covers a day in seconds.
_STEPS_PER_UNIT = 1000
_MAX_SCALED_VALUE = 86_400 * _STEPS_PER_UNIT
_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True)
class Summary:
    """Distribution of one measure, in the unit of its samples.

    Attributes:
        count: Number of samples, or their total weight.
        mean: Arithmetic mean.
        p50: Median.
        p99: 99th percentile.
    """

    count: int
    mean: float
    p50: float
    p99: float


@dataclass(frozen=True)
class CapacitySample:
    """Capacity of the fleet over an interval without changes.

    Attributes:
        duration_s: Length of the interval, in seconds.
        held_slots: Slots of all instances owned by pools, including those
            that are draining or moving between pools.
        busy_slots: Slots in use.
        offered_slots: Idle slots that pools offer to lower-class tasks.
    """

    duration_s: float
    held_slots: int
    busy_slots: int
    offered_slots: int = 0


@dataclass(frozen=True)
class ShortWorkWait:
    """Wait of one short request or task.

    Attributes:
        wait_s: Time from arrival to start, in seconds.
        behind_long_s: Part of it in which long-running work occupied a slot
            that the short work could have used, in seconds.
    """

    wait_s: float
    behind_long_s: float


def summarise(samples: Iterable[tuple[float, int]]) -> Summary:
    """Summarises weighted samples with an HDR histogram (Tene).

    Args:
        samples: Pairs of value (not negative) and weight (a positive count).

    Returns:
        The summary; all values are 0 if there is no sample.

    >>> round(summarise([(2.0, 1), (4.0, 1)]).mean, 1)
    3.0
    """
    histogram = HdrHistogram(1, _MAX_SCALED_VALUE, _SIGNIFICANT_DIGITS)
    for value, weight in samples:
        scaled = min(round(value * _STEPS_PER_UNIT), _MAX_SCALED_VALUE)
        if not histogram.record_value(max(scaled, 0), weight):
            raise ValueError(f"value out of range: {value}")
    if histogram.get_total_count() == 0:
        return Summary(0, 0.0, 0.0, 0.0)
    return Summary(
        histogram.get_total_count(),
        histogram.get_mean_value() / _STEPS_PER_UNIT,
        histogram.get_value_at_percentile(50) / _STEPS_PER_UNIT,
        histogram.get_value_at_percentile(99) / _STEPS_PER_UNIT,
    )


def buffer_cost(samples: Iterable[CapacitySample]) -> Summary:
    """Summarises the spare slots held for bursts, weighted by time in ms.

    Args:
        samples: Capacity over time.

    Returns:
        Summary in slots.

    >>> samples = [CapacitySample(1, 48, 8), CapacitySample(1, 48, 28)]
    >>> round(buffer_cost(samples).mean, 1)
    30.0
    """
    return summarise(
        (
            max(0, s.held_slots - s.busy_slots - s.offered_slots),
            round(s.duration_s * _STEPS_PER_UNIT),
        )
        for s in samples
        if s.duration_s > 0
    )


def roll_out_time(
    accepted_at: float, in_force_at: Mapping[str, float]
) -> Summary:
    """Summarises how long the instances take to apply an accepted change.

    Args:
        accepted_at: Time of the accepted record on the log's clock, in seconds.
        in_force_at: Time at which each instance applied it, in seconds.

    Returns:
        Summary in seconds over the instances.

    >>> in_force_at = {"entry-1": 11.0, "entry-2": 13.0}
    >>> round(roll_out_time(10.0, in_force_at).mean, 1)
    2.0
    """
    return summarise(
        (max(0.0, at - accepted_at), 1) for at in in_force_at.values()
    )


def moves(
    begun_at: Iterable[float], start: float, end: float, bin_s: float = 60.0
) -> Summary:
    """Summarises the moves between pools that began in each time bin.

    Args:
        begun_at: Time of each accepted ``move-begun`` record, in seconds.
        start: Start of the observation, in seconds.
        end: End of the observation, in seconds.
        bin_s: Length of a bin, in seconds.

    Returns:
        Summary in moves for each bin; ``count`` is the number of bins.

    >>> moves([1.0, 2.0, 61.0], 0.0, 120.0).mean
    1.5
    """
    bins = [0] * max(1, round((end - start) / bin_s))
    for at in begun_at:
        if start <= at < end:
            bins[min(int((at - start) / bin_s), len(bins) - 1)] += 1
    return summarise((count, 1) for count in bins)


def short_behind_long_wait(waits: Iterable[ShortWorkWait]) -> Summary:
    """Summarises the waits of short work while long work held a usable slot.

    Args:
        waits: One entry for each short request or task, including those that
            did not wait.

    Returns:
        Summary in seconds.

    >>> waits = [ShortWorkWait(5.0, 4.0), ShortWorkWait(1.0, 0.0)]
    >>> round(short_behind_long_wait(waits).mean, 1)
    2.0
    """
    return summarise((min(w.behind_long_s, w.wait_s), 1) for w in waits)


def achieved_rate(requests: int, failed: int) -> float:
    """Returns the share of requests that succeeded; 1 without requests.

    Args:
        requests: Requests that ended, whatever their outcome.
        failed: Those of them that failed or were refused, from the caller's
            point of view.

    Returns:
        A share between 0 and 1.

    >>> achieved_rate(200, 1)
    0.995
    """
    return 1.0 if requests <= 0 else 1.0 - failed / requests
