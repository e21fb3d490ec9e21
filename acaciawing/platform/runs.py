"""Client of a worker's interface for runs."""

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
    Answered,
    Connection,
    NoAnswer,
    NotSent,
    decode_object,
    encode_json,
    whole_number,
)

# A call within a zone takes 2 ms and between zones 4 ms; a worker that stays
# silent for this time is asked again over a new connection, in seconds.
ORDER_TIMEOUT_S = 0.5

# The same beyond the time for which a worker may wait with its lists, in
# seconds: it answers within 3 ms of that, and ends are not seen meanwhile.
HOLD_MARGIN_S = 0.3

_KINDS = {kind.value: kind for kind in EndKind}

_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}

_Row = TypeVar("_Row", RunningRow, EndedRow)


@dataclass(frozen=True)
class WorkerRuns:
    """A worker's lists, answered under our fence.

    Attributes:
        clock_ms: Its clock when it answered.
        born_ms: Start of the incarnation that answered, if it said so.
        running: What runs.
        ended: Ends that were not acknowledged.
    """

    clock_ms: int
    born_ms: int | None
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


@dataclass(frozen=True)
class StaleFence:
    """The worker has seen a higher fence."""


@dataclass(frozen=True)
class IncarnationMismatch:
    """Another incarnation answers at the address."""


@dataclass(frozen=True)
class Silent:
    """No usable answer.

    Attributes:
        detail: What was seen.
    """

    detail: str


PollResult: TypeAlias = WorkerRuns | StaleFence | IncarnationMismatch | Silent


@dataclass(frozen=True)
class StartResult:
    """How a start was answered; `clock_ms` where the answer says it."""

    outcome: StartOutcome
    clock_ms: int | None = None


