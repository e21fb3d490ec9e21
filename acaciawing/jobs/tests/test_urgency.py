"""Tests of the order of waiting subtasks."""

import pytest

from acaciawing.jobs import Queue, Step
from acaciawing.jobs.tests.builders import QUEUE, SERVICE, a_job
from acaciawing.jobs.urgency import Urgency, chains_ms, urgency

_QUEUE = Queue(QUEUE, "h", "/p/", SERVICE, stretch=2.0, objective_ms=600)
_JOB = a_job("j", Step(1, estimated_ms=500), Step(1, estimated_ms=500))


class TestUrgency:
    """Guards against late work that starves, and against work all made late."""

    @pytest.mark.parametrize(
        ("waited_ms", "expected"),
        [
            (0, Urgency.IN_TIME),
            (400, Urgency.IN_TIME),
            (1200, Urgency.LATE),
            (3400, Urgency.LAST_CALL),
            (9000, Urgency.WORTHLESS),
        ],
    )
    def test_follows_the_time_waited(
        self, waited_ms: int, expected: Urgency
    ) -> None:
        assert urgency(chains_ms(_JOB), _QUEUE, 0, 0, waited_ms) is expected

    def test_chain_is_the_longest_path(self) -> None:
        job = a_job(
            "j",
            Step(1, estimated_ms=500),
            Step(1, estimated_ms=700),
            Step(1, estimated_ms=100, depends_on=(0,)),
        )
        assert chains_ms(job) == (700, 700, 100)
