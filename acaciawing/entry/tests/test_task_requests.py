"""Tests of the submission, cancellation and listing of tasks."""

import json
from dataclasses import dataclass, field
from typing import Any

import pytest

from acaciawing.entry.paging import PageRequest
from acaciawing.entry.task_requests import TaskRequests, task_page
from acaciawing.fold import FleetState, step
from acaciawing.platform import (
    CONTROL_STREAM,
    AppendOutcome,
    AppendUnknown,
    NotAppended,
)
from acaciawing.snapshots.tests.fake_log import FakeLog


def submission(*names: str, **changes: Any) -> bytes:
    task = {
        "team": "red",
        "kind": "render",
        "processors": 2,
        "memory_mb": 100,
        "expected_s": 5,
        **changes,
    }
    return json.dumps({"tasks": [{"task": n, **task} for n in names]}).encode()


def cancellation(*names: str) -> bytes:
    return json.dumps({"tasks": names}).encode()


@dataclass
class ScriptedLog(FakeLog):
    """Log with scripted outcomes of appends; None appends the record."""

    answers: list[AppendOutcome | None] = field(default_factory=list)

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        refusal = self.answers.pop(0) if self.answers else None
        if refusal is not None:
            return refusal
        return super().append(stream, payload)


def fold_log(log: FakeLog) -> FleetState:
    state = FleetState()
    for entry in log.entries(CONTROL_STREAM):
        state = step(state, entry.payload, entry.position).state
    return state


class TestSubmit:
    """Guards against tasks that run twice or are lost without an error."""

    def test_repeated_submission_changes_nothing(self) -> None:
        log = FakeLog()
        requests = TaskRequests(log)
        status, document = requests.submit(submission("a", "b"))
        assert status == 202
        assert [t["status"] for t in document["tasks"]] == ["accepted"] * 2
        before = fold_log(log).tasks
        assert requests.submit(submission("a", "b", urgent=True))[0] == 202
        assert fold_log(log).tasks == before

    @pytest.mark.parametrize(
        ("outcome", "code", "status"),
        [
            (NotAppended("x"), "log-away", "not-accepted"),
            (AppendUnknown("x"), "outcome-unknown", "unknown"),
        ],
    )
    def test_each_task_of_a_failed_submission_has_its_status(
        self, outcome: AppendOutcome, code: str, status: str
    ) -> None:
        log = ScriptedLog(answers=[None, outcome])
        got, document = TaskRequests(log).submit(submission("a", "b", "c"))
        assert (got, document["code"]) == (503, code)
        found = [t["status"] for t in document["tasks"]]
        assert found == ["accepted", status, "not-accepted"]

    @pytest.mark.parametrize(
        "body",
        [
            b"{",
            b"\xff",
            submission(),
            submission("a/b"),
            submission("a", "a"),
            submission("a", processors=-1),
            submission("a", expected_s=0),
            submission("a", colour="red"),
            submission(*(f"t{n}" for n in range(101))),
        ],
    )
    def test_invalid_body_appends_nothing(self, body: bytes) -> None:
        log = FakeLog()
        status, document = TaskRequests(log).submit(body)
        assert (status, document["code"]) == (400, "bad-request")
        assert not log.head(CONTROL_STREAM)


class TestCancel:
    """Guards against cancellations that append one record for each task."""

    def test_cancellation_appends_one_record_for_all_tasks(self) -> None:
        log = FakeLog()
        requests = TaskRequests(log)
        names = [f"t{n}" for n in range(50)]
        requests.submit(submission(*names))
        table = fold_log(log).tasks
        status, document = requests.cancel(cancellation(*names, "late"), table)
        assert status == 202
        assert {t["status"] for t in document["tasks"]} == {"accepted"}
        assert log.head(CONTROL_STREAM) == len(names) + 1
        table = fold_log(log).tasks
        assert not table.tasks
        _, document = requests.cancel(cancellation(*names), table)
        assert {t["status"] for t in document["tasks"]} == {"ended"}
        assert log.head(CONTROL_STREAM) == len(names) + 1

    def test_unavailable_log_refuses_the_cancellation(self) -> None:
        log = ScriptedLog(answers=[NotAppended("x")])
        status, document = TaskRequests(log).cancel(
            cancellation("a", "b"), FleetState().tasks
        )
        assert (status, document["code"]) == (503, "log-away")
        assert {t["status"] for t in document["tasks"]} == {"not-accepted"}


def test_pages_contain_every_task() -> None:
    """Guards against tasks that are missing from all pages."""
    log = FakeLog()
    TaskRequests(log).submit(submission("c", "a", "b"))
    table = fold_log(log).tasks
    first = task_page(table, PageRequest(2))
    assert [e["task"] for e in first["entries"]] == ["a", "b"]
    rest = task_page(table, PageRequest(2, first["next"]))
    assert [e["task"] for e in rest["entries"]] == ["c"]
    assert rest["next"] is None
    assert rest["entries"][0]["state"] == "waiting"
    assert rest["entries"][0]["worker"] is None
