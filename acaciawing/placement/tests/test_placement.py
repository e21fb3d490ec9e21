"""Tests of the choice of a worker and of the task table."""

import random
from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import given, settings

from acaciawing.leases import Fence
from acaciawing.outcomes import Accepted, Ignored
from acaciawing.placement import (
    LEASE_EXPIRED,
    LEASE_S,
    PLACEMENT_SUBJECT,
    Corrections,
    NoRoom,
    Placed,
    PlacementRequest,
    PlacementSnapshot,
    Reason,
    Resources,
    TaskAttempt,
    TaskFailed,
    TaskFinished,
    TaskPlaced,
    TaskRefused,
    TasksCancelled,
    TaskStarted,
    TaskStopped,
    Unplaceable,
    UsageSample,
    build_index,
    cancel,
    find_lost_tasks,
    measured_sizes,
    place,
    record_usage,
    refresh_index,
    renew_task_leases,
)
from acaciawing.placement.table import apply
from acaciawing.placement.tests.baseline import (
    baseline_cancel,
    first_fit,
    reasons_by_scan,
)
from acaciawing.placement.tests.fake_workers import (
    FENCE,
    FakeWorkers,
    worker,
)
from acaciawing.records import LogPosition

_SMALL = Resources(4, 8_000)


class TestFeasibility:
    """Guards against a sample or index that misses the only feasible worker."""

    @settings(derandomize=True, max_examples=120, deadline=None)
    @given(st.data())
    def test_places_exactly_when_first_fit_does(
        self, data: st.DataObject
    ) -> None:
        count = data.draw(st.integers(1, 60))
        kinds = st.tuples(st.sampled_from([8.0, 32.0, 64.0]), st.integers(0, 4))
        fake = FakeWorkers([worker(n, *data.draw(kinds)) for n in range(count)])
        sizes = st.tuples(
            st.sampled_from([0.5, 4.0, 20.0, 32.0, 70.0]),
            st.sampled_from([100, 64_000, 128_000, 200_000]),
            st.integers(0, 5),
            st.sampled_from([(), ("z0",), ("z1", "z2")]),
        )
        for number in range(data.draw(st.integers(1, 25))):
            processors, memory, accelerators, zones = data.draw(sizes)
            size = Resources(processors, memory, accelerators)
            fake.submit(f"t{number}", size, zones=zones)
            task = fake.table.tasks[f"t{number}"]
            baseline = first_fit(fake.snapshot, task, fake.now)
            decision = fake.decide(f"t{number}")
            assert isinstance(decision, Placed) == (baseline is not None)
            if isinstance(decision, NoRoom):
                scanned = reasons_by_scan(fake.snapshot, task, fake.now)
                assert {r.code: r.workers for r in decision.reasons} == (
                    scanned
                )
            if isinstance(decision, Placed):
                record = fake.record(f"t{number}", decision)
                assert fake.append(record) == Accepted()
        assert all(
            min(f.processors, f.memory_mb, f.accelerators) >= 0
            for f in fake.index.free.values()
        )

    def test_finds_the_one_free_worker_of_many(self) -> None:
        """The bucket is larger than the sample; all but one are unavailable."""
        fake = FakeWorkers([worker(n) for n in range(400)])
        fake.unavailable = frozenset(
            w.worker for w in fake.workers if w.worker != "w217"
        )
        fake.submit("t", _SMALL)
        assert fake.place("t") == "w217"

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.integers(0, 19), min_size=12, max_size=40))
    def test_refreshed_index_equals_a_new_one(self, ends: list[int]) -> None:
        fake = FakeWorkers([worker(3 * n, 8) for n in range(8)])
        index = fake.index
        for number, end in enumerate(ends):
            fake.submit(f"t{number}", _SMALL)
            changed = set()
            if isinstance(fake.decide(f"t{number}"), Placed):
                changed.add(fake.place(f"t{number}"))
            task = fake.table.tasks.get(f"t{end}")
            if task is not None and task.worker:
                fake.append(TaskFinished(f"t{end}", 1))
                changed.add(task.worker)
            index = refresh_index(index, fake.table, changed)
        new = fake.index
        assert index.free == new.free
        assert {k: set(v) for k, v in index.buckets.items()} == {
            k: set(v) for k, v in new.buckets.items()
        }


