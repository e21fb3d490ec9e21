"""Tests of the server of the stand-ins."""

import socket
from contextlib import ExitStack

from standins.server import make_server

# An instance opens about this many connections to the store when it starts.
_CONNECTIONS = 64

# As for an instance's connections to the store.
_CONNECT_TIMEOUT_S = 0.4


class TestBacklog:
    """Guards against instances that refuse requests because of the stand-in."""

    def test_connections_opened_at_once_are_not_dropped(self) -> None:
        server = make_server(
            "127.0.0.1", 0, lambda *_: (200, {}, b""), threads=1
        )
        # Listens without accepting, as while a burst arrives.
        server.prepare()
        with ExitStack() as stack:
            stack.callback(server.stop)
            for _ in range(_CONNECTIONS):
                connection = socket.create_connection(
                    server.bind_addr, _CONNECT_TIMEOUT_S
                )
                stack.enter_context(connection)
