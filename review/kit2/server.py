"""HTTP server for the stand-ins, of the standard library alone."""

import json
import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

RESET = struct.pack("ii", 1, 0)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, address, handler):
        self.connections = set()
        super().__init__(address, handler)

    def get_request(self):
        sock, address = super().get_request()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(sock)
        return sock, address

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Keeps quiet about connections that the other side has closed."""


def _make_handler(handle):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _serve(self):
            parts = urlsplit(self.path)
            size = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(size)
            if self.headers.get("Content-Type") == "application/json":
                body = json.loads(body or b"{}")
            answer = handle(
                self.command,
                parts.path,
                dict(parse_qsl(parts.query)),
                body,
                self.headers,
            )
            if answer is None:
                # No answer: the connection ends without a response.
                self.close_connection = True
                return
            status, content = answer
            if not isinstance(content, bytes):
                content = json.dumps(content).encode()
            head = (
                f"HTTP/1.1 {status} Status\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n"
            )
            self.wfile.write(head.encode() + content)

        do_GET = do_POST = _serve  # noqa: N815

        def log_message(self, *_):
            """Logs nothing."""

    return Handler


class Endpoint:
    """An address at which a stand-in answers, and which can go down.

    Args:
        host: Loopback address.
        port: Port.
        handle: Answers a request, given its method, path, query, body and
            headers; returns the status and the body, or None for no answer.
    """

    def __init__(self, host, port, handle):
        """Starts to listen."""
        self._address = (host, port)
        self._handle = handle
        self._server = None
        self.up()

    @property
    def address(self):
        """The address as ``ip:port``."""
        return f"{self._address[0]}:{self._address[1]}"

    def up(self):
        """Starts to listen."""
        self._server = _Server(self._address, _make_handler(self._handle))
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def down(self):
        """Stops to listen and resets all connections, as a crash does."""
        server, self._server = self._server, None
        if server is None:
            return
        server.shutdown()
        server.server_close()
        for sock in list(server.connections):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                continue
