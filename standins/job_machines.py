"""Stand-in for the platform's machine operations: moves and maintenance.

The list of machines is served by `PlatformHarness`.
"""

import threading
from typing import Any

from standins.server import Response, json_response

# Maximum wait for the required moves to be in flight at the same time.
_BARRIER_TIMEOUT_S = 10.0


class JobMachines:
    """Refuses maintenance, and answers a move once enough are in flight.

    Args:
        concurrent_moves: Number of moves that have to be in flight at the
            same time before any of them is answered.
    """

    def __init__(self, concurrent_moves: int) -> None:
        """Starts with no request in flight."""
        self._barrier = threading.Barrier(concurrent_moves)

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        """Handles one HTTP request."""
        del method, query, body, environ
        if path == "/v1/machine-upkeep":
            return json_response(409, {"Reason": "wave"})
        self._barrier.wait(_BARRIER_TIMEOUT_S)
        return json_response(200, {})
