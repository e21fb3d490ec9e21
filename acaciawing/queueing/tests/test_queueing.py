"""Tests of run-time classes and of the queue."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.queueing import (
    Queue,
    RunClass,
    RunTimes,
    WaitingRequest,
    WorkKey,
    classify,
    enqueue,
    expected_wait_s,
    expire,
    long_threshold_s,
    newest_request,
    next_expiry,
    next_work,
    observe_run,
    remove,
    waiting_count,
)
from acaciawing.queueing.tests.baseline import ListQueue, declared_is_long

SEEDED = settings(derandomize=True, deadline=None, max_examples=150)
SHORT = RunClass(False, 0.1, 0.05, "customer")
LONG = RunClass(True, 10.0, 5.0, "customer")


def make_key(operation: str = "render", customer: str = "acme") -> WorkKey:
    return WorkKey("proofdesk", operation, customer)


def make_run_times(times: int = 20) -> RunTimes:
    """Returns results of one customer's short work, with a median of 0.1 s."""
    state = RunTimes()
    for _ in range(times):
        state = observe_run(state, make_key(), 0.1)
    return state


def make_waiting(
    request: str,
    run: RunClass = SHORT,
    at: float = 0.0,
    plan: str = "gold",
    deadline: float = 1e6,
) -> WaitingRequest:
    return WaitingRequest(request, make_key(), plan, run, at, deadline)


def make_queue(*items: WaitingRequest) -> Queue:
    queue = Queue()
    for item in items:
        queue = enqueue(queue, item)
    return queue


class TestClasses:
    """Guards against long work in the reserved slots and short work kept out."""

    def test_own_results_determine_the_class(self) -> None:
        state = make_run_times()
        for _ in range(3):
            state = observe_run(state, make_key("batch"), 10.0)
        assert classify(state, make_key("batch")).long
        assert not classify(state, make_key()).long

    def test_two_stragglers_do_not_change_the_class(self) -> None:
        state = make_run_times()
        for _ in range(2):
            state = observe_run(state, make_key(), 10.0)
        assert not classify(state, make_key()).long

    def test_work_that_becomes_long_is_detected_within_nine_results(
        self,
    ) -> None:
        state = make_run_times()
        for _ in range(5):
            state = observe_run(state, make_key(), 10.0)
        assert classify(state, make_key()).long

    def test_wrong_short_declaration_is_ignored(self) -> None:
        state = make_run_times()
        assert not declared_is_long(0.001, 0.1)
        assert classify(state, make_key("batch", "new"), 0.001).long

    def test_wrong_long_declaration_ends_after_three_results(self) -> None:
        state = make_run_times()
        assert declared_is_long(1000.0, 0.1)
        assert classify(state, make_key(customer="new"), 1000.0).long
        for _ in range(3):
            state = observe_run(state, make_key(customer="new"), 0.1)
        run = classify(state, make_key(customer="new"), 1000.0)
        assert (run.long, run.expected_s) == (False, 0.1)

    def test_declared_run_time_does_not_change_the_expected_run_time(
        self,
    ) -> None:
        for declared in (1e-6, 1e6):
            run = classify(make_run_times(), make_key("new"), declared)
            assert (run.expected_s, run.min_run_time_s) == (0.0, 0.0)

    def test_new_customer_of_a_short_operation_is_short(self) -> None:
        assert not classify(make_run_times(), make_key(customer="new")).long

    def test_new_customer_of_a_mixed_operation_is_long(self) -> None:
        state = make_run_times()
        for _ in range(4):
            state = observe_run(state, make_key(customer="batcher"), 10.0)
        assert classify(state, make_key(customer="new")).long

    def test_long_work_is_recorded_while_it_runs(self) -> None:
        state = make_run_times()
        limit = long_threshold_s(state, "proofdesk")
        assert limit is not None
        for _ in range(3):
            state = observe_run(state, make_key("batch"), limit, finished=False)
        assert classify(state, make_key("batch")).long

    def test_cancelled_short_runs_are_not_recorded(self) -> None:
        state = make_run_times()
        for _ in range(3):
            state = observe_run(state, make_key("batch"), 10.0)
        for _ in range(50):
            state = observe_run(state, make_key("batch"), 0.01, finished=False)
        assert classify(state, make_key("batch")).long

    def test_number_of_keys_is_bounded_with_many_operations(self) -> None:
        state = make_run_times()
        for number in range(6000):
            state = observe_run(state, make_key(f"operation-{number}"), 0.1)
        assert len(state.customers) + len(state.operations) <= 4100
        assert len(state.older) <= 4100


