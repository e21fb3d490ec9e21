"""Run-time classes and the queue of a pool."""

from acaciawing.queueing.queue import (
    Dropped,
    Queue,
    Waiting,
    enqueue,
    expected_wait_s,
    expire,
    newest_of,
    next_expiry,
    next_work,
    remove,
    waiting_of,
)
from acaciawing.queueing.run_times import (
    RunClass,
    RunTimes,
    WorkKey,
    classify,
    long_after_s,
    observe_run,
)

__all__ = [
    "Dropped",
    "Queue",
    "RunClass",
    "RunTimes",
    "Waiting",
    "WorkKey",
    "classify",
    "enqueue",
    "expected_wait_s",
    "expire",
    "long_after_s",
    "newest_of",
    "next_expiry",
    "next_work",
    "observe_run",
    "remove",
    "waiting_of",
]
