"""Tests of whole tasks whose placement holders crash."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.control import ControlLoop, place_tasks
from acaciawing.control.tests.fakes import Fleet, count_types, holders
from acaciawing.fold import FleetState, step
from acaciawing.placement import (
    PLACEMENT_SUBJECT,
    Resources,
    TaskRefused,
    TasksCancelled,
    TaskState,
    TaskSubmitted,
)
from acaciawing.platform import CONTROL_STREAM, AppendOutcome
from acaciawing.records import Envelope, decode, encode

SMALL = Resources(4, 4_000)
WHOLE = Resources(16, 32_000)
_WORKERS = 6
# Longer than a lease, so that another instance always takes over.
_CRASH_DOWNTIME_S = 15.0


class SimulatedCrashError(Exception):
    """Ends a round at the point where the process crashes."""


@dataclass
class TaskFleet(Fleet):
    """Crashes the writer after the task records that `crashes_at` selects."""

    decisions: tuple[object, ...] = (place_tasks,)  # type: ignore[assignment]
    crashes_at: Callable[[int], bool] = lambda number: False
    record_count: int = 0
    restart_at: dict[int, float] = field(default_factory=dict)

    def begin(self, workers: int = _WORKERS) -> "TaskFleet":
        for number in range(workers):
            self.platform.add_instance(number, "visits", f"zone-{number % 3}")
            listed = self.platform.instances[f"worker-{number}"]
            self.platform.instances[listed.instance] = replace(
                listed,
                rack=f"rack-{number}",
                processors=16.0,
                memory_mb=32_000,
            )
        self.start()
        self.run(12.0)
        append = self.log.append

        def crashing_append(stream: str, payload: bytes) -> AppendOutcome:
            outcome = append(stream, payload)
            envelope = decode(payload)
            assert isinstance(envelope, Envelope)
            name = type(envelope.record).__name__
            if name.startswith("Task") and envelope.writer != "client/0":
                self.record_count += 1
                if self.crashes_at(self.record_count):
                    raise SimulatedCrashError
            return outcome

        self.log.append = crashing_append  # type: ignore[method-assign]
        return self

    def append_record(self, record: object) -> None:
        self.log.append(CONTROL_STREAM, encode(record, "client/0"))

    def submit(
        self,
        name: str,
        size: Resources = SMALL,
        expected_s: float = 5.0,
        urgent: bool = False,
    ) -> None:
        self.append_record(
            TaskSubmitted(name, "red", "render", size, expected_s, urgent)
        )

    def run_round(self, loop: ControlLoop) -> None:
        number = self.loops.index(loop)
        try:
            super().run_round(loop)
        except SimulatedCrashError:
            self.calls = [c for c in self.calls if c[0] != number]
            incarnation = 2 + self.log.head(CONTROL_STREAM)
            self.loops[number] = self.make_loop(number, incarnation)
            self.paused.add(number)
            self.restart_at[number] = self.time + _CRASH_DOWNTIME_S

    def run_until(
        self, done: Callable[[FleetState], bool], seconds: int = 900
    ) -> FleetState:
        # Folding the whole log each second would dominate a long run.
        stride = 1 if seconds < 1_000 else 30
        for _ in range(seconds // stride):
            self.run(stride)
            for number, at in list(self.restart_at.items()):
                if self.time >= at:
                    self.paused.discard(number)
                    del self.restart_at[number]
            if done(self.folded()):
                break
        return self.folded()

    def check(self) -> None:
        """Checks that placements ran once, without overlap, within capacity."""
        assert not self.platform.overlaps
        assert set(self.platform.starts.values()) <= {1}
        state = FleetState()
        for entry in self.log.entries(CONTROL_STREAM):
            state = step(state, entry.payload, entry.position).state
            for worker, load in state.tasks.loads.items():
                sizes = [state.tasks.tasks[t].size for t in load.tasks]
                assert WHOLE.covers(sum(sizes, Resources())), worker


def tasks_ended(*names: str) -> Callable[[FleetState], bool]:
    return lambda state: set(names) <= set(state.tasks.ended)


class TestPlaceTasks:
    """Guards against tasks that are lost, stuck or run twice."""

    def test_tasks_are_placed_started_and_finished(self) -> None:
        fleet = TaskFleet().begin()
        names = [f"t{n}" for n in range(30)]
        for name in names:
            fleet.submit(name)
        state = fleet.run_until(tasks_ended(*names), 120)
        assert {state.tasks.ended[n] for n in names} == {"finished"}
        assert len(fleet.platform.starts) == len(names)
        fleet.check()

    def test_oversized_task_is_refused_at_once_with_all_reasons(self) -> None:
        fleet = TaskFleet().begin()
        fleet.submit("huge", Resources(64, 1_000, 1))
        fleet.run(1.0)
        assert fleet.folded().tasks.ended["huge"] == "refused"
        found = [decode(e.payload) for e in fleet.log.entries(CONTROL_STREAM)]
        refused = [
            e.record
            for e in found
            if isinstance(e, Envelope) and isinstance(e.record, TaskRefused)
        ]
        reasons = ("accelerators: 6 workers", "processors: 6 workers")
        assert refused == [TaskRefused("huge", reasons)]

    def test_task_is_refused_if_the_list_has_no_capacity(self) -> None:
        fleet = TaskFleet().begin(workers=0)
        fleet.platform.add_instance(1, "visits")
        fleet.submit("t")
        fleet.run(1.0)
        assert fleet.folded().tasks.ended["t"] == "refused"

    def test_urgent_task_preempts_and_starts_within_2_s(self) -> None:
        fleet = TaskFleet().begin()
        for number in range(_WORKERS):
            fleet.submit(f"long{number}", WHOLE, 600.0)
        fleet.run(10.0)
        fleet.submit("now", WHOLE, urgent=True)
        fleet.run(2.0)
        assert fleet.platform.starts[("now", 1)] == 1
        assert count_types(fleet.log)["TaskPreempted"] == 1
        fleet.check()
        names = ["now", *(f"long{n}" for n in range(_WORKERS))]
        state = fleet.run_until(tasks_ended(*names), 1_500)
        assert {state.tasks.ended[n] for n in names} == {"finished"}
        fleet.check()

    def test_small_tasks_do_not_take_the_room_of_an_urgent_one(self) -> None:
        fleet = TaskFleet().begin(workers=1)
        for number in range(4):
            fleet.submit(f"long{number}", SMALL, 600.0)
        fleet.run(10.0)
        fleet.submit("now", Resources(16, 16_000), urgent=True)
        for number in range(8):
            fleet.submit(f"small{number}", SMALL)
        state = fleet.run_until(tasks_ended("now"), 20)
        assert state.tasks.ended["now"] == "finished"
        fleet.check()

    def test_worker_that_fails_all_tasks_is_quarantined(self) -> None:
        fleet = TaskFleet().begin()
        fleet.platform.failing.add("worker-0")
        names = [f"t{n}" for n in range(60)]
        for name in names:
            fleet.submit(name)
        state = fleet.run_until(tasks_ended(*names), 300)
        assert {state.tasks.ended[n] for n in names} == {"finished"}
        assert state.tasks.health["worker-0"].quarantines >= 1
        assert set(state.tasks.health) == {"worker-0"}
        fleet.check()

    def test_task_fails_after_attempts_on_three_racks(self) -> None:
        fleet = TaskFleet().begin()
        fleet.platform.failing |= set(fleet.platform.instances)
        fleet.submit("bad")
        state = fleet.run_until(tasks_ended("bad"), 60)
        assert state.tasks.ended["bad"] == "failed"
        assert len(fleet.platform.starts) == 0
        assert count_types(fleet.log)["TaskPlaced"] == 3
        assert len(state.tasks.health) == 3

    def test_cancelled_tasks_stop_together(self) -> None:
        fleet = TaskFleet().begin()
        names = tuple(f"t{n}" for n in range(40))
        for name in names:
            fleet.submit(name, expected_s=600.0)
        fleet.run(20.0)
        fleet.append_record(TasksCancelled(names))
        state = fleet.run_until(tasks_ended(*names), 30)
        assert {state.tasks.ended[n] for n in names} == {"cancelled"}
        assert not any(fleet.platform.running(name) for name in names)
        assert not any(load.tasks for load in state.tasks.loads.values())

    def test_lease_is_renewed_past_its_length(self) -> None:
        fleet = TaskFleet().begin()
        fleet.submit("long", expected_s=2_000.0)
        state = fleet.run_until(tasks_ended("long"), 2_100)
        assert state.tasks.ended["long"] == "finished"
        assert fleet.platform.starts == {("long", 1): 1}

    def test_task_of_an_unreachable_worker_reruns_after_it_stopped(
        self,
    ) -> None:
        fleet = TaskFleet().begin()
        fleet.submit("t", expected_s=1_200.0)
        fleet.run(5.0)
        fleet.platform.unreachable.add(fleet.folded().tasks.tasks["t"].worker)
        state = fleet.run_until(tasks_ended("t"), 2_400)
        assert state.tasks.ended["t"] == "finished"
        assert set(fleet.platform.starts) == {("t", 1), ("t", 2)}
        fleet.check()

    def test_task_of_a_retired_worker_is_placed_again(self) -> None:
        fleet = TaskFleet().begin()
        fleet.submit("t", expected_s=60.0)
        fleet.run(5.0)
        worker = fleet.folded().tasks.tasks["t"].worker
        # The machine has ended, so none of its tasks run any more.
        del fleet.platform.instances[worker]
        fleet.platform.known.discard(worker)
        state = fleet.run_until(tasks_ended("t"), 120)
        assert state.tasks.ended["t"] == "finished"
        assert set(fleet.platform.starts) == {("t", 1), ("t", 2)}

    def test_lost_answers_start_no_task_twice(self) -> None:
        fleet = TaskFleet().begin()
        fleet.platform.lose_task_answers = 5
        for number in range(6):
            fleet.submit(f"t{number}", expected_s=30.0)
        state = fleet.run_until(tasks_ended(*(f"t{n}" for n in range(6))), 120)
        assert set(state.tasks.ended.values()) == {"finished"}
        fleet.check()


def run_mixed(fleet: TaskFleet) -> None:
    """Runs tasks, an urgent one and a cancellation to their ends."""
    fleet.platform.failing.add("worker-1")
    for number in range(_WORKERS):
        fleet.submit(f"long{number}", WHOLE, 120.0)
    fleet.run(8.0)
    fleet.submit("now", WHOLE, urgent=True)
    fleet.submit("small")
    fleet.submit("huge", Resources(64))
    fleet.append_record(TasksCancelled(("long3",)))
    names = [*(f"long{n}" for n in range(_WORKERS)), "now", "small", "huge"]
    state = fleet.run_until(tasks_ended(*names), 1_500)
    outcomes = {n: state.tasks.ended.get(n) for n in names}
    assert outcomes.pop("huge") == "refused"
    assert outcomes.pop("long3") == "cancelled"
    assert set(outcomes.values()) == {"finished"}
    fleet.check()


class TestCrashedHolder:
    """Guards against a task that is stuck or runs twice after a takeover."""

    @pytest.mark.parametrize("number", range(1, 25))
    def test_another_holder_continues_after_each_record(
        self, number: int
    ) -> None:
        fleet = TaskFleet(crashes_at=lambda n: n == number).begin()
        run_mixed(fleet)
        assert fleet.record_count >= number

    @settings(derandomize=True, max_examples=15, deadline=None)
    @given(crashes_at=st.frozensets(st.integers(1, 40), max_size=8))
    def test_several_crashes(self, crashes_at: frozenset[int]) -> None:
        run_mixed(TaskFleet(crashes_at=crashes_at.__contains__).begin())

    def test_running_task_survives_its_holder(self) -> None:
        fleet = TaskFleet().begin()
        fleet.submit("t", expected_s=100.0)
        fleet.run(5.0)
        assert fleet.folded().tasks.tasks["t"].state is TaskState.RUNNING
        holder = holders(fleet.folded(), fleet.log.time)[PLACEMENT_SUBJECT]
        fleet.paused.add(int(holder.partition("/")[0].rpartition("-")[2]))
        state = fleet.run_until(tasks_ended("t"), 200)
        assert state.tasks.ended["t"] == "finished"
        assert fleet.platform.starts == {("t", 1): 1}
