"""Client of the platform's worker interface."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any, Protocol, TypeAlias
from urllib.parse import quote

import msgspec
import urllib3

from acaciawing.platform.listing import ListedInstance

# A worker stops a task by itself when no call about its tasks has come for this
# time, so that a worker that is cut off has stopped before the task's lease in
# the log lapses (`acaciawing.placement.LEASE_S`).
TASK_CONTACT_TIMEOUT_S = 600.0

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


@dataclass(frozen=True)
class TaskStart:
    """A task for a worker to start.

    Attributes:
        task: Id of the task.
        attempt: Number of its placement.
        kind: Kind of the task.
        processors: Processor cores that it may use.
        memory_mb: Memory that it may use, in MB.
        accelerators: Accelerators that it gets.
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
        attempt: Number of its placement.
        state: ``running``, ``finished``, ``failed`` or ``stopped``. An ended
            placement never runs again, whatever calls arrive late.
        reason: Why it failed, or an empty string.
        throttled: Whether it runs with fewer processors.
    """

    task: str
    attempt: int
    state: str
    reason: str = ""
    throttled: bool = False


@dataclass(frozen=True)
class TasksReported:
    """The call has taken effect, now or at an earlier call of its id.

    Attributes:
        tasks: Placements on the instance, those that ended lately included.
    """

    tasks: tuple[ReportedTask, ...]


TasksOutcome: TypeAlias = TasksReported | OperationNotDone | OperationUnknown

# Task and attempt of each placement that a call is about.
AttemptIds: TypeAlias = Sequence[tuple[str, int]]


class WorkerInterface(Protocol):
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

    def start_task(
        self, instance: str, start: TaskStart, operation_id: str
    ) -> TasksOutcome:
        """Starts a task."""
        ...

    def checkpoint_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Stops placements where they can go on later."""
        ...

    def throttle_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Lets placements go on with half of their processors."""
        ...

    def stop_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Stops placements; one that was never started won't start."""
        ...

    def tasks(self, instance: str) -> TasksOutcome:
        """Reads the placements on an instance."""
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
        self._tasks_decoder = msgspec.json.Decoder(TasksReported)

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

    def start_task(
        self, instance: str, start: TaskStart, operation_id: str
    ) -> TasksOutcome:
        """Starts a task once for each operation id."""
        fields = {"operation_id": operation_id, **asdict(start)}
        return self._tasks_call(instance, "", fields)

    def checkpoint_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Stops placements where they can go on later."""
        fields = {"operation_id": operation_id, "attempts": attempts}
        return self._tasks_call(instance, "/checkpoint", fields)

    def throttle_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Lets placements go on with half of their processors."""
        fields = {"operation_id": operation_id, "attempts": attempts}
        return self._tasks_call(instance, "/throttle", fields)

    def stop_task(
        self, instance: str, attempts: AttemptIds, operation_id: str
    ) -> TasksOutcome:
        """Stops placements; one that was never started won't start."""
        fields = {"operation_id": operation_id, "attempts": attempts}
        return self._tasks_call(instance, "/stop", fields)

    def tasks(self, instance: str) -> TasksOutcome:
        """Reads the placements on an instance, which also keeps them."""
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
        data = self._answer(method, url, body)
        if not isinstance(data, bytes):
            return data
        try:
            return OperationDone(self._decoder.decode(data))
        except msgspec.DecodeError as error:
            return OperationUnknown(f"answer not understood: {error}")

    def _tasks_call(
        self, instance: str, operation: str, fields: dict[str, Any] | None
    ) -> TasksOutcome:
        url = f"{self._url(instance)}/tasks{operation}"
        if fields is None:
            data = self._answer("GET", url, None)
        else:
            data = self._answer("POST", url, msgspec.json.encode(fields))
        if not isinstance(data, bytes):
            return data
        try:
            return self._tasks_decoder.decode(data)
        except msgspec.DecodeError as error:
            return OperationUnknown(f"answer not understood: {error}")

    def _answer(
        self, method: str, url: str, body: bytes | None
    ) -> bytes | OperationNotDone | OperationUnknown:
        """Returns the body of an answer with status 200."""
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
        return bytes(answer.data)
