"""HTTP listeners and the applications for readiness and for other instances."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from cheroot import wsgi

from acaciawing.decoding import DECODE_ERRORS
from acaciawing.jobserver.peers import (
    JOBS_PATH,
    REPORT_PATH,
    CellReportRequest,
    JobStateRequest,
    Peers,
)

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

# A stopping listener waits this long for requests in flight.
_SHUTDOWN_TIMEOUT_S = 1


def serve(address: str, application: Application, threads: int) -> wsgi.Server:
    """Starts a listener with its own thread pool.

    Args:
        address: ``ip:port``.
        application: WSGI application that serves the requests.
        threads: Maximum number of requests served concurrently.
    """
    host, _, port = address.rpartition(":")
    server = wsgi.Server(
        (host, int(port)),
        application,
        numthreads=threads,
        request_queue_size=256,
        timeout=30,
    )
    server.shutdown_timeout = _SHUTDOWN_TIMEOUT_S
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def readiness_application(is_ready: Callable[[], bool]) -> Application:
    """Returns the application for the balancer's readiness checks."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status = "200 OK" if is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    return application


def peer_application(peers: Peers) -> Application:
    """Returns the application that serves other instances."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        status, answer = "200 OK", b""
        try:
            if environ["PATH_INFO"] == JOBS_PATH:
                job_request = msgspec.json.decode(body, type=JobStateRequest)
                answer = msgspec.json.encode(peers.local_job_state(job_request))
            elif environ["PATH_INFO"] == REPORT_PATH:
                report_request = msgspec.json.decode(
                    body, type=CellReportRequest
                )
                answer = msgspec.json.encode(
                    peers.local_cell_report(report_request)
                )
            else:
                status = "404 Not Found"
        except DECODE_ERRORS:
            status = "400 Bad Request"
        start_response(
            status,
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(answer))),
            ],
        )
        return [answer]

    return application
