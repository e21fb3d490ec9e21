"""Clients of the platform's services."""

from acaciawing.platform.listing import (
    InstanceList,
    ListClient,
    ListedInstance,
    Listing,
    ListOutcome,
    ListUnavailable,
)
from acaciawing.platform.log import (
    CONTROL_STREAM,
    Appended,
    AppendOutcome,
    AppendUnknown,
    Batch,
    Expired,
    Log,
    LogClient,
    LogEntry,
    LogUnavailable,
    NotAppended,
    ReadOutcome,
)
from acaciawing.platform.worker import (
    OperationDone,
    OperationNotDone,
    OperationOutcome,
    OperationUnknown,
    WorkerClient,
    Workers,
)

__all__ = [
    "CONTROL_STREAM",
    "AppendOutcome",
    "AppendUnknown",
    "Appended",
    "Batch",
    "Expired",
    "InstanceList",
    "ListClient",
    "ListOutcome",
    "ListUnavailable",
    "ListedInstance",
    "Listing",
    "Log",
    "LogClient",
    "LogEntry",
    "LogUnavailable",
    "NotAppended",
    "OperationDone",
    "OperationNotDone",
    "OperationOutcome",
    "OperationUnknown",
    "ReadOutcome",
    "WorkerClient",
    "Workers",
]
