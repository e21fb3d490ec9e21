"""Declared sizes corrected by measured usage, which lags.

Declared sizes are far from the real ones. What tasks of a kind used at their
highest, as a share of what they declared, corrects the next ones.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from immutables import Map

from acaciawing.placement.records import Resources
from acaciawing.placement.tasks import Task, TaskState

# Fewer measured tasks of a kind say too little; then declared sizes stand.
_LEAST_TASKS = 5

# Usage older than this may be from before the task changed its behaviour.
_USAGE_STALE_S = 60.0

# A running task is taken as measured only after its start-up.
_SETTLED_S = 120.0

# Room over the measured use. Lack of memory kills a task, lack of processors
# only slows it down.
_MEMORY_ROOM = 1.25
_PROCESSOR_ROOM = 1.1

# A correction is never below a tenth or above four times the declared size, so
# that one odd measurement can't fill or empty a worker.
_LOWEST, _HIGHEST = 0.1, 4.0

# Weight of the old peak when a task of the kind used less.
_DECAY = 0.9

# A task that ran out of memory gets twice as much in its next attempt.
_GROWTH = 2


@dataclass(frozen=True)
class UsageSample:
    """Usage of a running task, as its worker reported it.

    Attributes:
        task: Id of the task.
        measured_at: Time of the measurement, in seconds.
        processors: Processors used, averaged over the last half minute.
        memory_mb: Highest memory used since the start, in MB.
    """

    task: str
    measured_at: float
    processors: float
    memory_mb: int


@dataclass(frozen=True)
class KindUsage:
    """Shares of the declared size that tasks of a kind used.

    Attributes:
        tasks: Tasks measured.
        processors: Slowly decaying peak of the share of processors.
        memory: The same of memory.
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


def learn(
    corrections: Corrections, kind: str, declared: Resources, peak: Resources
) -> Corrections:
    """Adds the peak usage of a task that has ended.

    Args:
        corrections: What was learnt so far.
        kind: Kind of the task.
        declared: Its declared size.
        peak: The most that it used.

    Returns:
        The corrections with it.
    """
    if declared.processors <= 0 or declared.memory_mb <= 0:
        return corrections
    old = corrections.kinds.get(kind, KindUsage())
    processors = peak.processors / declared.processors
    memory = peak.memory_mb / declared.memory_mb
    usage = KindUsage(
        old.tasks + 1,
        max(processors, _decayed(old.processors, processors)),
        max(memory, _decayed(old.memory, memory)),
    )
    return replace(corrections, kinds=corrections.kinds.set(kind, usage))


def _decayed(old: float, new: float) -> float:
    return _DECAY * old + (1 - _DECAY) * new


def corrected(
    corrections: Corrections, kind: str, declared: Resources, grown: bool
) -> Resources:
    """Size that a waiting task is reckoned with.

    Args:
        corrections: What was learnt.
        kind: Kind of the task.
        declared: Its declared size.
        grown: Whether it ran out of memory before.

    Returns:
        The corrected size; accelerators are never corrected.

    >>> corrected(Corrections(), "render", Resources(4, 1000), True).memory_mb
    2000
    """
    usage = corrections.kinds.get(kind)
    processors, memory = declared.processors, float(declared.memory_mb)
    if usage is not None and usage.tasks >= _LEAST_TASKS:
        processors *= _bounded(usage.processors * _PROCESSOR_ROOM)
        memory *= _bounded(usage.memory * _MEMORY_ROOM)
    if grown:
        memory = max(memory, float(declared.memory_mb)) * _GROWTH
    return Resources(processors, round(memory), declared.accelerators)


def _bounded(share: float) -> float:
    return min(_HIGHEST, max(_LOWEST, share))


def running_sizes(
    tasks: Mapping[str, Task], samples: Iterable[UsageSample], now: float
) -> dict[str, Resources]:
    """Sizes of running tasks as their usage shows them.

    Args:
        tasks: The fold's tasks.
        samples: Latest usage of each task.
        now: Time on the log's clock, in seconds.

    Returns:
        Sizes that differ from those at placement, by task. Usage that is
        stale or from before the task settled can only raise a size.
    """
    sizes = {}
    for sample in samples:
        task = tasks.get(sample.task)
        if task is None or task.state is not TaskState.RUNNING:
            continue
        processors = sample.processors * _PROCESSOR_ROOM
        memory = round(sample.memory_mb * _MEMORY_ROOM)
        fresh = now - sample.measured_at <= _USAGE_STALE_S
        settled = sample.measured_at - task.started_at >= _SETTLED_S
        if not (fresh and settled):
            processors = max(processors, task.size.processors)
            memory = max(memory, task.size.memory_mb)
        size = Resources(processors, memory, task.size.accelerators)
        if size != task.size:
            sizes[sample.task] = size
    return sizes
