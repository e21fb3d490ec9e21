"""Task sizes corrected by measured usage.

Declared sizes are inaccurate. The peak usage of earlier tasks of a kind, as a
share of their declared size, corrects the size of later ones. Since usage
reports arrive late, an old report can only raise the size of a running task.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from immutables import Map

from acaciawing.placement.records import Resources
from acaciawing.placement.tasks import Task, TaskState

# With fewer measured tasks of a kind, the declared size is used.
_MIN_MEASURED_TASKS = 5

# Older usage may predate a change in what the task does.
_MAX_USAGE_AGE_S = 60.0

# Usage within this time of the start is not representative of the task.
_STARTUP_S = 120.0

# Headroom over the measured usage; larger for memory, since a lack of memory
# kills a task and a lack of processors only slows it down.
_MEMORY_HEADROOM_FACTOR = 1.25
_PROCESSOR_HEADROOM_FACTOR = 1.1

# Bounds relative to the declared size, so that an outlier neither fills a
# worker with one task nor overloads it with many.
_MIN_CORRECTION_FACTOR, _MAX_CORRECTION_FACTOR = 0.1, 4.0

# Weight of the old peak when a later task of the kind used less.
_PEAK_DECAY = 0.9

# Applied to the memory of a task whose earlier attempt ran out of memory.
_OUT_OF_MEMORY_FACTOR = 2


@dataclass(frozen=True)
class UsageSample:
    """Usage of a running task, as its worker reported it.

    Attributes:
        task: Id of the task.
        measured_at: Time of the measurement, in seconds.
        processors: Processors used, averaged over the last 30 s.
        memory_mb: Peak memory since the start, in MB.
    """

    task: str
    measured_at: float
    processors: float
    memory_mb: int


@dataclass(frozen=True)
class KindUsage:
    """Peak usage of tasks of a kind, as a share of the declared size.

    Attributes:
        tasks: Number of tasks measured.
        processors: Decaying peak of the share of processors.
        memory: Decaying peak of the share of memory.
    """

    tasks: int = 0
    processors: float = 0.0
    memory: float = 0.0


@dataclass(frozen=True)
class Corrections:
    """Measured usage of all kinds.

    Attributes:
        kinds: Usage by kind.
    """

    kinds: Map[str, KindUsage] = field(default_factory=Map)


def record_usage(
    corrections: Corrections, kind: str, declared: Resources, peak: Resources
) -> Corrections:
    """Adds the peak usage of an ended task.

    Args:
        corrections: Usage recorded so far.
        kind: Kind of the task.
        declared: Its declared size; without processors or memory it can't be
            corrected, and the usage is ignored.
        peak: Its peak usage.

    Returns:
        The corrections with this task included.
    """
    if declared.processors <= 0 or declared.memory_mb <= 0:
        return corrections
    old = corrections.kinds.get(kind, KindUsage())
    processors = peak.processors / declared.processors
    memory = peak.memory_mb / declared.memory_mb
    usage = KindUsage(
        old.tasks + 1,
        max(processors, _decay_peak(old.processors, processors)),
        max(memory, _decay_peak(old.memory, memory)),
    )
    return replace(corrections, kinds=corrections.kinds.set(kind, usage))


def _decay_peak(old: float, new: float) -> float:
    return _PEAK_DECAY * old + (1 - _PEAK_DECAY) * new


def corrected_size(
    corrections: Corrections, kind: str, declared: Resources, grown: bool
) -> Resources:
    """Returns the size to use for a waiting task.

    Args:
        corrections: Usage recorded so far.
        kind: Kind of the task.
        declared: Its declared size.
        grown: Whether an earlier attempt ran out of memory.

    Returns:
        The corrected size; accelerators are never corrected.

    >>> declared = Resources(4, 1000)
    >>> corrected_size(Corrections(), "render", declared, True).memory_mb
    2000
    """
    usage = corrections.kinds.get(kind)
    processors, memory = declared.processors, float(declared.memory_mb)
    if usage is not None and usage.tasks >= _MIN_MEASURED_TASKS:
        processors *= _limit_correction(
            usage.processors * _PROCESSOR_HEADROOM_FACTOR
        )
        memory *= _limit_correction(usage.memory * _MEMORY_HEADROOM_FACTOR)
    if grown:
        memory = max(memory, float(declared.memory_mb)) * _OUT_OF_MEMORY_FACTOR
    return Resources(processors, round(memory), declared.accelerators)


def _limit_correction(share: float) -> float:
    return min(_MAX_CORRECTION_FACTOR, max(_MIN_CORRECTION_FACTOR, share))


def measured_sizes(
    tasks: Mapping[str, Task], samples: Iterable[UsageSample], now: float
) -> dict[str, Resources]:
    """Returns sizes of running tasks according to their measured usage.

    Args:
        tasks: The fold's tasks.
        samples: Latest usage of each task.
        now: Time on the log's clock, in seconds.

    Returns:
        Sizes that differ from those of the placement, by task. Usage that is
        stale or from the start-up of the task can only raise a size.
    """
    sizes = {}
    for sample in samples:
        task = tasks.get(sample.task)
        if task is None or task.state is not TaskState.RUNNING:
            continue
        processors = sample.processors * _PROCESSOR_HEADROOM_FACTOR
        memory = round(sample.memory_mb * _MEMORY_HEADROOM_FACTOR)
        recent = now - sample.measured_at <= _MAX_USAGE_AGE_S
        past_startup = sample.measured_at - task.started_at >= _STARTUP_S
        if not (recent and past_startup):
            processors = max(processors, task.size.processors)
            memory = max(memory, task.size.memory_mb)
        size = Resources(processors, memory, task.size.accelerators)
        if size != task.size:
            sizes[sample.task] = size
    return sizes
