"""Takes, lists and cancels tasks for clients of the administration listener."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

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

# Each task is one append, and the log takes several hundred a second.
MAX_SUBMITTED = 100
# One record of this many ids stays well below 64 KiB.
MAX_CANCELLED = 500

_WRITER = "operator/0"

# No slash: the id is one segment of a path and part of operation ids.
_Name = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9._:-]{1,100}\Z")]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
_Whole = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class SubmittedTask(msgspec.Struct, forbid_unknown_fields=True):
    """One task in the body of ``POST /v1/tasks``; see `TaskSubmitted`."""

    task: _Name
    team: _Name
    kind: _Name
    processors: _Amount
    memory_mb: _Whole
    expected_s: Annotated[float, msgspec.Meta(gt=0, le=1e8)]
    accelerators: _Whole = 0
    urgent: bool = False
    checkpointable: bool = False
    zones: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=100)] = ()


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/tasks``."""

    tasks: Annotated[
        tuple[SubmittedTask, ...],
        msgspec.Meta(min_length=1, max_length=MAX_SUBMITTED),
    ]


class CancelRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``DELETE /v1/tasks``."""

    tasks: Annotated[
        tuple[_Name, ...],
        msgspec.Meta(min_length=1, max_length=MAX_CANCELLED),
    ]


@dataclass(frozen=True)
class _Append:
    """Outcome of one append: ``accepted``, ``not-accepted`` or ``unknown``."""

    status: str
    detail: str = ""


class TaskDesk:
    """Appends submissions and cancellations, one call at a time.

    Args:
        log: Client that only this object uses.
    """

    def __init__(self, log: Log) -> None:
        """Keeps the log."""
        self._log = log
        # Calls that wait for the log would take the threads of the listener
        # from the peers.
        self._busy = threading.Lock()

    def submit(self, body: bytes) -> Answer:
        """Appends tasks; a repeat of an id changes nothing.

        Args:
            body: JSON of a `Submission`.

        Returns:
            HTTP status and document, with a status for each task.
        """
        try:
            request = msgspec.json.decode(body, type=Submission)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _problem(400, "bad-request", str(error))
        records: dict[str, object] = {}
        for task in request.tasks:
            if task.task in records:
                return _problem(400, "bad-request", f"{task.task} is repeated")
            records[task.task] = _record(task)
        return self._append_all(records)

    def cancel(self, body: bytes, table: TaskTable) -> Answer:
        """Appends one cancellation of all tasks that have not ended.

        Tasks that this instance has not read yet are named too, since they may
        have been submitted just now through another one.

        Args:
            body: JSON of a `CancelRequest`.
            table: The fold's tasks.

        Returns:
            HTTP status and document, with a status for each task.
        """
        try:
            request = msgspec.json.decode(body, type=CancelRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _problem(400, "bad-request", str(error))
        names = dict.fromkeys(request.tasks)
        open_names = tuple(
            n
            for n in names
            if n not in table.ended and n not in table.ended_before
        )
        statuses = dict.fromkeys(names, "ended")
        if not open_names:
            return 202, _document(statuses)
        record = TasksCancelled(open_names)
        code, document = self._append_all({"": record})
        if "tasks" not in document:
            return code, document
        status = document["tasks"][0]["status"]
        return code, document | _document(
            statuses | dict.fromkeys(open_names, status)
        )

    def _append_all(self, records: Mapping[str, object]) -> Answer:
        if not self._busy.acquire(blocking=False):
            detail = "another call on tasks is under way here; repeat it"
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
                    detail = f"{outcome.detail}; repeat with the same ids"
                    status, problem = _problem(503, code, detail)
                    return status, problem | _document(statuses)
            return 202, _document(statuses)
        finally:
            self._busy.release()

    def _append(self, record: object) -> _Append:
        outcome = self._log.append(CONTROL_STREAM, encode(record, _WRITER))
        if isinstance(outcome, Appended):
            return _Append("accepted")
        if isinstance(outcome, NotAppended):
            return _Append("not-accepted", outcome.detail)
        return _Append("unknown", outcome.detail)


def task_page(table: TaskTable, request: PageRequest[str]) -> dict[str, Any]:
    """One page of the tasks that have not ended, by id."""
    part = page(table.tasks, request)
    entries = [_entry(name, table.tasks[name]) for name in part.keys]
    return {"entries": entries, "next": part.next}


def _entry(name: str, task: Task) -> dict[str, Any]:
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


def _record(task: SubmittedTask) -> TaskSubmitted:
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


def _document(statuses: Mapping[str, str]) -> dict[str, Any]:
    return {"tasks": [{"task": n, "status": s} for n, s in statuses.items()]}


def _problem(status: int, code: str, detail: str) -> Answer:
    return status, {"code": code, "error": detail}
