"""Fuzzing of what is decoded from the users' platform."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobs import Configuration, Incarnation, Job, Worker
from acaciawing.platform.node import NodeSettingsError, parse_node_settings
from acaciawing.platform.runs import Silent, _ended_row, _held, _running_row
from acaciawing.platform.store import (
    KeyedRecord,
    _parse_batch,
    parse_keyed_record,
)
from acaciawing.platform.wire import (
    Finding,
    Machine,
    Wave,
    decode_configuration,
    decode_job,
    decode_machines,
    decode_wave,
    decode_worker,
)

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=12,
)
_FUZZ = settings(max_examples=150, derandomize=True, deadline=None)

_JOB: dict[str, object] = {
    "TaskSpec": "t",
    "Steps": [{"Count": 2, "Cpu": 500, "DependsOn": []}],
}
_WORKER: dict[str, object] = {
    "Service": "s",
    "Address": "192.0.2.1:80",
    "Zone": "a",
    "State": "ready",
    "Capacity": {"Cpu": 1},
    "Labels": ["a", "r1-1"],
    "born": 5,
}


def _changed(base: dict[str, object]) -> st.SearchStrategy[bytes]:
    """Whole documents with one field replaced by anything."""
    return st.tuples(st.sampled_from(sorted(base)), _JSON).map(
        lambda change: msgspec.json.encode({**base, change[0]: change[1]})
    )


class TestDecoders:
    """Guards against received data that ends the task which reads it."""

    @_FUZZ
    @given(st.binary(max_size=60) | _changed(_JOB))
    def test_job(self, body: bytes) -> None:
        assert isinstance(decode_job(body, "0" * 16, "q"), Job | Finding)

    @_FUZZ
    @given(st.binary(max_size=60) | _changed(_WORKER))
    def test_worker(self, body: bytes) -> None:
        assert isinstance(decode_worker("w", body), Worker | Finding)

    @_FUZZ
    @given(_JSON)
    def test_documents_of_any_shape(self, value: object) -> None:
        body = msgspec.json.encode(value)
        assert isinstance(decode_configuration(body), Configuration | Finding)
        assert isinstance(decode_wave("wave/1", body), Wave | Finding)
        for row in decode_machines([value]):
            assert isinstance(row, Machine | Finding)

    @_FUZZ
    @given(st.binary(max_size=60))
    def test_records_of_the_store(self, body: bytes) -> None:
        _parse_batch(body, 0)
        assert isinstance(parse_keyed_record(body), KeyedRecord | None)

    @_FUZZ
    @given(_JSON)
    def test_rows_of_a_worker(self, value: object) -> None:
        _running_row(value)
        _ended_row(value)
        if isinstance(value, dict):
            _held(value)
        _held({"ClockMs": 1, "Running": value, "Ended": value})

    def test_unreadable_row_hides_no_run(self) -> None:
        lists = {"Running": [["j.0.0.0", 1, "", 5], ["?"]], "Ended": []}
        assert isinstance(_held({"ClockMs": 1, **lists}), Silent)

    @_FUZZ
    @given(st.text(max_size=80))
    def test_settings(self, text: str) -> None:
        try:
            parse_node_settings(text)
        except NodeSettingsError as error:
            assert error.findings

    def test_good_documents_are_understood(self) -> None:
        job = decode_job(msgspec.json.encode(_JOB), "0" * 16, "q")
        assert isinstance(job, Job)
        assert job.steps[0].count == 2
        worker = decode_worker("w", msgspec.json.encode(_WORKER))
        assert isinstance(worker, Worker)
        assert worker.incarnation == Incarnation("w", 5)
        assert worker.rack == "r1-1"

    def test_all_findings_of_the_settings_come_together(self) -> None:
        try:
            parse_node_settings('Node = 5\nIp = "192.0.2.1"')
        except NodeSettingsError as error:
            places = {f.place for f in error.findings}
            assert {"Node", "Zone", "Listen.Front"} <= places
        else:
            raise AssertionError("the settings were taken")
