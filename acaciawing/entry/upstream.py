"""Thin exchange with an endpoint, until the exchange package lands."""

from dataclasses import dataclass

import urllib3

_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
}


@dataclass(frozen=True)
class Answer:
    """A whole answer of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    leaving: bool


@dataclass(frozen=True)
class Failed:
    """No whole answer; ``sent`` tells whether the request may have run."""

    sent: bool
    detail: str


class Upstream:
    """Sends requests to endpoints; one object a request thread."""

    def __init__(self) -> None:
        """Connects on first use."""
        self._http = urllib3.PoolManager(num_pools=64, retries=False)

    def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_s: float,
    ) -> Answer | Failed:
        """Sends one request and reads the whole answer."""
        fields = {k: v for k, v in headers if k.lower() not in _HOP}
        fields["X-Request-Timeout"] = f"{timeout_s:.3f}"
        try:
            answer = self._http.request(
                method,
                f"http://{address}{target}",
                body=body or None,
                headers=fields,
                timeout=urllib3.Timeout(connect=0.5, read=timeout_s),
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return Failed(False, str(error))
        except urllib3.exceptions.HTTPError as error:
            return Failed(True, str(error))
        if answer.headers.get("Acaciawing-Outcome") == "not-run":
            return Failed(False, "endpoint said not run")
        kept = tuple(
            (k, v) for k, v in answer.headers.items() if k.lower() not in _HOP
        )
        leaving = answer.headers.get("Acaciawing-Endpoint") == "leaving"
        return Answer(answer.status, kept, answer.data, leaving)
