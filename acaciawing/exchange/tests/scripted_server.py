"""Raw TCP server that runs one script per accepted connection."""

import socket
import struct
import threading
from collections.abc import Callable, Sequence

Script = Callable[["Peer"], None]


class Peer:
    """The server's side of one connection."""

    def __init__(self, sock: socket.socket) -> None:
        """Wraps an accepted socket."""
        self._sock = sock
        self.requests: list[bytes] = []

    def read(self) -> bytes:
        """Reads one request with an optional Content-Length body."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = self._sock.recv(4096)
            if not part:
                raise ConnectionError
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += self._sock.recv(4096)
        self.requests.append(head + b"\r\n\r\n" + body)
        return self.requests[-1]

    def read_some(self) -> None:
        """Reads the first bytes of a request."""
        self._sock.recv(10)

    def await_first_byte(self) -> None:
        """Waits for the first byte of a request and leaves it unread."""
        self._sock.recv(1, socket.MSG_PEEK)

    def write(self, data: bytes) -> None:
        self._sock.sendall(data)

    def reset(self) -> None:
        """Closes with RST instead of FIN."""
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._sock.close()

    def half_close(self) -> None:
        self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self._sock.close()

    def wait_closed(self) -> None:
        """Waits until the client closes the connection."""
        try:
            while self._sock.recv(4096):
                pass
        except OSError:
            pass


class ScriptedServer:
    """Accepts one connection per script, in order, each in a thread."""

    def __init__(self, scripts: Sequence[Script]) -> None:
        """Listens on a free loopback port."""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.peers: list[Peer] = []
        self._threads: list[threading.Thread] = []
        self._acceptor = threading.Thread(
            target=self._accept, args=(tuple(scripts),), daemon=True
        )
        self._acceptor.start()

    def __enter__(self) -> "ScriptedServer":
        """Returns the server."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Closes the listener and joins all threads."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._acceptor.join(5)
        for thread in self._threads:
            thread.join(5)

    @property
    def requests(self) -> list[bytes]:
        return [r for peer in self.peers for r in peer.requests]

    def _accept(self, scripts: tuple[Script, ...]) -> None:
        for script in scripts:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.settimeout(5)
            peer = Peer(sock)
            self.peers.append(peer)
            thread = threading.Thread(
                target=self._run_script, args=(script, peer), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    @staticmethod
    def _run_script(script: Script, peer: Peer) -> None:
        try:
            script(peer)
        except OSError:
            pass
        finally:
            peer.close()
