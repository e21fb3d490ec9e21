"""Raw HTTP over a real socket, for requests that HTTP libraries can't send."""

import socket
import threading
from collections.abc import Callable, Iterable
from contextlib import contextmanager
from typing import Any

from acaciawing.entry.framing import make_server


def echo_application(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    """Returns the number of body bytes that it read."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    answer = b"%d" % len(body)
    start_response("200 OK", [("Content-Length", str(len(answer)))])
    return [answer]


@contextmanager
def running(application: Any) -> Any:
    """Runs a server on a free loopback port and yields its address."""
    server = make_server(("127.0.0.1", 0), application, 4)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server.bind_addr
    finally:
        server.stop()
        thread.join(5)


def exchange(address: tuple[str, int], data: bytes) -> bytes:
    """Sends bytes, shuts down the sending side and reads until the close."""
    with socket.create_connection(address, timeout=5) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        received = b""
        while block := connection.recv(65536):
            received += block
        return received
