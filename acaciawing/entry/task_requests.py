"""Submission, listing and cancellation of tasks, for the administration API."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from acaciawing.decoding import DECODE_ERRORS
from acaciawing.entry.paging import PageRequest, page
from acaciawing.placement import (
    Resources,
    Task,
    TasksCancelled,
    TaskSubmitted,
    TaskTable,
)
from acaciawing.platform import CONTROL_STREAM, Appended, Log, NotAppended
from acaciawing.records import encode

Answer = tuple[int, dict[str, Any]]

# Each task is one append, and the log handles several hundred appends a second.
MAX_TASKS_PER_SUBMISSION = 100
# A record with this many ids is well below 64 KiB.
MAX_TASKS_PER_CANCELLATION = 500

_WRITER = "operator/0"

# A slash is not allowed: the id is a path segment and part of operation ids.
_Name = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9._:-]{1,100}\Z")]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class SubmittedTask(msgspec.Struct, forbid_unknown_fields=True):
    """One task in the body of ``POST /v1/tasks``; see `TaskSubmitted`."""

    task: _Name
    team: _Name
    kind: _Name
    processors: _Amount
    memory_mb: _Count
    expected_s: Annotated[float, msgspec.Meta(gt=0, le=1e8)]
    accelerators: _Count = 0
    urgent: bool = False
    checkpointable: bool = False
    zones: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=100)] = ()


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/tasks``."""

    tasks: Annotated[
        tuple[SubmittedTask, ...],
        msgspec.Meta(min_length=1, max_length=MAX_TASKS_PER_SUBMISSION),
    ]


class CancelRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``DELETE /v1/tasks``."""

    tasks: Annotated[
        tuple[_Name, ...],
        msgspec.Meta(min_length=1, max_length=MAX_TASKS_PER_CANCELLATION),
    ]


@dataclass(frozen=True)
class _AppendStatus:
    """Outcome of one append: ``accepted``, ``not-accepted`` or ``unknown``."""

    status: str
    detail: str = ""


class TaskRequests:
    """Appends submissions and cancellations, one request at a time.

    Args:
        log: Log client that only this object uses.
    """

    def __init__(self, log: Log) -> None:
        """Stores the log client."""
        self._log = log
        # Requests that wait for the log must not occupy all threads of the
        # listener, since peers need them. So only one runs at a time.
        self._in_use = threading.Lock()

    def submit(self, body: bytes) -> Answer:
        """Appends tasks; the fold ignores a task whose id is known.

        Args:
            body: JSON of a `Submission`.

        Returns:
            HTTP status and document, with a status for each task.
        """
        try:
            request = msgspec.json.decode(body, type=Submission)
        except DECODE_ERRORS as error:
            return _problem(400, "bad-request", str(error))
        records: dict[str, object] = {}
        for task in request.tasks:
            if task.task in records:
                return _problem(400, "bad-request", f"{task.task} is repeated")
            records[task.task] = _task_record(task)
        return self._append_all(records)

    def cancel(self, body: bytes, table: TaskTable) -> Answer:
        """Appends one cancellation of all tasks that have not ended.

        Tasks that this instance doesn't know are included: they may have been
        submitted through another instance and not be read here yet.

        Args:
            body: JSON of a `CancelRequest`.
            table: Tasks of the fold.

        Returns:
            HTTP status and document, with a status for each task.
        """
        try:
            request = msgspec.json.decode(body, type=CancelRequest)
        except DECODE_ERRORS as error:
            return _problem(400, "bad-request", str(error))
        names = dict.fromkeys(request.tasks)
        unfinished = tuple(
            n
            for n in names
            if n not in table.ended and n not in table.ended_before
        )
        statuses = dict.fromkeys(names, "ended")
        if not unfinished:
            return 202, _status_document(statuses)
        record = TasksCancelled(unfinished)
        # One record cancels all tasks, so its status is that of each of them.
        code, document = self._append_all({"": record})
        if "tasks" not in document:
            return code, document
        status = document["tasks"][0]["status"]
        return code, document | _status_document(
            statuses | dict.fromkeys(unfinished, status)
        )

    def _append_all(self, records: Mapping[str, object]) -> Answer:
        if not self._in_use.acquire(blocking=False):
            detail = "this instance is handling another task request; retry"
            return _problem(503, "busy", detail)
        try:
            statuses = dict.fromkeys(records, "not-accepted")
            for name, record in records.items():
                outcome = self._append(record)
                statuses[name] = outcome.status
                if outcome.status != "accepted":
                    code = "log-away"
                    if outcome.status == "unknown":
                        code = "outcome-unknown"
                    detail = f"{outcome.detail}; retry with the same ids"
                    status, problem = _problem(503, code, detail)
                    return status, problem | _status_document(statuses)
            return 202, _status_document(statuses)
        finally:
            self._in_use.release()

    def _append(self, record: object) -> _AppendStatus:
        outcome = self._log.append(CONTROL_STREAM, encode(record, _WRITER))
        if isinstance(outcome, Appended):
            return _AppendStatus("accepted")
        if isinstance(outcome, NotAppended):
            return _AppendStatus("not-accepted", outcome.detail)
        return _AppendStatus("unknown", outcome.detail)


def task_page(table: TaskTable, request: PageRequest[str]) -> dict[str, Any]:
    """Returns one page of the tasks that have not ended, by id."""
    part = page(table.tasks, request)
    entries = [_task_entry(name, table.tasks[name]) for name in part.keys]
    return {"entries": entries, "next": part.next}


def _task_entry(name: str, task: Task) -> dict[str, Any]:
    return {
        "task": name,
        "team": task.submitted.team,
        "kind": task.submitted.kind,
        "state": task.state.value,
        "urgent": task.submitted.urgent,
        "attempt": task.attempt,
        "failures": task.failures,
        "worker": task.worker or None,
        "lease_until": task.lease_until if task.worker else None,
        "throttled": task.throttled,
        "cancelled": task.cancelled,
    }


def _task_record(task: SubmittedTask) -> TaskSubmitted:
    return TaskSubmitted(
        task.task,
        task.team,
        task.kind,
        Resources(task.processors, task.memory_mb, task.accelerators),
        task.expected_s,
        task.urgent,
        task.checkpointable,
        task.zones,
    )


def _status_document(statuses: Mapping[str, str]) -> dict[str, Any]:
    return {"tasks": [{"task": n, "status": s} for n, s in statuses.items()]}


def _problem(status: int, code: str, detail: str) -> Answer:
    return status, {"code": code, "error": detail}
