"""Tests that budgets, waves and tasks survive a snapshot."""

from acaciawing.fold import FleetState
from acaciawing.maintenance.tests.fake_fleet import make_fleet
from acaciawing.placement import Resources, TaskFailed, TaskFinished
from acaciawing.placement.tests.fake_workers import FakeWorkers, worker
from acaciawing.snapshots import decode_state, encode_state


class TestSnapshot:
    """Guards against a table that a snapshot changes or loses."""

    def test_waves_and_budgets(self) -> None:
        fake = make_fleet()
        for _ in range(30):
            fake.round()
        state = fake.state
        assert state.waves.in_progress
        assert state.budgets.reservations
        assert decode_state(encode_state(state), FleetState) == state

    def test_tasks(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(8)])
        for number in range(6):
            fake.submit(f"t{number}", Resources(4, 1_000))
            if number != 3:
                fake.place(f"t{number}")
        fake.append(TaskFailed("t0", 1, "exit-1"))
        fake.append(TaskFinished("t1", 1))
        state = fake.state
        assert decode_state(encode_state(state), FleetState) == state