class TestReasons:
    """Guards against tasks that wait forever or without a stated reason."""

    def test_unplaceable_task_is_refused_with_every_reason(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(6)])
        fake.submit("t", Resources(40, 200_000, 1), zones=("z0",))
        assert fake.decide("t") == Unplaceable(
            (
                Reason("accelerators", 6),
                Reason("memory", 6),
                Reason("processors", 6),
                Reason("zone", 4),
            )
        )
        assert fake.append(TaskRefused("t", ("memory",))) == Accepted()
        assert "t" not in fake.table.tasks

    def test_task_that_fits_later_waits(self) -> None:
        fake = FakeWorkers([worker(0), worker(1)])
        for name in ("a", "b"):
            fake.submit(name, Resources(30, 1_000))
            fake.place(name)
        fake.submit("t", Resources(30, 1_000))
        decision = fake.decide("t")
        assert isinstance(decision, NoRoom)
        assert decision.reasons == (Reason("processors", 2),)

    def test_task_without_accelerators_leaves_them_free(self) -> None:
        workers = [worker(n, accelerators=4 * (n % 2)) for n in range(8)]
        fake = FakeWorkers(workers)
        for number in range(4):
            fake.submit(f"t{number}", Resources(30, 1_000))
            assert int(fake.place(f"t{number}")[1:]) % 2 == 0


class TestCompetition:
    """Guards against two instances that use the same free capacity."""

    def test_second_placement_on_one_epoch_is_ignored(self) -> None:
        fake = FakeWorkers([worker(0)])
        records = []
        for name in "ab":
            fake.submit(name, Resources(30, 1_000))
            decision = fake.decide(name)
            assert isinstance(decision, Placed)
            records.append(fake.record(name, decision))
        assert fake.append(records[0]) == Accepted()
        outcome = fake.append(records[1])
        assert outcome == Ignored("stale-epoch", "0, now 1")

    def test_placement_with_a_wrong_fence_is_ignored(self) -> None:
        fake = FakeWorkers([worker(0), worker(1)])
        fake.submit("a", _SMALL)
        fake.submit("b", _SMALL)
        decision = fake.decide("b")
        assert isinstance(decision, Placed)
        record = fake.record("b", decision)
        for fence, reason in (
            (Fence(PLACEMENT_SUBJECT, 9), "stale-token"),
            (Fence("pool:a", 0), "wrong-subject"),
        ):
            position = LogPosition(fake.offset, fake.now)
            fenced = replace(record, fence=fence)
            if reason == "wrong-subject":
                # Applied directly, since the fold checks the lease first.
                _, outcome = apply(fenced, fake.table, position)
            else:
                outcome = fake.append(fenced)
            assert isinstance(outcome, Ignored)
            assert outcome.reason == reason
        assert fake.append(record) == Accepted()

    def test_late_duplicate_submission_is_ignored(self) -> None:
        fake = FakeWorkers([worker(0)])
        submitted = fake.submit("t", _SMALL).submitted
        fake.place("t")
        assert fake.append(TaskFinished("t", 1)) == Accepted()
        fake.now += 100_000.0
        fake.submit("other", _SMALL)
        assert fake.append(submitted) == Ignored("duplicate", "t")


