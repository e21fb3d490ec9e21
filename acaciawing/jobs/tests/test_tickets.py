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
    CellRig,
    a_job,
    a_worker,
)

_STEP = ("j", 0, 0)


def _rig() -> CellRig:
    rig = CellRig()
    queue = Queue(QUEUE, "h", "/p/", SERVICE, max_attempts=2, advice=True)
    rig.cell.configure(
        Configuration(2, {QUEUE: queue}, {SERVICE: Pool(SERVICE)})
    )
    workers = (a_worker("v"), a_worker("w"))
    rig.update_workers(*workers)
    rig.recover(JobSubmitted(a_job("j"), 0))
    for worker in workers:
        rig.report(worker)
    rig.settle()
    return rig


class TestTickets:
    """Guards against starts that every worker rejects, in a busy loop."""

    def test_start_waits_for_the_answer_and_carries_the_ticket(self) -> None:
        rig = _rig()
        asked = [a for a in rig.actions if isinstance(a, AdviceRequest)]
        assert asked == [AdviceRequest(_STEP, ("v", "w"))]
        assert not rig.starts
        rig.cell.receive_advice(AdviceResponse(_STEP, {"w": "t"}, rig.now + 3))
        rig.settle()
        assert [(s.worker.worker, s.ticket) for s in rig.starts] == [("w", "t")]

    def test_ticket_that_a_worker_refused_is_asked_for_again(self) -> None:
        rig = _rig()
        rig.cell.receive_advice(AdviceResponse(_STEP, {"w": "t"}, rig.now + 3))
        rig.step(answer=False)
        rig.cell.receive(
            StartOrderResult(rig.starts[0], StartOutcome.NO_TICKET), rig.now
        )
        rig.settle()
        assert len(rig.starts) == 1
        asked = [a for a in rig.actions if isinstance(a, AdviceRequest)]
        assert asked[-1].workers == ("w",)
