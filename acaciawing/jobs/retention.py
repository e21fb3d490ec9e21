"""Rewriting of records before the store deletes them, and removal of old jobs.

The store deletes records after its retention time. The state of jobs and
engaged workers that are needed for longer is written again before that.
"""

import sys
from collections.abc import Iterator

from acaciawing.jobs.progress import (
    JobTable,
    crash_records,
    split_summary,
    summarize_job,
)
from acaciawing.jobs.records import Record, WorkerEngaged

# A record is rewritten after this share of the store's retention time, so that
# an outage of half the retention time loses no state.
REWRITE_SHARE = 0.4


# Share of a record that a submitted job may take; the rest is for the progress
# in its summaries.
MAX_JOB_SHARE = 0.875


def max_submission_bytes(max_record_bytes: int) -> int:
    """Returns the size of the largest `JobSubmitted` that is accepted.

    Args:
        max_record_bytes: Largest record that the store accepts, in bytes.
    """
    return int(MAX_JOB_SHARE * max_record_bytes)


def records_to_rewrite(
    table: JobTable,
    retention_ms: int,
    unix_ms: int,
    max_record_bytes: int = sys.maxsize,
) -> Iterator[Record]:
    """Yields records that replace those that expire soon.

    Args:
        table: Jobs and engaged workers of a cell.
        retention_ms: How long the store keeps a record.
        unix_ms: Current Unix time in milliseconds.
        max_record_bytes: Largest record that the store accepts, in bytes.
    """
    oldest_ms = unix_ms - REWRITE_SHARE * retention_ms
    for progress in table.jobs.values():
        if progress.oldest_record_ms < oldest_ms:
            summary = summarize_job(progress, unix_ms)
            yield from split_summary(summary, max_record_bytes)
            yield from crash_records(table, progress)
    for record in table.engaged.values():
        if record.at_ms < oldest_ms:
            yield WorkerEngaged(
                record.worker, record.born_ms, record.address, unix_ms
            )


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
