"""Task of the fleet's cell: maintains and lends machines while it is held."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
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
from acaciawing.jobserver.keyed_topics import ConfigurationFollower
from acaciawing.jobserver.limits import MACHINE_ORDER_VALIDITY_S
from acaciawing.jobserver.machine_orders import MachineOrderExecutor
from acaciawing.jobserver.membership import cell_of
from acaciawing.jobserver.messages import FleetTenure
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.peers import Peers
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.fleet_records import MachineOrderStore, WaveStatusStore
from acaciawing.platform.machines import (
    MachineClient,
    MachineList,
    MachineOrderOutcome,
)
from acaciawing.platform.node import NodeSettings
from acaciawing.platform.wire import Machine, Wave
from acaciawing.telemetry import Event, log_event

# Pause between two rounds: every listing of the machines has a cost, but a peak
# of demand lasts only some seconds.
_ROUND_INTERVAL_S = 0.15

# A new holder gives no orders for this time, because the earlier holder may not
# know yet that it has lost the cell. Longer than the join interval.
_TAKEOVER_DELAY_S = 0.5

# Cells are asked for their reports at the same time, because a lost holder takes
# up to 1.2 s to be recognized.
MAX_PARALLEL_REPORTS = 8

# Limits the orders of a round, so that later orders are decided on newer data.
MAX_ORDERS_PER_ROUND = 40


class FleetTask:
    """Lists the machines, decides on orders and sends them, in rounds.

    Args:
        settings: Settings that the platform provides for this instance.
        configuration_follower: Supplies the configuration and the waves.
        peers: Reads the load reports of the cells' holders.
        tenure: Returns the current tenure of the fleet's cell, or None.
        may_order: Returns whether machines may be ordered under a tenure.
    """

    def __init__(
        self,
        settings: NodeSettings,
        configuration_follower: ConfigurationFollower,
        peers: Peers,
        tenure: Callable[[], FleetTenure | None],
        may_order: Callable[[FleetTenure], bool],
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._settings = settings
        self._configuration_follower = configuration_follower
        self._peers = peers
        self._tenure = tenure
        self._may_order_machines = may_order
        self._client = MachineClient(settings.machines_address, settings.name)
        self._order_executor = MachineOrderExecutor(
            settings.machines_address, settings.name
        )
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_REPORTS, "cell reports"
        )
        self._statuses = WaveStatusStore(settings.store_address)
        self._plan = FleetPlanner(_log_decision)
        self._waves_observed_at: dict[int, float] = {}
        self._plan_tenure: FleetTenure | None = None
        self._order_notes = MachineOrderStore(settings.store_address)
        self._recently_ordered: frozenset[str] | None = None
        self._pause = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task("fleet", self._run, restart=True)

    def _run(self) -> None:
        while True:
            tenure = self._tenure()
            if (
                tenure is None
                or self._configuration_follower.configuration is None
            ):
                self._plan_tenure = None
            else:
                if tenure != self._plan_tenure:
                    self._plan_tenure = tenure
                    self._plan = FleetPlanner(_log_decision)
                    self._recently_ordered = None
                    self._statuses.invalidate()
                self._record_waves(steady_s())
                if steady_s() - tenure.since > _TAKEOVER_DELAY_S:
                    self._run_round(tenure)
            self._pause.wait(_ROUND_INTERVAL_S)

    def _record_waves(self, now: float) -> None:
        for number in self._configuration_follower.waves:
            self._waves_observed_at.setdefault(number, now)

    def _run_round(self, tenure: FleetTenure) -> None:
        progress = self._statuses.read(set(self._configuration_follower.waves))
        if progress is None:
            return
        listed = self._client.list()
        if not isinstance(listed, MachineList):
            log_event(
                Event.FINDING, {"place": "machines", "fault": listed.detail}
            )
            return
        waves = self._update_waves(listed.machines)
        not_after = steady_s() + MACHINE_ORDER_VALIDITY_S
        snapshot = self._snapshot(listed.machines, waves)
        if snapshot is None:
            return
        orders = [
            order
            for order in self._plan.decide(snapshot, steady_s())
            if self._may_order(order.machine, tenure)
        ][:MAX_ORDERS_PER_ROUND]
        if (
            orders
            and self._may_order_machines(tenure)
            and self._record_orders(orders, tenure)
        ):
            self._carry_out(orders, snapshot, tenure, not_after)

    def _may_order(self, machine: str, tenure: FleetTenure) -> bool:
        """Returns whether this holder may order a machine yet.

        The order lease must pass between two holders' orders for a machine.
        """
        lease_ms = self._settings.order_lease_ms
        if self._recently_ordered is None:
            notes = self._order_notes.read()
            if notes is None:
                return False
            self._recently_ordered = recently_ordered_machines(
                notes, tenure.fence, lease_ms, unix_ms()
            )
        wait_s = _TAKEOVER_DELAY_S + lease_ms / 1000
        return (
            machine not in self._recently_ordered
            or steady_s() - tenure.since >= wait_s
        )

    def _record_orders(
        self, orders: list[FleetOrder], tenure: FleetTenure
    ) -> bool:
        """Stores the orders for the next holder before they are sent."""
        name, fence = self._settings.name, tenure.fence
        return self._order_notes.write(
            [
                LastMachineOrder(o.machine, name, fence, unix_ms())
                for o in orders
            ]
        )

    def _update_waves(
        self, machines: tuple[Machine, ...]
    ) -> list[MaintenanceWave]:
        """Stores each wave's state; returns the waves that are not completed."""
        known = {m.id for m in machines}
        waves = []
        for number, wave in sorted(self._configuration_follower.waves.items()):
            if self._statuses.completed(number):
                continue
            maintenance_started = self._statuses.maintenance_started(number)
            remaining = tuple(
                m
                for m in wave.machines
                if m in known and m not in maintenance_started
            )
            self._statuses.write(number, completed=not remaining)
            if remaining:
                waves.append(self._wave_order(wave, remaining))
            else:
                log_event(
                    Event.WAVE_STATE,
                    {"wave": number, "state": "completed", "left": 0},
                )
        return waves

    def _wave_order(
        self, wave: Wave, remaining: tuple[str, ...]
    ) -> MaintenanceWave:
        # A wave that arrived during this round is not recorded yet.
        observed_at = self._waves_observed_at.setdefault(
            wave.number, steady_s()
        )
        due_at = observed_at + wave.duration_s
        return MaintenanceWave(wave.number, remaining, wave.max_down, due_at)

    def _snapshot(
        self, machines: tuple[Machine, ...], waves: list[MaintenanceWave]
    ) -> FleetSnapshot | None:
        configuration = self._configuration_follower.configuration
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
        reports = self._executor.map(
            lambda cell: self._peers.cell_report(cell, evacuate), sorted(cells)
        )
        return _with_reports(snapshot, list(reports))

    def _carry_out(
        self,
        orders: list[FleetOrder],
        snapshot: FleetSnapshot,
        tenure: FleetTenure,
        not_after: float,
    ) -> None:
        outcomes = self._order_executor.carry_out(
            orders,
            tenure.fence,
            not_after,
            lambda: self._may_order_machines(tenure),
        )
        workers = {m.id: m.worker for m in snapshot.machines}
        for order, outcome in zip(orders, outcomes, strict=True):
            worker = workers[order.machine]
            _log_order(
                order, outcome, tenure, worker, snapshot.workers.get(worker)
            )
            self._handle_outcome(order, outcome)
        self._statuses.save_maintenance_started()

    def _handle_outcome(
        self, order: FleetOrder, outcome: MachineOrderOutcome
    ) -> None:
        if isinstance(order, Maintain) and outcome in (
            MachineOrderOutcome.DONE,
            MachineOrderOutcome.NOT_IN_WAVE,
        ):
            self._statuses.record_maintenance_started(order.wave, order.machine)
        if outcome is MachineOrderOutcome.INVALID:
            self._plan.record_refusal(order)
        elif outcome is MachineOrderOutcome.UNANSWERED:
            self._plan.record_unconfirmed(order, steady_s())
        elif outcome is not MachineOrderOutcome.NOT_DONE:
            self._plan.discard_order(order.machine)


def _log_order(
    order: FleetOrder,
    outcome: MachineOrderOutcome,
    tenure: FleetTenure,
    worker: str,
    load: WorkerLoad | None,
) -> None:
    """Logs an order with what it rests on: the report on its worker."""
    kind = type(order).__name__.lower()
    METRICS.count(
        "acaciawing.jobs.machine_orders", kind=kind, outcome=outcome.value
    )
    target = (
        f"wave {order.wave}" if isinstance(order, Maintain) else order.service
    )
    log_event(
        Event.MACHINE_ORDERED,
        {
            "machine": order.machine,
            "order": kind,
            "target": target,
            "fence": tenure.fence,
            "outcome": outcome.value,
            "worker": worker,
            "runs": load.runs if load is not None else None,
            "contacted": load.contacted if load is not None else None,
        },
    )


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
