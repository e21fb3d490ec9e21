"""Suspicion of subtasks under which workers crash.

A crash leaves no report, and all runs on the worker are lost together, so one
crash can't tell the run that caused it from those beside it. The more crashes a
subtask was part of, the fewer other runs are put at risk with it: after one, it
is kept apart from other suspects; after two, it is started in isolation, on a
worker that has nothing but suspects that have survived their start. Crashes in
isolation are the evidence on which a subtask is given up, and they explain the
earlier crashes to those beside it.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from acaciawing.jobs.limits import FULL_SPEED_PERCENT
from acaciawing.jobs.model import SubtaskId
from acaciawing.jobs.records import RunCrashed
from acaciawing.jobs.workers import Phase, Run, WorkerView

# A subtask is started in isolation after this many crashes.
SHARED_CRASHES_FOR_ISOLATION = 2

# After this many crashes, a subtask is started only in isolation, and given up
# if it crashed its worker there before any report of the worker named it.
MAX_SHARED_CRASHES = 3

# A subtask is given up after this many crashes in isolation: a single one may
# be a coincidence.
MAX_CRASHES_ALONE = 2

# After this many crashes, it is enough that the last one was in isolation.
MAX_CRASHES_WITH_LAST_ALONE = 4

# A subtask is given up after this many crashes, in isolation or not, if other
# subtasks explain at most `MAX_EXPLAINED_CRASHES` of them.
MAX_CRASHES = 5
MAX_EXPLAINED_CRASHES = 2

# A long-running subtask is given up after this many unexplained crashes, however
# long after its starts.
MAX_LATE_CRASHES = 10

# With fewer crashes that no other subtask explains, a subtask is not given up.
MIN_UNEXPLAINED_CRASHES = 2

# A strictly isolated run has its worker for itself for this time.
STRICT_PROBATION_S = 5.0

# A run that has survived for this time since its start is not the cause of a
# crash soon after another one's start.
PROBATION_S = 0.5

# A subtask waits at most this long for a worker of its own before it is placed
# like others: several times the 1.5 s in which most runs end.
ISOLATION_TIMEOUT_S = 6.0

# The same after `MAX_SHARED_CRASHES`; longer than nearly all runs.
STRICT_ISOLATION_TIMEOUT_S = 30.0

# At most this share of a pool is kept for isolated subtasks at once, but up to
# two workers of a small one.
MAX_ISOLATED_SHARE = 0.34
MIN_ISOLATED_WORKERS = 2

# Starts are recorded for this time after a crash.
CRASH_ALERT_S = 60.0

# A long-running run that was at work for this time did not cause a crash, and
# clears its subtask of earlier ones.
PROVEN_AGE_S = 10.0

# A worker that fell silent until its leases lapsed, and that is listed neither
# as a worker nor as a machine's, has crashed after this further time.
SILENCE_TIMEOUT_S = 3.0


class Suspicion(IntEnum):
    """How strongly a subtask is suspected of crashing workers.

    Attributes:
        NONE: No worker has crashed under it.
        SUSPECTED: One has; it is kept apart from other suspects.
        ISOLATED: Several have; it is started on a worker of its own.
        STRICTLY_ISOLATED: More have; nothing else may be on its worker.
    """

    NONE = 0
    SUSPECTED = 1
    ISOLATED = 2
    STRICTLY_ISOLATED = 3


class LostRun(NamedTuple):
    """A run that was lost with its worker.

    Attributes:
        subtask: The subtask.
        number: Its run number.
        alone: Whether it was alone on the worker, or isolated there.
        survived_s: How long it is known to have run, in seconds.
    """

    subtask: SubtaskId
    number: int
    alone: bool
    survived_s: float


class SilentRuns(NamedTuple):
    """Runs of a worker that was silent until its leases lapsed.

    Attributes:
        runs: The runs.
        since: When the leases had lapsed, in seconds.
    """

    runs: tuple[LostRun, ...]
    since: float


def assess_suspicion(crashes: int, unexplained: int) -> Suspicion:
    """Returns the suspicion that follows from the crashes under a subtask.

    Args:
        crashes: Number of crashes.
        unexplained: Number of those that no subtask given up was part of. The
            others may have been caused by it, but less likely.

    >>> assess_suspicion(2, 1).name
    'SUSPECTED'
    >>> assess_suspicion(3, 1).name
    'STRICTLY_ISOLATED'
    """
    if crashes >= MAX_SHARED_CRASHES and unexplained:
        return Suspicion.STRICTLY_ISOLATED
    if unexplained >= SHARED_CRASHES_FOR_ISOLATION:
        return Suspicion.ISOLATED
    return Suspicion.SUSPECTED if unexplained else Suspicion.NONE


def probation_s(suspicion: Suspicion) -> float:
    """Returns how long a started subtask keeps its worker for itself."""
    if suspicion is Suspicion.STRICTLY_ISOLATED:
        return STRICT_PROBATION_S
    return PROBATION_S


def isolation_timeout_s(suspicion: Suspicion) -> float:
    """Returns how long a subtask waits for a worker of its own."""
    if suspicion is Suspicion.STRICTLY_ISOLATED:
        return STRICT_ISOLATION_TIMEOUT_S
    return ISOLATION_TIMEOUT_S


def is_deadly(
    crashes: Sequence[RunCrashed],
    unexplained: Sequence[RunCrashed],
    *,
    lasting: bool = False,
) -> bool:
    """Whether a subtask is given up.

    Args:
        crashes: Its crashed runs, the last crash at the end.
        unexplained: Those of them that no subtask given up was part of.
        lasting: Whether it is long-running. Such a subtask is on a worker for
            so long that it is often there when that crashes by itself, so only
            crashes soon after its start are evidence against it.
    """
    counted = [c for c in crashes if not lasting or _is_soon(c)]
    evidence = [c for c in unexplained if c in counted]
    if sum(crash.alone for crash in evidence) >= MAX_CRASHES_ALONE:
        return True
    if (
        len(unexplained) < MIN_UNEXPLAINED_CRASHES
        or unexplained[-1] is not crashes[-1]
    ):
        return False
    last = crashes[-1]
    if (
        last.alone
        and last in counted
        and (
            len(counted) >= MAX_CRASHES_WITH_LAST_ALONE
            or (len(counted) >= MAX_SHARED_CRASHES and not last.survived_ms)
        )
    ):
        return True
    explained = len(crashes) - len(unexplained)
    if lasting and len(unexplained) >= MAX_LATE_CRASHES:
        return True
    return len(counted) >= MAX_CRASHES and explained <= MAX_EXPLAINED_CRASHES


def _is_soon(crash: RunCrashed) -> bool:
    """Whether a crash followed soon on the start of the run."""
    return crash.survived_ms < PROBATION_S * 1000


def guilt(crashes: Sequence[RunCrashed]) -> tuple[int, int, int]:
    """Returns a sort key of suspects; the likeliest culprit has the largest.

    A subtask that crashes workers soon never survives for long.
    """
    return (
        sum(crash.alone for crash in crashes),
        len(crashes),
        -max((crash.survived_ms for crash in crashes), default=0),
    )


def lost_runs(view: WorkerView, now: float) -> tuple[LostRun, ...]:
    """Returns the runs on a worker that may have crashed it.

    A start that was not answered was probably sent after the crash. A run that
    had ended before it is not the cause.
    """
    return tuple(
        LostRun(
            run.subtask,
            run.number,
            is_alone(view, run),
            _survived_s(view, run),
        )
        for run in view.runs.values()
        if run.confirmed
        and run.phase is not Phase.ENDED
        and not _is_innocent(view, run, now)
    )


def is_alone(view: WorkerView, run: Run) -> bool:
    """Whether a run is alone on its worker, or isolated there.

    Members of a gang are one run in this respect.
    """
    others = [
        other
        for other in view.runs.values()
        if other is not run
        and not (run.step.gang and other.subtask[:3] == run.subtask[:3])
    ]
    return not others or (
        run.isolated
        and all(
            other.ordered_at + PROBATION_S <= run.ordered_at for other in others
        )
    )


def _survived_s(view: WorkerView, run: Run) -> float:
    if run.reported_at is None:
        return 0.0
    survived_s = max(0.0, view.last_contact_at - run.ordered_at)
    if run.step.lasting and run.percent >= FULL_SPEED_PERCENT:
        # The time since the start is not known of an earlier holder's run.
        return max(PROBATION_S, survived_s)
    return survived_s


def _is_innocent(view: WorkerView, run: Run, now: float) -> bool:
    """Whether a run is certainly not the cause of its worker's end."""
    if run.step.lasting and now - run.ordered_at > PROVEN_AGE_S:
        return True
    # A machine is moved or maintained only when all its runs have ended.
    return view.evacuating and run.phase is Phase.STOPPING
