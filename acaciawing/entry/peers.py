"""HTTP client for requests from one entry instance to another."""

import urllib3

from acaciawing.fold import FleetState
from acaciawing.snapshots import Undecodable, decode_state

# Peers are a few milliseconds away; longer time-outs would delay gossip rounds.
_TIMEOUT = urllib3.Timeout(connect=0.3, read=1.0)


class PeerClient:
    """Client of the administration listeners of other entry instances.

    Args:
        credential: Shared secret of the entry instances.
    """

    def __init__(self, credential: str) -> None:
        """Stores the credential; connects on first use."""
        self._headers = {"Authorization": f"Bearer {credential}"}
        self._http = urllib3.PoolManager(
            num_pools=32, timeout=_TIMEOUT, retries=False
        )

    def state(self, address: str) -> FleetState | None:
        """Returns a peer's state of the fold, or None if it sends none.

        Args:
            address: ``ip:port`` of the peer's administration listener.
        """
        body = self._call("GET", address, "/v1/peer/state", None)
        if body is None:
            return None
        state = decode_state(body, FleetState)
        return None if isinstance(state, Undecodable) else state

    def send(self, address: str, path: str, payload: bytes) -> bytes | None:
        """Sends a message; returns the answer, or None if there is none.

        Args:
            address: ``ip:port`` of the peer's administration listener.
            path: For example ``/v1/peer/gossip``.
            payload: The message as JSON.
        """
        return self._call("POST", address, path, payload)

    def _call(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> bytes | None:
        try:
            answer = self._http.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=self._headers,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return answer.data if answer.status == 200 else None
