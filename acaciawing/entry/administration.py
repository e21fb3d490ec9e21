"""WSGI application of the administration listener, for operators and peers."""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from acaciawing.configuration import EntrySettings
from acaciawing.entry.caller_application import ServingState
from acaciawing.entry.configuration_publisher import Publisher
from acaciawing.entry.decision_recorder import DecisionRecorder
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.framing import MAX_BODY_BYTES
from acaciawing.entry.metric_values import ProcessCounts, metric_values
from acaciawing.entry.no_work_reasons import no_work_reasons
from acaciawing.entry.paging import PageRequest, page, read_query
from acaciawing.entry.requests import digest_credential
from acaciawing.entry.scheduler import Scheduler
from acaciawing.entry.status import (
    LISTS,
    AnsweringInstance,
    status,
    status_list,
)
from acaciawing.entry.task_requests import TaskRequests, task_page
from acaciawing.snapshots import encode_state
from acaciawing.telemetry import Metrics

_REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    503: "Service Unavailable",
}

Answer = tuple[int, Any]
PeerHandler = Callable[[bytes], bytes | None]


@dataclass(frozen=True)
class ListenerRequest:
    """One request to the listener.

    Attributes:
        variables: Variable segments of the path.
        query: Query part of the target.
        body: Complete body.
    """

    variables: tuple[str, ...]
    query: str
    body: bytes


_EXPLAINED_KINDS = ("request", "task", "instance")


@dataclass(frozen=True)
class Sources:
    """Sources of the documents and handlers of operators' requests.

    Attributes:
        serving_state: Readiness and configuration.
        scheduler: Task that returns the view of its state.
        recorder: Task that returns decisions and changes.
        publisher: Publishes configurations.
        tasks: Submits and cancels tasks.
        log_up: Whether the last read of the log succeeded.
        process_counts: Counts that the scheduler doesn't hold.
        clock: Time on the log's clock, in seconds.
    """

    serving_state: ServingState
    scheduler: Scheduler
    recorder: DecisionRecorder
    publisher: Publisher
    tasks: TaskRequests
    log_up: Callable[[], bool]
    process_counts: Callable[[], ProcessCounts]
    clock: Callable[[], float]


