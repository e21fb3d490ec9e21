"""WSGI application of the clients' API for jobs and queues."""

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from acaciawing.jobs import (
    CancelRequested,
    JobSubmitted,
    Queue,
    Record,
    encode_record,
)
from acaciawing.jobs.retry_after import MIN_RETRY_AFTER_S, retry_after_s
from acaciawing.jobserver.appender import Appender
from acaciawing.jobserver.clock import steady_s, unix_ms
from acaciawing.jobserver.keyed_topics import ConfigurationFollower
from acaciawing.jobserver.limits import (
    ANSWER_MARGIN_S,
    HOME_VALIDITY_S,
    MAX_RETRY_PAUSE_S,
    RETRY_PAUSE_S,
    WAITING_HOME_VALIDITY_S,
)
from acaciawing.jobserver.membership import StoreContact, cell_of
from acaciawing.jobserver.messages import JobAnswer
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.peers import Peers
from acaciawing.jobserver.queue_homes import QueueHomes
from acaciawing.platform.store import (
    AppendResult,
    NotStored,
    Stored,
    StoreUnavailable,
)
from acaciawing.platform.wire import Finding, decode_job, is_job_id
from acaciawing.telemetry import Event, log_event

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

# Refused appends are retried for this time. A store that refuses for longer is
# down, and the client may reach another instance.
_REFUSAL_RETRY_S = 0.4

# Longest time for which a request is handled, whatever its client allows.
_MAX_TIME_BUDGET_S = 3600.0


@dataclass(frozen=True)
class Reply:
    """Response to a client.

    Attributes:
        status: HTTP status code.
        body: Fields of the JSON body.
        retry_after_s: Value of the Retry-After header of a refusal, in seconds.
    """

    status: int
    body: dict[str, Any]
    retry_after_s: int = MIN_RETRY_AFTER_S


