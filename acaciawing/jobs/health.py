"""Detection of workers that answer but fail or stall their runs."""

from collections.abc import Iterable

from acaciawing.jobs.workers import Phase, Run, WorkerView

# A worker is suspected after this many consecutive failed runs within the time
# window. A job that always fails has at most two failed runs on one worker.
FAILURES_IN_A_ROW = 3
FAILURE_WINDOW_S = 6.0

# A run is stalled if its percent has not changed for this time: the longest
# runs (15 s) gain a percent in 0.15 s, and reports arrive every 0.8 s.
STALL_TIMEOUT_S = 1.8

# A suspected worker gets no new runs for this time.
SUSPECT_SUSPENSION_S = 4.0

# At most this share of a pool is suspected at once, so that many jobs that
# always fail don't leave the pool without usable workers.
MAX_SUSPECTED_SHARE = 0.34


def all_runs_failed(view: WorkerView, now: float) -> bool:
    """Whether the most recent runs on a worker have all failed."""
    return (
        len(view.failure_times) >= FAILURES_IN_A_ROW
        and now - view.failure_times[-FAILURES_IN_A_ROW] < FAILURE_WINDOW_S
    )


def stalled_runs(view: WorkerView, now: float) -> list[Run]:
    """Returns the runs of a worker that should progress, if all are stalled.

    Long-running runs report no progress, gang members may wait for others, and
    new runs have had no time for it; they are left out.
    """
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
    # Suspensions after a refused start are shorter than 1 s.
    suspected = sum(1 for v in pool if v.suspended_until > now + 1.0)
    return suspected + 1 <= MAX_SUSPECTED_SHARE * len(pool)
