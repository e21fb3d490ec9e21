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

_REASONS = {200: "OK", 201: "Created", 204: "No Content", 404: "Not Found"}

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
        dispatcher: Serves checked requests.
    """

    def __init__(
        self,
        instance: str,
        directory: Directory,
        dispatcher: Dispatcher,
    ) -> None:
        """Keeps the arguments."""
        self._instance = instance
        self._directory = directory
        self._dispatcher = dispatcher
        self._numbers = itertools.count(1)
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
        outcome = self._dispatcher.serve(request)
        if isinstance(outcome, Answer):
            headers = [*outcome.headers, ("X-Request-Id", request.request_id)]
            return outcome.status, headers, outcome.body
        return render(outcome, request.request_id)
