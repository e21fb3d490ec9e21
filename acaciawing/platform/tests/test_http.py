"""Tests of the HTTP connection against a scripted server."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from acaciawing.platform.http import (
    Connection,
    NotSent,
    OutcomeUnknown,
    Response,
)

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_TIMEOUT_S = 5.0

Script = Callable[[socket.socket], None]


def _read_request(peer: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = peer.recv(65536)
        if not chunk:
            return data
        data += chunk
    return data


@contextmanager
def run_server(*scripts: Script) -> Iterator[str]:
    """Runs a server that handles its n-th connection with the n-th script."""
    server = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        for script in scripts:
            try:
                peer, _ = server.accept()
            except OSError:
                return
            with peer:
                script(peer)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{server.getsockname()[1]}"
    finally:
        server.close()
        thread.join(_TIMEOUT_S)


def _respond(*responses: bytes) -> Script:
    def script(peer: socket.socket) -> None:
        for response in responses:
            if _read_request(peer):
                peer.sendall(response)

    return script


class TestConnection:
    """Guards against calls wrongly reported as executed or not executed."""

    def test_connection_is_reused_for_several_calls(self) -> None:
        with run_server(_respond(_OK, _OK)) as address:
            connection = Connection(address)
            for _ in range(2):
                result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
                assert result == Response(200, b"ok")
            connection.close()

    def test_connection_closed_while_idle_is_reopened(self) -> None:
        # A call sent over the closed connection would have an unknown outcome.
        with run_server(_respond(_OK), _respond(_OK)) as address:
            connection = Connection(address)
            connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            time.sleep(0.1)
            result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            assert result == Response(200, b"ok")
            connection.close()

    def test_connection_is_not_reused_after_connection_close(self) -> None:
        last = _OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        finished = threading.Event()

        def keep_open_after_response(peer: socket.socket) -> None:
            _respond(last)(peer)
            finished.wait(_TIMEOUT_S)

        with run_server(keep_open_after_response) as address:
            connection = Connection(address)
            result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            assert result == Response(200, b"ok")
            assert connection._socket is None
            finished.set()

    def test_chunked_response_after_an_interim_response(self) -> None:
        response = (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nno\r\n1\r\n!\r\n0\r\n\r\n"
        )
        with run_server(_respond(response)) as address:
            connection = Connection(address)
            result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            assert result == Response(503, b"no!")
            connection.close()

    def test_outcome_is_unknown_after_a_malformed_response(self) -> None:
        for response in (b"", _OK[:-1], b"SPDY/9 what\r\n\r\n"):
            with run_server(_respond(response)) as address:
                connection = Connection(address)
                result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
                assert isinstance(result, OutcomeUnknown), response

    def test_deadline_covers_the_whole_response_of_a_slow_sender(self) -> None:
        # A timeout for each single read would never expire here.
        finished = threading.Event()

        def send_slowly(peer: socket.socket) -> None:
            _read_request(peer)
            for byte in _OK[:-1] * 100:
                if finished.wait(0.02):
                    return
                peer.sendall(bytes([byte]))

        with run_server(send_slowly) as address:
            connection = Connection(address)
            started_at = time.monotonic()
            result = connection.call("GET", "/", timeout_s=0.3)
            duration_s = time.monotonic() - started_at
            finished.set()
            assert isinstance(result, OutcomeUnknown)
            assert duration_s >= 0.29

    def test_refused_connection_means_not_sent(self) -> None:
        with run_server() as address:
            pass
        result = Connection(address).call("GET", "/", timeout_s=_TIMEOUT_S)
        assert isinstance(result, NotSent)
        assert result.refused
