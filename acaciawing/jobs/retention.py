"""Keeps what is needed ahead of the store's retention, and drops the rest.

The store deletes records after some time. Jobs and engaged workers that last
longer are written again as a whole before that.
"""

from collections.abc import Iterator

from acaciawing.jobs.progress import JobTable, summarize_job
from acaciawing.jobs.records import JobSummary, WorkerEngaged

# A record is written again after this share of the store's retention, so that
# an outage of half of it loses nothing.
REWRITE_SHARE = 0.4


def records_to_rewrite(
    table: JobTable, retention_ms: int, unix_ms: int
) -> Iterator[JobSummary | WorkerEngaged]:
    """Yields records that have to be written again now.

    Args:
        table: Jobs and engaged workers of a cell.
        retention_ms: How long the store keeps a record.
        unix_ms: Present time.
    """
    oldest_ms = unix_ms - REWRITE_SHARE * retention_ms
    for progress in table.jobs.values():
        if progress.oldest_record_ms < oldest_ms:
            yield summarize_job(progress, unix_ms)
    for record in table.engaged.values():
        if record.at_ms < oldest_ms:
            yield WorkerEngaged(
                record.worker, record.born_ms, record.address, unix_ms
            )


def expired_jobs(
    table: JobTable, state_retention_ms: int, unix_ms: int
) -> tuple[str, ...]:
    """Returns finished jobs whose state was told for long enough."""
    return tuple(
        job
        for job, progress in table.jobs.items()
        if progress.finished
        and progress.finished_at_ms
        and unix_ms - progress.finished_at_ms > state_retention_ms
    )