class Administration:
    """Serves operators and peers.

    Args:
        settings: Settings of the entry instance.
        sources: Sources of the documents and handlers of operators' requests.
        peer_handlers: Handlers of peers' messages, by the last path segment.
    """

    def __init__(
        self,
        settings: EntrySettings,
        sources: Sources,
        peer_handlers: Mapping[str, PeerHandler] | None = None,
    ) -> None:
        """Stores the arguments."""
        self._settings = settings
        self._sources = sources
        self._peer_digest = hashlib.sha256(
            settings.peer_credential.encode()
        ).hexdigest()
        self._peer_handlers = dict(peer_handlers or {})
        self._metrics = Metrics(
            settings.instance, settings.zone, self._metric_values
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        headers = [("Content-Type", "application/json")]
        routes = _routes(path)
        lookup_method = "GET" if method == "HEAD" else method
        route = routes.get(lookup_method)
        if not routes:
            code, document = _error(404, "no-such-path", f"no path {path}")
        elif route is None:
            allowed = ", ".join(sorted(routes))
            headers.append(("Allow", allowed))
            code, document = _error(405, "method", f"allowed: {allowed}")
        else:
            code, document = self._answer(route, path, environ)
        if not isinstance(document, bytes):
            document = msgspec.json.encode(document)
        headers.append(("Content-Length", str(len(document))))
        start_response(f"{code} {_REASON_PHRASES.get(code, 'Status')}", headers)
        return [] if method == "HEAD" else [document]

    def _answer(
        self, route: "Route", path: str, environ: dict[str, Any]
    ) -> Answer:
        if not self._authorized(route, environ):
            return _error(401, "credential", "credential missing or unknown")
        with_body = route.method in ("POST", "DELETE")
        body = _read_body(environ) if with_body else b""
        if not isinstance(body, bytes):
            return body
        request = ListenerRequest(
            tuple(_variable_segments(route.path, path)),
            environ.get("QUERY_STRING", ""),
            body,
        )
        return route.answer(self, request)

    def _authorized(self, route: "Route", environ: dict[str, Any]) -> bool:
        if route.access == "open":
            return True
        known = self._settings.administration_sha256
        if route.access == "peer":
            known = self._peer_digest
        digest = digest_credential(environ.get("HTTP_AUTHORIZATION", ""))
        return hmac.compare_digest(digest or "", known)

    def _answering_instance(self) -> AnsweringInstance:
        return AnsweringInstance(
            self._settings.instance,
            self._settings.zone,
            self._sources.serving_state.ready,
            self._sources.log_up(),
        )

    def _view(self) -> EngineView:
        return self._sources.scheduler.view()

    def _metric_values(self) -> Mapping[str, Any]:
        return metric_values(
            self._answering_instance(),
            self._view(),
            self._sources.process_counts(),
            self._sources.clock(),
        )

    # Answers to operators.

    def health(self, _: ListenerRequest) -> Answer:
        """Reports that the process runs."""
        return 200, {"healthy": True}

    def readiness(self, _: ListenerRequest) -> Answer:
        """Reports whether the instance accepts requests."""
        serving_state = self._sources.serving_state
        ready = serving_state.ready and not serving_state.draining
        return (200 if ready else 503), {"ready": ready}

    def status(self, request: ListenerRequest) -> Answer:
        """Returns the status document."""
        page_request = read_query(request.query, str)
        if isinstance(page_request, str):
            return _error(400, "bad-query", page_request)
        if page_request.after is not None:
            detail = "after: use /v1/status/{list} for the pages of a list"
            return _error(400, "bad-query", detail)
        now = self._sources.clock()
        return 200, status(
            self._answering_instance(), self._view(), now, page_request
        )

    def status_list(self, request: ListenerRequest) -> Answer:
        """Returns one page of a list."""
        name = request.variables[0]
        if name not in LISTS:
            return _error(404, "no-such-list", f"no list {name!r}")
        page_request = read_query(request.query, str)
        if isinstance(page_request, str):
            return _error(400, "bad-query", page_request)
        now = self._sources.clock()
        return 200, status_list(
            name, self._answering_instance(), self._view(), now, page_request
        )

    def metrics(self, _: ListenerRequest) -> Answer:
        """Returns the metrics."""
        return 200, self._metrics.collect().encode()

    def explain(self, request: ListenerRequest) -> Answer:
        """Returns the decisions about a subject and why it gets no work."""
        kind, subject = request.variables
        if kind not in _EXPLAINED_KINDS:
            return _error(404, "no-such-kind", f"no kind {kind!r}")
        events = [
            {
                "time": decision.time,
                "number": decision.event.number,
                "event": decision.event.text,
                "reasons": decision.reasons,
            }
            for decision in self._sources.recorder.explain(kind, subject)
        ]
        found = no_work_reasons(
            kind, subject, self._view(), self._sources.clock()
        )
        return 200, {
            "kind": kind,
            "id": subject,
            "known": bool(events) or found is not None,
            "no_work_because": [asdict(reason) for reason in found or ()],
            "events": events,
        }

    def audit(self, request: ListenerRequest) -> Answer:
        """Returns one page of the operators' changes."""
        page_request: PageRequest[int] | str = read_query(request.query, int)
        if isinstance(page_request, str):
            return _error(400, "bad-query", page_request)
        changes = {c.offset: c for c in self._sources.recorder.changes()}
        part = page(changes, page_request)
        return 200, {
            "entries": [asdict(changes[key]) for key in part.keys],
            "next": part.next,
        }

    def configure(self, request: ListenerRequest) -> Answer:
        """Publishes a configuration."""
        return self._sources.publisher.publish(request.body)

    def submit_tasks(self, request: ListenerRequest) -> Answer:
        """Submits tasks."""
        return self._sources.tasks.submit(request.body)

    def list_tasks(self, request: ListenerRequest) -> Answer:
        """Returns one page of the tasks that have not ended."""
        page_request = read_query(request.query, str)
        if isinstance(page_request, str):
            return _error(400, "bad-query", page_request)
        return 200, task_page(self._view().state.tasks, page_request)

    def cancel_tasks(self, request: ListenerRequest) -> Answer:
        """Cancels tasks."""
        table = self._view().state.tasks
        return self._sources.tasks.cancel(request.body, table)

    # Answers to peers.

    def peer_state(self, _: ListenerRequest) -> Answer:
        """Returns the state of the fold."""
        if not self._sources.serving_state.ready:
            return _error(503, "not-ready", "not recovered yet")
        return 200, encode_state(self._view().state)

    def peer_message(self, request: ListenerRequest) -> Answer:
        """Handles a peer's message and returns the answer."""
        handler = self._peer_handlers.get(request.variables[0])
        if handler is None:
            return _error(404, "no-such-message", "no such message")
        answer = handler(request.body)
        if answer is None:
            return _error(400, "bad-request", "malformed message")
        return 200, answer


@dataclass(frozen=True)
class Route:
    """A method and path of the listener; ``docs/api.md`` lists all of them.

    Attributes:
        method: HTTP method; HEAD is answered wherever GET is.
        path: Path; a segment in braces matches any single segment.
        answer: Handles a request.
        access: ``open``, ``operator`` or ``peer``.
    """

    method: str
    path: str
    answer: Callable[[Administration, ListenerRequest], Answer]
    access: str = "operator"


ROUTES = (
    Route("GET", "/healthz", Administration.health, "open"),
    Route("GET", "/readyz", Administration.readiness, "open"),
    Route("GET", "/v1/status", Administration.status),
    Route("GET", "/v1/status/{list}", Administration.status_list),
    Route("GET", "/v1/metrics", Administration.metrics),
    Route("GET", "/v1/explain/{kind}/{id}", Administration.explain),
    Route("GET", "/v1/audit", Administration.audit),
    Route("POST", "/v1/configuration", Administration.configure),
    Route("POST", "/v1/tasks", Administration.submit_tasks),
    Route("GET", "/v1/tasks", Administration.list_tasks),
    Route("DELETE", "/v1/tasks", Administration.cancel_tasks),
    Route("GET", "/v1/peer/state", Administration.peer_state, "peer"),
    Route("POST", "/v1/peer/{message}", Administration.peer_message, "peer"),
)


def _routes(path: str) -> dict[str, Route]:
    """Returns the routes of a path by method; exact paths precede patterns."""
    found: dict[str, Route] = {}
    for route in ROUTES:
        if _matches(route.path, path):
            found.setdefault(route.method, route)
    return found


def _matches(pattern: str, path: str) -> bool:
    expected, given = pattern.split("/"), path.split("/")
    return len(expected) == len(given) and all(
        (e.startswith("{") and g) or e == g
        for e, g in zip(expected, given, strict=True)
    )


def _variable_segments(pattern: str, path: str) -> Iterable[str]:
    pairs = zip(pattern.split("/"), path.split("/"), strict=True)
    return (g for e, g in pairs if e.startswith("{"))


def _read_body(environ: dict[str, Any]) -> bytes | Answer:
    length = environ.get("CONTENT_LENGTH")
    if not length:
        return _error(411, "length", "Content-Length is required")
    if int(length) > MAX_BODY_BYTES:
        return _error(413, "body-too-large", f"limit {MAX_BODY_BYTES} bytes")
    body: bytes = environ["wsgi.input"].read(int(length))
    return body


def _error(status_code: int, code: str, detail: str) -> Answer:
    return status_code, {"code": code, "error": detail}
