"""Tests of the threads of the job server."""

import threading

from acaciawing.jobserver.tasks import start_task


class TestRestart:
    """Guards against a task that an unexpected error ends for good.

    The task that maintains machines ended at a wave that it had not noted, and
    no machine was maintained or lent until the next holder came.
    """

    def test_task_starts_again_after_an_error(self) -> None:
        calls = []
        done = threading.Event()

        def fails_once() -> None:
            calls.append(1)
            if len(calls) == 1:
                raise KeyError(1)
            done.set()

        start_task("fleet", fails_once, restart=True)
        assert done.wait(10)
        assert len(calls) == 2
