"""Calls between instances, to the holder of a cell."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any, TypeVar

import msgspec
import urllib3

from acaciawing.jobs.fleet import CellReport, Evacuation
from acaciawing.jobserver.engine import Engine
from acaciawing.jobserver.membership import Holders
from acaciawing.jobserver.messages import JobAnswer, JobAsked, ReportAsked

JOBS_PATH = "/v1/jobs"
REPORT_PATH = "/v1/report"

# A call between instances takes 2 to 4 ms; in seconds.
_TIMEOUT = urllib3.Timeout(connect=0.3, read=0.4)
_ENGINE_TIMEOUT_S = 0.5

_T = TypeVar("_T")


class JobQuestion(msgspec.Struct, frozen=True):
    """Asks for a job, or for a queue where `job` is empty."""

    cell: int
    queue: str
    job: str


class ReportQuestion(msgspec.Struct, frozen=True):
    """Asks for a cell's load and names the workers to empty."""

    cell: int
    evacuate: Evacuation


class Peers:
    """Asks the own engine first, then the holder that the store names.

    Args:
        engine: Engine of this instance.
        holders: Which instance holds each cell.
        address: ``ip:port`` at which other instances reach this one.
    """

    def __init__(self, engine: Engine, holders: Holders, address: str) -> None:
        """Keeps the arguments."""
        self._engine = engine
        self._holders = holders
        self._address = address
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=8, retries=False, timeout=_TIMEOUT
        )

    def ask(self, cell: int, queue: str, job: str) -> JobAnswer:
        """Asks for a job, or for a queue where `job` is empty."""
        question = JobQuestion(cell, queue, job)
        answer = self.ask_here(question)
        if not answer.holder:
            there = self._call(cell, JOBS_PATH, question, JobAnswer)
            answer = there if there is not None else answer
        if not answer.holder:
            self._holders.mark_stale()
        return answer

    def ask_here(self, question: JobQuestion) -> JobAnswer:
        """Asks the own engine for a job or queue."""
        reply: Future[JobAnswer] = Future()
        self._engine.send(
            JobAsked(question.cell, question.queue, question.job, reply)
        )
        return _result(reply) or JobAnswer(False)

    def report(self, cell: int, evacuate: Evacuation) -> CellReport:
        """Asks for a cell's load and names the workers to empty."""
        question = ReportQuestion(cell, evacuate)
        report = self.report_here(question)
        if not report.holder:
            there = self._call(cell, REPORT_PATH, question, CellReport)
            report = there if there is not None else report
        if not report.holder:
            self._holders.mark_stale()
        return report

    def report_here(self, question: ReportQuestion) -> CellReport:
        """Asks the own engine for a cell's load."""
        reply: Future[CellReport] = Future()
        self._engine.send(ReportAsked(question.cell, question.evacuate, reply))
        return _result(reply) or CellReport(False)

    def _call(
        self, cell: int, path: str, question: Any, kind: type[_T]
    ) -> _T | None:
        member = self._holders.member(cell)
        if not member or member == self._address:
            return None
        try:
            answer = self._http.request(
                "POST",
                f"http://{member}{path}",
                body=msgspec.json.encode(question),
            )
            if answer.status != 200:
                return None
            return msgspec.json.decode(answer.data, type=kind)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, OSError):
            # The holder is looked up again by the caller.
            return None


def _result(reply: "Future[_T]") -> _T | None:
    try:
        return reply.result(_ENGINE_TIMEOUT_S)
    except FutureTimeoutError:
        return None
