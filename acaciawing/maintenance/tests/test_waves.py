"""Tests of maintenance waves."""

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import given, settings

from acaciawing.budgets import PlanCounts
from acaciawing.leases import (
    NO_LEASE,
    Fence,
    LeaseClaimed,
    LeasesRenewed,
)
from acaciawing.maintenance import (
    ALL_POOLS,
    Bounds,
    FleetShape,
    OutageChanged,
    ScheduleBounds,
    Stage,
    StepTimes,
    WaveResumed,
    WaveStep,
    WaveStopped,
    compute_schedule,
    decide,
)
from acaciawing.maintenance.tests.baseline import baseline_wave
from acaciawing.maintenance.tests.fake_fleet import POOL, FakeFleet, make_fleet
from acaciawing.outcomes import Accepted, Ignored

_MAX_ROUNDS = 2000
# Records that a round appends regardless of its decision.
_ROUTINE_RECORDS = (PlanCounts, LeasesRenewed, LeaseClaimed)


def _run_until_wave_ends(fake: FakeFleet) -> None:
    for _ in range(_MAX_ROUNDS):
        fake.round()
        if POOL in fake.state.waves.ended:
            return
    raise AssertionError("the wave did not end")


def _assert_bounds(fake: FakeFleet, bounds: Bounds) -> None:
    """Asserts that waves keep no more instances down than each bound allows."""
    down = list(fake.state.waves.in_progress.values())
    zones = [d.place.zone for d in down]
    racks = [(d.place.zone, d.place.rack) for d in down]
    assert len(down) <= bounds.pool
    assert all(zones.count(zone) <= bounds.zone for zone in zones)
    assert all(racks.count(rack) <= bounds.rack for rack in racks)


def _stages(fake: FakeFleet, instance: str) -> list[Stage]:
    return [
        record.stage
        for record, outcome in fake.log
        if isinstance(record, WaveStep)
        and record.instance == instance
        and outcome == Accepted()
    ]


class TestResume:
    """Guards against a wave that restarts or stalls if its controller ends."""

    def test_baseline_wave_reboots_twice_after_a_kill(self) -> None:
        fake = make_fleet()
        baseline_wave(fake, killed_after=3)
        baseline_wave(fake)
        assert max(i.reboot_count for i in fake.instances.values()) == 2

    def test_each_instance_reboots_once_if_a_controller_is_killed(self) -> None:
        uninterrupted = make_fleet()
        _run_until_wave_ends(uninterrupted)
        total = sum(
            type(r) not in _ROUTINE_RECORDS for r, _ in uninterrupted.log
        )
        assert total > 8 * 5
        for kill_at in range(1, total):
            fake = make_fleet()
            appended = 0
            while True:
                before = len(fake.log)
                if fake.round(killed_after=kill_at - appended):
                    break
                appended += sum(
                    type(r) not in _ROUTINE_RECORDS
                    for r, _ in fake.log[before:]
                )
            fake.take_over()
            _run_until_wave_ends(fake)
            counts = [i.reboot_count for i in fake.instances.values()]
            assert counts == [1] * 8, f"killed after record {kill_at}"

    def test_records_of_a_paused_controller_are_ignored(self) -> None:
        fake = make_fleet()
        fake.round()
        old_request = fake.request()
        stale = decide(fake.snapshot(), old_request, fake.now)
        fake.take_over()
        for _ in range(4):
            fake.round()
        table = fake.state.waves
        assert table.in_progress
        outcomes = [fake.append(r) for r in stale.records]
        assert outcomes
        assert all(isinstance(o, Ignored) for o in outcomes)
        assert fake.state.waves is table

    def test_records_of_a_repeated_round_are_ignored(self) -> None:
        """Two instances decide the same round."""
        fake = make_fleet()
        for _ in range(5):
            fake.round()
            request = fake.request()
            decision = decide(fake.snapshot(), request, fake.now)
            first = [fake.append(r) for r in decision.records]
            second = [fake.append(r) for r in decision.records]
            assert Accepted() not in second or not first

    def test_step_with_an_old_token_and_the_current_epoch_is_ignored(
        self,
    ) -> None:
        fake = make_fleet()
        fake.round()
        step = WaveStep(POOL, 0, "w0", 0, Stage.DRAINING, fake.fence)
        fake.take_over()
        outcome = fake.append(step)
        assert isinstance(outcome, Ignored)
        assert outcome.reason == "stale-token"

    def test_step_with_the_lease_of_another_pool_is_ignored(self) -> None:
        fake = make_fleet()
        fake.round()
        claim = LeaseClaimed("pool:other", fake.writer, NO_LEASE, 10.0)
        other = Fence("pool:other", fake.offset)
        assert fake.append(claim) == Accepted()
        step = WaveStep(POOL, 0, "w0", 0, Stage.DRAINING, other)
        assert fake.append(step) == Ignored("wrong-subject", "pool:other")

    def test_late_repeat_of_a_step_is_ignored(self) -> None:
        fake = make_fleet()
        fake.round()
        drain = WaveStep(POOL, 0, "w0", 0, Stage.DRAINING, fake.fence)
        later = [
            replace(drain, epoch=1, stage=Stage.RESTORING),
            replace(drain, epoch=2, stage=Stage.WAITING),
        ]
        outcomes = [fake.append(record) for record in (drain, *later)]
        assert outcomes == [Accepted()] * 3
        assert fake.append(drain) == Ignored("stale-epoch", "w0")


