"""Stand-in of the machines' interface for orders; its list is the rig's."""

import threading
from typing import Any

from standins.server import Answer, json_answer

# Longest wait for calls that have to be in flight together, in seconds.
_WAIT_S = 10.0


class JobMachines:
    """Answers moves only when some are in flight, and refuses upkeep.

    Args:
        together: Number of moves that have to be in flight.
    """

    def __init__(self, concurrent_moves: int) -> None:
        """Starts with no call."""
        self._meeting = threading.Barrier(concurrent_moves)

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Answer:
        """Serves one call."""
        del method, query, body, environ
        if path == "/v1/machine-upkeep":
            return json_answer(409, {"Reason": "wave"})
        self._meeting.wait(_WAIT_S)
        return json_answer(200, {})