class ClientApi:
    """Serves the requests of clients.

    Args:
        configuration_follower: Supplies the configuration in force.
        peers: Reads job states from the cells' holders.
        homes: Tells where the jobs of a queue are.
        appender: Appends submissions and cancellations.
        contact: Reports whether the store answers this instance.
        partitions: Number of cells.
        max_state_age_s: Maximum age at which a holder's records are
            considered current, in seconds.
        jitter: Spreads the retries of several instances over time.
        max_job_bytes: Largest record of a submission that is accepted.
    """

    def __init__(
        self,
        configuration_follower: ConfigurationFollower,
        peers: Peers,
        homes: QueueHomes,
        appender: Appender,
        contact: StoreContact,
        partitions: int,
        max_state_age_s: float,
        jitter: random.Random,
        max_job_bytes: int,
    ) -> None:
        """Stores the arguments."""
        self._configuration_follower = configuration_follower
        self._peers = peers
        self._homes = homes
        self._appender = appender
        self._contact = contact
        self._partitions = partitions
        self._max_state_age_s = max_state_age_s
        self._jitter = jitter
        self._max_job_bytes = max_job_bytes
        self._pause = threading.Event()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        began_at = steady_s()
        reply = self._route(environ, began_at)
        method = environ["REQUEST_METHOD"]
        METRICS.count(
            "acaciawing.jobs.requests",
            method=method,
            status=str(reply.status),
        )
        METRICS.record_time(
            "acaciawing.jobs.request_time",
            steady_s() - began_at,
            method=method,
        )
        body = msgspec.json.encode(reply.body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if reply.status in (429, 503):
            headers.append(("Retry-After", str(reply.retry_after_s)))
        start_response(
            f"{reply.status} {_REASON_PHRASES.get(reply.status, 'Status')}",
            headers,
        )
        return [body]

    def _route(self, environ: dict[str, Any], began_at: float) -> Reply:
        body = _read_body(environ)
        configuration = self._configuration_follower.configuration
        if configuration is None:
            return Reply(503, {"error": "no configuration yet"})
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        path = environ["PATH_INFO"]
        queue = configuration.route(host, path)
        if queue is None:
            return Reply(404, {"error": "no such queue"})
        job = path[len(queue.path_prefix) :]
        method = environ["REQUEST_METHOD"]
        if not job and method == "GET":
            return self._count_waiting(queue)
        if not is_job_id(job):
            return Reply(400, {"error": "not an id of a job"})
        deadline = began_at + _time_budget_s(environ, queue)
        if method == "POST":
            return self._submit(queue, job, body, deadline)
        if method == "DELETE":
            return self._cancel(queue, job, deadline)
        if method == "GET":
            return self._job_state(queue, job)
        return Reply(405, {"error": "method not allowed"})

    def _count_waiting(self, queue: Queue) -> Reply:
        """Adds up the waiting jobs of all cells that may have some."""
        self._homes.find(queue, WAITING_HOME_VALIDITY_S)
        waiting = 0
        for cell in (self._cell(queue), *self._other_cells(queue)):
            answer = self._peers.job_state(cell, queue.name, "")
            if not answer.holder:
                return Reply(503, {"error": "holder not reachable"})
            waiting += answer.waiting
        return Reply(200, {"Waiting": waiting})

    def _job_state(self, queue: Queue, job: str) -> Reply:
        answer = self._ask_holder(queue, self._cell(queue), job)
        if not answer.state:
            # The queue may have sent the job to another service.
            if answer.holder:
                home = self._homes.find(queue, HOME_VALIDITY_S)
                if isinstance(home, StoreUnavailable):
                    return Reply(503, {"error": "homes are not current"})
            answer = self._ask_other_holders(queue, job, answer)
        if not answer.holder:
            return Reply(503, {"error": "holder not reachable"})
        if not answer.current:
            return Reply(503, {"error": "holder is not confirmed"})
        if answer.state:
            return Reply(200, {"State": answer.state})
        if answer.age_s > self._max_state_age_s:
            return Reply(503, {"error": "records are not current"})
        return Reply(410, {"error": "no such job"})

    def _ask_other_holders(
        self, queue: Queue, job: str, first: JobAnswer
    ) -> JobAnswer:
        """Asks the cells of a queue's earlier services for a job.

        Returns:
            The answer with a state, if there is one; otherwise the answer that
            proves the least.
        """
        weakest = first
        for cell in self._other_cells(queue):
            answer = self._ask_holder(queue, cell, job)
            if answer.state:
                return answer
            if not answer.holder or (
                weakest.holder and answer.age_s > weakest.age_s
            ):
                weakest = answer
        return weakest

    def _ask_holder(self, queue: Queue, cell: int, job: str) -> JobAnswer:
        answer = self._peers.job_state(cell, queue.name, job)
        log_event(
            Event.JOB_STATE_TOLD,
            {
                "job": job,
                "cell": cell,
                "state": answer.state,
                "holder": answer.holder,
                "current": answer.current,
                "age_s": round(answer.age_s, 3),
            },
        )
        return answer

    def _submit(
        self, queue: Queue, job_id: str, body: bytes, deadline: float
    ) -> Reply:
        job = decode_job(body, job_id, queue.name)
        if isinstance(job, Finding):
            return _refuse_job(job_id, job)
        job = msgspec.structs.replace(job, accepted_by=queue)
        record = JobSubmitted(job, unix_ms())
        size = len(encode_record(record))
        if size > self._max_job_bytes:
            fault = f"takes {size} bytes, at most {self._max_job_bytes}"
            return _refuse_job(job_id, Finding("body", fault))
        if self._is_known_elsewhere(queue, job_id):
            return Reply(200, {})
        result = self._append(queue, job_id, record, deadline)
        if isinstance(result, Stored):
            log_event(
                Event.JOB_ACCEPTED,
                {
                    "job": job_id,
                    "queue": queue.name,
                    "cell": self._cell(queue),
                    "partition": self._partition(queue),
                    "offset": result.offset,
                },
            )
            return Reply(200, {})
        if isinstance(result, NotStored):
            log_event(
                Event.JOB_REFUSED, {"job": job_id, "reason": result.detail}
            )
            return Reply(
                503,
                {"error": "not run: the store refused the job"},
                self._retry_after_s(),
            )
        log_event(Event.JOB_UNDECIDED, {"job": job_id, "reason": str(result)})
        return Reply(504, {"error": "not known whether the job is stored"})

    def _is_known_elsewhere(self, queue: Queue, job: str) -> bool:
        """Whether a cell of an earlier service of the queue has a job.

        The first submission decides which cell runs a job, but the store keeps
        it for a limited time.
        """
        return any(
            self._ask_holder(queue, cell, job).state
            for cell in self._other_cells(queue)
        )

    def _cancel(self, queue: Queue, job: str, deadline: float) -> Reply:
        record = CancelRequested(job, unix_ms())
        result = self._append(queue, job, record, deadline)
        log_event(
            Event.JOB_CANCELLED,
            {
                "job": job,
                "partition": self._partition(queue),
                "stored": isinstance(result, Stored),
            },
        )
        if isinstance(result, Stored):
            return Reply(200, {})
        if isinstance(result, NotStored):
            return Reply(
                503,
                {"error": "the store refused the call"},
                self._retry_after_s(),
            )
        return Reply(504, {"error": "not known whether the call is stored"})

    def _retry_after_s(self) -> int:
        outage_s = steady_s() - self._contact.answered_at
        return retry_after_s(outage_s, self._jitter.random())

    def _append(
        self, queue: Queue, job: str, record: Record, deadline: float
    ) -> AppendResult:
        """Appends a record, with retries until the client's deadline.

        Does not wait for a store that is lost, because another instance may
        still reach it.

        An append without an answer may be retried, because the fold ignores
        duplicate records. The result is never `NotStored` once an append has
        stayed unanswered: that append may have been stored.
        """
        payload = encode_record(record)
        began_at = steady_s()
        unconfirmed: AppendResult | None = None
        pause = RETRY_PAUSE_S
        if self._contact.is_lost(began_at):
            return NotStored("the store does not answer this instance")
        while True:
            result = self._append_once(queue, job, payload, deadline)
            if isinstance(result, Stored):
                return result
            if not isinstance(result, NotStored):
                unconfirmed = result
            now = steady_s()
            retry_until = (
                deadline
                if unconfirmed is not None
                else min(deadline, began_at + _REFUSAL_RETRY_S)
            )
            if now + pause >= retry_until or self._contact.is_lost(now):
                return unconfirmed if unconfirmed is not None else result
            self._pause.wait(pause * self._jitter.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)

    def _append_once(
        self, queue: Queue, job: str, payload: bytes, deadline: float
    ) -> AppendResult:
        home = self._homes.assign(queue, deadline)
        if isinstance(home, StoreUnavailable):
            return NotStored(home.detail)
        return self._appender.append(
            home.partition, job, payload, deadline - steady_s()
        )

    def _cell(self, queue: Queue) -> int:
        """Returns the cell of the queue's present service."""
        return cell_of(queue.service, self._partitions)

    def _other_cells(self, queue: Queue) -> list[int]:
        """Returns the cells of the services that a queue had before."""
        home = self._homes.known(queue)
        if home is None:
            return []
        cells = {cell_of(s, self._partitions) for s in home.services}
        return sorted(cells - {self._cell(queue)})

    def _partition(self, queue: Queue) -> int | None:
        """Returns the partition of the queue's submissions, if it is known."""
        home = self._homes.known(queue)
        return None if home is None else home.partition


def _refuse_job(job: str, finding: Finding) -> Reply:
    """Returns the refusal of a job that can never be accepted."""
    log_event(
        Event.JOB_REFUSED,
        {"job": job, "place": finding.place, "reason": finding.fault},
    )
    return Reply(400, {"error": finding.fault, "place": finding.place})


def _read_body(environ: dict[str, Any]) -> bytes:
    if environ.get("CONTENT_LENGTH") or environ.get("HTTP_TRANSFER_ENCODING"):
        body: bytes = environ["wsgi.input"].read()
        return body
    return b""


def _time_budget_s(environ: dict[str, Any], queue: Queue) -> float:
    """Returns the client's timeout less the answer's transit time, in seconds."""
    text = environ.get("HTTP_TIME_BUDGET", "")
    budget_ms = float(text) if text.replace(".", "", 1).isdecimal() else 0.0
    if budget_ms <= 0:
        budget_ms = float(queue.timeout_ms)
    budget_s = min(budget_ms / 1000, _MAX_TIME_BUDGET_S)
    return max(0.1, budget_s - ANSWER_MARGIN_S)