class TestFailures:
    """Guards against endless attempts and workers on which all tasks fail."""

    def test_task_fails_after_three_attempts_in_different_domains(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(24)])
        fake.submit("t", _SMALL)
        domains = []
        for attempt in (1, 2, 3):
            fake.place("t")
            domains.append(fake.table.tasks["t"].domain)
            assert fake.append(TaskFailed("t", attempt, "exit-1")) == (
                Accepted()
            )
        assert len(set(domains)) == 3
        assert "t" not in fake.table.tasks
        assert fake.table.ended["t"] == "failed"

    def test_placement_in_a_failed_domain_is_ignored(self) -> None:
        fake = FakeWorkers([worker(0)])
        fake.submit("t", _SMALL)
        decision = fake.decide("t")
        assert isinstance(decision, Placed)
        fake.append(fake.record("t", decision))
        fake.append(TaskFailed("t", 1, "exit-1"))
        retried = replace(fake.record("t", decision), worker_epoch=1)
        assert fake.append(retried) == Ignored("failed-domain", "z0/r0")

    def _quarantined(self) -> FakeWorkers:
        fake = FakeWorkers([worker(0)])
        for number in range(3):
            fake.submit(f"t{number}", _SMALL)
            fake.place(f"t{number}")
            fake.append(TaskFailed(f"t{number}", 1, "exit-1"))
        return fake

    def test_failing_worker_is_quarantined_then_gets_one_trial_task(
        self,
    ) -> None:
        fake = self._quarantined()
        fake.submit("a", _SMALL)
        fake.submit("b", _SMALL)
        decision = fake.decide("a")
        assert isinstance(decision, NoRoom)
        assert Reason("quarantined", 1) in decision.reasons
        early = TaskPlaced(
            "a", 1, "w0", 3, "z0", "r0", _SMALL, 9.0, False, FENCE
        )
        assert fake.append(early) == Ignored("quarantined", "w0")
        fake.now = 601.0
        fake.place("a")
        decision = fake.decide("b")
        assert isinstance(decision, NoRoom)
        assert decision.reasons == (Reason("on-trial", 1),)
        fake.append(TaskFinished("a", 1))
        fake.place("b")

    def test_failed_trial_doubles_the_quarantine(self) -> None:
        fake = self._quarantined()
        fake.submit("a", _SMALL)
        fake.now = 601.0
        fake.place("a")
        fake.append(TaskFailed("a", 1, "exit-1"))
        assert fake.table.health["w0"].quarantined_until == 601 + 1200

    def test_one_failing_task_quarantines_no_worker(self) -> None:
        """The task may be faulty itself and fail on every worker."""
        fake = FakeWorkers([worker(n) for n in range(24)])
        fake.submit("t", _SMALL)
        for attempt in (1, 2, 3):
            fake.place("t")
            fake.append(TaskFailed("t", attempt, "exit-1"))
        assert all(not h.quarantines for h in fake.table.health.values())


class TestLeases:
    """Guards against a task that runs twice or is lost with its worker."""

    def test_placement_expires_only_after_its_lease(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(8)])
        fake.submit("t", _SMALL)
        fake.place("t")
        expired = TaskFailed("t", 1, LEASE_EXPIRED)
        fake.now = LEASE_S
        assert find_lost_tasks(fake.table, (), fake.now) == ()
        assert fake.append(expired) == Ignored("lease-held", "t")
        fake.now = LEASE_S + 1
        assert find_lost_tasks(fake.table, (), fake.now) == (expired,)
        assert fake.append(expired) == Accepted()
        assert fake.append(TaskFinished("t", 1)) != Accepted()
        fake.place("t")

    def test_one_record_renews_all_reported_leases(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(8)])
        for number in range(20):
            fake.submit(f"t{number}", _SMALL)
            fake.place(f"t{number}")
        reported = [TaskAttempt(f"t{n}", 1) for n in range(20)]
        assert renew_task_leases(fake.table, reported, FENCE, 1.0) == ()
        fake.now = 400.0
        records = renew_task_leases(fake.table, reported, FENCE, fake.now)
        assert len(records) == 1
        assert fake.append(records[0]) == Accepted()
        assert find_lost_tasks(fake.table, (), LEASE_S + 100) == ()

    def test_task_of_an_ended_worker_fails_at_once(self) -> None:
        fake = FakeWorkers([worker(0)])
        fake.submit("t", _SMALL)
        fake.place("t")
        failures = find_lost_tasks(fake.table, {"w0"}, 1.0)
        assert failures == (TaskFailed("t", 1, "worker-ended"),)


