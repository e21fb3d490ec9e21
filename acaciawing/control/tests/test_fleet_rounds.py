"""Tests of whole waves and loans whose holders crash."""

from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.control.tests.crashing_fleet import (
    POOL_SIZES,
    CrashingFleet,
    check_each_record,
    make_crashing_fleet,
)
from acaciawing.control.tests.fakes import count_types
from acaciawing.fold import FleetState
from acaciawing.maintenance import WaveRequested, WaveResumed, WaveStopped

_WAVE_RECORDS = 30
_LOAN_RECORDS = 12


def run_wave(fleet: CrashingFleet) -> None:
    """Runs a wave over the pool portal and checks its end."""
    fleet.append_record(WaveRequested("portal", "ana", at_once=2))
    state = fleet.run_until(lambda s: s.waves.epochs.get("portal") == 1)
    assert not state.waves.active
    assert not state.waves.in_progress
    maintained = set(state.waves.maintained)
    portal = {f"worker-{n}" for n in range(POOL_SIZES["portal"])}
    assert maintained == portal
    check_each_record(fleet)
    assert set(fleet.platform.effects.values()) == {1}
    for name, instance in fleet.platform.instances.items():
        assert instance.state == "live"
        assert instance.incarnation == 1 + (name in portal)


def run_loan(fleet: CrashingFleet) -> None:
    """Runs a loan from portal to visits and its return."""
    lent = []

    def demand(state: FleetState) -> dict[str, float]:
        if state.ownership.counts.get("visits", 0) > POOL_SIZES["visits"]:
            lent.append(True)
        return {"visits": 0.1 if lent else 6.5}

    fleet.demand = demand
    fleet.run_until(
        lambda s: (
            bool(s.loans.epochs)
            and {i.phase for i in s.ownership.instances.values()} == {"serving"}
        )
    )
    state = fleet.folded()
    assert lent
    assert not state.loans.active
    assert dict(state.ownership.counts) == POOL_SIZES
    check_each_record(fleet)
    assert set(fleet.platform.effects.values()) == {1}
    by_pool = Counter(i.pool for i in fleet.platform.instances.values())
    assert by_pool == POOL_SIZES
    assert {i.state for i in fleet.platform.instances.values()} == {"live"}


def nth(number: int) -> Callable[[int], bool]:
    return lambda count: count == number


class TestWave:
    """Guards against waves that stall, repeat steps or exceed their bounds."""

    def test_without_faults(self) -> None:
        fleet = make_crashing_fleet()
        run_wave(fleet)
        assert fleet.record_count == _WAVE_RECORDS

    @pytest.mark.parametrize("number", range(1, _WAVE_RECORDS + 1))
    def test_holder_crashes_after_one_record(self, number: int) -> None:
        fleet = make_crashing_fleet(nth(number))
        run_wave(fleet)

    @pytest.mark.parametrize("count", [2, 3])
    def test_holder_crashes_after_each_record(self, count: int) -> None:
        fleet = make_crashing_fleet(lambda number: True, count)
        run_wave(fleet)

    def test_stop_returns_drained_instances_to_service(self) -> None:
        fleet = make_crashing_fleet()
        fleet.append_record(WaveRequested("portal", "ana"))
        fleet.run_until(lambda s: bool(s.waves.in_progress))
        fleet.append_record(WaveStopped("portal", "ana", "heat"))
        state = fleet.run_until(lambda s: not s.waves.in_progress)
        assert state.waves.active["portal"]
        assert not any("reboot" in e for e in fleet.platform.effects)
        fleet.run(30.0)
        assert not fleet.folded().waves.in_progress
        stopped_at = fleet.folded().waves.stopped["portal"]
        fleet.append_record(WaveResumed("portal", "ana", stopped_at))
        state = fleet.run_until(lambda s: "portal" in s.waves.epochs)
        assert len(state.waves.maintained) == POOL_SIZES["portal"]
        check_each_record(fleet)


class TestLoan:
    """Guards against a lent instance that is lost or counted twice."""

    def test_without_faults(self) -> None:
        fleet = make_crashing_fleet()
        run_loan(fleet)
        assert count_types(fleet.log)["LoanBegun"] == 1
        assert fleet.record_count == _LOAN_RECORDS

    @pytest.mark.parametrize("number", range(1, _LOAN_RECORDS + 1))
    def test_holder_crashes_after_one_record(self, number: int) -> None:
        fleet = make_crashing_fleet(nth(number))
        run_loan(fleet)

    def test_holder_crashes_after_each_record(self) -> None:
        fleet = make_crashing_fleet(lambda number: True)
        run_loan(fleet)

    def test_no_loan_without_demand(self) -> None:
        fleet = make_crashing_fleet()
        fleet.run(60.0)
        assert "LoanBegun" not in count_types(fleet.log)


class TestWaveWithLoan:
    """Guards against a wave and a loan that interfere with each other."""

    @settings(derandomize=True, max_examples=15, deadline=None)
    @given(st.frozensets(st.integers(1, 50), max_size=8))
    def test_wave_and_loan_with_crashes(
        self, crashes_at: frozenset[int]
    ) -> None:
        fleet = make_crashing_fleet(lambda number: number in crashes_at)
        fleet.demand = lambda state: {"visits": 6.5}
        fleet.append_record(WaveRequested("portal", "ana", at_once=2))
        fleet.run_until(
            lambda s: (
                "portal" in s.waves.epochs
                and s.ownership.counts.get("visits") == POOL_SIZES["visits"] + 1
            )
        )
        fleet.demand = lambda state: {"visits": 0.1}
        state = fleet.run_until(
            lambda s: (
                dict(s.ownership.counts) == POOL_SIZES
                and not s.loans.active
                and {i.phase for i in s.ownership.instances.values()}
                == {"serving"}
            )
        )
        assert dict(state.ownership.counts) == POOL_SIZES
        assert "portal" in state.waves.epochs
        check_each_record(fleet)
        assert set(fleet.platform.effects.values()) == {1}
