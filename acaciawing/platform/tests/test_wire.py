"""Fuzz tests of the decoders for data of the platform."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobs import (
    Configuration,
    Incarnation,
    Job,
    Resources,
    Worker,
)
from acaciawing.platform.node import NodeSettingsError, parse_node_settings
from acaciawing.platform.runs import (
    CallFailure,
    _parse_ended_row,
    _parse_running_row,
    _parse_worker_runs,
)
from acaciawing.platform.store import (
    KeyedRecord,
    StoreLimits,
    _parse_batch,
    parse_keyed_record,
)
from acaciawing.platform.tests.builders import WORKER_ENTRY
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


def _with_one_field_replaced(
    base: dict[str, object],
) -> st.SearchStrategy[bytes]:
    """Generates documents in which one field has an arbitrary value."""
    return st.tuples(st.sampled_from(sorted(base)), _JSON).map(
        lambda change: msgspec.json.encode({**base, change[0]: change[1]})
    )


class TestDecoders:
    """Guards against malformed data that crashes the task which decodes it."""

    @_FUZZ
    @given(st.binary(max_size=60) | _with_one_field_replaced(_JOB))
    def test_decode_job_never_raises(self, body: bytes) -> None:
        assert isinstance(decode_job(body, "0" * 16, "q"), Job | Finding)

    @_FUZZ
    @given(st.binary(max_size=60) | _with_one_field_replaced(WORKER_ENTRY))
    def test_decode_worker_never_raises(self, body: bytes) -> None:
        assert isinstance(decode_worker("w", body), Worker | Finding)

    @_FUZZ
    @given(_JSON)
    def test_arbitrary_json_never_raises(self, value: object) -> None:
        body = msgspec.json.encode(value)
        assert isinstance(decode_configuration(body), Configuration | Finding)
        assert isinstance(decode_wave("wave/1", body), Wave | Finding)
        for row in decode_machines([value]):
            assert isinstance(row, Machine | Finding)

    @_FUZZ
    @given(st.binary(max_size=60))
    def test_store_records_never_raise(self, body: bytes) -> None:
        _parse_batch(body, 0)
        assert isinstance(parse_keyed_record(body), KeyedRecord | None)

    @_FUZZ
    @given(_JSON)
    def test_worker_run_lists_never_raise(self, value: object) -> None:
        _parse_running_row(value)
        _parse_ended_row(value)
        if isinstance(value, dict):
            _parse_worker_runs(value)
        _parse_worker_runs({"ClockMs": 1, "Running": value, "Ended": value})

    def test_malformed_row_invalidates_the_whole_list(self) -> None:
        # Without the row, its run would look ended.
        lists = {"Running": [["j.0.0.0", 1, "", 5], ["?"]], "Ended": []}
        assert isinstance(
            _parse_worker_runs({"ClockMs": 1, **lists}), CallFailure
        )

    @_FUZZ
    @given(st.text(max_size=80))
    def test_settings_raise_only_their_own_error(self, text: str) -> None:
        try:
            parse_node_settings(text)
        except NodeSettingsError as error:
            assert error.findings

    def test_valid_documents_are_decoded(self) -> None:
        job = decode_job(msgspec.json.encode(_JOB), "0" * 16, "q")
        assert isinstance(job, Job)
        assert job.steps[0].count == 2
        worker = decode_worker("w", msgspec.json.encode(WORKER_ENTRY))
        assert isinstance(worker, Worker)
        assert worker.incarnation == Incarnation("w", 5)
        assert worker.rack == "r1-1"

    def test_limits_of_the_store_are_those_of_the_settings(self) -> None:
        text = """
            Node = "n"
            Ip = "192.0.2.1"
            Zone = "z"
            InternalPorts = [7060]
            [Listen]
            Front = "192.0.2.1:80"
            Ready = "192.0.2.1:81"
            [platform]
            Address = "192.0.2.2:80"
        """
        assert parse_node_settings(text).store_limits == StoreLimits()
        limited = parse_node_settings(f"{text}RecordBytes = 5\nCallBytes = 9")
        assert limited.store_limits == StoreLimits(5, 9)

    def test_settings_error_has_all_findings(self) -> None:
        try:
            parse_node_settings('Node = 5\nIp = "192.0.2.1"')
        except NodeSettingsError as error:
            places = {f.place for f in error.findings}
            assert {"Node", "Zone", "Listen.Front"} <= places
        else:
            raise AssertionError("invalid settings were accepted")


class TestCapacity:
    """Guards against workers lost, or overloaded, by how numbers are written."""

    def test_share_of_a_capacity_is_rounded_down(self) -> None:
        capacity = {"Cpu": 12345.6, "MemMb": 4096.0}
        worker = decode_worker(
            "w", msgspec.json.encode({**WORKER_ENTRY, "Capacity": capacity})
        )
        assert isinstance(worker, Worker)
        assert worker.capacity == Resources(12345, 4096)

    def test_pool_that_leaves_the_field_out_does_not_guard(self) -> None:
        body = {"Version": 1, "Routes": [], "Services": [{"Name": "s"}]}
        configuration = decode_configuration(msgspec.json.encode(body))
        assert isinstance(configuration, Configuration)
        assert not configuration.pools["s"].rejects_overload