class TestSizes:
    """Guards against inaccurate declared sizes."""

    def test_measured_size_fits_more_tasks_than_the_declared(self) -> None:
        declared = Resources(16, 64_000)
        fake = FakeWorkers([worker(0)])
        for _ in range(5):
            fake.corrections = record_usage(
                fake.corrections, "render", declared, Resources(2, 8_000)
            )
        for number in range(6):  # only two would fit with the declared size
            fake.submit(f"t{number}", declared)
            fake.place(f"t{number}")

    def test_correction_never_makes_a_fitting_task_unplaceable(self) -> None:
        fake = FakeWorkers([worker(0)])
        declared = Resources(8, 100_000)
        for _ in range(5):
            fake.corrections = record_usage(
                fake.corrections, "render", declared, Resources(8, 120_000)
            )
        fake.submit("t", declared)
        decision = fake.decide("t")
        assert isinstance(decision, Placed)
        assert decision.size.memory_mb == 128_000

    def test_correction_is_capped_by_workers_of_the_task_s_zones(self) -> None:
        # A larger worker of another zone left the task beside an idle worker.
        large = worker(1)
        large = replace(large, total=replace(large.total, memory_mb=256_000))
        fake = FakeWorkers([worker(0), large])
        declared = Resources(8, 100_000)
        for _ in range(5):
            fake.corrections = record_usage(
                fake.corrections, "render", declared, Resources(8, 200_000)
            )
        fake.submit("t", declared, zones=("z0",))
        decision = fake.decide("t")
        assert isinstance(decision, Placed)
        assert decision.worker.worker == "w0"

    def test_out_of_memory_doubles_memory_of_the_next_attempt(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(8)])
        fake.submit("t", _SMALL)
        fake.place("t")
        fake.append(TaskFailed("t", 1, "out-of-memory"))
        fake.place("t")
        assert fake.table.tasks["t"].size.memory_mb == 16_000

    def test_stale_or_start_up_usage_only_raises_the_size(self) -> None:
        fake = FakeWorkers([worker(0)])
        fake.submit("t", _SMALL)
        fake.place("t")
        fake.append(TaskStarted("t", 1))
        tasks = fake.table.tasks
        low = UsageSample("t", 200.0, 1.0, 1_000)
        fresh = measured_sizes(tasks, [low], 210.0)
        assert fresh["t"].memory_mb < _SMALL.memory_mb
        assert measured_sizes(tasks, [low], 300.0) == {}
        early = UsageSample("t", 10.0, 1.0, 20_000)
        assert measured_sizes(tasks, [early], 11.0)["t"].memory_mb == 25_000

    def test_measured_usage_frees_capacity(self) -> None:
        fake = FakeWorkers([worker(0)])
        fake.submit("big", Resources(32, 8_000))
        fake.place("big")
        fake.append(TaskStarted("big", 1))
        fake.submit("t", _SMALL)
        assert isinstance(fake.decide("t"), NoRoom)
        used = UsageSample("big", 200.0, 10.0, 6_000)
        sizes = measured_sizes(fake.table.tasks, [used], 201.0)
        index = build_index(fake.workers, fake.table, sizes)
        snapshot = PlacementSnapshot(fake.table, index, Corrections())
        request = PlacementRequest(fake.table.tasks["t"])
        decision = place(snapshot, request, 201.0, random.Random(1))
        assert isinstance(decision, Placed)


class TestCancellation:
    """Guards against a burst of cancellations that delays placement."""

    def test_burst_takes_one_record_and_one_call_to_each_worker(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(10)])
        names = [f"t{n}" for n in range(900)]
        for name in names:
            fake.submit(name, _SMALL)
        placed = 0
        while placed < 60:
            fake.place(names[placed])
            placed += 1
        burst = list(reversed(names))
        assert baseline_cancel(list(names), list(burst)) > 100 * len(names)
        plan = cancel(fake.table, [*burst, *burst, "unknown"])
        assert len(plan.records) == 1
        assert len(plan.records[0].tasks) == 900
        assert sum(len(s) for s in plan.stops.values()) == 60
        assert len(plan.stops) <= 10
        assert fake.append(plan.records[0]) == Accepted()
        assert len(fake.table.tasks) == 60
        assert not any(fake.table.waiting.values())
        assert cancel(fake.table, names).records == ()

    def test_cancelled_running_task_keeps_resources_until_stopped(
        self,
    ) -> None:
        fake = FakeWorkers([worker(0)])
        fake.submit("t", Resources(32, 1_000))
        fake.place("t")
        fake.append(TasksCancelled(("t",)))
        assert fake.index.free["w0"].processors == 0
        assert fake.append(TaskStopped("t", 1)) == Accepted()
        assert fake.index.free["w0"].processors == 32
        assert fake.table.ended["t"] == "cancelled"
        assert fake.table.used["red"] == Resources()

    def test_late_records_of_an_old_attempt_are_ignored(self) -> None:
        fake = FakeWorkers([worker(n) for n in range(8)])
        fake.submit("t", _SMALL)
        fake.place("t")
        fake.append(TaskFailed("t", 1, "exit-1"))
        fake.place("t")
        late = [
            TaskFinished("t", 1),
            TaskFailed("t", 1, "exit-1"),
            TaskStopped("t", 1),
            TaskStarted("t", 1),
        ]
        for record in late:
            assert isinstance(fake.append(record), Ignored)
        assert fake.table.tasks["t"].attempt == 2
