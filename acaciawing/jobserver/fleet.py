"""The task that maintains and lends machines while it holds the fleet's cell."""

import threading
from collections.abc import Callable
from typing import Any

from acaciawing.jobs.fleet import (
    CellReport,
    FleetOrder,
    FleetSnapshot,
    MachineState,
    Maintain,
    MaintenanceWave,
    PoolLoad,
    WorkerLoad,
)
from acaciawing.jobs.fleet_planner import FleetPlanner
from acaciawing.jobs.order_history import (
    LastMachineOrder,
    recently_ordered_machines,
)
from acaciawing.jobserver.clock import steady_s, unix_ms
from acaciawing.jobserver.directory import OrdersFollower
from acaciawing.jobserver.membership import cell_of
from acaciawing.jobserver.messages import FleetTenure
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.ordering import MachineOrders
from acaciawing.jobserver.peers import Peers
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.machines import (
    MachineClient,
    MachineOrder,
    MachinesListed,
)
from acaciawing.platform.node import NodeSettings
from acaciawing.platform.statuses import OrderNotes, WaveStatuses
from acaciawing.platform.wire import Machine, Wave
from acaciawing.telemetry import Event, log_event

# Time between two rounds, in seconds; each reading of the machines has its
# price, and a peak of demand lasts for some seconds.
_ROUND_S = 0.15

# An earlier holder may not know yet that it is no longer the holder; no order
# is given for this time, in seconds, above its interval of joins.
_HANDOVER_S = 0.5


# Most orders of a round, so that the next one sees what has changed meanwhile.
MOST_ORDERS = 40


