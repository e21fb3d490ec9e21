"""Run-time classes and the queue of a pool."""

from acaciawing.queueing.queue import (
    DroppedRequest,
    Queue,
    WaitingRequest,
    enqueue,
    expected_wait_s,
    expire,
    newest_request,
    next_expiry,
    next_work,
    remove,
    waiting_count,
)
from acaciawing.queueing.run_times import (
    RunClass,
    RunTimes,
    WorkKey,
    classify,
    long_threshold_s,
    observe_run,
)

__all__ = [
    "DroppedRequest",
    "Queue",
    "RunClass",
    "RunTimes",
    "WaitingRequest",
    "WorkKey",
    "classify",
    "enqueue",
    "expected_wait_s",
    "expire",
    "long_threshold_s",
    "newest_request",
    "next_expiry",
    "next_work",
    "observe_run",
    "remove",
    "waiting_count",
]
