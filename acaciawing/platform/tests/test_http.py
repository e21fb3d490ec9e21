"""Tests of the platform's connection against a scripted listener."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from acaciawing.platform.http import (
    Answered,
    Connection,
    NoAnswer,
    NotSent,
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
def listener(*scripts: Script) -> Iterator[str]:
    """Runs one script for each accepted connection, in order."""
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


def _answers(*answers: bytes) -> Script:
    def script(peer: socket.socket) -> None:
        for answer in answers:
            if _read_request(peer):
                peer.sendall(answer)

    return script


class TestConnection:
    """Guards against wrong claims about whether a call was executed."""

    def test_one_connection_carries_several_calls(self) -> None:
        with listener(_answers(_OK, _OK)) as address:
            connection = Connection(address)
            for _ in range(2):
                result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
                assert result == Answered(200, b"ok")
            connection.close()

    def test_a_connection_closed_while_idle_is_opened_again(self) -> None:
        # Sending on it would leave open whether the call was executed.
        with listener(_answers(_OK), _answers(_OK)) as address:
            connection = Connection(address)
            connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            time.sleep(0.1)
            result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            assert result == Answered(200, b"ok")
            connection.close()

    def test_an_answer_that_ends_the_connection_is_not_reused(self) -> None:
        last = _OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        stay = threading.Event()

        def open_after_answer(peer: socket.socket) -> None:
            _answers(last)(peer)
            stay.wait(_TIMEOUT_S)

        with listener(open_after_answer) as address:
            connection = Connection(address)
            result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            assert result == Answered(200, b"ok")
            assert connection._socket is None
            stay.set()

    def test_an_answer_in_chunks_after_an_interim_one(self) -> None:
        answer = (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nno\r\n1\r\n!\r\n0\r\n\r\n"
        )
        with listener(_answers(answer)) as address:
            connection = Connection(address)
            result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
            assert result == Answered(503, b"no!")
            connection.close()

    def test_a_broken_answer_leaves_the_call_open(self) -> None:
        for answer in (b"", _OK[:-1], b"SPDY/9 what\r\n\r\n"):
            with listener(_answers(answer)) as address:
                connection = Connection(address)
                result = connection.call("GET", "/", timeout_s=_TIMEOUT_S)
                assert isinstance(result, NoAnswer), answer

    def test_the_deadline_spans_an_answer_that_trickles(self) -> None:
        # A limit for each read would never end here.
        done = threading.Event()

        def trickle(peer: socket.socket) -> None:
            _read_request(peer)
            for byte in _OK[:-1] * 100:
                if done.wait(0.02):
                    return
                peer.sendall(bytes([byte]))

        with listener(trickle) as address:
            connection = Connection(address)
            began = time.monotonic()
            result = connection.call("GET", "/", timeout_s=0.3)
            took_s = time.monotonic() - began
            done.set()
            assert isinstance(result, NoAnswer)
            assert took_s >= 0.29

    def test_a_port_without_a_listener_was_never_called(self) -> None:
        with listener() as address:
            pass
        result = Connection(address).call("GET", "/", timeout_s=_TIMEOUT_S)
        assert isinstance(result, NotSent)
        assert result.refused
