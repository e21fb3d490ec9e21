"""Task that owns the state of all cells held by this instance."""

from collections.abc import Callable
from functools import singledispatchmethod
from queue import Empty, SimpleQueue
from typing import Any

from acaciawing.jobs import (
    AdviceRequest,
    Configuration,
    Worker,
)
from acaciawing.jobs.fleet import CellReport
from acaciawing.jobserver.clock import steady_s, unix_ms
from acaciawing.jobserver.held_cell import HeldCell
from acaciawing.jobserver.holding import Holding
from acaciawing.jobserver.limits import (
    RETAIN_INTERVAL_S,
    TICK_INTERVAL_S,
    UNCONFIRMED_RUNS_S,
)
from acaciawing.jobserver.membership import cell_of, fleet_cell
from acaciawing.jobserver.messages import (
    AdviceReceived,
    CellFenced,
    CellKey,
    CellReportQuery,
    ConfigurationRead,
    FleetTenure,
    HoldingInterrupted,
    HoldingVerified,
    JobAnswer,
    JobStateQuery,
    MachineListRead,
    Message,
    PartitionsAssigned,
    RecordsCaughtUp,
    RecordsRead,
    RecordsSaved,
    ReleaseCells,
    WorkerListConfirmed,
    WorkerListRead,
    WorkerMessageReceived,
)
from acaciawing.jobserver.sessions import lease_bounds
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.store import StoreLimits
from acaciawing.telemetry import Event, log_event

# Maximum number of messages handled before the actions are carried out.
_MAX_MESSAGES_PER_STEP = 200

# States of a job that no holder tells before their record is durable.
_LASTING_STATES = ("completed", "failed")


def _report_missing_advice_service(
    key: CellKey, request: AdviceRequest
) -> None:
    log_event(
        Event.FINDING,
        {
            "place": f"cell {key.partition}",
            "fault": "no advice service is configured",
        },
    )


