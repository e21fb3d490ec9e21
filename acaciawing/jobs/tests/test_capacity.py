"""Tests of workers whose capacity shrinks and grows while they run."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.jobs import Resources, Step
from acaciawing.jobs.tests.builders import make_job
from acaciawing.jobs.tests.crash_emulator import HEARTBEAT_S, CrashEmulator


def _step(count: int, cores: int = 4) -> Step:
    return Step(count, Resources(1000 * cores), estimated_ms=700)


class TestShrunkenCapacity:
    """Guards against starts that exceed a capacity that has shrunk."""

    def test_shrunken_worker_gets_no_runs_until_they_fit(self) -> None:
        emulator = CrashEmulator(workers=1, run_s=5.0, guarded=False)
        emulator.submit(make_job("before", _step(4)))
        emulator.run(0.1)
        emulator.resize(0, 8)
        emulator.run(HEARTBEAT_S)
        emulator.submit(make_job("after", _step(3)))
        emulator.run(3.0)
        assert not emulator.running("after")
        emulator.run(1.0)
        assert len(emulator.running("after")) == 2
        assert not emulator.overloads

    def test_capacity_that_has_grown_again_is_used(self) -> None:
        emulator = CrashEmulator(workers=1, run_s=5.0, guarded=False)
        emulator.resize(0, 4)
        emulator.run(HEARTBEAT_S)
        emulator.submit(make_job("job", _step(8)))
        emulator.run(0.1)
        assert len(emulator.running("job")) == 1
        emulator.resize(0, 32)
        emulator.run(HEARTBEAT_S + 0.1)
        assert len(emulator.running("job")) == 8

    def test_outdated_capacities_are_not_used(self) -> None:
        emulator = CrashEmulator(workers=1, run_s=5.0, guarded=False)
        emulator.run(HEARTBEAT_S)
        emulator.list_unavailable = True
        emulator.resize(0, 4)
        emulator.run(5.0)
        emulator.submit(make_job("job", _step(8)))
        emulator.run(5.0)
        assert not emulator.overloads
        emulator.list_unavailable = False
        emulator.run(1.0)
        assert len(emulator.running("job")) == 1

    def test_guarding_workers_are_used_while_the_list_is_away(self) -> None:
        emulator = CrashEmulator(workers=1, guarded=True)
        emulator.run(HEARTBEAT_S)
        emulator.list_unavailable = True
        emulator.run(5.0)
        emulator.submit(make_job("job", _step(8)))
        emulator.run(2.0)
        assert emulator.harness.cell.state("job") == "completed"

    @pytest.mark.parametrize("gang", [True, False])
    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_no_start_exceeds_any_capacity(self, gang: bool, seed: int) -> None:
        rng = random.Random(seed)
        emulator = CrashEmulator(
            workers=rng.randint(2, 6),
            run_s=rng.uniform(0.2, 3.0),
            deadly=lambda subtask: subtask.job == "deadly",
            guarded=False,
        )
        emulator.submit(make_job("deadly", _step(1)))
        for number in range(30):
            step = _step(rng.randint(1, 8), rng.randint(1, 8))
            emulator.submit(make_job(f"sound{number}", step))
            if gang:
                members = Step(3, Resources(2000), gang=True)
                emulator.submit(make_job(f"gang{number}", members))
            emulator.resize(
                rng.randrange(len(emulator.workers)), rng.choice((0, 4, 9, 32))
            )
            fault = rng.random()
            if fault < 0.1:
                emulator.replace_holder()
            elif fault < 0.2:
                emulator.crash([rng.randrange(len(emulator.workers))])
            elif fault < 0.4:
                emulator.list_unavailable = not emulator.list_unavailable
            emulator.run(rng.uniform(0.0, 2.0))
        emulator.list_unavailable = False
        for number in range(len(emulator.workers)):
            emulator.resize(number, 32)
        emulator.run(60.0)
        assert not emulator.overloads
        # Subtasks under which two workers have crashed may be given up.
        blamed = {s.job for s, losses in emulator.losses.items() if losses > 1}
        for job in {f"sound{number}" for number in range(30)} - blamed:
            assert emulator.harness.cell.state(job) == "completed", job
