"""Tests of starting and restarting tasks."""

import threading

from acaciawing.jobserver.tasks import start_task


class TestTaskRestart:
    """Guards against a task that an unexpected error ends permanently.

    The fleet task failed on a wave that it had not recorded, and no machine was
    maintained or lent until another instance took over.
    """

    def test_failed_task_is_restarted(self) -> None:
        calls = []
        done = threading.Event()

        def fail_once() -> None:
            calls.append(1)
            if len(calls) == 1:
                raise KeyError(1)
            done.set()

        start_task("fleet", fail_once, restart=True)
        assert done.wait(10)
        assert len(calls) == 2
