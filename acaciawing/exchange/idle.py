"""Pool of idle connections to endpoints, shared by the request threads.

A thread owns a connection between `acquire` and `release`. With separate
connections for each thread, 64 threads and 30 endpoints almost never reused one,
so most requests opened a new connection.
"""

import threading
from collections import OrderedDict

from acaciawing.exchange.connection import EndpointConnection

# Endpoints close idle connections after about 10 s. With a much shorter limit a
# request rarely uses a connection that the endpoint is closing.
MAX_IDLE_S = 3.0


class IdleConnections:
    """Connections that no exchange uses; safe for several threads.

    Args:
        total: Maximum number of idle connections.
        per_endpoint: Maximum number of idle connections to one endpoint. The
            entry instances share the slots of an endpoint, so 9 instances
            together use at most its 8 slots and 9 times this many of its 64
            connections.
    """

    def __init__(self, total: int = 256, per_endpoint: int = 4) -> None:
        """Starts empty."""
        self._total = total
        self._per_endpoint = per_endpoint
        self._lock = threading.Lock()
        self._count = 0
        # Addresses in order of last use. The newest connection to an address is
        # reused first, so that unneeded ones expire.
        self._idle: OrderedDict[str, list[EndpointConnection]] = OrderedDict()

    def acquire(self, address: str, now: float) -> EndpointConnection | None:
        """Removes and returns a usable connection, or None if there is none.

        Args:
            address: ``ip:port`` of the endpoint.
            now: Monotonic time in seconds.
        """
        with self._lock:
            idle = self._idle.get(address, [])
            connection = idle.pop() if idle else None
            self._count -= connection is not None
            expired = self._remove_expired(idle, now)
        _close(expired)
        if connection is None:
            return None
        if is_fresh(connection, now) and connection.is_connected:
            return connection
        connection.close()
        return None

    def release(self, address: str, connection: EndpointConnection) -> None:
        """Returns a connection to the pool; its ``idle_since`` must be set."""
        with self._lock:
            self._idle.setdefault(address, []).append(connection)
            self._idle.move_to_end(address)
            self._count += 1
            excess = self._remove_excess(address)
        _close(excess)

    def close_idle(self, now: float) -> None:
        """Closes connections that were idle for too long."""
        with self._lock:
            expired = [
                connection
                for idle in self._idle.values()
                for connection in self._remove_expired(idle, now)
            ]
            for address in [a for a, idle in self._idle.items() if not idle]:
                del self._idle[address]
        _close(expired)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            connections = [c for idle in self._idle.values() for c in idle]
            self._idle.clear()
            self._count = 0
        _close(connections)

    def _remove_expired(
        self, idle: list[EndpointConnection], now: float
    ) -> list[EndpointConnection]:
        expired = []
        while idle and not is_fresh(idle[0], now):
            expired.append(idle.pop(0))
        self._count -= len(expired)
        return expired

    def _remove_excess(self, address: str) -> list[EndpointConnection]:
        removed = []
        if len(self._idle[address]) > self._per_endpoint:
            removed.append(self._idle[address].pop(0))
            self._count -= 1
        while self._count > self._total:
            oldest = next(a for a, idle in self._idle.items() if idle)
            removed.append(self._idle[oldest].pop(0))
            self._count -= 1
        return removed


def is_fresh(connection: EndpointConnection, now: float) -> bool:
    """Whether a connection has been idle for less than `MAX_IDLE_S`."""
    return now - connection.idle_since < MAX_IDLE_S


def _close(connections: list[EndpointConnection]) -> None:
    for connection in connections:
        connection.close()
