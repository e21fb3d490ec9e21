"""HTTP listeners with strict request framing.

cheroot uses the last of two Content-Length headers and accepts a length
together with chunked coding. Both let a caller smuggle a second request past
one of two parsers (RFC 9112 sections 6.1 and 11.2), so such requests are
refused with 400.
"""

from typing import Any

from cheroot import server as cheroot_server

from acaciawing.entry.slow_senders import DeadlineReader, FirstByteServer

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024
IDLE_TIMEOUT_S = 10
_MAX_KEEPALIVE_CONNECTIONS = 512

_UNREPEATABLE_FIELDS = {b"Content-Length", b"Transfer-Encoding", b"Host"}


class _StrictHeaders(dict[bytes, bytes]):
    """Header fields; raises ValueError for a repeated framing field."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _UNREPEATABLE_FIELDS and name in self:
            raise ValueError(f"repeated header {name.decode('latin-1')}")
        super().__setitem__(name, value)


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Reads header fields and refuses conflicting framing."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Reads the fields of one request.

        Args:
            rfile: Buffered reader of the connection.
            hdict: Receives the fields, or None for a new mapping.

        Returns:
            The fields by title-case name.

        Raises:
            ValueError: If the framing is conflicting or malformed; cheroot
                answers 400 and closes the connection.
        """
        fields: dict[bytes, bytes] = super().__call__(rfile, _StrictHeaders())
        length = fields.get(b"Content-Length")
        if length is not None and not length.isdigit():
            raise ValueError("Content-Length is not a number")
        if length is not None and b"Transfer-Encoding" in fields:
            raise ValueError("Content-Length together with Transfer-Encoding")
        target = {} if hdict is None else hdict
        target.update(fields)
        return target

    def _allow_header(self, key_name: bytes) -> bool:
        # WSGI maps "X_Customer" and "X-Customer" to one name, so a caller
        # could set a header that only the entry instance may set.
        return b"_" not in key_name

    def _transform_key(self, key_name: bytes) -> bytes:
        if key_name != key_name.strip():
            raise ValueError("white space around a header name")
        return bytes(key_name.title())


class _Request(cheroot_server.HTTPRequest):
    header_reader = StrictHeaderReader()

    def send_headers(self) -> None:
        # cheroot drains an unread body only if it has a Content-Length. The
        # rest of a chunked body and its trailers would be parsed as the next
        # request, so the connection is closed.
        if self.chunked_read:
            self.close_connection = True
        super().send_headers()


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: Any, makefile: Any) -> None:
        super().__init__(server, sock, makefile)
        self.rfile = DeadlineReader(sock, self.rbufsize)

    def communicate(self) -> bool:
        self.rfile.begin_request()
        keep_alive: bool = super().communicate()  # type: ignore[no-untyped-call]
        return keep_alive


def make_server(address: tuple[str, int], app: Any, threads: int) -> Any:
    """Returns an HTTP server that is not started.

    Args:
        address: IP number and port.
        app: WSGI application.
        threads: Request threads.

    Returns:
        The cheroot server.
    """
    server = FirstByteServer(
        address, app, numthreads=threads, request_queue_size=256
    )
    server.ConnectionClass = _Connection
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = MAX_BODY_BYTES
    server.timeout = IDLE_TIMEOUT_S
    server.keep_alive_conn_limit = _MAX_KEEPALIVE_CONNECTIONS
    server.server_name = "acaciawing"
    return server
