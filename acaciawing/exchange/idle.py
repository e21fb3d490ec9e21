"""Idle connections to endpoints, shared by the request threads.

A thread owns a connection from `acquire` to `release`. With connections kept for each
thread, 64 threads and 30 endpoints nearly never met an endpoint's connection
again, so most requests paid for a new one.
"""

import threading
from collections import OrderedDict

from acaciawing.exchange.connection import EndpointConnection

# Endpoints close idle connections after about 10 s. Staying well below makes
# it rare that a request meets a connection that is being closed.
MAX_IDLE_S = 3.0


class IdleConnections:
    """Connections that no exchange uses; safe for several threads.

    Args:
        total: Idle connections kept in total.
        per_endpoint: Idle connections kept for one endpoint. Slots in flight at
            an endpoint are divided among the entry instances, so 9 instances
            hold at most its 8 slots and 9 times this many of its 64
            connections.
    """

    def __init__(self, total: int = 256, per_endpoint: int = 4) -> None:
        """Starts empty."""
        self._total = total
        self._per_endpoint = per_endpoint
        self._lock = threading.Lock()
        self._count = 0
        # Addresses in order of last use; of one address the newest is reused,
        # so that surplus ones age and close.
        self._idle: OrderedDict[str, list[EndpointConnection]] = OrderedDict()

    def acquire(self, address: str, now: float) -> EndpointConnection | None:
        """Takes a usable connection, or None if there is none.

        Args:
            address: ``ip:port`` of the endpoint.
            now: Monotonic time in seconds.
        """
        with self._lock:
            idle = self._idle.get(address, [])
            connection = idle.pop() if idle else None
            self._count -= connection is not None
            old = self._expired(idle, now)
        _close(old)
        if connection is None:
            return None
        if is_fresh(connection, now) and connection.is_connected:
            return connection
        connection.close()
        return None

    def release(self, address: str, connection: EndpointConnection) -> None:
        """Gives back a connection whose ``idle_since`` is set."""
        with self._lock:
            self._idle.setdefault(address, []).append(connection)
            self._idle.move_to_end(address)
            self._count += 1
            surplus = self._surplus(address)
        _close(surplus)

    def close_idle(self, now: float) -> None:
        """Closes connections that were idle for too long."""
        with self._lock:
            old = [
                connection
                for idle in self._idle.values()
                for connection in self._expired(idle, now)
            ]
            for address in [a for a, idle in self._idle.items() if not idle]:
                del self._idle[address]
        _close(old)

    def close(self) -> None:
        """Closes all."""
        with self._lock:
            every = [c for idle in self._idle.values() for c in idle]
            self._idle.clear()
            self._count = 0
        _close(every)

    def _expired(
        self, idle: list[EndpointConnection], now: float
    ) -> list[EndpointConnection]:
        old = []
        while idle and not is_fresh(idle[0], now):
            old.append(idle.pop(0))
        self._count -= len(old)
        return old

    def _surplus(self, address: str) -> list[EndpointConnection]:
        found = []
        if len(self._idle[address]) > self._per_endpoint:
            found.append(self._idle[address].pop(0))
            self._count -= 1
        while self._count > self._total:
            oldest = next(a for a, idle in self._idle.items() if idle)
            found.append(self._idle[oldest].pop(0))
            self._count -= 1
        return found


def is_fresh(connection: EndpointConnection, now: float) -> bool:
    """Whether a connection was idle for a short enough time to be reused."""
    return now - connection.idle_since < MAX_IDLE_S


def _close(connections: list[EndpointConnection]) -> None:
    for connection in connections:
        connection.close()
