"""WSGI application of the callers' listener."""

import itertools
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from acaciawing.configuration import ConfigurationIndex
from acaciawing.entry.dispatcher import Dispatcher
from acaciawing.entry.problems import render
from acaciawing.entry.requests import read_request
from acaciawing.exchange import Answer
from acaciawing.outcomes import NotRun

_REASON_PHRASES = {
    200: "OK",
    201: "Created",
    204: "No Content",
    404: "Not Found",
}

Response = tuple[int, list[tuple[str, str]], bytes]


@dataclass
class ServingState:
    """Configuration and readiness that request threads read.

    The index is replaced as a whole, so that a reader sees one version.
    """

    index: ConfigurationIndex
    ready: bool = False
    draining: bool = False


class CallerApplication:
    """WSGI application that serves callers' requests.

    Args:
        instance: Id of the entry instance, part of request ids.
        serving_state: Configuration in force and readiness.
        dispatcher: Serves checked requests.
    """

    def __init__(
        self,
        instance: str,
        serving_state: ServingState,
        dispatcher: Dispatcher,
    ) -> None:
        """Stores the arguments."""
        self._instance = instance
        self._serving_state = serving_state
        self._dispatcher = dispatcher
        self._request_numbers = itertools.count(1)
        self._in_flight = 0
        self._lock = threading.Lock()

    @property
    def in_flight(self) -> int:
        """Number of requests that have begun and not ended."""
        return self._in_flight

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request (PEP 3333)."""
        with self._lock:
            self._in_flight += 1
        try:
            status, headers, body = self._answer(environ)
            if self._serving_state.draining:
                headers.append(("Connection", "close"))
            if environ["REQUEST_METHOD"] == "HEAD":
                body = b""
            elif status not in (204, 304):
                headers.append(("Content-Length", str(len(body))))
            reason = _REASON_PHRASES.get(status, "Status")
            start_response(f"{status} {reason}", headers)
            return [body] if body else []
        finally:
            with self._lock:
                self._in_flight -= 1

    def _answer(self, environ: dict[str, Any]) -> Response:
        request_id = f"{self._instance}-{next(self._request_numbers)}"
        if environ["PATH_INFO"] == "/healthz":
            return 200, [], b"ok\n"
        if environ["PATH_INFO"] == "/readyz":
            ready = (
                self._serving_state.ready and not self._serving_state.draining
            )
            return (200, [], b"ready\n") if ready else (503, [], b"not ready\n")
        if not self._serving_state.ready:
            return render(NotRun("not-ready", "", 503, 1.0), request_id)
        request = read_request(environ, self._serving_state.index, request_id)
        if isinstance(request, NotRun):
            return render(request, request_id)
        outcome = self._dispatcher.serve(request)
        if isinstance(outcome, Answer):
            headers = [*outcome.headers, ("X-Request-Id", request.request_id)]
            return outcome.status, headers, outcome.body
        return render(outcome, request.request_id)
