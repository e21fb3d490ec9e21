"""The task that owns all cells of this instance."""

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
from acaciawing.jobserver.heldcell import HeldCell
from acaciawing.jobserver.limits import (
    AUTHORITY_S,
    RETAIN_INTERVAL_S,
    TICK_S,
    UNCERTAIN_S,
)
from acaciawing.jobserver.membership import cell_of, fleet_cell
from acaciawing.jobserver.messages import (
    CellAdvised,
    CellFenced,
    CellKey,
    ConfigurationRead,
    FleetTenure,
    JobAnswer,
    JobAsked,
    Joined,
    MachinesRead,
    Message,
    RecordsCurrent,
    RecordsRead,
    RecordsSaved,
    Release,
    ReportAsked,
    WorkerSaid,
    WorkersRead,
)
from acaciawing.jobserver.tasks import start_task
from acaciawing.telemetry import Event, log_event

# Most messages taken before actions are carried out.
_BURST = 200


def _no_advice(key: CellKey, question: AdviceRequest) -> None:
    log_event(
        Event.FINDING,
        {"place": f"cell {key.partition}", "fault": "no advice service"},
    )


class Engine:
    """Takes messages one by one and owns the state of all held cells.

    Args:
        store: ``ip:port`` of the store.
        partitions: Number of cells.
        retention_s: How long the store keeps a record, in seconds.
        told_s: How long states of finished jobs are told, in seconds.
    """

    def __init__(
        self, store: str, partitions: int, retention_s: int, told_s: int
    ) -> None:
        """Keeps the arguments; `start` starts the thread."""
        self._store = store
        self._partitions = partitions
        self._retention_ms = 1000 * retention_s
        self._told_ms = 1000 * told_s
        self._inbox: SimpleQueue[Message] = SimpleQueue()
        self._cells: dict[int, HeldCell] = {}
        self._configuration: Configuration | None = None
        self._workers: tuple[Worker, ...] | None = None
        self._confirmed_at = float("-inf")
        self._released = False
        self._tenure: FleetTenure | None = None
        self._in_doubt = False
        self._ask: Callable[[CellKey, AdviceRequest], None] = _no_advice

    def advise_by(self, ask: Callable[[CellKey, AdviceRequest], None]) -> None:
        """Sets what asks the advice service; before the start."""
        self._ask = ask

    def start(self) -> None:
        """Starts the thread."""
        start_task("engine", self._run)

    def send(self, message: Message) -> None:
        """Puts a message into the inbox; for any thread."""
        self._inbox.put(message)

    def tenure(self) -> FleetTenure | None:
        """Returns the tenure of the fleet's cell, if it is held now."""
        return self._tenure if self.may_act() else None

    def holds_cells(self) -> bool:
        """Whether any cell is held now."""
        return bool(self._cells)

    def in_doubt(self) -> bool:
        """Whether the platform's list of machines is needed."""
        return self._in_doubt

    def may_act(self) -> bool:
        """Whether the group's confirmation is recent enough for orders."""
        return steady_s() - self._confirmed_at < AUTHORITY_S

    def _run(self) -> None:
        ticked_at = retained_at = steady_s()
        while True:
            self._take_messages()
            now = steady_s()
            if now - ticked_at >= TICK_S:
                ticked_at = now
                for held in self._cells.values():
                    held.tick(now)
                self._in_doubt = any(
                    held.cell.recovered and held.cell.has_unconfirmed_runs()
                    for held in self._cells.values()
                )
            if now - retained_at >= RETAIN_INTERVAL_S and self.may_act():
                retained_at = now
                for held in self._cells.values():
                    held.cell.retain(self._retention_ms, self._told_ms)
            for partition, held in list(self._cells.items()):
                if held.cell.fenced:
                    self._drop(partition, "fenced")
                elif self.may_act():
                    held.act(held.cell.take_actions(now))

    def _take_messages(self) -> None:
        try:
            message = self._inbox.get(timeout=TICK_S)
            for _ in range(_BURST):
                self._receive(message, steady_s())
                message = self._inbox.get_nowait()
            self._receive(message, steady_s())
        except Empty:
            return

    def _held(self, key: CellKey) -> HeldCell | None:
        held = self._cells.get(key.partition)
        return held if held is not None and held.key == key else None

    @singledispatchmethod
    def _receive(self, message: Any, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_receive.register
    def _(self, message: WorkerSaid, now: float) -> None:
        held = self._held(message.key)
        if held is not None:
            held.cell.receive(message.message, now)

    @_receive.register
    def _(self, message: RecordsRead, now: float) -> None:
        held = self._held(message.key)
        if held is not None:
            held.cell.fold(message.records, now, unix_ms())

    @_receive.register
    def _(self, message: RecordsCurrent, now: float) -> None:
        held = self._held(message.key)
        if held is None:
            return
        held.current_at = message.asked_at
        if not held.cell.recovered and self._workers is not None:
            held.cell.tick(now, unix_ms())
            held.cell.finish_recovery(now, UNCERTAIN_S)
            log_event(
                Event.CELL_RECOVERED,
                {
                    "cell": message.key.partition,
                    "fence": message.key.fence,
                    "jobs": len(held.cell.table.jobs),
                    "took_s": round(now - held.acquired_at, 3),
                },
            )

    @_receive.register
    def _(self, message: CellAdvised, now: float) -> None:
        held = self._held(message.key)
        if held is not None:
            held.cell.receive_advice(message.advice)

    @_receive.register
    def _(self, message: RecordsSaved, now: float) -> None:
        held = self._held(message.key)
        if held is not None:
            held.cell.records_saved(message.number, now)

    @_receive.register
    def _(self, message: CellFenced, now: float) -> None:
        if self._held(message.key) is not None:
            self._drop(message.key.partition, "fenced")

    @_receive.register
    def _(self, message: Joined, now: float) -> None:
        self._confirmed_at = message.asked_at
        for partition in message.partitions & self._cells.keys():
            self._cells[partition].cell.confirm_holder(message.asked_at)
        for partition in list(self._cells):
            if partition not in message.partitions:
                self._drop(partition, "dealt to another instance")
        self._hold_fleet(message, now)
        if self._released or self._configuration is None:
            return
        for partition in message.partitions & self._used():
            if partition not in self._cells:
                self._acquire(CellKey(partition, message.generation), now)

    @_receive.register
    def _(self, message: ConfigurationRead, now: float) -> None:
        self._configuration = message.configuration
        for held in self._cells.values():
            held.cell.configure(message.configuration)

    @_receive.register
    def _(self, message: WorkersRead, now: float) -> None:
        self._workers = message.workers
        for held in self._cells.values():
            self._list_workers(held, now)

    @_receive.register
    def _(self, message: MachinesRead, now: float) -> None:
        for held in self._cells.values():
            if held.cell.recovered:
                held.cell.update_machines(
                    message.workers, message.asked_at, now
                )

    @_receive.register
    def _(self, message: JobAsked, now: float) -> None:
        message.reply.set_result(self._answer(message, now))

    @_receive.register
    def _(self, message: ReportAsked, now: float) -> None:
        held = self._cells.get(message.partition)
        if held is None or not held.cell.recovered or not self.may_act():
            message.reply.set_result(CellReport(False))
            return
        held.evacuation_at = now
        held.cell.evacuate(message.evacuate, now)
        message.reply.set_result(held.cell.report(now))

    @_receive.register
    def _(self, message: Release, now: float) -> None:
        self._released = True
        self._tenure = None
        for partition in list(self._cells):
            self._drop(partition, "instance stops")
        message.reply.set_result(None)

    def _answer(self, asked: JobAsked, now: float) -> JobAnswer:
        held = self._cells.get(asked.partition)
        if held is None or not held.cell.recovered:
            return JobAnswer(False)
        age_s = now - held.current_at
        if asked.job:
            state = held.cell.state(asked.job) or ""
            return JobAnswer(True, state, 0, age_s)
        waiting = held.cell.waiting_jobs(asked.queue)
        return JobAnswer(True, "", waiting, age_s)

    def _used(self) -> frozenset[int]:
        if self._configuration is None:
            return frozenset()
        return frozenset(
            cell_of(service, self._partitions)
            for service in self._configuration.pools
        )

    def _hold_fleet(self, joined: Joined, now: float) -> None:
        if fleet_cell(self._partitions) not in joined.partitions:
            self._tenure = None
        elif self._tenure is None and not self._released:
            self._tenure = FleetTenure(joined.generation, now)

    def _acquire(self, key: CellKey, now: float) -> None:
        held = HeldCell(
            key, self._store, self.send, self.may_act, self._ask, now
        )
        self._cells[key.partition] = held
        held.cell.confirm_holder(self._confirmed_at)
        if self._configuration is not None:
            held.cell.configure(self._configuration)
        self._list_workers(held, now)
        log_event(
            Event.CELL_ACQUIRED,
            {"cell": key.partition, "fence": key.fence},
        )

    def _list_workers(self, held: HeldCell, now: float) -> None:
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

    def _drop(self, partition: int, reason: str) -> None:
        held = self._cells.pop(partition)
        held.close()
        log_event(
            Event.CELL_LOST,
            {
                "cell": partition,
                "fence": held.key.fence,
                "reason": reason,
            },
        )
