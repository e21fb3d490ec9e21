"""Tests of quotas, preemption and stragglers."""

import random
from collections.abc import Mapping

import hypothesis.strategies as st
from hypothesis import given, settings

from acaciawing.budgets import BudgetSnapshot, Ledger
from acaciawing.configuration import Plan
from acaciawing.outcomes import Accepted, Ignored
from acaciawing.placement import (
    Method,
    NoRoom,
    NoVictims,
    Placed,
    Preemption,
    PreemptionRequest,
    Resources,
    RunTimeStatistics,
    TaskFinished,
    TaskPlaced,
    TaskPreempted,
    TaskStarted,
    TaskStopped,
    UrgentLatencyBudget,
    Victim,
    preempt,
    protected_teams,
    straggler_actions,
    waiting_order,
)
from acaciawing.placement.tasks import TaskState
from acaciawing.placement.tests.fake_workers import (
    FENCE,
    FakeWorkers,
    worker,
)

_HALF = Resources(16, 64_000)
_QUOTAS = {"red": Resources(64, 256_000), "blue": Resources(64, 256_000)}


def _preemption_record(
    fake: FakeWorkers, victim: Victim, reason: str
) -> TaskPreempted:
    name = victim.task.submitted.task
    attempt = victim.task.attempt
    return TaskPreempted(name, attempt, victim.method, reason, FENCE)


def _preempt(
    fake: FakeWorkers,
    name: str,
    quotas: Mapping[str, Resources] | None = None,
    protected: frozenset[str] = frozenset(),
) -> Preemption | NoVictims:
    request = PreemptionRequest(fake.table.tasks[name], quotas or {}, protected)
    return preempt(fake.snapshot, request, fake.now, random.Random(1))


def _fully_loaded(workers: int, checkpointable: bool = False) -> FakeWorkers:
    """Makes workers that each run two tasks of half their size.

    The tasks start 10 s apart.
    """
    fake = FakeWorkers([worker(n) for n in range(workers)])
    for number in range(2 * workers):
        fake.now += 10.0
        name = f"t{number}"
        fake.submit(name, _HALF, checkpointable=checkpointable)
        fake.place(name)
        fake.append(TaskStarted(name, 1))
    return fake


