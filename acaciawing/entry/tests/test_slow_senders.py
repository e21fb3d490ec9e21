"""Tests of the protection against slow senders."""

import socket

import pytest
from cheroot import wsgi

from acaciawing.entry.slow_senders import REQUEST_READ_TIMEOUT_S, DeadlineInput
from acaciawing.entry.tests.raw_http import (
    echo_application,
    exchange,
    running,
)

_REQUEST = b"GET / HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n"


class TestIdleConnections:
    """Guards against idle connections that occupy all request threads."""

    def test_idle_connections_do_not_delay_a_request(self) -> None:
        with running(echo_application) as address:
            idle = [
                socket.create_connection(address, timeout=5) for _ in range(12)
            ]
            received = exchange(address, _REQUEST)
            for connection in idle:
                connection.close()
        assert received.startswith(b"HTTP/1.1 200")

    def test_cheroot_assigns_a_thread_to_an_idle_connection(self) -> None:
        """Shows the fault of cheroot that `FirstByteServer` avoids."""
        server = wsgi.Server(("127.0.0.1", 0), echo_application, numthreads=4)
        assigned: list[object] = []
        server.requests.put = assigned.append
        client, server_side = socket.socketpair()
        connection = server.ConnectionClass(server, server_side)
        server.process_conn(connection)
        client.close()
        assert assigned == [connection]

    def test_buffered_pipelined_request_is_served(self) -> None:
        """Guards against a wait for bytes that are buffered already."""
        first = b"GET / HTTP/1.1\r\nHost: e\r\n\r\n"
        with running(echo_application) as address:
            received = exchange(address, first + _REQUEST)
        assert received.count(b"HTTP/1.1 200") == 2


class TestSlowSender:
    """Guards against senders that occupy a thread with single bytes."""

    def test_all_reads_of_a_request_share_one_deadline(self) -> None:
        now = [0.0]
        client, server_side = socket.socketpair()
        with client, server_side:
            source = DeadlineInput(server_side, lambda: now[0])
            source.begin_request()
            for elapsed in range(int(REQUEST_READ_TIMEOUT_S)):
                now[0] = float(elapsed)
                client.send(b"x")
                assert source.readinto(bytearray(1)) == 1
            client.send(b"x")
            now[0] = REQUEST_READ_TIMEOUT_S
            with pytest.raises(TimeoutError):
                source.readinto(bytearray(1))
            source.begin_request()
            assert source.readinto(bytearray(1)) == 1
