"""Rewriting of records before the store deletes them, and removal of old jobs.

The store deletes records after its retention time. The state of jobs and
engaged workers that are needed for longer is written again before that.
"""

import sys
from collections.abc import Iterator

import msgspec

from acaciawing.jobs.progress import (
    JobProgress,
    JobTable,
    crash_records,
    split_summary,
    summarize_job,
)
from acaciawing.jobs.records import Record, WorkerEngaged

# A record is rewritten after this share of the store's retention time, so that
# an outage of half the retention time loses no state.
REWRITE_SHARE = 0.4

# All instances may be lost at the same time. Records outlast this time without a
# holder, from the loss to the first append, if the retention time allows it: at
# least the smaller share passes before a record is rewritten.
OUTAGE_MS = 15_000
MIN_REWRITE_SHARE = 0.2

# Longest interval between two checks for records that expire soon, and its
# largest share of the retention time.
MAX_CHECK_INTERVAL_MS = 2_000
CHECK_INTERVAL_SHARE = 0.025


# Share of a record that a submitted job may take; the rest is for the progress
# in its summaries.
MAX_JOB_SHARE = 0.875


def max_submission_bytes(max_record_bytes: int) -> int:
    """Returns the size of the largest `JobSubmitted` that is accepted.

    Args:
        max_record_bytes: Largest record that the store accepts, in bytes.
    """
    return int(MAX_JOB_SHARE * max_record_bytes)


def rewrite_age_ms(retention_ms: int) -> float:
    """Returns the age at which a record is rewritten, in milliseconds.

    Args:
        retention_ms: How long the store keeps a record.

    >>> rewrite_age_ms(300_000), rewrite_age_ms(20_000)
    (120000.0, 5000)
    """
    return max(
        MIN_REWRITE_SHARE * retention_ms,
        min(REWRITE_SHARE * retention_ms, retention_ms - OUTAGE_MS),
    )


def check_interval_ms(retention_ms: int) -> float:
    """Returns the interval between two checks for records that expire soon.

    Args:
        retention_ms: How long the store keeps a record.

    Returns:
        The interval in milliseconds.
    """
    return min(MAX_CHECK_INTERVAL_MS, CHECK_INTERVAL_SHARE * retention_ms)


def records_to_rewrite(
    table: JobTable,
    retention_ms: int,
    unix_ms: int,
    max_record_bytes: int = sys.maxsize,
) -> Iterator[Record]:
    """Yields records that replace those that expire soon, the oldest first.

    The short records of engaged workers precede those of all jobs.

    Args:
        table: Jobs and engaged workers of a cell.
        retention_ms: How long the store keeps a record.
        unix_ms: Current Unix time in milliseconds.
        max_record_bytes: Largest record that the store accepts, in bytes.
    """
    oldest_ms = unix_ms - rewrite_age_ms(retention_ms)
    for record in table.engaged.values():
        if record.at_ms < oldest_ms:
            yield WorkerEngaged(
                record.worker, record.born_ms, record.address, unix_ms
            )
    expiring = [
        progress
        for progress in table.jobs.values()
        if progress.oldest_record_ms < oldest_ms
    ]
    for progress in sorted(expiring, key=lambda p: p.oldest_record_ms):
        yield from _rewrite_job(table, progress, unix_ms, max_record_bytes)


def _rewrite_job(
    table: JobTable,
    progress: JobProgress,
    unix_ms: int,
    max_record_bytes: int,
) -> Iterator[Record]:
    """Yields records that replace all records of a job.

    Only the last one says when they were replaced: the holder may end between
    two appends.
    """
    summary = summarize_job(progress, unix_ms)
    crashes = tuple(crash_records(table, progress))
    if crashes:
        # Crashes are folded only after their job.
        first = msgspec.structs.replace(summary, carried_ms=0)
        yield from split_summary(first, max_record_bytes)
        yield from crashes
        summary = msgspec.structs.replace(summary, done=(), failed_runs={})
    yield from split_summary(summary, max_record_bytes)


def expired_jobs(
    table: JobTable, state_retention_ms: int, unix_ms: int
) -> tuple[str, ...]:
    """Returns finished jobs whose state need not be reported any more."""
    return tuple(
        job
        for job, progress in table.jobs.items()
        if progress.finished
        and progress.finished_at_ms
        and unix_ms - progress.finished_at_ms > state_retention_ms
    )
