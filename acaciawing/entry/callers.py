"""WSGI application of the callers' listener."""

import itertools
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from queue import SimpleQueue
from typing import Any

from acaciawing.configuration import ConfigurationIndex
from acaciawing.entry.messages import Completed, Finished, Granted, Submit
from acaciawing.entry.problems import render
from acaciawing.entry.recorder import Decision, Recorder
from acaciawing.entry.requests import CallerRequest, read_request
from acaciawing.entry.scheduler import Scheduler
from acaciawing.entry.upstream import Answer, Upstream
from acaciawing.outcomes import NotRun, OutcomeUnknown, Refusal
from acaciawing.telemetry import Event

_REASONS = {200: "OK", 201: "Created", 204: "No Content", 404: "Not Found"}
MAX_ATTEMPTS = 3

Rendered = tuple[int, list[tuple[str, str]], bytes]


@dataclass
class Directory:
    """Configuration that request threads read; replaced as a whole."""

    index: ConfigurationIndex
    ready: bool = False
    draining: bool = False


class Callers:
    """Serves callers' requests.

    Args:
        instance: Id of the entry instance, part of request ids.
        directory: Configuration in force.
        scheduler: Task that grants endpoints.
        recorder: Task that logs decisions.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        instance: str,
        directory: Directory,
        scheduler: Scheduler,
        recorder: Recorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keeps the arguments."""
        self._instance = instance
        self._directory = directory
        self._scheduler = scheduler
        self._recorder = recorder
        self._clock = clock
        self._numbers = itertools.count(1)
        self._local = threading.local()
        self._in_flight = 0
        self._lock = threading.Lock()

    @property
    def in_flight(self) -> int:
        """Requests that have begun and not ended."""
        return self._in_flight

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        with self._lock:
            self._in_flight += 1
        try:
            status, headers, body = self._answer(environ)
            if self._directory.draining:
                headers.append(("Connection", "close"))
            if environ["REQUEST_METHOD"] == "HEAD":
                body = b""
            elif status not in (204, 304):
                headers.append(("Content-Length", str(len(body))))
            reason = _REASONS.get(status, "Status")
            start_response(f"{status} {reason}", headers)
            return [body] if body else []
        finally:
            with self._lock:
                self._in_flight -= 1

    def _answer(self, environ: dict[str, Any]) -> Rendered:
        request_id = f"{self._instance}-{next(self._numbers)}"
        if environ["PATH_INFO"] == "/healthz":
            return 200, [], b"ok\n"
        if environ["PATH_INFO"] == "/readyz":
            ready = self._directory.ready and not self._directory.draining
            return (200, [], b"ready\n") if ready else (503, [], b"not ready\n")
        if not self._directory.ready:
            return render(NotRun("not-ready", "", 503, 1.0), request_id)
        request = read_request(environ, self._directory.index, request_id)
        if isinstance(request, NotRun):
            return render(request, request_id)
        outcome = self._serve(request)
        if isinstance(outcome, Answer):
            verdict = "succeeded" if outcome.status < 500 else "failed"
            self._scheduler.post(Finished(request.plan.name, verdict))
            headers = list(outcome.headers)
            headers.append(("X-Request-Id", request.request_id))
            return outcome.status, headers, outcome.body
        verdict = "refused" if isinstance(outcome, NotRun) else "failed"
        self._scheduler.post(Finished(request.plan.name, verdict))
        self._record(request, Event.REQUEST_REFUSED, code=outcome.code)
        return render(outcome, request.request_id)

    def _serve(self, request: CallerRequest) -> Answer | Refusal:
        deadline = self._clock() + request.timeout_s
        avoid: tuple[str, ...] = ()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            granted = self._submit(request, attempt, avoid, deadline)
            if not isinstance(granted, Granted):
                return granted
            outcome, again = self._attempt(request, granted)
            if not again:
                return outcome
            avoid = (*avoid, granted.instance)
        return outcome

    def _submit(
        self,
        request: CallerRequest,
        attempt: int,
        avoid: tuple[str, ...],
        deadline: float,
    ) -> Granted | Refusal:
        return self._scheduler.submit(
            Submit(
                request.request_id,
                request.customer.name,
                request.plan.name,
                request.service.name,
                request.operation,
                request.idempotent,
                deadline,
                attempt,
                avoid,
                SimpleQueue(),
            )
        )

    def _attempt(
        self, request: CallerRequest, granted: Granted
    ) -> tuple[Answer | Refusal, bool]:
        begun = self._clock()
        left = granted.deadline - begun
        if left <= 0:
            self._scheduler.post(
                Completed(granted.ticket, "not-sent", 0, False)
            )
            return NotRun("deadline", "", 503, 1.0), False
        outcome = self._upstream().send(
            granted.address,
            request.method,
            request.target,
            self._forwarded(request),
            request.body,
            left,
        )
        took = self._clock() - begun
        self._record(
            request,
            Event.REQUEST_ROUTED,
            endpoint=granted.instance,
            took_ms=round(took * 1000, 2),
        )
        if isinstance(outcome, Answer):
            result = "ok" if outcome.status < 500 else "error"
            self._scheduler.post(
                Completed(granted.ticket, result, took, outcome.leaving)
            )
            return outcome, outcome.status >= 500 and request.idempotent
        result = "unknown" if outcome.sent else "not-run"
        self._scheduler.post(Completed(granted.ticket, result, took, False))
        again = request.idempotent or not outcome.sent
        if outcome.sent:
            return OutcomeUnknown("no-answer", outcome.detail), again
        return NotRun("endpoint-not-reached", "", 503, 1.0), again

    def _forwarded(self, request: CallerRequest) -> tuple[tuple[str, str], ...]:
        kept = tuple(
            (k, v)
            for k, v in request.headers
            if k not in ("Authorization", "X-Request-Id", "X-Customer")
        )
        return (
            *kept,
            ("X-Request-Id", request.request_id),
            ("X-Customer", request.customer.name),
        )

    def _record(
        self, request: CallerRequest, event: Event, **reasons: Any
    ) -> None:
        self._recorder.post(
            Decision(
                "request",
                request.request_id,
                time.time(),
                event,
                {
                    "service": request.service.name,
                    "plan": request.plan.name,
                    **reasons,
                },
            )
        )

    def _upstream(self) -> Upstream:
        upstream: Upstream | None = getattr(self._local, "upstream", None)
        if upstream is None:
            upstream = self._local.upstream = Upstream()
        return upstream