RUN = st.builds(
    lambda long, expected: RunClass(long, expected, expected / 2, "customer"),
    st.booleans(),
    st.sampled_from([0.0, 0.1, 2.0]),
)
ACTION = st.tuples(
    st.sampled_from(["add", "take", "cancel", "expire"]),
    RUN,
    st.integers(0, 3),
    st.floats(0.0, 20.0),
    st.booleans(),
)


class TestQueue:
    """Guards against lost, duplicated or wrongly ordered requests."""

    @given(st.lists(ACTION, max_size=50))
    @SEEDED
    def test_order_matches_the_list_baseline(
        self, actions: list[tuple[str, RunClass, int, float, bool]]
    ) -> None:
        queue, baseline, now = Queue(), ListQueue(), 0.0
        for number, (action, run, plan, wait, free) in enumerate(actions):
            now += wait / 10
            if action == "add":
                item = make_waiting(
                    f"r{number:03}", run, now, f"p{plan}", now + wait
                )
                queue = enqueue(queue, item)
                baseline.waiting.append(item)
            elif action == "take":
                blocked = frozenset({f"p{plan}"})
                found = next_work(queue, now, free, blocked)
                assert found == baseline.next(now, free, blocked)
                if found is not None:
                    queue = remove(queue, found.request)
                    baseline.remove(found.request)
            elif action == "cancel":
                queue = remove(queue, f"r{plan:03}")
                baseline.remove(f"r{plan:03}")
            else:
                queue, dropped = expire(queue, now)
                late = baseline.expire(now)
                assert {d.waiting.request for d in dropped} == late
            assert set(queue.waiting) == {w.request for w in baseline.waiting}
            for name in ("p0", "p1", "p2", "p3"):
                of_plan = [w for w in baseline.waiting if w.plan == name]
                assert waiting_count(queue, name) == len(of_plan)
        for request in list(queue.waiting):
            queue = remove(queue, request)
        assert queue == Queue()

    def test_short_work_overtakes_long_work(self) -> None:
        queue = make_queue(
            make_waiting("a", LONG, 0.0), make_waiting("b", SHORT, 1.0)
        )
        found = next_work(queue, 2.0)
        assert found is not None and found.request == "b"

    def test_long_work_goes_first_after_20_medians(self) -> None:
        queue = make_queue(
            make_waiting("a", LONG, 0.0), make_waiting("b", SHORT, 199.0)
        )
        before, after = next_work(queue, 199.9), next_work(queue, 200.0)
        assert before is not None and before.request == "b"
        assert after is not None and after.request == "a"
        blocked = next_work(queue, 200.0, long_free=False)
        assert blocked is not None and blocked.request == "b"

    def test_plan_at_its_limit_does_not_block_other_plans(self) -> None:
        queue = make_queue(
            make_waiting("a", plan="gold"),
            make_waiting("b", at=1.0, plan="iron"),
        )
        found = next_work(queue, 2.0, blocked=frozenset({"gold"}))
        assert found is not None and found.request == "b"

    def test_only_requests_that_cannot_meet_their_deadline_are_dropped(
        self,
    ) -> None:
        queue = make_queue(
            make_waiting("a", LONG, deadline=14.0),
            make_waiting("b", SHORT, deadline=14.0),
        )
        assert next_expiry(queue) == 9.0
        queue, none = expire(queue, 9.0)
        assert none == ()
        queue, dropped = expire(queue, 9.1)
        assert [d.reason for d in dropped] == ["deadline-unreachable"]
        assert dropped[0].refusal.retry_after_s == 10.0
        _, later = expire(queue, 15.0)
        assert [d.reason for d in later] == ["deadline-passed"]

    def test_newest_request_of_a_plan_is_returned(self) -> None:
        queue = make_queue(make_waiting("a", at=1.0), make_waiting("b", at=2.0))
        newest = newest_request(queue, "gold")
        assert newest is not None and newest.request == "b"
        assert newest_request(queue, "iron") is None

    def test_expected_wait_of_short_work_excludes_long_work(self) -> None:
        queue = make_queue(make_waiting("a", LONG), make_waiting("b", SHORT))
        assert expected_wait_s(queue, SHORT, 2) == 0.05
        assert expected_wait_s(queue, LONG, 2) == 5.05
