"""Tests of the encoding of states."""

import os
import subprocess
import sys
from dataclasses import dataclass
from random import Random

from hypothesis import given, settings
from immutables import Map

from acaciawing.fold import FleetState
from acaciawing.ownership.tests.schedules import SCHEDULES, World
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
    """Stands for a table that another package adds later."""

    home: str
    due: float | None = None
    tags: tuple[str, ...] = ()
    by_number: Map[int, Map[str, float]] = Map()


@dataclass(frozen=True)
class Tables:
    """Stands for a state with such a table."""

    offset: int = 0
    loans: Map[str, Loan] = Map()


@dataclass(frozen=True)
class WiderTables(Tables):
    """Stands for the state of a later release."""

    tasks: Map[str, str] = Map()


class TestCodec:
    """Guards against a state that comes back changed."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(SCHEDULES)
    def test_fleet_state_round_trips_at_every_offset(
        self, schedule: list[tuple[str, int, int, int]]
    ) -> None:
        world = World()
        world.run(schedule)
        for taken in world.steps[::9]:
            body = encode_state(taken.state)
            assert decode_state(body, FleetState) == taken.state

    def test_nested_maps_with_number_keys(self) -> None:
        numbers = Map({7: Map({"b": 1.0, "a": 2.5})})
        loan = Loan("visits", None, ("x", "y"), numbers)
        tables = Tables(4, Map({"worker-1": loan}))
        body = encode_state(tables)
        assert decode_state(body, Tables) == tables

    def test_damaged_bytes_are_told_and_not_raised(self) -> None:
        body = encode_state(Tables(4))
        for bad in (b"", b"\x00", body[:-3], encode_state(Loan("visits"))):
            outcome = decode_state(bad, FleetState)
            assert isinstance(outcome, Undecodable | FleetState)
            if bad != encode_state(Loan("visits")):
                assert isinstance(outcome, Undecodable)

    def test_schema_changes_with_a_table(self) -> None:
        assert schema_of(Tables) == schema_of(Tables)
        assert schema_of(Tables) != schema_of(WiderTables)

    def test_same_bytes_under_another_hash_seed(self) -> None:
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
    """Guards against a part that the log refuses."""

    def test_payloads_stay_within_256_kib(self) -> None:
        source = Random(7)
        noise = Map((n, source.randbytes(600).hex()) for n in range(900))
        parts = split(noise, 3, "schema")
        assert len(parts) > 2
        payloads = [encode(part, "entry-0/1") for part in parts]
        assert max(map(len, payloads)) <= 256 * 1024
        assert assemble(reversed(parts))[0].body == encode_state(noise)
