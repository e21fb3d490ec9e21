"""WSGI application of the administration listener (also for peers)."""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from acaciawing.configuration import EntrySettings
from acaciawing.entry.callers import Directory
from acaciawing.entry.configuring import Publisher
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.explaining import causes
from acaciawing.entry.framing import MAX_BODY_BYTES
from acaciawing.entry.paging import PageRequest, page, read_query
from acaciawing.entry.readings import Tallies, readings
from acaciawing.entry.recorder import Recorder
from acaciawing.entry.requests import digest_credential
from acaciawing.entry.scheduler import Scheduler
from acaciawing.entry.status import LISTS, Own, status, status_list
from acaciawing.entry.tasking import TaskDesk, task_page
from acaciawing.snapshots import encode_state
from acaciawing.telemetry import Metrics

_REASONS = {
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
class Exchange:
    """One request to the listener.

    Attributes:
        rest: Variable segments of the path.
        query: Query part of the target.
        body: Whole body.
    """

    rest: tuple[str, ...]
    query: str
    body: bytes


_KINDS = ("request", "task", "instance")


@dataclass(frozen=True)
class Sources:
    """What the documents are made from.

    Attributes:
        directory: Readiness and configuration.
        scheduler: Task asked for its view.
        recorder: Task asked for decisions and changes.
        publisher: Publishes configurations.
        tasks: Takes and cancels tasks.
        log_up: Whether the last read of the log was answered.
        tallies: Counts kept outside the scheduler.
        clock: Time on the log's clock, in seconds.
    """

    directory: Directory
    scheduler: Scheduler
    recorder: Recorder
    publisher: Publisher
    tasks: TaskDesk
    log_up: Callable[[], bool]
    tallies: Callable[[], Tallies]
    clock: Callable[[], float]


class Administration:
    """Serves operators and peers.

    Args:
        settings: Settings of the entry instance.
        sources: What the documents are made from.
        peer_handlers: Answers to peers' messages, by the last part of the path.
    """

    def __init__(
        self,
        settings: EntrySettings,
        sources: Sources,
        peer_handlers: Mapping[str, PeerHandler] | None = None,
    ) -> None:
        """Keeps the arguments."""
        self._settings = settings
        self._sources = sources
        self._peer_digest = hashlib.sha256(
            settings.peer_credential.encode()
        ).hexdigest()
        self._peer_handlers = dict(peer_handlers or {})
        self._instruments = Metrics(
            settings.instance, settings.zone, self._readings
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        headers = [("Content-Type", "application/json")]
        found = _routes(path)
        wanted = "GET" if method == "HEAD" else method
        route = found.get(wanted)
        if not found:
            code, document = _error(404, "no-such-path", f"no path {path}")
        elif route is None:
            allowed = ", ".join(sorted(found))
            headers.append(("Allow", allowed))
            code, document = _error(405, "method", f"allowed: {allowed}")
        else:
            code, document = self._answer(route, path, environ)
        if not isinstance(document, bytes):
            document = msgspec.json.encode(document)
        headers.append(("Content-Length", str(len(document))))
        start_response(f"{code} {_REASONS.get(code, 'Status')}", headers)
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
        exchange = Exchange(
            tuple(_variable(route.path, path)),
            environ.get("QUERY_STRING", ""),
            body,
        )
        return route.answer(self, exchange)

    def _authorized(self, route: "Route", environ: dict[str, Any]) -> bool:
        if route.access == "open":
            return True
        known = self._settings.administration_sha256
        if route.access == "peer":
            known = self._peer_digest
        digest = digest_credential(environ.get("HTTP_AUTHORIZATION", ""))
        return hmac.compare_digest(digest or "", known)

    def _own(self) -> Own:
        return Own(
            self._settings.instance,
            self._settings.zone,
            self._sources.directory.ready,
            self._sources.log_up(),
        )

    def _view(self) -> EngineView:
        return self._sources.scheduler.view()

    def _readings(self) -> Mapping[str, Any]:
        return readings(
            self._own(),
            self._view(),
            self._sources.tallies(),
            self._sources.clock(),
        )

    # Answers to operators.

    def health(self, _: Exchange) -> Answer:
        """Says that the process runs."""
        return 200, {"healthy": True}

    def readiness(self, _: Exchange) -> Answer:
        """Says whether the instance takes requests."""
        directory = self._sources.directory
        ready = directory.ready and not directory.draining
        return (200 if ready else 503), {"ready": ready}

    def status(self, exchange: Exchange) -> Answer:
        """Answers with the status document."""
        request = read_query(exchange.query, str)
        if isinstance(request, str):
            return _error(400, "bad-query", request)
        if request.after is not None:
            detail = "after: ask for one list, /v1/status/{list}"
            return _error(400, "bad-query", detail)
        now = self._sources.clock()
        return 200, status(self._own(), self._view(), now, request)

    def status_list(self, exchange: Exchange) -> Answer:
        """Answers with one page of a list."""
        name = exchange.rest[0]
        if name not in LISTS:
            return _error(404, "no-such-list", f"no list {name!r}")
        request = read_query(exchange.query, str)
        if isinstance(request, str):
            return _error(400, "bad-query", request)
        now = self._sources.clock()
        return 200, status_list(name, self._own(), self._view(), now, request)

    def metrics(self, _: Exchange) -> Answer:
        """Answers with the instruments."""
        return 200, self._instruments.collect().encode()

    def explain(self, exchange: Exchange) -> Answer:
        """Answers with the decisions about a subject."""
        kind, subject = exchange.rest
        if kind not in _KINDS:
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
        found = causes(kind, subject, self._view(), self._sources.clock())
        return 200, {
            "kind": kind,
            "id": subject,
            "known": bool(events) or found is not None,
            "no_work_because": [asdict(cause) for cause in found or ()],
            "events": events,
        }

    def audit(self, exchange: Exchange) -> Answer:
        """Answers with one page of the operators' changes."""
        request: PageRequest[int] | str = read_query(exchange.query, int)
        if isinstance(request, str):
            return _error(400, "bad-query", request)
        changes = {c.offset: c for c in self._sources.recorder.changes()}
        part = page(changes, request)
        return 200, {
            "entries": [asdict(changes[key]) for key in part.keys],
            "next": part.next,
        }

    def configure(self, exchange: Exchange) -> Answer:
        """Publishes a configuration."""
        return self._sources.publisher.publish(exchange.body)

    def submit_tasks(self, exchange: Exchange) -> Answer:
        """Takes tasks."""
        return self._sources.tasks.submit(exchange.body)

    def list_tasks(self, exchange: Exchange) -> Answer:
        """Answers with one page of the tasks that have not ended."""
        request = read_query(exchange.query, str)
        if isinstance(request, str):
            return _error(400, "bad-query", request)
        return 200, task_page(self._view().state.tasks, request)

    def cancel_tasks(self, exchange: Exchange) -> Answer:
        """Cancels tasks."""
        table = self._view().state.tasks
        return self._sources.tasks.cancel(exchange.body, table)

    # Answers to peers.

    def peer_state(self, _: Exchange) -> Answer:
        """Answers with the fold's state."""
        if not self._sources.directory.ready:
            return _error(503, "not-ready", "not recovered yet")
        return 200, encode_state(self._view().state)

    def peer_message(self, exchange: Exchange) -> Answer:
        """Answers a peer's message."""
        handler = self._peer_handlers.get(exchange.rest[0])
        if handler is None:
            return _error(404, "no-such-message", "no such message")
        answer = handler(exchange.body)
        if answer is None:
            return _error(400, "bad-request", "message not understood")
        return 200, answer


@dataclass(frozen=True)
class Route:
    """A path of the listener; ``docs/api.md`` lists the same.

    Attributes:
        method: HTTP method; HEAD is answered wherever GET is.
        path: Path; a segment in braces stands for any one segment.
        answer: Answers a request.
        access: ``open``, ``operator`` or ``peer``.
    """

    method: str
    path: str
    answer: Callable[[Administration, Exchange], Answer]
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
    """Routes of a path, by method; a fixed path goes before a pattern."""
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


def _variable(pattern: str, path: str) -> Iterable[str]:
    pairs = zip(pattern.split("/"), path.split("/"), strict=True)
    return (g for e, g in pairs if e.startswith("{"))


def _read_body(environ: dict[str, Any]) -> bytes | Answer:
    length = environ.get("CONTENT_LENGTH")
    if not length:
        return _error(411, "length", "Content-Length is needed")
    if int(length) > MAX_BODY_BYTES:
        return _error(413, "body-too-large", f"limit {MAX_BODY_BYTES} bytes")
    body: bytes = environ["wsgi.input"].read(int(length))
    return body


def _error(status_code: int, code: str, detail: str) -> Answer:
    return status_code, {"code": code, "error": detail}
