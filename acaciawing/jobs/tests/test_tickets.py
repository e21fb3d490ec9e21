"""Tests of tickets for starts."""

from acaciawing.jobs import (
    AdviceRequest,
    AdviceResponse,
    Configuration,
    JobSubmitted,
    Pool,
    Queue,
    StartOrderResult,
    StartOutcome,
)
from acaciawing.jobs.tests.builders import (
    QUEUE,
    SERVICE,
    CellHarness,
    make_job,
    make_worker,
)

_STEP = ("j", 0, 0)


def _make_harness() -> CellHarness:
    harness = CellHarness()
    queue = Queue(QUEUE, "h", "/p/", SERVICE, max_attempts=2, advice=True)
    harness.cell.configure(
        Configuration(2, {QUEUE: queue}, {SERVICE: Pool(SERVICE)})
    )
    workers = (make_worker("v"), make_worker("w"))
    harness.update_workers(*workers)
    harness.recover(JobSubmitted(make_job("j"), 0))
    for worker in workers:
        harness.report(worker)
    harness.settle()
    return harness


class TestTickets:
    """Guards against a busy loop of starts that every worker rejects."""

    def test_start_waits_for_a_ticket_and_includes_it(self) -> None:
        harness = _make_harness()
        requested = [a for a in harness.actions if isinstance(a, AdviceRequest)]
        assert requested == [AdviceRequest(_STEP, ("v", "w"))]
        assert not harness.starts
        harness.cell.receive_advice(
            AdviceResponse(_STEP, {"w": "t"}, harness.now + 3)
        )
        harness.settle()
        assert [(s.worker.worker, s.ticket) for s in harness.starts] == [
            ("w", "t")
        ]

    def test_ticket_that_a_worker_rejected_is_requested_again(self) -> None:
        harness = _make_harness()
        harness.cell.receive_advice(
            AdviceResponse(_STEP, {"w": "t"}, harness.now + 3)
        )
        harness.step(answer=False)
        harness.cell.receive(
            StartOrderResult(harness.starts[0], StartOutcome.NO_TICKET),
            harness.now,
        )
        harness.settle()
        assert len(harness.starts) == 1
        requested = [a for a in harness.actions if isinstance(a, AdviceRequest)]
        assert requested[-1].workers == ("w",)
