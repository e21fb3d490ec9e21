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
from acaciawing.jobs.retention import check_interval_ms
from acaciawing.jobserver.clock import steady_s, unix_ms
from acaciawing.jobserver.held_cell import HeldCell
from acaciawing.jobserver.holdings import FleetHolding, Holdings
from acaciawing.jobserver.limits import (
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
        self._holdings = Holdings(member, store, self.send)
        self._fleet = FleetHolding(fleet_cell(partitions), self._holdings)
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
        self._holdings.set_rejoin_requester(request_rejoin)

    def start(self) -> None:
        """Starts the thread."""
        start_task("engine", self._run)

    def send(self, message: Message) -> None:
        """Adds a message to the inbox; may be called from any thread."""
        self._inbox.put(message)

    def tenure(self) -> FleetTenure | None:
        """Returns the tenure of the fleet's cell, or None if it has none."""
        return self._fleet.tenure(steady_s())

    def may_order_machines(self, tenure: FleetTenure) -> bool:
        """Returns whether machines may be ordered under a tenure."""
        return self._fleet.may_order(tenure, steady_s())

    def holds_cells(self) -> bool:
        """Returns whether this instance holds any cell."""
        return bool(self._cells)

    def has_unconfirmed_runs(self) -> bool:
        """Returns whether runs may continue on workers that do not answer.

        The platform's list of machines confirms the end of such workers.
        """
        return self._has_unconfirmed_runs

    def _run(self) -> None:
        ticked_at = steady_s()
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
            self._retain_cells(now)
            for partition, held in list(self._cells.items()):
                if held.cell.fenced:
                    self._drop(partition, "fenced", now)
                elif held.holding.is_valid(now):
                    held.carry_out(held.cell.take_actions(now))

    def _retain_cells(self, now: float) -> None:
        """Rewrites records that expire soon.

        A cell's first check follows its recovery at once, since its records may
        have had no holder for long.
        """
        interval_s = check_interval_ms(self._retention_ms) / 1000
        for held in self._cells.values():
            if (
                held.cell.recovered
                and now - held.retained_at >= interval_s
                and held.holding.is_valid(now)
            ):
                held.retained_at = now
                held.cell.retain(
                    self._retention_ms,
                    self._state_retention_ms,
                    self._limits.record_bytes,
                )

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
            reason = held.update(message, now)
            if reason is not None:
                self._drop(partition, reason, now)
        if self._released:
            return
        self._fleet.update(message, now)
        for partition in message.partitions & self._cells_in_use():
            if partition not in self._cells:
                self._acquire(partition, message, now)

    @_receive.register
    def _(self, message: HoldingVerified, now: float) -> None:
        del now
        held = self._find_cell(message.key)
        if held is not None:
            held.accept(message)
        self._fleet.accept(message)

    @_receive.register
    def _(self, message: HoldingInterrupted, now: float) -> None:
        if self._find_cell(message.key) is not None:
            self._drop(
                message.key.partition, "held by another instance since", now
            )
        self._fleet.interrupt(message.key, now)

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
        held = self._cells.get(message.partition)
        message.reply.set_result(
            held.answer(message, now)
            if held is not None and held.cell.recovered
            else JobAnswer(False)
        )

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
        self._fleet.release(now)
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

    def _cells_in_use(self) -> frozenset[int]:
        if self._configuration is None:
            return frozenset()
        return frozenset(
            cell_of(service, self._partitions)
            for service in self._configuration.pools
        )

    def _acquire(
        self, partition: int, assignment: PartitionsAssigned, now: float
    ) -> None:
        holding = self._holdings.acquire(partition, assignment)
        if holding is None:
            return
        held = HeldCell(
            holding.key,
            self._store,
            self._limits,
            self.send,
            holding,
            self._request_advice,
            self._leases,
            lambda service: cell_of(service, self._partitions) == partition,
            now,
        )
        self._cells[partition] = held
        if self._configuration is not None:
            held.cell.configure(self._configuration)
        held.cell.confirm_workers(self._workers_current_at)
        self._update_workers(held, now)
        log_event(
            Event.CELL_ACQUIRED,
            {"cell": partition, "fence": holding.key.fence},
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
        self._holdings.end(held.holding, now)
        log_event(
            Event.CELL_LOST,
            {
                "cell": partition,
                "fence": held.key.fence,
                "reason": reason,
            },
        )