class Engine:
    """Handles messages one by one and owns the state of all held cells.

    Args:
        store: ``ip:port`` of the store.
        member: Name of this instance in the store's group.
        partitions: Number of cells.
        retention_s: Retention time of records in the store, in seconds.
        state_retention_s: How long states of finished jobs are reported, in
            seconds.
        max_lease_s: Longest lease that workers grant, in seconds.
        limits: How much the store accepts.
    """

    def __init__(
        self,
        store: str,
        member: str,
        partitions: int,
        retention_s: int,
        state_retention_s: int,
        max_lease_s: float,
        limits: StoreLimits,
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._store = store
        self._member = member
        self._partitions = partitions
        self._retention_ms = 1000 * retention_s
        self._state_retention_ms = 1000 * state_retention_s
        self._leases = lease_bounds(max_lease_s)
        self._limits = limits
        self._inbox: SimpleQueue[Message] = SimpleQueue()
        self._cells: dict[int, HeldCell] = {}
        self._configuration: Configuration | None = None
        self._workers: tuple[Worker, ...] | None = None
        self._workers_current_at = float("-inf")
        self._released = False
        self._fleet_holding: Holding | None = None
        # Last fence of each partition, and when a cell was last dropped.
        self._last_fences: dict[int, int] = {}
        self._dropped_at = float("-inf")
        self._request_rejoin: Callable[[], None] = lambda: None
        self._tenure: FleetTenure | None = None
        self._has_unconfirmed_runs = False
        self._request_advice: Callable[[CellKey, AdviceRequest], None] = (
            _report_missing_advice_service
        )

    def set_advice_requester(
        self, request_advice: Callable[[CellKey, AdviceRequest], None]
    ) -> None:
        """Sets the function that requests advice; call before `start`."""
        self._request_advice = request_advice

    def set_rejoin_requester(self, request_rejoin: Callable[[], None]) -> None:
        """Sets the function that joins the group anew; call before `start`."""
        self._request_rejoin = request_rejoin

    def start(self) -> None:
        """Starts the thread."""
        start_task("engine", self._run)

    def send(self, message: Message) -> None:
        """Adds a message to the inbox; may be called from any thread."""
        self._inbox.put(message)

    def tenure(self) -> FleetTenure | None:
        """Returns the tenure of the fleet's cell.

        None if the cell is not held, or if another instance may hold it: the
        next holder orders machines soon after its takeover.
        """
        holding = self._fleet_holding
        return (
            self._tenure
            if holding is not None and holding.excludes_others(steady_s())
            else None
        )

    def holds_cells(self) -> bool:
        """Returns whether this instance holds any cell."""
        return bool(self._cells)

    def has_unconfirmed_runs(self) -> bool:
        """Returns whether runs may continue on workers that do not answer.

        The platform's list of machines confirms the end of such workers.
        """
        return self._has_unconfirmed_runs

    def _run(self) -> None:
        ticked_at = retained_at = steady_s()
        while True:
            self._receive_messages()
            now = steady_s()
            if now - ticked_at >= TICK_INTERVAL_S:
                ticked_at = now
                for held in self._cells.values():
                    held.tick(now)
                self._has_unconfirmed_runs = any(
                    held.cell.recovered and held.cell.has_unconfirmed_runs()
                    for held in self._cells.values()
                )
            if now - retained_at >= RETAIN_INTERVAL_S:
                retained_at = now
                for held in self._cells.values():
                    if held.holding.is_valid(now):
                        held.cell.retain(
                            self._retention_ms,
                            self._state_retention_ms,
                            self._limits.record_bytes,
                        )
            for partition, held in list(self._cells.items()):
                if held.cell.fenced:
                    self._drop(partition, "fenced", now)
                elif held.holding.is_valid(now):
                    held.carry_out(held.cell.take_actions(now))

    def _receive_messages(self) -> None:
        try:
            message = self._inbox.get(timeout=TICK_INTERVAL_S)
            for _ in range(_MAX_MESSAGES_PER_STEP):
                self._receive(message, steady_s())
                message = self._inbox.get_nowait()
            self._receive(message, steady_s())
        except Empty:
            return

    def _find_cell(self, key: CellKey) -> HeldCell | None:
        held = self._cells.get(key.partition)
        return held if held is not None and held.key == key else None

    @singledispatchmethod
    def _receive(self, message: Any, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_receive.register
    def _(self, message: WorkerMessageReceived, now: float) -> None:
        held = self._find_cell(message.key)
        if held is not None:
            held.cell.receive(message.message, now)

    @_receive.register
    def _(self, message: RecordsRead, now: float) -> None:
        held = self._find_cell(message.key)
        if held is not None:
            held.cell.fold(message.records, now, unix_ms())

    @_receive.register
    def _(self, message: RecordsCaughtUp, now: float) -> None:
        held = self._find_cell(message.key)
        if held is None:
            return
        held.records_current_at = message.requested_at
        held.cell.confirm_records(message.requested_at)
        self._finish_recovery(held, now)

    @_receive.register
    def _(self, message: AdviceReceived, now: float) -> None:
        held = self._find_cell(message.key)
        if held is not None:
            held.cell.receive_advice(message.advice)

    @_receive.register
    def _(self, message: RecordsSaved, now: float) -> None:
        held = self._find_cell(message.key)
        if held is not None:
            held.cell.records_saved(message.number, now)

    @_receive.register
    def _(self, message: CellFenced, now: float) -> None:
        if self._find_cell(message.key) is not None:
            self._drop(message.key.partition, "fenced", now)

    @_receive.register
    def _(self, message: PartitionsAssigned, now: float) -> None:
        for partition, held in list(self._cells.items()):
            if partition not in message.partitions:
                self._drop(partition, "assigned to another instance", now)
            elif held.holding.was_interrupted(message):
                self._drop(partition, "membership was interrupted", now)
            else:
                held.confirm(message)
                if self._is_unverified(held.holding, message, now):
                    self._drop(partition, "not verified in time", now)
        self._update_fleet_tenure(message, now)
        if self._released or self._configuration is None:
            return
        for partition in message.partitions & self._cells_in_use():
            if partition not in self._cells and self._has_new_fence(
                partition, message
            ):
                self._acquire(partition, message, now)

    @_receive.register
    def _(self, message: HoldingVerified, now: float) -> None:
        del now
        held = self._find_cell(message.key)
        if held is not None:
            held.accept(message)
        if self._fleet_holding is not None and self._is_fleet_tenure(
            message.key
        ):
            self._fleet_holding.accept(message)

    @_receive.register
    def _(self, message: HoldingInterrupted, now: float) -> None:
        if self._find_cell(message.key) is not None:
            self._drop(
                message.key.partition, "held by another instance since", now
            )
        if self._is_fleet_tenure(message.key):
            self._end_fleet_tenure(now)

    @_receive.register
    def _(self, message: ConfigurationRead, now: float) -> None:
        self._configuration = message.configuration
        for held in self._cells.values():
            held.cell.configure(message.configuration)

    @_receive.register
    def _(self, message: WorkerListRead, now: float) -> None:
        self._workers = message.workers
        for held in self._cells.values():
            self._update_workers(held, now)
            self._finish_recovery(held, now)

    @_receive.register
    def _(self, message: WorkerListConfirmed, now: float) -> None:
        del now
        self._workers_current_at = message.current_at
        for held in self._cells.values():
            held.cell.confirm_workers(message.current_at)

    @_receive.register
    def _(self, message: MachineListRead, now: float) -> None:
        for held in self._cells.values():
            if held.cell.recovered:
                held.cell.update_machines(
                    message.workers, message.requested_at, now
                )

    @_receive.register
    def _(self, message: JobStateQuery, now: float) -> None:
        message.reply.set_result(self._answer(message, now))

    @_receive.register
    def _(self, message: CellReportQuery, now: float) -> None:
        held = self._cells.get(message.partition)
        if (
            held is None
            or not held.cell.recovered
            or not held.holding.is_valid(now)
        ):
            message.reply.set_result(CellReport(False))
            return
        held.evacuation_received_at = now
        held.cell.evacuate(message.evacuate, now)
        message.reply.set_result(held.cell.report(now))

    @_receive.register
    def _(self, message: ReleaseCells, now: float) -> None:
        self._released = True
        self._end_fleet_tenure(now)
        for partition in list(self._cells):
            self._drop(partition, "instance is stopping", now)
        message.reply.set_result(None)

    def _finish_recovery(self, held: HeldCell, now: float) -> None:
        """Ends a cell's recovery once its records and workers were read."""
        if (
            held.cell.recovered
            or self._workers is None
            or held.records_current_at == float("-inf")
        ):
            return
        held.cell.tick(now, unix_ms())
        held.cell.finish_recovery(now, UNCONFIRMED_RUNS_S)
        log_event(
            Event.CELL_RECOVERED,
            {
                "cell": held.key.partition,
                "fence": held.key.fence,
                "jobs": len(held.cell.table.jobs),
                "took_s": round(now - held.acquired_at, 3),
            },
        )

    def _answer(self, query: JobStateQuery, now: float) -> JobAnswer:
        held = self._cells.get(query.partition)
        if held is None or not held.cell.recovered:
            return JobAnswer(False)
        age_s = now - held.records_current_at
        if query.job:
            state = held.cell.state(query.job) or ""
            # A later holder may have told a later state.
            current = state in (
                "",
                *_LASTING_STATES,
            ) or held.holding.excludes_others(now)
            return JobAnswer(True, state, 0, age_s, current)
        waiting = held.cell.waiting_jobs(query.queue)
        return JobAnswer(True, "", waiting, age_s)

    def _cells_in_use(self) -> frozenset[int]:
        if self._configuration is None:
            return frozenset()
        return frozenset(
            cell_of(service, self._partitions)
            for service in self._configuration.pools
        )

    def _update_fleet_tenure(
        self, assignment: PartitionsAssigned, now: float
    ) -> None:
        partition = fleet_cell(self._partitions)
        holding = self._fleet_holding
        if holding is not None and (
            partition not in assignment.partitions
            or holding.was_interrupted(assignment)
        ):
            self._end_fleet_tenure(now)
        elif holding is not None:
            holding.confirm(assignment)
            if self._is_unverified(holding, assignment, now):
                self._end_fleet_tenure(now)
        if (
            self._fleet_holding is None
            and partition in assignment.partitions
            and not self._released
            and self._has_new_fence(partition, assignment)
        ):
            key = CellKey(partition, assignment.generation)
            self._fleet_holding = self._make_holding(key, assignment)
            self._tenure = FleetTenure(key.fence, now)

    def _is_unverified(
        self, holding: Holding, assignment: PartitionsAssigned, now: float
    ) -> bool:
        """Whether no answer tells if a cell was held up to a later generation.

        It has to be acquired anew, as no other instance gets it meanwhile.
        """
        return assignment.generation > holding.fence and not holding.is_valid(
            now
        )

    def _has_new_fence(
        self, partition: int, assignment: PartitionsAssigned
    ) -> bool:
        """Whether a cell may be acquired in an assignment's generation.

        Run numbers and late orders of an earlier holding have its fence. If the
        group has not changed since, only a new membership gives a later one.
        """
        if assignment.generation > self._last_fences.get(partition, 0):
            return True
        if assignment.requested_at > self._dropped_at:
            self._request_rejoin()
        return False

    def _is_fleet_tenure(self, key: CellKey) -> bool:
        return (
            self._tenure is not None
            and key.partition == fleet_cell(self._partitions)
            and key.fence == self._tenure.fence
        )

    def _end_fleet_tenure(self, now: float) -> None:
        if self._fleet_holding is not None:
            self._fleet_holding.revoke()
            self._dropped_at = now
        self._fleet_holding = None
        self._tenure = None

    def _make_holding(
        self, key: CellKey, assignment: PartitionsAssigned
    ) -> Holding:
        self._last_fences[key.partition] = key.fence
        return Holding(
            key,
            self._member,
            self._store,
            self.send,
            assignment.requested_at,
        )

    def _acquire(
        self, partition: int, assignment: PartitionsAssigned, now: float
    ) -> None:
        key = CellKey(partition, assignment.generation)
        held = HeldCell(
            key,
            self._store,
            self._limits,
            self.send,
            self._make_holding(key, assignment),
            self._request_advice,
            self._leases,
            lambda service: cell_of(service, self._partitions) == key.partition,
            now,
        )
        self._cells[key.partition] = held
        if self._configuration is not None:
            held.cell.configure(self._configuration)
        held.cell.confirm_workers(self._workers_current_at)
        self._update_workers(held, now)
        log_event(
            Event.CELL_ACQUIRED,
            {"cell": key.partition, "fence": key.fence},
        )

    def _update_workers(self, held: HeldCell, now: float) -> None:
        if self._workers is None:
            return
        held.cell.update_workers(
            [
                w
                for w in self._workers
                if cell_of(w.service, self._partitions) == held.key.partition
            ],
            now,
        )

    def _drop(self, partition: int, reason: str, now: float) -> None:
        held = self._cells.pop(partition)
        held.close()
        self._dropped_at = now
        log_event(
            Event.CELL_LOST,
            {
                "cell": partition,
                "fence": held.key.fence,
                "reason": reason,
            },
        )
