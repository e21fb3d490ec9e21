"""Tests of the platform clients against the stand-in over real sockets."""

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
    """Guards against appends wrongly reported as done or not done."""

    def test_append_and_read_back(self) -> None:
        with platform() as (_, url):
            client = LogClient(url)
            appended = client.append("control", b"one")
            assert isinstance(appended, Appended)
            batch = client.read("control", 0)
            assert isinstance(batch, Batch)
            assert [e.payload for e in batch.entries] == [b"one"]
            assert batch.head_offset == batch.next_offset == 1

    def test_lost_response_makes_the_append_unknown(self) -> None:
        with platform() as (state, url):
            state.set_faults({"lose_answers": 1})
            client = LogClient(url)
            assert isinstance(client.append("control", b"one"), AppendUnknown)
            batch = client.read("control", 0)
            assert isinstance(batch, Batch) and len(batch.entries) == 1

    def test_refused_or_unsent_append_is_not_appended(self) -> None:
        with platform() as (state, url):
            state.set_faults({"refuse": True})
            client = LogClient(url)
            assert isinstance(client.append("control", b"one"), NotAppended)
        unreachable = LogClient(url).append("control", b"one")
        assert isinstance(unreachable, NotAppended)

    def test_failed_read_reports_expired_offset_or_outage(self) -> None:
        with platform() as (state, url):
            state.set_faults({"retention": 1})
            client = LogClient(url)
            for payload in (b"one", b"two"):
                client.append("control", payload)
            assert client.read("control", 0) == OffsetExpired(1)
            state.set_faults({"outage": True})
            assert isinstance(client.read("control", 1), LogUnavailable)


class TestListClient:
    """Guards against a full transfer of the list at each read."""

    def test_unchanged_list_is_not_transferred_again(self) -> None:
        with platform() as (state, url):
            worker = Instance("w1", 1, "visits", "a", "r1", "192.0.2.1:1")
            state.put_instance(worker, 0.0)
            client = ListClient(url)
            first = client.fetch()
            assert isinstance(first, Listing)
            second = client.fetch()
            assert isinstance(second, Listing)
            assert second.instances is first.instances
            # Without a newer time, a member that disappeared just after joining
            # would stay on the roster until the list changes.
            assert second.as_of > first.as_of
            state.change("w1", "drain-1", 1.0, state="leaving")
            changed = client.fetch()
            assert isinstance(changed, Listing)
            assert changed.instances[0].state == "leaving"


class TestTasks:
    """Guards against a task that runs twice after a lost response."""

    START = TaskStart("t", 1, "render", 4.0, 1000, 0, 60.0)

    def test_retried_start_runs_once_and_stopped_task_never_starts(
        self,
    ) -> None:
        with platform() as (state, url):
            state.put_instance(
                Instance("w", 1, "p", "z", "r", "192.0.2.1:80"), 0.0
            )
            state.set_faults({"lose_task_answers": 1})
            client = WorkerClient(url)
            lost = client.start_task("w", self.START, "t/1/start")
            assert isinstance(lost, OperationUnknown)
            retried = client.start_task("w", self.START, "t/1/start")
            running = TasksReported((ReportedTask("t", 1, "running"),))
            assert retried == client.tasks("w") == running
            # The stop of "late" arrives before its start.
            attempts = (("t", 1), ("late", 1))
            client.stop_task("w", attempts, "stop")
            late = TaskStart("late", 1, "render", 4.0, 1000, 0, 60.0)
            found = client.start_task("w", late, "late/1/start")
            assert isinstance(found, TasksReported)
            assert {t.state for t in found.tasks} == {"stopped"}

    def test_failed_task_and_unknown_worker(self) -> None:
        with platform() as (state, url):
            state.put_instance(
                Instance("w", 1, "p", "z", "r", "192.0.2.1:80"), 0.0
            )
            state.set_faults({"failing_workers": ["w"]})
            found = WorkerClient(url).start_task("w", self.START, "t/1/start")
            failed = ReportedTask("t", 1, "failed", "exit-1")
            assert found == TasksReported((failed,))
            unknown = WorkerClient(url).tasks("x")
            assert unknown == OperationNotDone(
                "status 404", instance_unknown=True
            )
