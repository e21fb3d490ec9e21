"""Tests of the platform's clients against the stand-in, over real sockets."""

from collections.abc import Iterator
from contextlib import contextmanager

from acaciawing.platform import (
    Appended,
    AppendUnknown,
    Batch,
    ListClient,
    Listing,
    LogClient,
    LogUnavailable,
    NotAppended,
    OffsetExpired,
    OperationNotDone,
    OperationUnknown,
    ReportedTask,
    TasksReported,
    TaskStart,
    WorkerClient,
)
from standins.platform_service import PlatformService
from standins.platform_state import Instance, PlatformState
from standins.server import serving


@contextmanager
def platform() -> Iterator[tuple[PlatformState, str]]:
    """Runs the platform stand-in on a free loopback port."""
    state = PlatformState()
    with serving(PlatformService(state).handle) as address:
        yield state, f"http://{address}"


class TestLogClient:
    """Guards against wrong claims about whether an append took effect."""

    def test_append_and_read_back(self) -> None:
        with platform() as (_, url):
            client = LogClient(url)
            appended = client.append("control", b"one")
            assert isinstance(appended, Appended)
            batch = client.read("control", 0)
            assert isinstance(batch, Batch)
            assert [e.payload for e in batch.entries] == [b"one"]
            assert batch.head_offset == batch.next_offset == 1

    def test_answer_lost_after_effect_is_unknown(self) -> None:
        with platform() as (state, url):
            state.set_faults({"lose_answers": 1})
            client = LogClient(url)
            assert isinstance(client.append("control", b"one"), AppendUnknown)
            batch = client.read("control", 0)
            assert isinstance(batch, Batch) and len(batch.entries) == 1

    def test_refusal_and_unreachable_log_are_not_appended(self) -> None:
        with platform() as (state, url):
            state.set_faults({"refuse": True})
            client = LogClient(url)
            assert isinstance(client.append("control", b"one"), NotAppended)
        unreachable = LogClient(url).append("control", b"one")
        assert isinstance(unreachable, NotAppended)

    def test_outage_and_expired_offset(self) -> None:
        with platform() as (state, url):
            state.set_faults({"retention": 1})
            client = LogClient(url)
            for payload in (b"one", b"two"):
                client.append("control", payload)
            assert client.read("control", 0) == OffsetExpired(1)
            state.set_faults({"outage": True})
            assert isinstance(client.read("control", 1), LogUnavailable)


class TestListClient:
    """Guards against a list that costs its whole size at each read."""

    def test_unchanged_list_is_not_sent_again(self) -> None:
        with platform() as (state, url):
            worker = Instance("w1", 1, "visits", "a", "r1", "192.0.2.1:1")
            state.put_instance(worker, 0.0)
            client = ListClient(url)
            first = client.fetch()
            assert isinstance(first, Listing)
            again = client.fetch()
            assert isinstance(again, Listing)
            assert again.instances is first.instances
            # Without a newer time, a member that vanished just after it joined
            # would stay on the roster until the list changes.
            assert again.as_of > first.as_of
            state.change("w1", "drain-1", 1.0, state="leaving")
            changed = client.fetch()
            assert isinstance(changed, Listing)
            assert changed.instances[0].state == "leaving"


class TestTasks:
    """Guards against a task that runs twice after a lost answer."""

    START = TaskStart("t", 1, "render", 4.0, 1000, 0, 60.0)

    def test_start_is_repeated_after_a_lost_answer(self) -> None:
        with platform() as (state, url):
            state.put_instance(
                Instance("w", 1, "p", "z", "r", "192.0.2.1:80"), 0.0
            )
            state.set_faults({"lose_task_answers": 1})
            client = WorkerClient(url)
            lost = client.start_task("w", self.START, "t/1/start")
            assert isinstance(lost, OperationUnknown)
            again = client.start_task("w", self.START, "t/1/start")
            running = TasksReported((ReportedTask("t", 1, "running"),))
            assert again == client.tasks("w") == running
            attempts = (("t", 1), ("late", 1))
            client.stop_task("w", attempts, "stop")
            late = TaskStart("late", 1, "render", 4.0, 1000, 0, 60.0)
            found = client.start_task("w", late, "late/1/start")
            assert isinstance(found, TasksReported)
            assert {t.state for t in found.tasks} == {"stopped"}

    def test_worker_that_fails_everything(self) -> None:
        with platform() as (state, url):
            state.put_instance(
                Instance("w", 1, "p", "z", "r", "192.0.2.1:80"), 0.0
            )
            state.set_faults({"failing_workers": ["w"]})
            found = WorkerClient(url).start_task("w", self.START, "t/1/start")
            failed = ReportedTask("t", 1, "failed", "exit-1")
            assert found == TasksReported((failed,))
            unknown = WorkerClient(url).tasks("x")
            assert unknown == OperationNotDone("status 404", gone=True)
