"""Tests of the client of a worker's runs against the stand-in."""

import time

from acaciawing.jobs import Incarnation, StartOutcome, StartRun, SubtaskId
from acaciawing.platform.runs import RunClient, WorkerRuns
from standins.job_worker import JobWorker
from standins.server import serving

_SUBTASK = SubtaskId("0" * 16, 0, 0, 0)
_FAR_MS = 10**12


class TestRunClient:
    """Guards against ends that a worker forgets before they were read."""

    def test_a_new_connection_acknowledges_nothing(self) -> None:
        # The soak found it: a worker that had started again numbered its ends
        # anew, and the count of its old life made it forget them.
        with serving(JobWorker(run_s=0.0).handle) as address:
            client = RunClient(address, "w", 1)
            order = StartRun(Incarnation("w", 1), _SUBTASK, 1, "", "")
            started = client.start(order, _FAR_MS)
            assert started.outcome is StartOutcome.STARTED
            client.close()
            time.sleep(0.05)
            held = client.poll(7, None, 0)
            assert isinstance(held, WorkerRuns)
            assert [row.subtask for row in held.ended] == [_SUBTASK]
            again = client.poll(held.ended[-1].number, None, 0)
            assert isinstance(again, WorkerRuns)
            assert not again.ended
            client.close()
