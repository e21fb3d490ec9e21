"""Client of the platform's worker interface."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias
from urllib.parse import quote

import msgspec
import urllib3

from acaciawing.platform.listing import ListedInstance

_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.5)

# Statuses by which the interface says that it has not begun the operation.
_REFUSED = (400, 404, 409, 422, 429, 503)


@dataclass(frozen=True)
class OperationDone:
    """The operation has taken effect, now or at an earlier call of its id.

    Attributes:
        instance: The instance after it.
    """

    instance: ListedInstance


@dataclass(frozen=True)
class OperationNotDone:
    """The operation has provably not taken effect.

    Attributes:
        detail: What the interface or the client reported.
        gone: Whether the platform knows no such instance.
    """

    detail: str
    gone: bool = False


@dataclass(frozen=True)
class OperationUnknown:
    """The operation may have taken effect; a repeat with its id is safe."""

    detail: str


OperationOutcome: TypeAlias = (
    OperationDone | OperationNotDone | OperationUnknown
)


class Workers(Protocol):
    """What the tasks need of the interface; tests use an in-memory fake."""

    def drain(self, instance: str, operation_id: str) -> OperationOutcome:
        """Lets an instance refuse new work."""
        ...

    def reboot(self, instance: str, operation_id: str) -> OperationOutcome:
        """Restarts an instance."""
        ...

    def return_to(
        self, instance: str, pool: str, operation_id: str
    ) -> OperationOutcome:
        """Lets an instance serve in a pool."""
        ...

    def status(self, instance: str) -> OperationOutcome:
        """Reads an instance as it is now, without the lag of the list."""
        ...


class WorkerClient:
    """Client of the worker interface over HTTP with JSON.

    Each call that changes an instance names an operation id. The platform runs
    an id once, so a call whose answer was lost can be repeated.

    Args:
        base_url: For example ``http://192.0.2.1:7000``.
    """

    def __init__(self, base_url: str) -> None:
        """Keeps the address; connects on first use."""
        self._base_url = base_url.rstrip("/")
        self._http = urllib3.PoolManager(
            num_pools=1, timeout=_TIMEOUT, retries=False
        )
        self._decoder = msgspec.json.Decoder(ListedInstance)

    def drain(self, instance: str, operation_id: str) -> OperationOutcome:
        """Lets an instance refuse new work."""
        return self._post(instance, "drain", {"operation_id": operation_id})

    def reboot(self, instance: str, operation_id: str) -> OperationOutcome:
        """Restarts an instance; it stays off the list until it is returned."""
        return self._post(instance, "reboot", {"operation_id": operation_id})

    def return_to(
        self, instance: str, pool: str, operation_id: str
    ) -> OperationOutcome:
        """Lets an instance serve in a pool."""
        fields = {"operation_id": operation_id, "pool": pool}
        return self._post(instance, "return", fields)

    def status(self, instance: str) -> OperationOutcome:
        """Reads an instance as it is now.

        Returns:
            `OperationDone` with the instance, `OperationNotDone` with ``gone``
            if there is none, or `OperationUnknown`.
        """
        return self._call("GET", self._url(instance), None)

    def _url(self, instance: str) -> str:
        return f"{self._base_url}/v1/instances/{quote(instance, safe='')}"

    def _post(
        self, instance: str, operation: str, fields: dict[str, str]
    ) -> OperationOutcome:
        url = f"{self._url(instance)}/{operation}"
        return self._call("POST", url, msgspec.json.encode(fields))

    def _call(
        self, method: str, url: str, body: bytes | None
    ) -> OperationOutcome:
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._http.request(method, url, body=body, headers=headers)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return OperationNotDone(str(error))
        except urllib3.exceptions.HTTPError as error:
            return OperationUnknown(str(error))
        detail = f"status {answer.status}"
        if answer.status in _REFUSED:
            return OperationNotDone(detail, gone=answer.status == 404)
        if answer.status != 200:
            return OperationUnknown(detail)
        try:
            return OperationDone(self._decoder.decode(answer.data))
        except msgspec.DecodeError as error:
            return OperationUnknown(f"answer not understood: {error}")
