"""Tests of decoders on input that is well-formed but out of any range."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from acaciawing.jobs import Worker, parse_subtask_id
from acaciawing.platform.fleet_records import (
    _decode_machine_ids,
    _parse_wave_number,
)
from acaciawing.platform.http import decode_object, to_whole_number
from acaciawing.platform.runs import CallFailure, _parse_worker_runs
from acaciawing.platform.tests.builders import WORKER_ENTRY
from acaciawing.platform.wire import (
    Finding,
    decode_configuration,
    decode_job,
    decode_machines,
    decode_wave,
    decode_worker,
)

_DEEP = b"[" * 100_000 + b"]" * 100_000


def _nest(depth: int) -> list[Any]:
    value: list[Any] = []
    for _ in range(depth):
        value = [value]
    return value


class TestDeepNesting:
    """Guards against one deeply nested value that ends the task decoding it."""

    @pytest.mark.parametrize(
        "decode",
        [
            lambda body: decode_job(body, "0" * 16, "q"),
            decode_configuration,
            lambda body: decode_worker("w", body),
            lambda body: decode_wave("wave/1", body),
        ],
    )
    def test_unknown_field_nested_deeply_is_a_finding(
        self, decode: Callable[[bytes], object]
    ) -> None:
        assert isinstance(decode(b'{"other":' + _DEEP + b"}"), Finding)

    def test_deeply_nested_answer_is_empty(self) -> None:
        assert decode_object(b'{"Machines":' + _DEEP + b"}") == {}

    def test_deeply_nested_machine_ids_are_none(self) -> None:
        assert _decode_machine_ids(_DEEP) == []

    # Shallow enough to be decoded, but not to be shown as text.
    @pytest.mark.parametrize("place", range(5))
    def test_nested_value_in_a_row_is_malformed(self, place: int) -> None:
        row: list[object] = ["0" * 16 + ".0.0.0", 1, "", 5, 1]
        row[place] = _nest(900)
        answer = {"ClockMs": 1, "Running": [row], "Ended": []}
        result = _parse_worker_runs(answer)
        assert place > 2 or isinstance(result, CallFailure)


class TestLargeNumbers:
    """Guards against numbers that no later step can compute with or store."""

    @pytest.mark.parametrize("born", [-1, 2**63, 10**30, 10**300])
    def test_start_time_out_of_range_is_a_finding(self, born: int) -> None:
        body = msgspec.json.encode({**WORKER_ENTRY, "born": born})
        finding = decode_worker("w", body)
        assert isinstance(finding, Finding)
        assert "born" in finding.fault

    @pytest.mark.parametrize("cold_ms", [-0.5, 1e300])
    def test_warm_up_time_out_of_range_hides_no_worker(
        self, cold_ms: float
    ) -> None:
        body = msgspec.json.encode({**WORKER_ENTRY, "ColdLeftMs": cold_ms})
        worker = decode_worker("w", body)
        assert isinstance(worker, Worker)
        assert 0 <= worker.cold_ms <= 1e12

    @pytest.mark.parametrize(
        "field",
        ["Count", "Cpu", "MemMb", "Gpu", "EstimatedMs", "MayMiss", "TargetMs"],
    )
    @pytest.mark.parametrize("value", [-1, 10**30])
    def test_step_with_a_number_out_of_range_is_a_finding(
        self, field: str, value: int
    ) -> None:
        step = {"Count": 1, field: value}
        body = msgspec.json.encode({"TaskSpec": "t", "Steps": [step]})
        assert isinstance(decode_job(body, "0" * 16, "q"), Finding)

    @pytest.mark.parametrize("field", ["RepeatCount", "FirstMs", "IntervalMs"])
    def test_schedule_with_a_number_out_of_range_is_a_finding(
        self, field: str
    ) -> None:
        job = {"TaskSpec": "t", "Steps": [{"Count": 1}], field: 10**30}
        body = msgspec.json.encode(job)
        assert isinstance(decode_job(body, "0" * 16, "q"), Finding)

    def test_subtasks_of_all_occurrences_are_limited(self) -> None:
        # They are all due at once, and each next holder would count them again.
        job = {
            "TaskSpec": "t",
            "Steps": [{"Count": 10}],
            "RepeatCount": 1_000_000,
        }
        body = msgspec.json.encode(job)
        assert isinstance(decode_job(body, "0" * 16, "q"), Finding)

    @pytest.mark.parametrize("number", [2**63, -(2**63) - 1, 10**300, 1e300])
    def test_number_that_records_cannot_hold_is_none(
        self, number: float
    ) -> None:
        assert to_whole_number(number) is None

    def test_load_metric_beyond_a_float_is_malformed(self) -> None:
        row = ["0" * 16 + ".0.0.0", 1, "", 5, 10**400]
        answer = {"ClockMs": 1, "Running": [row], "Ended": []}
        assert isinstance(_parse_worker_runs(answer), CallFailure)

    @pytest.mark.parametrize("digits", ["9" * 5000, "٣", "²"])
    def test_id_with_odd_digits_is_none(self, digits: str) -> None:
        assert parse_subtask_id(f"j.0.0.{digits}") is None
        assert _parse_wave_number(f"wave/{digits}") is None

    @pytest.mark.parametrize(
        ("field", "value"), [("MaxCount", 10**30), ("DurationS", -1.0)]
    )
    def test_wave_out_of_range_is_a_finding(
        self, field: str, value: float
    ) -> None:
        wave = {"Wave": 1, "Machines": ["m"], "DurationS": 5.0, "MaxCount": 1}
        body = msgspec.json.encode({**wave, field: value})
        assert isinstance(decode_wave("wave/1", body), Finding)

    def test_machine_out_of_range_hides_no_other(self) -> None:
        rows = [
            {"Machine": "m", "Pool": "s", "State": "up"},
            {
                "Machine": "n",
                "Pool": "s",
                "State": "up",
                "Capacity": {"Cpu": 10**300},
            },
        ]
        good, bad = decode_machines(rows)
        assert not isinstance(good, Finding)
        assert isinstance(bad, Finding)


class TestAddresses:
    """Guards against addresses that are dialled elsewhere, or end the process."""

    @pytest.mark.parametrize(
        "port",
        ["0", "65536", "70000", "-1", "", "9" * 30, "9" * 5000, "٨٠", "8 0"],
    )
    def test_port_out_of_range_is_a_finding(self, port: str) -> None:
        body = msgspec.json.encode(
            {**WORKER_ENTRY, "Address": f"192.0.2.1:{port}"}
        )
        finding = decode_worker("w", body)
        assert isinstance(finding, Finding)
        assert finding.place == "servers/w.Address"

    @pytest.mark.parametrize("host", ["", "host", "192.0.2.256", "a\r\nb"])
    def test_host_that_is_no_ip_address_is_a_finding(self, host: str) -> None:
        body = msgspec.json.encode({**WORKER_ENTRY, "Address": f"{host}:80"})
        assert isinstance(decode_worker("w", body), Finding)


class TestIdentifiers:
    """Guards against ids that can't be sent in the header of a call."""

    @pytest.mark.parametrize(
        "worker", ["", "a\r\nX: y", "ключ", "a b", "a" * 300]
    )
    def test_worker_id_that_no_header_can_hold_is_a_finding(
        self, worker: str
    ) -> None:
        body = msgspec.json.encode(WORKER_ENTRY)
        assert isinstance(decode_worker(worker, body), Finding)
