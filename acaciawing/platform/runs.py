"""Client of a worker's run interface."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeAlias, TypeVar

from acaciawing.jobs import (
    EndedRow,
    EndKind,
    RunningRow,
    StartOutcome,
    StartRun,
    SubtaskId,
    parse_subtask_id,
)
from acaciawing.platform.http import (
    JSON_HEADERS,
    Connection,
    NotSent,
    OutcomeUnknown,
    Response,
    decode_object,
    encode_json,
    to_whole_number,
)

# A call takes 2 ms within a zone and 4 ms between zones. After this time
# without a response, the call is retried over a new connection.
ORDER_TIMEOUT_S = 0.5

# Added to a poll's wait time to get its timeout. A worker responds within 3 ms
# after the wait. The margin is short because ended runs of a worker are not
# observed until a poll that received no response has timed out.
POLL_TIMEOUT_MARGIN_S = 0.3

# A worker lists at most this many ends in a response; the others follow once
# these were acknowledged.
MAX_LISTED_ENDS = 500

_END_KINDS = {kind.value: kind for kind in EndKind}

_CONFLICT_OUTCOMES = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}

_Row = TypeVar("_Row", RunningRow, EndedRow)


@dataclass(frozen=True)
class WorkerRuns:
    """The runs that a worker reports in response to a poll.

    Attributes:
        clock_ms: The worker's clock at the time of the response.
        born_ms: Start time of the incarnation that responded; None if the
            response doesn't contain it.
        running: Active runs.
        ended: Ended runs that were not yet acknowledged, the oldest first.
        ends_complete: Whether `ended` certainly has all of them.
    """

    clock_ms: int
    born_ms: int | None
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    ends_complete: bool = True


@dataclass(frozen=True)
class StaleFence:
    """The worker has observed a higher fence than the client's."""


@dataclass(frozen=True)
class IncarnationMismatch:
    """Another incarnation responded at the address."""


@dataclass(frozen=True)
class CallFailure:
    """The call failed or its response was unusable.

    Attributes:
        detail: Description of the error.
    """

    detail: str


PollResult: TypeAlias = (
    WorkerRuns | StaleFence | IncarnationMismatch | CallFailure
)


@dataclass(frozen=True)
class StartResult:
    """Outcome of a start request.

    Attributes:
        outcome: Whether the run was started, or why not.
        clock_ms: The worker's clock, if the response contains it.
    """

    outcome: StartOutcome
    clock_ms: int | None = None


