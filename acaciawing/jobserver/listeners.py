"""Listeners for readiness, for other instances and for metrics."""

import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from cheroot import wsgi

from acaciawing.jobserver.lookups import PATH, Lookups, encode_answer

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def serve(address: str, application: Application, threads: int) -> wsgi.Server:
    """Starts a listener with its own threads.

    Args:
        address: ``ip:port``.
        application: Serves the requests.
        threads: Number of requests served at the same time.
    """
    host, _, port = address.rpartition(":")
    server = wsgi.Server(
        (host, int(port)),
        application,
        numthreads=threads,
        request_queue_size=256,
        timeout=30,
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def readiness(is_ready: Callable[[], bool]) -> Application:
    """Returns the application of the balancer's checks."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status = "200 OK" if is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    return application


def peers(lookups: Lookups) -> Application:
    """Returns the application for other instances."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        query = {
            name: values[0]
            for name, values in parse_qs(environ["QUERY_STRING"]).items()
        }
        cell = query.get("cell", "")
        if environ["PATH_INFO"] != PATH or not cell.isdecimal():
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        answer = lookups.ask_here(
            int(cell), query.get("queue", ""), query.get("job", "")
        )
        body = encode_answer(answer)
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    return application
