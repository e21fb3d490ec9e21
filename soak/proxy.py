"""Loopback proxy that delays, resets, silences or cuts connections."""

import asyncio
import contextlib
import threading
from enum import Enum

_CHUNK_BYTES = 65536

# Time between two looks at whether a held connection may go on, in seconds.
_LOOK_S = 0.01


class Fault(Enum):
    """What happens to the bytes of a proxy's connections."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ANSWERS_LOST = "answers lost"


class Proxy:
    """Forwards connections to one address.

    Args:
        loop: Loop that serves it, in a thread of its own.
        target: ``ip:port``.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, target: str) -> None:
        """Starts to listen on a free loopback port."""
        self._loop = loop
        self._target = target
        self._pairs: set[asyncio.StreamWriter] = set()
        self.fault = Fault.NONE
        self.delay_s = 0.0
        started = asyncio.run_coroutine_threadsafe(self._listen(), loop)
        self.address: str = started.result(5.0)

    def reset(self) -> None:
        """Resets all open connections."""
        self._loop.call_soon_threadsafe(self._abort)

    def _abort(self) -> None:
        for writer in self._pairs:
            writer.transport.abort()

    async def _listen(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, there[1]}
        self._pairs |= ends
        try:
            await asyncio.gather(
                self._pump(reader, there[1], answers=False),
                self._pump(there[0], writer, answers=True),
            )
        except OSError:
            # An end was reset, by a fault or by the other side.
            pass
        finally:
            self._pairs -= ends
            for end in ends:
                end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.fault is Fault.DELAY:
                await asyncio.sleep(self.delay_s)
            if answers and self.fault is Fault.ANSWERS_LOST:
                # Nothing further comes on this connection.
                await asyncio.Event().wait()
            while self.fault is Fault.SILENT:
                await asyncio.sleep(_LOOK_S)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class ProxyHost:
    """Runs the loop of all proxies in a thread."""

    def __init__(self) -> None:
        """Starts the thread."""
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def proxy(self, target: str) -> Proxy:
        """Starts a proxy."""
        return Proxy(self._loop, target)

    def close(self) -> None:
        """Ends all proxies."""
        self._loop.call_soon_threadsafe(self._loop.stop)
