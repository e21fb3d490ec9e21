"""Workers that fail or stall what they run, while they answer every call."""

from collections.abc import Iterable

from acaciawing.jobs.workers import Phase, Run, WorkerView

# Failed runs in a row, within the time below, after which a worker is
# suspected; jobs that can never be done fail twice at most on one worker.
FAILURES_IN_A_ROW = 3
FAILURE_WINDOW_S = 6.0

# A run whose percent has not changed for this time stands still, in seconds:
# the longest ones (15 s) gain a percent in 0.15 s, and reports come every
# 0.8 s.
STALL_TIMEOUT_S = 1.8

# A suspected worker gets no new work for this time, in seconds.
SUSPECT_SUSPENSION_S = 4.0

# At most this share of a pool is suspected at once, so that a wave of jobs
# that can never be done does not empty the pool.
MAX_SUSPECTED_SHARE = 0.34


def all_runs_failed(view: WorkerView, now: float) -> bool:
    """Whether the last runs on a worker have all failed."""
    return (
        len(view.failure_times) >= FAILURES_IN_A_ROW
        and now - view.failure_times[-FAILURES_IN_A_ROW] < FAILURE_WINDOW_S
    )


def stalled_runs(view: WorkerView, now: float) -> list[Run]:
    """Returns the runs on a worker, if all of them stand still."""
    batch = [
        run
        for run in view.runs.values()
        if run.phase is Phase.RUNNING
        and not run.step.lasting
        and not run.step.gang
        and now - run.since > STALL_TIMEOUT_S
    ]
    if any(now - run.progressed_at < STALL_TIMEOUT_S for run in batch):
        return []
    return batch


def may_suspect(views: Iterable[WorkerView], now: float) -> bool:
    """Whether one more worker of a pool may be suspected."""
    pool = [v for v in views if v.present]
    suspected = sum(1 for v in pool if v.suspended_until > now + 1.0)
    return suspected + 1 <= MAX_SUSPECTED_SHARE * len(pool)