class TestUrgent:
    """Guards against urgent tasks that wait until other tasks end."""

    def test_urgent_task_starts_within_two_seconds(self) -> None:
        fake = _fully_loaded(4)
        start = fake.now
        fake.submit("u", _HALF, urgent=True)
        # Without preemption, the task would wait until another one ends.
        assert isinstance(fake.decide("u"), NoRoom)
        times = UrgentLatencyBudget()
        fake.now += times.read_s + times.decide_s
        decision = _preempt(fake, "u")
        assert isinstance(decision, Preemption)
        fake.now += times.append_s
        for victim in decision.victims:
            record = _preemption_record(fake, victim, "urgent")
            assert fake.append(record) == Accepted()
        chosen = decision.worker
        placed = Placed(chosen, decision.worker_epoch, decision.size, 0, 1)
        assert fake.append(fake.record("u", placed)) == Accepted()
        fake.now += times.confirm_s + times.stop_s
        for victim in decision.victims:
            if victim.method is not Method.THROTTLE:
                name = victim.task.submitted.task
                assert fake.append(TaskStopped(name, 1)) == Accepted()
        free = fake.index.free[chosen.worker]
        assert min(free.processors, free.memory_mb) >= 0
        fake.now += times.start_s
        assert fake.append(TaskStarted("u", 1)) == Accepted()
        assert fake.now - start <= 2.0

    def test_cheapest_victim_is_the_youngest_without_checkpoints(
        self,
    ) -> None:
        fake = _fully_loaded(4)
        fake.submit("u", _HALF, urgent=True)
        decision = _preempt(fake, "u")
        assert isinstance(decision, Preemption)
        names = [v.task.submitted.task for v in decision.victims]
        assert names == ["t7"]

    def test_second_urgent_task_uses_resources_of_stopping_tasks(self) -> None:
        fake = _fully_loaded(1)
        for name in ("u1", "u2"):
            fake.submit(name, _HALF, urgent=True)
            decision = _preempt(fake, name)
            assert isinstance(decision, Preemption)
            (victim,) = decision.victims
            record = _preemption_record(fake, victim, "urgent")
            assert fake.append(record) == Accepted()
            placed = Placed(
                decision.worker, decision.worker_epoch, decision.size, 0, 1
            )
            assert fake.append(fake.record(name, placed)) == Accepted()

    def test_throttles_when_only_processors_are_missing(self) -> None:
        fake = _fully_loaded(1)
        fake.now += 10_000.0
        fake.submit("u", Resources(8, 0), urgent=True)
        decision = _preempt(fake, "u")
        assert isinstance(decision, Preemption)
        assert [v.method for v in decision.victims] == [Method.THROTTLE]
        record = _preemption_record(fake, decision.victims[0], "urgent")
        assert fake.append(record) == Accepted()
        assert fake.append(record) == Ignored("duplicate", record.task)
        fake.place("u")

    def test_urgent_and_protected_tasks_are_not_preempted(self) -> None:
        fake = FakeWorkers([worker(0)])
        fake.submit("first", _HALF, urgent=True)
        fake.place("first")
        fake.submit("second", _HALF, team="blue")
        fake.place("second")
        fake.submit("u", _HALF, urgent=True)
        assert isinstance(
            _preempt(fake, "u", protected=frozenset({"blue"})), NoVictims
        )
        decision = _preempt(fake, "u")
        assert isinstance(decision, Preemption)
        victims = [v.task.submitted.task for v in decision.victims]
        assert victims == ["second"]

    def test_spent_budget_protects_the_team(self) -> None:
        plan = Plan("gold", 0.99, 60.0, 5.0, 1.0, 1, 1, (), team="blue")
        budgets = BudgetSnapshot(Ledger(), {"gold": plan}, frozenset())
        assert protected_teams(budgets, 0.0) == {"blue"}

    @settings(derandomize=True, max_examples=120, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from([1.0, 4.0, 16.0]), st.booleans()),
            max_size=20,
        ),
        st.sampled_from([4.0, 20.0, 32.0]),
        st.sampled_from([0.0, 1000.0]),
    )
    def test_victims_free_enough_and_none_is_superfluous(
        self,
        tasks: list[tuple[float, bool]],
        required_processors: float,
        ran_s: float,
    ) -> None:
        fake = FakeWorkers([worker(0)])
        for number, (processors, checkpointable) in enumerate(tasks):
            size = Resources(processors, 8_000)
            fake.submit(f"t{number}", size, checkpointable=checkpointable)
            if isinstance(fake.decide(f"t{number}"), Placed):
                fake.place(f"t{number}")
        # After a long run, throttling a task costs less than stopping it.
        fake.now += ran_s
        fake.submit("u", Resources(required_processors, 16_000), urgent=True)
        decision = _preempt(fake, "u")
        assert isinstance(decision, Preemption)

        def freed(victims: list[Victim]) -> Resources:
            free = fake.index.free[decision.worker.worker]
            for v in victims:
                if v.method is Method.THROTTLE:
                    free = free + Resources(v.task.size.processors / 2)
                else:
                    free = free + v.task.size
            return free

        victims = list(decision.victims)
        assert freed(victims).covers(decision.size)
        for victim in victims:
            others = [v for v in victims if v is not victim]
            assert not freed(others).covers(decision.size)

    def test_preempted_task_is_placed_again_only_after_it_stopped(self) -> None:
        fake = _fully_loaded(1, checkpointable=True)
        fake.submit("u", _HALF, urgent=True)
        decision = _preempt(fake, "u")
        assert isinstance(decision, Preemption)
        victim = decision.victims[0]
        assert victim.method is Method.CHECKPOINT
        name = victim.task.submitted.task
        fake.append(_preemption_record(fake, victim, "urgent"))
        assert fake.table.tasks[name].state is TaskState.STOPPING
        early = TaskPlaced(
            name, 2, "w9", 0, "z0", "r9", _HALF, 9.0, False, FENCE
        )
        assert fake.append(early) == Ignored("not-waiting", name)
        assert fake.append(TaskStopped(name, 1)) == Accepted()
        task = fake.table.tasks[name]
        assert (task.state, task.failures) == (TaskState.WAITING, 0)


