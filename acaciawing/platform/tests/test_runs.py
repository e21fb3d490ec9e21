"""Tests of the run client against the worker stand-in."""

import time

from acaciawing.jobs import Incarnation, StartOutcome, StartRun, SubtaskId
from acaciawing.platform.runs import (
    MAX_LISTED_ENDS,
    RunClient,
    WorkerRuns,
)
from standins.job_worker import JobWorker
from standins.server import serving

_SUBTASK = SubtaskId("0" * 16, 0, 0, 0)
_FAR_DEADLINE_MS = 10**12


class TestRunClient:
    """Guards against ended runs that a worker discards before they are read."""

    def test_first_poll_of_a_connection_acknowledges_nothing(self) -> None:
        # A restarted worker numbers its ended runs anew. With the number from
        # its earlier incarnation it would discard runs that were never read.
        with serving(JobWorker(run_s=0.0).handle) as address:
            client = RunClient(address, "w", 1)
            assert isinstance(client.poll(0, None, 0), WorkerRuns)
            order = StartRun(Incarnation("w", 1), _SUBTASK, 1, "", "")
            started = client.start(order, _FAR_DEADLINE_MS)
            assert started.outcome is StartOutcome.STARTED
            client.close()
            time.sleep(0.05)
            first = client.poll(7, None, 0)
            assert isinstance(first, WorkerRuns)
            assert [row.subtask for row in first.ended] == [_SUBTASK]
            second = client.poll(first.ended[-1].number, None, 0)
            assert isinstance(second, WorkerRuns)
            assert not second.ended
            client.close()

    def test_a_full_list_of_ends_does_not_pass_for_all_ends(self) -> None:
        # Runs whose ends were not listed yet were taken for absent.
        with serving(JobWorker(run_s=0.0).handle) as address:
            client = RunClient(address, "w", 1)
            assert isinstance(client.poll(0, None, 0), WorkerRuns)
            for index in range(MAX_LISTED_ENDS + 1):
                subtask = _SUBTASK._replace(index=index)
                order = StartRun(Incarnation("w", 1), subtask, 1, "", "")
                client.start(order, _FAR_DEADLINE_MS)
            first = client.poll(0, None, 0)
            assert isinstance(first, WorkerRuns)
            assert len(first.ended) == MAX_LISTED_ENDS
            assert not first.ends_complete
            second = client.poll(first.ended[-1].number, None, 0)
            assert isinstance(second, WorkerRuns)
            assert [row.subtask.index for row in second.ended] == [
                MAX_LISTED_ENDS
            ]
            assert second.ends_complete
            client.close()
