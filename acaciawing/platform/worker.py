"""Client of the platform's interface to its instances and their tasks."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any, Protocol, TypeAlias
from urllib.parse import quote

import msgspec
import urllib3

from acaciawing.decoding import DECODE_ERRORS
from acaciawing.platform.listing import ListedInstance

# An instance that runs tasks, called a worker, stops them when it receives no
# task call for this time. Thus an unreachable worker has stopped its tasks
# before their leases in the log expire (`acaciawing.placement.LEASE_S`).
TASK_CONTACT_TIMEOUT_S = 600.0

_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.5)

# Statuses that the interface sends only if the operation has not started.
_NOT_STARTED_STATUSES = (400, 404, 409, 422, 429, 503)


@dataclass(frozen=True)
class OperationDone:
    """The operation has taken effect.

    It may have done so by an earlier call with the same operation id.

    Attributes:
        instance: State of the instance after the operation.
    """

    instance: ListedInstance


@dataclass(frozen=True)
class OperationNotDone:
    """The operation has certainly not taken effect.

    Attributes:
        detail: Error reported by the interface or by the HTTP client.
        instance_unknown: Whether the platform doesn't know the instance.
    """

    detail: str
    instance_unknown: bool = False


@dataclass(frozen=True)
class OperationUnknown:
    """The operation may have taken effect; a retry with the same id is safe."""

    detail: str


OperationOutcome: TypeAlias = (
    OperationDone | OperationNotDone | OperationUnknown
)


@dataclass(frozen=True)
class TaskStart:
    """Request to start a task.

    Attributes:
        task: Id of the task.
        attempt: Number of the placement.
        kind: Kind of the task.
        processors: Processor cores that the task may use.
        memory_mb: Memory that the task may use, in MB.
        accelerators: Accelerators assigned to the task.
        expected_s: Declared run time, in seconds.
    """

    task: str
    attempt: int
    kind: str
    processors: float
    memory_mb: int
    accelerators: int
    expected_s: float


@dataclass(frozen=True)
class ReportedTask:
    """A placement as its worker reports it.

    Attributes:
        task: Id of the task.
        attempt: Number of the placement.
        state: ``running``, ``finished``, ``failed`` or ``stopped``. An ended
            placement never runs again, even if a delayed call arrives.
        reason: Reason of a failure; otherwise empty.
        throttled: Whether the placement runs with fewer processors.
    """

    task: str
    attempt: int
    state: str
    reason: str = ""
    throttled: bool = False


@dataclass(frozen=True)
class TasksReported:
    """The operation has taken effect.

    It may have done so by an earlier call with the same operation id.

    Attributes:
        tasks: Placements on the instance, including recently ended ones.
    """

    tasks: tuple[ReportedTask, ...]


TasksOutcome: TypeAlias = TasksReported | OperationNotDone | OperationUnknown

# Task id and attempt number of each placement that a call refers to.
AttemptIds: TypeAlias = Sequence[tuple[str, int]]


class WorkerInterface(Protocol):
    """Operations on instances and their tasks; tests implement it in memory."""

    def drain(self, instance: str, operation_id: str) -> OperationOutcome:
        """Makes an instance refuse new work."""
        ...

    def reboot(self, instance: str, operation_id: str) -> OperationOutcome:
        """Restarts an instance."""
        ...

    def return_to(
        self, instance: str, pool: str, operation_id: str
    ) -> OperationOutcome:
        """Returns an instance to service in a pool."""
        ...

    def status(self, instance: str) -> OperationOutcome:
        """Reads the current state of an instance, without the list's lag."""
        ...

    def start_task(
        self, instance: str, start: TaskStart, operation_id: str
    ) -> TasksOutcome:
        """Starts a task."""
        ...

    def checkpoint_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Checkpoints placements and stops them, so that they can resume."""
        ...

    def throttle_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Throttles placements to half of their processors."""
        ...

    def stop_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Stops placements and prevents the start of those not yet started."""
        ...

    def tasks(self, instance: str) -> TasksOutcome:
        """Reads the placements on an instance."""
        ...


class WorkerClient:
    """Implements `WorkerInterface` over HTTP with JSON.

    Each call that changes an instance carries an operation id. The platform
    executes an id only once, so a call whose response was lost can be retried.

    Args:
        base_url: For example ``http://192.0.2.1:7000``.
    """

    def __init__(self, base_url: str) -> None:
        """Initializes the client; the first call opens the connection."""
        self._base_url = base_url.rstrip("/")
        self._http = urllib3.PoolManager(
            num_pools=1, timeout=_TIMEOUT, retries=False
        )
        self._decoder = msgspec.json.Decoder(ListedInstance)
        self._tasks_decoder = msgspec.json.Decoder(TasksReported)

    def drain(self, instance: str, operation_id: str) -> OperationOutcome:
        """Makes an instance refuse new work."""
        return self._post(instance, "drain", {"operation_id": operation_id})

    def reboot(self, instance: str, operation_id: str) -> OperationOutcome:
        """Restarts an instance, which stays unlisted until it is returned."""
        return self._post(instance, "reboot", {"operation_id": operation_id})

    def return_to(
        self, instance: str, pool: str, operation_id: str
    ) -> OperationOutcome:
        """Returns an instance to service in a pool."""
        fields = {"operation_id": operation_id, "pool": pool}
        return self._post(instance, "return", fields)

    def status(self, instance: str) -> OperationOutcome:
        """Reads the current state of an instance.

        Returns:
            `OperationDone` with the instance, `OperationNotDone` with
            ``instance_unknown`` set if the platform doesn't know the instance,
            or `OperationUnknown`.
        """
        return self._call("GET", self._url(instance), None)

    def start_task(
        self, instance: str, start: TaskStart, operation_id: str
    ) -> TasksOutcome:
        """Starts a task; a repeated operation id has no further effect."""
        fields = {"operation_id": operation_id, **asdict(start)}
        return self._tasks_call(instance, "", fields)

    def checkpoint_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Checkpoints placements and stops them, so that they can resume."""
        fields = {"operation_id": operation_id, "attempts": attempts}
        return self._tasks_call(instance, "/checkpoint", fields)

    def throttle_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Throttles placements to half of their processors."""
        fields = {"operation_id": operation_id, "attempts": attempts}
        return self._tasks_call(instance, "/throttle", fields)

    def stop_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Stops placements and prevents the start of those not yet started."""
        fields = {"operation_id": operation_id, "attempts": attempts}
        return self._tasks_call(instance, "/stop", fields)

    def tasks(self, instance: str) -> TasksOutcome:
        """Reads the placements on an instance; resets their contact timeout."""
        return self._tasks_call(instance, "", None)

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
        data = self._send(method, url, body)
        if not isinstance(data, bytes):
            return data
        try:
            return OperationDone(self._decoder.decode(data))
        except DECODE_ERRORS as error:
            return OperationUnknown(f"malformed response: {error}")

    def _tasks_call(
        self, instance: str, operation: str, fields: dict[str, Any] | None
    ) -> TasksOutcome:
        url = f"{self._url(instance)}/tasks{operation}"
        if fields is None:
            data = self._send("GET", url, None)
        else:
            data = self._send("POST", url, msgspec.json.encode(fields))
        if not isinstance(data, bytes):
            return data
        try:
            return self._tasks_decoder.decode(data)
        except DECODE_ERRORS as error:
            return OperationUnknown(f"malformed response: {error}")

    def _send(
        self, method: str, url: str, body: bytes | None
    ) -> bytes | OperationNotDone | OperationUnknown:
        """Sends a request; returns the body of a response with status 200."""
        headers = {"Content-Type": "application/json"}
        try:
            response = self._http.request(
                method, url, body=body, headers=headers
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return OperationNotDone(str(error))
        except urllib3.exceptions.HTTPError as error:
            return OperationUnknown(str(error))
        detail = f"status {response.status}"
        if response.status in _NOT_STARTED_STATUSES:
            return OperationNotDone(
                detail, instance_unknown=response.status == 404
            )
        if response.status != 200:
            return OperationUnknown(detail)
        return bytes(response.data)