class TestQuotas:
    """Guards against a team that cannot use its own quota."""

    def _order(self, fake: FakeWorkers) -> list[tuple[str, bool]]:
        return [
            (c.task.submitted.task, c.borrowed)
            for c in waiting_order(fake.table, _QUOTAS)
        ]

    def test_smallest_share_first_then_borrowers(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(4)])
        for number in range(6):  # four of them use up the quota
            fake.submit(f"red{number}", _HALF)
        fake.submit("blue0", _HALF, team="blue")
        fake.submit("blue1", _HALF, team="blue")
        fake.submit("u", _HALF, urgent=True)
        order = self._order(fake)
        assert order[0] == ("u", False)
        assert [name for name, _ in order[1:4]] == ["blue0", "blue1", "red0"]
        assert [name for name, borrowed in order if borrowed] == [
            "red3",
            "red4",
            "red5",
        ]

    def test_order_of_arrival_would_starve_the_second_team(self) -> None:
        """In order of arrival, the first team would take all capacity."""
        fake = FakeWorkers([worker(n) for n in range(2)])
        for number in range(8):
            fake.submit(f"red{number}", _HALF)
        for number in range(2):
            fake.submit(f"blue{number}", _HALF, team="blue")
        baseline = sorted(fake.table.tasks.values(), key=lambda t: t.offset)
        assert all(t.submitted.team == "red" for t in baseline[:4])
        fair = [name for name, _ in self._order(fake)][:4]
        assert {"blue0", "blue1"} <= set(fair)

    def test_borrowed_capacity_is_reclaimed(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(3)])
        for number in range(6):
            fake.submit(f"red{number}", _HALF)
        for candidate in list(waiting_order(fake.table, _QUOTAS)):
            name = candidate.task.submitted.task
            fake.place(name, candidate.borrowed)
        fake.submit("blue0", _HALF, team="blue")
        assert isinstance(fake.decide("blue0"), NoRoom)
        decision = _preempt(fake, "blue0", _QUOTAS)
        assert isinstance(decision, Preemption)
        assert {v.task.submitted.task for v in decision.victims} <= {
            "red4",
            "red5",
        }
        # Tasks within their team's quota are not preempted for another team.
        for name in ("red0", "red1"):
            fake.append(TaskFinished(name, 1))
        for number in (1, 2):
            fake.submit(f"blue{number}", _HALF, team="blue")
            fake.place(f"blue{number}")
        assert isinstance(_preempt(fake, "blue0", _QUOTAS), NoVictims)

    @settings(derandomize=True, max_examples=80, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["red", "blue", "none"]),
                st.sampled_from([1.0, 16.0, 40.0]),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_every_waiting_task_is_ordered_once(
        self, tasks: list[tuple[str, float, bool]]
    ) -> None:
        fake = FakeWorkers([worker(0)])
        for number, (team, processors, urgent) in enumerate(tasks):
            size = Resources(processors, 1_000)
            fake.submit(f"t{number}", size, team=team, urgent=urgent)
        order = list(waiting_order(fake.table, _QUOTAS))
        names = [c.task.submitted.task for c in order]
        assert sorted(names) == sorted(fake.table.tasks)
        used: dict[str, Resources] = {}
        for candidate in order:
            submitted = candidate.task.submitted
            if not candidate.borrowed:
                team = submitted.team
                used[team] = used.get(team, Resources()) + submitted.size
        assert all(_QUOTAS[t].covers(u) for t, u in used.items())


class TestStragglers:
    """Guards against a few long tasks that delay the short ones."""

    def _with_straggler(self, checkpointable: bool) -> FakeWorkers:
        fake = FakeWorkers([worker(0)])
        fake.submit("t", _HALF, checkpointable=checkpointable)
        fake.place("t")
        fake.append(TaskStarted("t", 1))
        fake.now = 300.0  # five times the declared run time of 60 s
        return fake

    def test_action_depends_on_cause_and_checkpointability(self) -> None:
        slow = RunTimeStatistics(slowdowns={"w0": 2.5})
        contended = RunTimeStatistics(contended=frozenset({"w0"}))
        cases = [
            (True, slow, Method.CHECKPOINT, "slow-worker"),
            (True, contended, Method.CHECKPOINT, "others-wait"),
            (False, contended, Method.THROTTLE, "others-wait"),
            (False, slow, None, "no-checkpoint"),
            (True, RunTimeStatistics(), None, "nobody-waits"),
        ]
        for checkpointable, run_times, method, reason in cases:
            fake = self._with_straggler(checkpointable)
            (action,) = straggler_actions(fake.table, run_times, fake.now)
            assert (action.method, action.reason) == (method, reason)

    def test_task_within_usual_run_time_is_not_a_straggler(self) -> None:
        fake = self._with_straggler(False)
        run_times = RunTimeStatistics(medians={"render": 100.0})
        assert straggler_actions(fake.table, run_times, fake.now) == ()

    def test_straggler_is_throttled_only_once(self) -> None:
        fake = self._with_straggler(False)
        run_times = RunTimeStatistics(contended=frozenset({"w0"}))
        (action,) = straggler_actions(fake.table, run_times, fake.now)
        assert action.method is Method.THROTTLE
        record = TaskPreempted("t", 1, Method.THROTTLE, "straggler", FENCE)
        assert fake.append(record) == Accepted()
        (action,) = straggler_actions(fake.table, run_times, fake.now)
        assert (action.method, action.reason) == (None, "throttled-already")