class RunClient:
    """Calls to one incarnation of a worker; for one thread at a time.

    Args:
        address: ``ip:port`` of the worker.
        worker: Id of the worker.
        fence: Fence of the cell's holder.
    """

    def __init__(self, address: str, worker: str, fence: int) -> None:
        """Keeps the arguments; connects on first use."""
        self._connection = Connection(address)
        self._fence = fence
        self._headers = {**JSON_HEADERS, "Target-Instance": worker}

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def poll(
        self, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> PollResult:
        """Renews leases, acknowledges ends and reads both lists.

        Nothing is acknowledged over a new connection: the worker may have
        started again, and would forget ends that nobody has read.

        Args:
            acknowledged: Ends up to this number may be forgotten.
            deadline_ms: End of all leases on the worker's clock; None to
                grant none.
            wait_ms: How long the worker may wait for an end.
        """
        body: dict[str, object] = {
            "Fence": self._fence,
            "LastSeen": acknowledged if self._connection.kept else 0,
        }
        if deadline_ms is not None:
            body["DeadlineMs"] = deadline_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        outcome = self._call("/v1/hold", body, HOLD_MARGIN_S + wait_ms / 1000)
        if not isinstance(outcome, Answered):
            return Silent(outcome.detail)
        if outcome.status == 421:
            return IncarnationMismatch()
        if outcome.status == 409:
            return StaleFence()
        if outcome.status != 200:
            return Silent(f"status {outcome.status}")
        return _held(decode_object(outcome.body))

    def start(
        self, order: StartRun, deadline_ms: int, ticket: str = ""
    ) -> StartResult:
        """Starts a run, with leases that end at `deadline_ms`."""
        body: dict[str, object] = {
            "Task": str(order.subtask),
            "Run": order.run,
            "TaskSpec": order.payload,
            "DeadlineMs": deadline_ms,
            "Fence": self._fence,
        }
        if order.checkpoint:
            body["LastCheckpoint"] = order.checkpoint
        if ticket:
            body["Ticket"] = ticket
        outcome = self._call("/v1/run-start", body, ORDER_TIMEOUT_S)
        if isinstance(outcome, NotSent):
            return StartResult(StartOutcome.REFUSED)
        if isinstance(outcome, NoAnswer):
            return StartResult(StartOutcome.UNANSWERED)
        values = decode_object(outcome.body)
        clock_ms = whole_number(values.get("ClockMs"))
        if outcome.status == 200:
            return StartResult(StartOutcome.STARTED, clock_ms)
        if outcome.status == 409:
            reason = _REASONS.get(str(values.get("Reason")))
            return StartResult(reason or StartOutcome.UNANSWERED, clock_ms)
        if outcome.status == 400:
            return StartResult(StartOutcome.INVALID, clock_ms)
        if outcome.status in (421, 429, 503):
            return StartResult(StartOutcome.REFUSED, clock_ms)
        return StartResult(StartOutcome.UNANSWERED, clock_ms)

    def stop(self, subtask: SubtaskId, run: int) -> StaleFence | Silent | None:
        """Stops a run, or makes its start impossible; None when accepted."""
        body: dict[str, object] = {
            "Task": str(subtask),
            "Run": run,
            "Fence": self._fence,
        }
        return self._order("/v1/run-stop", body)

    def pace(
        self, subtask: SubtaskId, run: int, percent: int
    ) -> StaleFence | Silent | None:
        """Lets a run work at a share of its speed; None when accepted."""
        body: dict[str, object] = {
            "Task": str(subtask),
            "Run": run,
            "Percent": percent,
            "Fence": self._fence,
        }
        return self._order("/v1/pace", body)

    def _order(
        self, path: str, body: dict[str, object]
    ) -> StaleFence | Silent | None:
        outcome = self._call(path, body, ORDER_TIMEOUT_S)
        if not isinstance(outcome, Answered):
            return Silent(outcome.detail)
        if outcome.status == 409:
            reason = decode_object(outcome.body).get("Reason")
            if reason == "fence":
                return StaleFence()
            return Silent(f"refused: {reason}")
        if outcome.status != 200:
            return Silent(f"status {outcome.status}")
        return None

    def _call(
        self, path: str, body: dict[str, object], timeout_s: float
    ) -> Answered | NotSent | NoAnswer:
        return self._connection.call(
            "POST",
            path,
            body=encode_json(body),
            headers=self._headers,
            timeout_s=timeout_s,
        )


def _held(values: dict[str, Any]) -> PollResult:
    clock_ms = whole_number(values.get("ClockMs"))
    if clock_ms is None:
        return Silent("answer without a clock")
    running = _rows(values.get("Running"), _running_row)
    ended = _rows(values.get("Ended"), _ended_row)
    if running is None or ended is None:
        # A row left out would look like a run that is gone.
        return Silent("lists not understood")
    return WorkerRuns(
        clock_ms, whole_number(values.get("born")), running, ended
    )


def _rows(
    value: object, read: Callable[[Any], _Row | None]
) -> tuple[_Row, ...] | None:
    if not isinstance(value, list):
        return None
    rows = []
    for item in value:
        row = read(item)
        if row is None:
            return None
        rows.append(row)
    return tuple(rows)


def _running_row(row: Any) -> RunningRow | None:
    if not isinstance(row, list) or len(row) < 4:
        return None
    subtask = parse_subtask_id(str(row[0]))
    run, percent = whole_number(row[1]), row[3]
    if subtask is None or run is None:
        return None
    reading = row[4] if len(row) > 4 else 0
    return RunningRow(
        subtask,
        run,
        str(row[2] or ""),
        whole_number(percent) or 0,
        float(reading) if isinstance(reading, int | float) else 0.0,
    )


def _ended_row(row: Any) -> EndedRow | None:
    if not isinstance(row, list) or len(row) < 5:
        return None
    subtask = parse_subtask_id(str(row[1]))
    number, run = whole_number(row[0]), whole_number(row[2])
    if subtask is None or number is None or run is None:
        return None
    kind = _KINDS.get(str(row[3]))
    if kind is None:
        return None
    return EndedRow(number, subtask, run, kind, str(row[4] or ""))
