"""Tests of the encoding of states."""

import os
import subprocess
import sys
from dataclasses import Field, dataclass, fields, is_dataclass, replace
from random import Random
from typing import Any, get_args, get_origin, get_type_hints

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from acaciawing.fold import FleetState
from acaciawing.ownership.tests.schedules import SCHEDULES, Simulation
from acaciawing.records import encode
from acaciawing.snapshots import (
    Undecodable,
    assemble,
    decode_state,
    encode_state,
    schema_of,
    split,
)


@dataclass(frozen=True)
class Loan:
    """Example of an entry in a table that another package adds later."""

    home: str
    due: float | None = None
    tags: tuple[str, ...] = ()
    by_number: Map[int, Map[str, float]] = Map()


@dataclass(frozen=True)
class Tables:
    """Example of a state with such a table."""

    offset: int = 0
    loans: Map[str, Loan] = Map()


@dataclass(frozen=True)
class WiderTables(Tables):
    """Example of the state of a later release."""

    tasks: Map[str, str] = Map()


_PLAIN: dict[Any, st.SearchStrategy[Any]] = {
    float: st.floats(allow_nan=False, allow_infinity=False),
    int: st.integers(-(2**53), 2**53),
    str: st.text(max_size=4),
}


def _values(kind: Any) -> st.SearchStrategy[Any]:
    """Draws values for an annotation, including fields with defaults."""
    if is_dataclass(kind):
        hints = get_type_hints(kind)
        drawn = {f.name: _values(hints[f.name]) for f in fields(kind)}
        return st.builds(kind, **drawn)  # type: ignore[arg-type]
    arguments = [_values(a) for a in get_args(kind) if a is not Ellipsis]
    if get_origin(kind) is Map:
        return st.dictionaries(*arguments, max_size=2).map(Map)
    if get_origin(kind) is tuple and Ellipsis in get_args(kind):
        return st.lists(arguments[0], max_size=2).map(tuple)
    if get_origin(kind) is tuple:
        return st.tuples(*arguments)
    if get_origin(kind) is frozenset:
        return st.frozensets(arguments[0], max_size=2)
    if arguments:
        return st.one_of(arguments)
    return _PLAIN.get(kind, st.from_type(kind))


class TestCodec:
    """Guards against a state that its encoding changes."""

    @pytest.mark.parametrize(
        "field", [f for f in fields(FleetState) if f.name != "offset"]
    )
    def test_every_table_of_the_state_round_trips(
        self, field: Field[Any]
    ) -> None:
        @settings(derandomize=True, max_examples=40, deadline=None)
        @given(_values(get_type_hints(FleetState)[field.name]))
        def round_trips(table: Any) -> None:
            state = replace(FleetState(), **{field.name: table})
            drawn.add(table != field.default)
            assert decode_state(encode_state(state), FleetState) == state

        drawn: set[bool] = set()
        round_trips()
        assert True in drawn

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(SCHEDULES)
    def test_fleet_state_round_trips_at_every_offset(
        self, schedule: list[tuple[str, int, int, int]]
    ) -> None:
        world = Simulation()
        world.run(schedule)
        for folded in world.steps[::9]:
            body = encode_state(folded.state)
            assert decode_state(body, FleetState) == folded.state

    def test_nested_maps_with_number_keys(self) -> None:
        numbers = Map({7: Map({"b": 1.0, "a": 2.5})})
        loan = Loan("visits", None, ("x", "y"), numbers)
        tables = Tables(4, Map({"worker-1": loan}))
        body = encode_state(tables)
        assert decode_state(body, Tables) == tables

    def test_damaged_bytes_are_returned_as_undecodable(self) -> None:
        body = encode_state(Tables(4))
        for bad in (b"", b"\x00", body[:-3], encode_state(Loan("visits"))):
            outcome = decode_state(bad, FleetState)
            assert isinstance(outcome, Undecodable | FleetState)
            if bad != encode_state(Loan("visits")):
                assert isinstance(outcome, Undecodable)

    def test_schema_changes_with_a_table(self) -> None:
        assert schema_of(Tables) == schema_of(Tables)
        assert schema_of(Tables) != schema_of(WiderTables)

    def test_encoding_is_independent_of_the_hash_seed(self) -> None:
        code = (
            "from immutables import Map\n"
            "from acaciawing.snapshots import encode_state\n"
            "print(encode_state(Map((f'w{n}', n) for n in range(50))).hex())"
        )
        found = {
            subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                check=True,
            ).stdout
            for seed in ("1", "2")
        }
        assert len(found) == 1


class TestParts:
    """Guards against a part that exceeds the log's record limit."""

    def test_payloads_stay_within_256_kib(self) -> None:
        source = Random(7)
        noise = Map((n, source.randbytes(600).hex()) for n in range(900))
        parts = split(noise, 3, "schema")
        assert len(parts) > 2
        payloads = [encode(part, "entry-0/1") for part in parts]
        assert max(map(len, payloads)) <= 256 * 1024
        assert assemble(reversed(parts))[0].body == encode_state(noise)