class RunClient:
    """Client of one incarnation of a worker; not thread-safe.

    Requests name the worker, not its incarnation. A connection ends with the
    incarnation that has accepted it, so a poll that was answered over it tells
    which incarnation receives all further requests over it.

    Args:
        address: ``ip:port`` of the worker.
        worker: Id of the worker.
        fence: Fence of the cell's holder.
    """

    def __init__(self, address: str, worker: str, fence: int) -> None:
        """Initializes the client; the first call opens the connection."""
        self._connection = Connection(address)
        self._confirmed_connection = 0
        self._fence = fence
        self._headers = {**JSON_HEADERS, "Target-Instance": worker}

    @property
    def is_confirmed(self) -> bool:
        """Whether a poll was answered over the connection that is open."""
        return (
            self._confirmed_connection == self._connection.opened_count
            and self._connection.is_open
        )

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def poll(
        self, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> PollResult:
        """Renews leases, acknowledges ended runs and reads both run lists.

        The first poll over a new connection acknowledges nothing: if the worker
        has restarted, it would discard ended runs that were never read.

        Args:
            acknowledged: The worker may discard ended runs up to this number.
            deadline_ms: Expiry of all leases on the worker's clock; None grants
                no leases. Must be None unless the client is confirmed.
            wait_ms: How long the worker may delay its response until a run
                ends.
        """
        confirmed = self.is_confirmed
        body: dict[str, object] = {
            "Fence": self._fence,
            # Number of the last acknowledged ended run.
            "LastSeen": acknowledged if confirmed else 0,
        }
        if deadline_ms is not None:
            body["DeadlineMs"] = deadline_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        # The wire calls a poll a hold.
        outcome = self._call(
            "/v1/hold",
            body,
            POLL_TIMEOUT_MARGIN_S + wait_ms / 1000,
            reconnect=not confirmed,
        )
        if not isinstance(outcome, Response):
            return CallFailure(outcome.detail)
        if outcome.status == 421:
            return IncarnationMismatch()
        if outcome.status == 409:
            return StaleFence()
        if outcome.status != 200:
            return CallFailure(f"status {outcome.status}")
        result = _parse_worker_runs(decode_object(outcome.body))
        if isinstance(result, WorkerRuns):
            self._confirmed_connection = self._connection.opened_count
        return result

    def start(
        self, order: StartRun, deadline_ms: int, ticket: str = ""
    ) -> StartResult:
        """Starts a run with a lease that expires at `deadline_ms`.

        The request is sent only over a connection that is open already.

        Args:
            order: The run to start.
            deadline_ms: Expiry of the lease on the worker's clock.
            ticket: Ticket of the advice service; empty if none is needed.
        """
        body: dict[str, object] = {
            "Task": str(order.subtask),  # Wire name of a subtask.
            "Run": order.run,
            "TaskSpec": order.payload,  # Wire name of the payload.
            "DeadlineMs": deadline_ms,
            "Fence": self._fence,
        }
        if order.checkpoint:
            body["LastCheckpoint"] = order.checkpoint
        if ticket:
            body["Ticket"] = ticket
        outcome = self._call(
            "/v1/run-start", body, ORDER_TIMEOUT_S, reconnect=False
        )
        if isinstance(outcome, NotSent):
            return StartResult(StartOutcome.REFUSED)
        if isinstance(outcome, OutcomeUnknown):
            return StartResult(StartOutcome.UNANSWERED)
        values = decode_object(outcome.body)
        clock_ms = to_whole_number(values.get("ClockMs"))
        if outcome.status == 200:
            return StartResult(StartOutcome.STARTED, clock_ms)
        if outcome.status == 409:
            reason = values.get("Reason")
            conflict = (
                _CONFLICT_OUTCOMES.get(reason)
                if isinstance(reason, str)
                else None
            )
            return StartResult(conflict or StartOutcome.UNANSWERED, clock_ms)
        if outcome.status == 400:
            return StartResult(StartOutcome.INVALID, clock_ms)
        if outcome.status in (421, 429, 503):
            return StartResult(StartOutcome.REFUSED, clock_ms)
        return StartResult(StartOutcome.UNANSWERED, clock_ms)

    def stop(
        self, subtask: SubtaskId, run: int
    ) -> StaleFence | CallFailure | None:
        """Stops a run or, if it has not started, prevents its start.

        Returns:
            None if the worker accepted the request.
        """
        body: dict[str, object] = {
            "Task": str(subtask),  # Wire name of a subtask.
            "Run": run,
            "Fence": self._fence,
        }
        return self._order("/v1/run-stop", body)

    def pace(
        self, subtask: SubtaskId, run: int, percent: int
    ) -> StaleFence | CallFailure | None:
        """Limits a run to a percentage of its full speed.

        Returns:
            None if the worker accepted the request.
        """
        body: dict[str, object] = {
            "Task": str(subtask),  # Wire name of a subtask.
            "Run": run,
            "Percent": percent,
            "Fence": self._fence,
        }
        return self._order("/v1/pace", body)

    def _order(
        self, path: str, body: dict[str, object]
    ) -> StaleFence | CallFailure | None:
        outcome = self._call(path, body, ORDER_TIMEOUT_S)
        if not isinstance(outcome, Response):
            return CallFailure(outcome.detail)
        if outcome.status == 409:
            reason = decode_object(outcome.body).get("Reason")
            if reason == "fence":
                return StaleFence()
            return CallFailure(f"refused: {reason}")
        if outcome.status != 200:
            return CallFailure(f"status {outcome.status}")
        return None

    def _call(
        self,
        path: str,
        body: dict[str, object],
        timeout_s: float,
        *,
        reconnect: bool = True,
    ) -> Response | NotSent | OutcomeUnknown:
        return self._connection.call(
            "POST",
            path,
            body=encode_json(body),
            headers=self._headers,
            timeout_s=timeout_s,
            reconnect=reconnect,
        )


def _parse_worker_runs(values: dict[str, Any]) -> PollResult:
    clock_ms = to_whole_number(values.get("ClockMs"))
    if clock_ms is None:
        return CallFailure("response without a clock")
    running = _parse_rows(values.get("Running"), _parse_running_row)
    ended = _parse_rows(values.get("Ended"), _parse_ended_row)
    if running is None or ended is None:
        # Skipping a malformed row would make its run look ended.
        return CallFailure("malformed run lists")
    return WorkerRuns(
        clock_ms,
        to_whole_number(values.get("born")),
        running,
        ended,
        ends_complete=len(ended) < MAX_LISTED_ENDS,
    )


def _parse_rows(
    value: object, parse_row: Callable[[Any], _Row | None]
) -> tuple[_Row, ...] | None:
    if not isinstance(value, list):
        return None
    rows = []
    for item in value:
        row = parse_row(item)
        if row is None:
            return None
        rows.append(row)
    return tuple(rows)


def _parse_running_row(row: Any) -> RunningRow | None:
    """Parses a list of subtask, run, checkpoint, percent and load metric.

    The load metric may be absent.
    """
    if not isinstance(row, list) or len(row) < 4:
        return None
    subtask = _parse_subtask(row[0])
    run, percent = to_whole_number(row[1]), to_whole_number(row[3])
    checkpoint = _parse_checkpoint(row[2])
    if subtask is None or run is None or checkpoint is None:
        return None
    load_metric = row[4] if len(row) > 4 else 0.0
    if isinstance(load_metric, int):
        if to_whole_number(int(load_metric)) is None:
            return None
        load_metric = float(load_metric)
    return RunningRow(
        subtask,
        run,
        checkpoint,
        percent or 0,
        load_metric if isinstance(load_metric, float) else 0.0,
    )


def _parse_ended_row(row: Any) -> EndedRow | None:
    """Parses a list of number, subtask, run, kind and checkpoint."""
    if not isinstance(row, list) or len(row) < 5:
        return None
    subtask = _parse_subtask(row[1])
    number, run = to_whole_number(row[0]), to_whole_number(row[2])
    kind = _END_KINDS.get(row[3]) if isinstance(row[3], str) else None
    checkpoint = _parse_checkpoint(row[4])
    if (
        subtask is None
        or number is None
        or run is None
        or kind is None
        or checkpoint is None
    ):
        return None
    return EndedRow(number, subtask, run, kind, checkpoint)


def _parse_subtask(value: object) -> SubtaskId | None:
    return parse_subtask_id(value) if isinstance(value, str) else None


def _parse_checkpoint(value: object) -> str | None:
    """Returns a checkpoint; empty for none, None for a malformed one."""
    if value is None:
        return ""
    return value if isinstance(value, str) else None