class FleetTask:
    """Rounds of observe, decide, act.

    Args:
        settings: What the platform says of this instance.
        orders: Configuration and waves.
        peers: Reports of the cells' holders.
        tenure: Returns the present tenure, or None.
    """

    def __init__(
        self,
        settings: NodeSettings,
        orders: OrdersFollower,
        peers: Peers,
        tenure: Callable[[], FleetTenure | None],
    ) -> None:
        """Keeps the arguments; `start` starts the thread."""
        self._settings = settings
        self._orders = orders
        self._peers = peers
        self._tenure = tenure
        self._client = MachineClient(settings.machines, settings.name)
        self._orderers = MachineOrders(settings.machines, settings.name)
        self._statuses = WaveStatuses(settings.store)
        self._plan = FleetPlanner(_log_decision)
        self._seen: dict[int, float] = {}
        self._held: FleetTenure | None = None
        self._notes = OrderNotes(settings.store)
        self._recent: frozenset[str] | None = None
        self._pause = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task("fleet", self._run, restart=True)

    def _run(self) -> None:
        while True:
            tenure = self._tenure()
            if tenure is None or self._orders.configuration is None:
                self._held = None
            else:
                if tenure != self._held:
                    self._held = tenure
                    self._plan = FleetPlanner(_log_decision)
                    self._recent = None
                self._note_waves(steady_s())
                if steady_s() - tenure.since > _HANDOVER_S:
                    self._round(tenure)
            self._pause.wait(_ROUND_S)

    def _note_waves(self, now: float) -> None:
        for number in self._orders.waves:
            self._seen.setdefault(number, now)

    def _round(self, tenure: FleetTenure) -> None:
        progress = self._statuses.read(set(self._orders.waves))
        if progress is None:
            return
        listed = self._client.list()
        if not isinstance(listed, MachinesListed):
            log_event(
                Event.FINDING, {"place": "machines", "fault": listed.detail}
            )
            return
        waves = self._open_waves(listed.machines)
        snapshot = self._snapshot(listed.machines, waves)
        if snapshot is None:
            return
        orders = [
            order
            for order in self._plan.decide(snapshot, steady_s())
            if self._may_order(order.machine, tenure)
        ][:MOST_ORDERS]
        if orders and self._tenure() == tenure and self._note(orders, tenure):
            self._carry_out(orders, tenure)

    def _may_order(self, machine: str, tenure: FleetTenure) -> bool:
        """Whether no earlier holder has ordered the machine just before."""
        lease_ms = self._settings.order_lease_ms
        if self._recent is None:
            notes = self._notes.read()
            if notes is None:
                return False
            self._recent = recently_ordered_machines(
                notes, tenure.fence, lease_ms, unix_ms()
            )
        waits_s = _HANDOVER_S + lease_ms / 1000
        return (
            machine not in self._recent or steady_s() - tenure.since >= waits_s
        )

    def _note(self, orders: list[FleetOrder], tenure: FleetTenure) -> bool:
        """Notes orders durably for the next holder, before they are given."""
        name, fence = self._settings.name, tenure.fence
        return self._notes.write(
            [
                LastMachineOrder(o.machine, name, fence, unix_ms())
                for o in orders
            ]
        )

    def _open_waves(
        self, machines: tuple[Machine, ...]
    ) -> list[MaintenanceWave]:
        """Returns waves with machines left; writes the state of each."""
        known = {m.id for m in machines}
        waves = []
        for number, wave in sorted(self._orders.waves.items()):
            if self._statuses.completed(number):
                continue
            done = self._statuses.done(number)
            left = tuple(
                m for m in wave.machines if m in known and m not in done
            )
            self._statuses.write(number, completed=not left)
            if left:
                waves.append(self._wave_order(wave, left))
            else:
                log_event(
                    Event.WAVE_STATE,
                    {"wave": number, "state": "completed", "left": 0},
                )
        return waves

    def _wave_order(self, wave: Wave, left: tuple[str, ...]) -> MaintenanceWave:
        # A wave may arrive within a round.
        seen_at = self._seen.setdefault(wave.number, steady_s())
        due_at = seen_at + wave.duration_s
        return MaintenanceWave(wave.number, left, wave.max_down, due_at)

    def _snapshot(
        self, machines: tuple[Machine, ...], waves: list[MaintenanceWave]
    ) -> FleetSnapshot | None:
        configuration = self._orders.configuration
        if configuration is None:
            return None
        states = tuple(
            MachineState(
                m.id,
                m.service,
                m.state == "up",
                m.worker,
                m.capacity,
                m.state in ("moving", "upkeep"),
                m.state == "upkeep",
                m.zone,
            )
            for m in machines
        )
        spare = frozenset(
            p.service for p in configuration.pools.values() if p.spare
        )
        snapshot = FleetSnapshot(
            states, {}, {}, frozenset(), tuple(waves), spare
        )
        evacuate = self._plan.evacuate(snapshot)
        cells = {
            cell_of(service, self._settings.partitions)
            for service in configuration.pools
        }
        reports = [self._peers.report(cell, evacuate) for cell in sorted(cells)]
        return _with_reports(snapshot, reports)

    def _carry_out(self, orders: list[FleetOrder], tenure: FleetTenure) -> None:
        outcomes = self._orderers.carry_out(orders, tenure.fence)
        for order, outcome in zip(orders, outcomes, strict=True):
            self._note_outcome(order, outcome, tenure)

    def _note_outcome(
        self, order: FleetOrder, outcome: MachineOrder, tenure: FleetTenure
    ) -> None:
        kind = type(order).__name__.lower()
        METRICS.count(
            "acaciawing.jobs.machine_orders", kind=kind, outcome=outcome.value
        )
        target = (
            f"wave {order.wave}"
            if isinstance(order, Maintain)
            else order.service
        )
        log_event(
            Event.MACHINE_ORDERED,
            {
                "machine": order.machine,
                "order": kind,
                "target": target,
                "fence": tenure.fence,
                "outcome": outcome.value,
            },
        )
        if isinstance(order, Maintain) and outcome in (
            MachineOrder.DONE,
            MachineOrder.NOT_OF_WAVE,
        ):
            self._statuses.note_done(order.wave, order.machine)
        if outcome is MachineOrder.INVALID:
            self._plan.record_refusal(order)
        elif outcome is MachineOrder.UNANSWERED:
            self._plan.record_unconfirmed(order, steady_s())
        elif outcome is not MachineOrder.NOT_DONE:
            self._plan.discard_order(order.machine)


def _log_decision(event: str, **values: Any) -> None:
    log_event(Event[event], values)


def _with_reports(
    snapshot: FleetSnapshot, reports: list[CellReport]
) -> FleetSnapshot:
    pools: dict[str, PoolLoad] = {}
    workers: dict[str, WorkerLoad] = {}
    evacuating: set[str] = set()
    for report in reports:
        pools.update(report.pools)
        workers.update(report.workers)
        evacuating.update(report.evacuating)
    return snapshot._replace(
        pools=pools, workers=workers, evacuating=frozenset(evacuating)
    )