class TestBounds:
    """Guards against more instances out of service than the bounds allow."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 7),
                st.floats(10.0, 900.0),
                st.integers(1, 12),
                st.one_of(st.none(), st.integers(1, 3)),
            ),
            max_size=25,
        ),
        st.sampled_from([Bounds(2, 1, 1), Bounds(1, 1, 1), Bounds(4, 1, 2)]),
    )
    def test_bounds_hold_with_random_failures_and_kills(
        self,
        events: list[tuple[int, float, int, int | None]],
        bounds: Bounds,
    ) -> None:
        fake = make_fleet(bounds=bounds)
        checked = 0

        def check() -> None:
            nonlocal checked
            for record, outcome in fake.log[checked:]:
                started = (
                    isinstance(record, WaveStep)
                    and record.stage is Stage.DRAINING
                    and outcome == Accepted()
                )
                if started:
                    waves = fake.state.waves
                    # Unplanned outages are counted against the same bound.
                    down = {**waves.outages, **waves.in_progress}
                    assert len(down) <= bounds.pool
            checked = len(fake.log)
            _assert_bounds(fake, bounds)

        for number, repair_s, rounds, killed_after in events:
            fake.fail(f"w{number}", repair_s)
            for _ in range(rounds):
                if fake.round(killed_after):
                    fake.take_over()
                check()
        for _ in range(_MAX_ROUNDS):
            fake.round()
            check()
            if POOL in fake.state.waves.ended:
                break
        assert POOL in fake.state.waves.ended
        assert max(i.reboot_count for i in fake.instances.values()) <= 1

    def test_second_drain_in_a_zone_at_its_bound_is_ignored(self) -> None:
        """Two controllers decide on the same state."""
        fake = make_fleet(2, Bounds(2, 2, 1))
        fake.instances["w1"].place = replace(
            fake.instances["w1"].place, zone="z0"
        )
        fake.round()
        steps = [
            WaveStep(POOL, 0, name, 0, Stage.DRAINING, fake.fence)
            for name in ("w0", "w1")
        ]
        first, second = (fake.append(s) for s in steps)
        assert first == Accepted()
        assert second == Ignored("bound", "zone-bound")

    def test_failure_cancels_the_drain_of_another_instance(self) -> None:
        fake = make_fleet(bounds=Bounds(1, 1, 1))
        while not fake.state.waves.in_progress:
            fake.round()
        name = next(iter(fake.state.waves.in_progress))
        fake.fail("w7" if name != "w7" else "w6", 300.0)
        for _ in range(4):
            fake.round()
        assert _stages(fake, name)[:3] == [
            Stage.DRAINING,
            Stage.RESTORING,
            Stage.WAITING,
        ]
        assert not fake.instances[name].draining

    def test_no_drain_starts_before_an_outage_is_recorded(self) -> None:
        """The append of the outage could fail and that of the drain succeed."""
        fake = make_fleet(bounds=Bounds(1, 1, 1))
        fake.round()
        fake.round()
        request = fake.request()
        ready = decide(fake.snapshot(), request, fake.now).records
        assert [type(r) for r in ready] == [WaveStep]
        fake.fail("w7", 300.0)
        records = decide(fake.snapshot(), request, fake.now).records
        assert [type(r) for r in records] == [OutageChanged]

    def test_spent_budget_blocks_all_drains(self) -> None:
        fake = make_fleet()
        fake.requests, fake.failed = 1000, 9
        for _ in range(20):
            fake.round()
        assert not fake.state.waves.in_progress
        request = fake.request()
        blocked = decide(fake.snapshot(), request, fake.now).blocked
        assert all(b.reasons == ("budget-spent:gold",) for b in blocked)
        assert len(blocked) == 8

    def test_all_reservations_are_released_after_the_wave(self) -> None:
        fake = make_fleet()
        _run_until_wave_ends(fake)
        fake.round()
        reservations = fake.state.budgets.reservations.values()
        assert all(r.released for r in reservations)


class TestOperator:
    """Guards against a stop that has no effect or that a late repeat lifts."""

    def test_stop_holds_until_its_own_resume(self) -> None:
        fake = make_fleet()
        while not fake.state.waves.in_progress:
            fake.round()
        stop = WaveStopped(ALL_POOLS, "ana", "exams")
        stopped_at = fake.offset
        assert fake.append(stop) == Accepted()
        for _ in range(100):
            fake.round()
        assert not fake.state.waves.in_progress
        before = sum(i.reboot_count for i in fake.instances.values())
        assert before < 8
        resume = WaveResumed(ALL_POOLS, "ana", stopped_at)
        assert fake.append(resume) == Accepted()
        assert fake.append(stop) == Accepted()
        assert isinstance(fake.append(resume), Ignored)
        assert fake.state.waves.is_stopped(POOL)
        second_resume = WaveResumed(ALL_POOLS, "ana", fake.offset - 2)
        assert fake.append(second_resume) == Accepted()
        _run_until_wave_ends(fake)
        assert [i.reboot_count for i in fake.instances.values()] == [1] * 8


class TestDrain:
    """Guards against drains that block the wave or interrupt requests."""

    def test_instance_that_never_drains_is_skipped(self) -> None:
        fake = make_fleet()
        fake.instances["w2"].can_drain = False
        _run_until_wave_ends(fake)
        assert fake.instances["w2"].reboot_count == 0
        assert not fake.instances["w2"].draining
        assert _stages(fake, "w2").count(Stage.DRAINING) == 2
        assert _stages(fake, "w2")[-1] is Stage.SKIPPED
        others = [i for n, i in fake.instances.items() if n != "w2"]
        assert all(i.reboot_count == 1 for i in others)
        # It is not retried at once: the next wave starts a day later.
        for _ in range(100):
            fake.round()
        assert not fake.state.waves.active

    def test_replaced_instance_is_not_rebooted(self) -> None:
        fake = make_fleet()
        for _ in range(3):
            fake.round()
        place = fake.instances["w7"].place
        fake.instances["w7"].place = replace(place, incarnation=2)
        _run_until_wave_ends(fake)
        assert fake.instances["w7"].reboot_count == 0
        assert _stages(fake, "w7") == [Stage.REPLACED]

    def test_unlisted_instance_does_not_block_the_wave(self) -> None:
        fake = make_fleet()
        for _ in range(3):
            fake.round()
        del fake.instances["w7"]
        _run_until_wave_ends(fake)
        assert _stages(fake, "w7") == [Stage.REPLACED]


class TestSchedule:
    """Guards against bounds too tight for maintenance within three weeks."""

    def test_fleet_of_target_size_is_maintained_in_time(self) -> None:
        shape = FleetShape(1400, 349, 8, 4, 200)
        limits = StepTimes(600.0, 600.0, 300.0, 30.0)
        bounds = ScheduleBounds(1, 1, 2, zone_outages=0.5, permitted_share=0.5)
        schedule = compute_schedule(shape, limits, bounds)
        assert schedule.in_time
        assert schedule.per_hour_possible > schedule.per_hour_needed

    def test_schedule_with_too_tight_bounds_is_not_in_time(self) -> None:
        shape = FleetShape(1400, 349, 8, 4, 1400)
        limits = StepTimes(600.0, 600.0, 300.0, 30.0)
        bounds = ScheduleBounds(1, 1, 1)
        assert not compute_schedule(shape, limits, bounds).in_time

    def test_simulated_wave_ends_within_the_schedule(self) -> None:
        fake = make_fleet(bounds=Bounds(1, 1, 1))
        _run_until_wave_ends(fake)
        # Observed: drain 20 s, reboot 60 s, and a round for each record.
        schedule = compute_schedule(
            FleetShape(8, 1, 8, 1, 2),
            StepTimes(20.0, 60.0, 5.0, 25.0),
            ScheduleBounds(1, 1, 1),
        )
        assert fake.state.waves.ended[POOL] <= schedule.max_duration_s
