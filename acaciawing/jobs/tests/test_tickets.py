"""Tests of tickets for starts."""

from acaciawing.jobs import (
    AdviceFailure,
    AdviceRequest,
    AdviceResponse,
    Configuration,
    Incarnation,
    JobSubmitted,
    Pool,
    Queue,
    StartOrderResult,
    StartOutcome,
    Step,
)
from acaciawing.jobs.model import Resources
from acaciawing.jobs.tests.builders import (
    QUEUE,
    SERVICE,
    CellHarness,
    make_job,
    make_worker,
)
from acaciawing.jobs.tickets import REQUEST_INTERVAL_S

_STEP = ("j", 0, 0)
_V, _W = make_worker("v"), make_worker("w")
_VALIDITY_S = 3.0


def _make_harness(*workers: str, subtasks: int = 1) -> CellHarness:
    """Returns a cell with a waiting job that needs tickets."""
    harness = CellHarness()
    queue = Queue(QUEUE, "h", "/p/", SERVICE, max_attempts=2, advice=True)
    harness.cell.configure(
        Configuration(2, {QUEUE: queue}, {SERVICE: Pool(SERVICE)})
    )
    job = make_job("j", Step(subtasks, Resources(1000)))
    harness.recover(JobSubmitted(job, 0))
    _contact(harness, *(workers or ("v", "w")))
    return harness


def _contact(harness: CellHarness, *workers: str) -> None:
    """Lists and contacts workers, and carries out what follows."""
    known = [make_worker(name) for name in workers]
    harness.update_workers(*known)
    for worker in known:
        harness.report(worker)
    harness.settle()


def _requests(harness: CellHarness) -> list[AdviceRequest]:
    return [a for a in harness.actions if isinstance(a, AdviceRequest)]


def _answer(
    harness: CellHarness, request: AdviceRequest, *granted: str
) -> None:
    tickets = dict.fromkeys(granted, f"ticket {request.number}")
    until = harness.now + _VALIDITY_S
    harness.cell.receive_advice(AdviceResponse(request, tickets, until))
    harness.settle()


class TestTickets:
    """Guards against a busy loop of starts that every worker rejects."""

    def test_start_waits_for_a_ticket_and_includes_it(self) -> None:
        harness = _make_harness()
        requested = _requests(harness)
        assert requested == [
            AdviceRequest(1, _STEP, (_V.incarnation, _W.incarnation))
        ]
        assert not harness.starts
        _answer(harness, requested[0], "w")
        assert [(s.worker.worker, s.ticket) for s in harness.starts] == [
            ("w", "ticket 1")
        ]

    def test_ticket_that_a_worker_rejected_is_requested_again(self) -> None:
        harness = _make_harness()
        request = _requests(harness)[0]
        harness.cell.receive_advice(
            AdviceResponse(request, {"w": "t"}, harness.now + _VALIDITY_S)
        )
        harness.step(answer=False)
        harness.cell.receive(
            StartOrderResult(harness.starts[0], StartOutcome.NO_TICKET),
            harness.now,
        )
        harness.settle()
        assert len(harness.starts) == 1
        assert _requests(harness)[-1].workers == (_W.incarnation,)


class TestLateAnswers:
    """Guards against an answer that is taken for one to another request.

    A worker that came back after a request was taken as refused by its answer,
    and never asked about again, though only that worker may run the step.
    """

    def test_an_answer_refuses_only_the_workers_of_its_request(self) -> None:
        harness = _make_harness("v", subtasks=40)
        harness.wait(REQUEST_INTERVAL_S)
        _contact(harness, "v", "w")
        first, second = _requests(harness)
        assert second.workers == (_W.incarnation,)
        _answer(harness, first)
        _answer(harness, second, "w")
        assert len(harness.starts) == 32
        # The rest of the step needs a new ticket.
        harness.wait(_VALIDITY_S)
        harness.report(_V)
        harness.report(_W, running=())
        harness.settle()
        assert _requests(harness)[-1].workers == (_W.incarnation,)

    def test_a_late_answer_grants_its_tickets(self) -> None:
        harness = _make_harness("v")
        harness.wait(REQUEST_INTERVAL_S)
        _contact(harness, "v", "w")
        first, second = _requests(harness)
        _answer(harness, second)
        _answer(harness, first, "v")
        assert [s.worker.worker for s in harness.starts] == ["v"]

    def test_an_unanswered_request_is_not_repeated(self) -> None:
        # Repeated requests made the queue of a slow service grow without end.
        harness = _make_harness()
        for _ in range(10):
            harness.wait(REQUEST_INTERVAL_S)
            _contact(harness, "v", "w")
        assert len(_requests(harness)) == 1

    def test_a_failed_request_is_repeated(self) -> None:
        harness = _make_harness()
        first = _requests(harness)[0]
        harness.cell.receive_advice(AdviceFailure(first))
        harness.settle()
        assert [r.workers for r in _requests(harness)] == [first.workers] * 2

    def test_the_next_incarnation_is_asked_about(self) -> None:
        # Neither a refusal nor a ticket of the last one holds for it.
        harness = _make_harness()
        _answer(harness, _requests(harness)[0])
        restarted = make_worker("w", born_ms=5_000)
        harness.update_workers(_V, restarted)
        harness.report(_V)
        harness.report(restarted)
        harness.settle()
        assert _requests(harness)[-1].workers == (Incarnation("w", 5_000),)

    def test_an_answer_about_an_ended_job_is_ignored(self) -> None:
        harness = _make_harness()
        request = _requests(harness)[0]
        harness.cell._tickets.forget("j")
        _answer(harness, request, "w")
        assert not harness.starts
