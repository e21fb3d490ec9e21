"""Loopback TCP proxy with delays, silence, lost answers and resets."""

import asyncio
import contextlib
import threading
from enum import Enum

_CHUNK_BYTES = 65536

# Interval at which a silenced connection checks whether the fault has ended.
_SILENCE_POLL_S = 0.01


class Fault(Enum):
    """Fault that a proxy applies to the data of its connections.

    Attributes:
        NONE: All data passes.
        DELAY: Each chunk is delayed.
        SILENT: Nothing passes until the fault ends; connections are opened.
        ANSWERS_LOST: Requests pass, and no answer does.
        HELD: No connection is opened and nothing passes until the fault ends;
            orders of callers that have given up are then passed on late.
        CUT: Nothing passes, and what was sent meanwhile is lost for good.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ANSWERS_LOST = "answers lost"
    HELD = "held"
    CUT = "cut"


class Proxy:
    """Forwards connections to one address.

    Args:
        loop: Event loop that serves the proxy, in a separate thread.
        target: Address to forward to, as ``ip:port``.

    Attributes:
        fault: Current fault.
        delay_s: Delay of each chunk under `Fault.DELAY`, in seconds.
        address: Listening address, as ``ip:port``.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, target: str) -> None:
        """Listens on a free loopback port."""
        self._loop = loop
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self.fault = Fault.NONE
        self.delay_s = 0.0
        started = asyncio.run_coroutine_threadsafe(self._listen(), loop)
        self.address: str = started.result(5.0)

    def reset(self) -> None:
        """Resets all open connections."""
        self._loop.call_soon_threadsafe(self._abort_connections)

    def _abort_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _listen(self) -> str:
        # Ports of an address that soak runs share may be used again by another
        # run, whose instances would then join this one.
        host, _, _ = self._target.rpartition(":")
        server = await asyncio.start_server(self._serve, host, 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        held = False
        while self.fault is Fault.HELD:
            held = True
            await asyncio.sleep(_SILENCE_POLL_S)
        if self.fault is Fault.CUT:
            await _discard(reader)
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, upstream[1]}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, upstream[1], answers=False, held=held),
                self._forward(upstream[0], writer, answers=True),
            )
        except OSError:
            # The connection was reset, by a fault or by a peer.
            pass
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
        held: bool = False,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            held = held or self.fault is Fault.HELD
            if self.fault is Fault.DELAY:
                await asyncio.sleep(self.delay_s)
            if answers and self.fault is Fault.ANSWERS_LOST:
                # Withholds this and all further answers of the connection.
                await _discard(reader)
                raise ConnectionResetError
            if self.fault is Fault.CUT:
                await _discard(reader)
                raise ConnectionResetError
            while self.fault in (Fault.SILENT, Fault.HELD):
                await asyncio.sleep(_SILENCE_POLL_S)
            if held and reader.at_eof() and data.startswith(b"GET "):
                # A late read changes nothing, and its caller has given up.
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(_CHUNK_BYTES):
            pass


class ProxyHost:
    """Runs the event loop of all proxies in a thread."""

    def __init__(self) -> None:
        """Starts the thread."""
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def proxy(self, target: str) -> Proxy:
        """Starts a proxy."""
        return Proxy(self._loop, target)

    def close(self) -> None:
        """Stops all proxies."""
        self._loop.call_soon_threadsafe(self._loop.stop)
