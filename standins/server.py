"""HTTP server of the stand-ins, in a thread or as a process."""

import json
import signal
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from cheroot import wsgi

StartResponse = Callable[..., Any]
Response = tuple[int, dict[str, str], bytes]
Handler = Callable[[str, str, dict[str, str], bytes, dict[str, Any]], Response]

# Maximum number of connections that wait to be accepted. When more are opened at
# once, the kernel drops their first packets, and clients time out.
LISTEN_BACKLOG = 256

_REASON_PHRASES = {
    200: "OK",
    201: "Created",
    304: "Not Modified",
    404: "Not Found",
    410: "Gone",
}


def json_response(status: int, body: object, **headers: str) -> Response:
    """Builds a JSON response; ``_`` in header names becomes ``-``."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    fields["Content-Type"] = "application/json"
    return status, fields, json.dumps(body).encode()


def wsgi_application(handler: Handler) -> Any:
    """Builds a WSGI application from a handler.

    The handler gets ``(method, path, query, body, environ)``.
    """

    def application(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        query = dict(
            part.partition("=")[::2]
            for part in environ.get("QUERY_STRING", "").split("&")
            if part
        )
        body = environ["wsgi.input"].read() if _has_body(environ) else b""
        status, headers, content = handler(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            query,
            body,
            environ,
        )
        if status != 304:
            headers["Content-Length"] = str(len(content))
        start_response(
            f"{status} {_REASON_PHRASES.get(status, 'Status')}",
            list(headers.items()),
        )
        return [content]

    return application


def make_server(
    host: str, port: int, handler: Handler, threads: int
) -> wsgi.Server:
    """Builds the server of a stand-in; it does not listen yet."""
    return wsgi.Server(
        (host, port),
        wsgi_application(handler),
        numthreads=threads,
        request_queue_size=LISTEN_BACKLOG,
    )


@contextmanager
def serving(handler: Handler, threads: int = 4) -> Iterator[str]:
    """Serves a handler on a free loopback port; yields its ``ip:port``."""
    server = make_server("127.0.0.1", 0, handler, threads)
    server.shutdown_timeout = 1
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    host, port = server.bind_addr
    try:
        yield f"{host}:{port}"
    finally:
        server.stop()
        thread.join(5)


def _has_body(environ: dict[str, Any]) -> bool:
    return bool(
        environ.get("CONTENT_LENGTH") or environ.get("HTTP_TRANSFER_ENCODING")
    )


def serve(host: str, port: int, handler: Handler, threads: int) -> None:
    """Serves a handler until SIGTERM or SIGINT."""
    server = make_server(host, port, handler, threads)
    server.shutdown_timeout = 2

    def stop(*_: object) -> None:
        threading.Thread(target=server.stop, daemon=True).start()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    server.start()
