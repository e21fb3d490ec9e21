"""Tests of the urgency of waiting jobs."""

import pytest

from acaciawing.jobs import Queue, Step
from acaciawing.jobs.tests.builders import QUEUE, SERVICE, make_job
from acaciawing.jobs.urgency import Urgency, assess_urgency, critical_paths_ms

_QUEUE = Queue(QUEUE, "h", "/p/", SERVICE, stretch=2.0, objective_ms=600)
_JOB = make_job("j", Step(1, estimated_ms=500), Step(1, estimated_ms=500))


class TestUrgency:
    """Guards against starving late jobs, and against making all jobs late."""

    @pytest.mark.parametrize(
        ("waited_ms", "expected"),
        [
            (0, Urgency.ON_TIME),
            (400, Urgency.ON_TIME),
            (1200, Urgency.LATE),
            (3400, Urgency.EXPIRING),
            (9000, Urgency.EXPIRED),
        ],
    )
    def test_urgency_depends_on_the_waiting_time(
        self, waited_ms: int, expected: Urgency
    ) -> None:
        assert (
            assess_urgency(critical_paths_ms(_JOB), _QUEUE, 0, 0, waited_ms)
            is expected
        )

    def test_critical_path_is_the_longest_chain_of_steps(self) -> None:
        job = make_job(
            "j",
            Step(1, estimated_ms=500),
            Step(1, estimated_ms=700),
            Step(1, estimated_ms=100, depends_on=(0,)),
        )
        assert critical_paths_ms(job) == (700, 700, 100)
