"""Requests to the holder of a cell, which may be another instance."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any, TypeVar

import msgspec
import urllib3

from acaciawing.decoding import DECODE_ERRORS
from acaciawing.jobs.fleet import CellReport, Evacuation
from acaciawing.jobserver.engine import Engine
from acaciawing.jobserver.membership import CellHolders
from acaciawing.jobserver.messages import (
    CellReportQuery,
    JobAnswer,
    JobStateQuery,
)

JOBS_PATH = "/v1/jobs"
REPORT_PATH = "/v1/report"

# Timeouts in seconds; a call between instances takes 2 to 4 ms.
_HTTP_TIMEOUT = urllib3.Timeout(connect=0.3, read=0.4)
_ENGINE_TIMEOUT_S = 0.5

_T = TypeVar("_T")


class JobStateRequest(msgspec.Struct, frozen=True):
    """Requests the state of a job, or of a queue if `job` is empty."""

    cell: int
    queue: str
    job: str


class CellReportRequest(msgspec.Struct, frozen=True):
    """Requests a cell's load and the evacuation of workers."""

    cell: int
    evacuate: Evacuation


class Peers:
    """Queries the local engine first, then the holder that the store names.

    Args:
        engine: Engine of this instance.
        holders: Addresses of the cells' holders.
        address: ``ip:port`` of this instance for its peers.
    """

    def __init__(
        self, engine: Engine, holders: CellHolders, address: str
    ) -> None:
        """Stores the arguments."""
        self._engine = engine
        self._holders = holders
        self._address = address
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=8, retries=False, timeout=_HTTP_TIMEOUT
        )

    def job_state(self, cell: int, queue: str, job: str) -> JobAnswer:
        """Returns the state of a job, or of a queue if `job` is empty."""
        request = JobStateRequest(cell, queue, job)
        answer = self.local_job_state(request)
        if not (answer.holder and answer.current):
            remote = self._post_to_holder(cell, JOBS_PATH, request, JobAnswer)
            answer = remote if remote is not None else answer
        if not (answer.holder and answer.current):
            self._holders.request_refresh()
        return answer

    def local_job_state(self, request: JobStateRequest) -> JobAnswer:
        """Returns the state of a job or queue from the local engine."""
        reply: Future[JobAnswer] = Future()
        self._engine.send(
            JobStateQuery(request.cell, request.queue, request.job, reply)
        )
        return _await_reply(reply) or JobAnswer(False)

    def cell_report(self, cell: int, evacuate: Evacuation) -> CellReport:
        """Returns a cell's load and requests the evacuation of workers."""
        request = CellReportRequest(cell, evacuate)
        report = self.local_cell_report(request)
        if not report.holder:
            remote = self._post_to_holder(
                cell, REPORT_PATH, request, CellReport
            )
            report = remote if remote is not None else report
        if not report.holder:
            self._holders.request_refresh()
        return report

    def local_cell_report(self, request: CellReportRequest) -> CellReport:
        """Returns a cell's load from the local engine."""
        reply: Future[CellReport] = Future()
        self._engine.send(
            CellReportQuery(request.cell, request.evacuate, reply)
        )
        return _await_reply(reply) or CellReport(False)

    def _post_to_holder(
        self, cell: int, path: str, request: Any, response_type: type[_T]
    ) -> _T | None:
        member = self._holders.member(cell)
        if not member or member == self._address:
            return None
        try:
            answer = self._http.request(
                "POST",
                f"http://{member}{path}",
                body=msgspec.json.encode(request),
            )
            if answer.status != 200:
                return None
            return msgspec.json.decode(answer.data, type=response_type)
        except (urllib3.exceptions.HTTPError, OSError, *DECODE_ERRORS):
            # The caller requests a refresh of the holders.
            return None


def _await_reply(reply: "Future[_T]") -> _T | None:
    try:
        return reply.result(_ENGINE_TIMEOUT_S)
    except FutureTimeoutError:
        return None
