"""Tests of the fleet's decisions: loans, releases and waves."""

from acaciawing.jobs import Resources
from acaciawing.jobs.fleet import (
    FleetOrder,
    FleetSnapshot,
    MachineState,
    Maintain,
    MaintenanceWave,
    Move,
    PoolLoad,
    WorkerLoad,
)
from acaciawing.jobs.fleet_planner import FleetPlanner
from acaciawing.jobs.pending_orders import MAX_ORDER_DELAY_S
from acaciawing.jobs.pool_sizing import (
    MIN_MACHINES,
    MIN_OBSERVATION_S,
    SURPLUS_RETENTION_S,
)

_SIZE = Resources(32_000, 131_072)
_SPARE = "portal"


class Fleet:
    """Simulates the machines of two pools and a spare pool, and their loads."""

    def __init__(self, busy: int = 4, idle: int = 4, off: int = 4) -> None:  # noqa: D107
        self.plan = FleetPlanner()
        self.now = 10.0
        self.machines = {
            **{f"b{n}": self._machine(f"b{n}", "busy") for n in range(busy)},
            **{f"i{n}": self._machine(f"i{n}", "idle") for n in range(idle)},
            **{f"o{n}": self._machine(f"o{n}", _SPARE) for n in range(off)},
        }
        self.loads: dict[str, int] = {}
        self.waiting: dict[str, int] = {}
        self.lasting: dict[str, int] = {}
        self.waves: tuple[MaintenanceWave, ...] = ()
        self.unreached: frozenset[str] = frozenset()

    def _machine(self, name: str, service: str) -> MachineState:
        worker = "" if service == _SPARE else f"w-{name}"
        return MachineState(name, service, True, worker, _SIZE)

    def _snapshot(self) -> FleetSnapshot:
        pools = {}
        for service in ("busy", "idle"):
            used = sum(
                self.loads.get(m.id, 0)
                for m in self.machines.values()
                if m.service == service
            )
            pools[service] = PoolLoad(
                Resources(self.waiting.get(service, 0)),
                Resources(used),
                Resources(),
            )
        workers = {
            m.worker: WorkerLoad(
                int(self.loads.get(m.id, 0) > 0) + self.lasting.get(m.id, 0),
                self.lasting.get(m.id, 0),
                self.loads.get(m.id, 0),
                contacted=m.id not in self.unreached,
            )
            for m in self.machines.values()
            if m.worker
        }
        snapshot = FleetSnapshot(
            tuple(self.machines.values()),
            pools,
            workers,
            frozenset(),
            self.waves,
            frozenset({_SPARE}),
        )
        return snapshot._replace(
            evacuating=self.plan.evacuate(snapshot).workers
        )

    def rounds(self, seconds: float) -> list[FleetOrder]:
        """Runs rounds of decisions; orders are carried out immediately."""
        given = []
        until = self.now + seconds
        while self.now < until:
            self.now += 0.15
            for order in self.plan.decide(self._snapshot(), self.now):
                given.append(order)
                self.plan.discard_order(order.machine)
                if isinstance(order, Move):
                    self.machines[order.machine] = self._machine(
                        order.machine, order.service
                    )
        return given


class TestReleases:
    """Guards against the cost of idle machines in a pool."""

    def test_idle_pool_keeps_the_minimum_of_machines(self) -> None:
        fleet = Fleet()
        fleet.loads = {"i0": 1_000}
        fleet.rounds(MIN_OBSERVATION_S + SURPLUS_RETENTION_S + 2)
        left = [m for m in fleet.machines.values() if m.service == "idle"]
        assert len(left) == MIN_MACHINES

    def test_short_load_drop_turns_no_machine_off(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=6)
        fleet.loads = {f"i{n}": 25_000 for n in range(6)}
        fleet.rounds(MIN_OBSERVATION_S)
        fleet.loads = {"i0": 1_000}
        assert not fleet.rounds(SURPLUS_RETENTION_S / 2)

    def test_machines_with_long_running_subtasks_stay(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=6)
        fleet.lasting = {f"i{n}": 1 for n in range(6)}
        fleet.loads = {"i0": 1_000}
        assert not fleet.rounds(MIN_OBSERVATION_S + SURPLUS_RETENTION_S + 2)

    def test_no_machine_is_turned_off_without_a_spare_pool(self) -> None:
        fleet = Fleet(off=0)
        snapshot = fleet._snapshot()._replace(spare=frozenset())
        for _ in range(40):
            fleet.now += 0.15
            assert not fleet.plan.decide(snapshot, fleet.now)

    def test_pool_without_observed_load_keeps_its_machines(
        self,
    ) -> None:
        # Machines were released just before the first load peak.
        fleet = Fleet(busy=MIN_MACHINES, idle=6)
        assert not fleet.rounds(MIN_OBSERVATION_S + 5)


class TestLoans:
    """Guards against a load peak that waits while machines are unused."""

    def test_turned_off_machines_are_lent_first(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        fleet.loads = {f"b{n}": 32_000 for n in range(MIN_MACHINES)}
        fleet.waiting = {"busy": 32_000}
        orders = fleet.rounds(0.3)
        assert orders
        assert all(o.machine.startswith("o") for o in orders)

    def test_machine_with_unknown_runs_is_not_lent(self) -> None:
        fleet = Fleet(off=0)
        fleet.unreached = frozenset({"i0", "i1", "i2"})
        fleet.waiting["busy"] = 8 * _SIZE.cpu
        orders = fleet.rounds(1.0)
        assert {o.machine for o in orders} == {"i3"}

    def test_rising_load_is_extrapolated(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        for step in range(6):
            fleet.loads = {"b0": 14_000 * step}
            orders = fleet.rounds(0.2)
            if orders:
                break
        assert orders
        assert fleet.loads["b0"] < MIN_MACHINES * _SIZE.cpu

    def test_refused_move_is_not_ordered_again(
        self,
    ) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES, off=1)
        fleet.waiting = {"busy": 200_000}
        order = next(iter(fleet.rounds(0.3)))
        fleet.machines[order.machine] = fleet._machine(order.machine, _SPARE)
        fleet.plan.record_refusal(order)
        assert order not in fleet.rounds(1.0)


class TestUnreachableZones:
    """Guards against a pool size that includes unreachable machines."""

    def test_silent_machines_are_replaced_from_reachable_zones(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES, off=4)
        for number, name in enumerate(fleet.machines):
            zone = "cut" if number % 2 else "whole"
            old = fleet.machines[name]
            fleet.machines[name] = MachineState(
                name, old.service, True, old.worker, _SIZE, zone=zone
            )
        snapshot = fleet._snapshot()
        zones = {m.id: m.zone for m in snapshot.machines}
        cut = snapshot._replace(
            workers={
                m.worker: WorkerLoad(0, 0, 0, m.zone == "cut")
                for m in snapshot.machines
                if m.worker
            }
        )
        orders = fleet.plan.decide(cut, fleet.now)
        assert orders
        assert {zones[o.machine] for o in orders} == {"whole"}


class TestWaves:
    """Guards against late waves and too many machines in maintenance."""

    def _wave(self, *machines: str, max_down: int = 2) -> MaintenanceWave:
        return MaintenanceWave(1, machines, max_down, 35.0)

    def test_turned_off_machines_are_maintained_immediately(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        fleet.waves = (self._wave("o0", "o1", "o2"),)
        orders = fleet.rounds(0.2)
        assert orders[:2] == [Maintain("o0", 1), Maintain("o1", 1)]

    def test_unconfirmed_order_is_treated_as_carried_out(self) -> None:
        # It may be carried out late, while other machines are down.
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        for name in ("o2", "o3"):
            fleet.plan.record_unconfirmed(Maintain(name, 1), fleet.now)
        fleet.waves = (self._wave("o0", "o1"),)
        assert not fleet.rounds(MAX_ORDER_DELAY_S - 1)
        assert fleet.rounds(2)

    def test_moving_machines_do_not_delay_a_wave(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        for name in ("i0", "i1"):
            fleet.machines[name] = MachineState(
                name, "idle", False, "", _SIZE, True
            )
        fleet.waves = (self._wave("o0"),)
        assert fleet.rounds(0.1) == [Maintain("o0", 1)]

    def test_machines_with_long_running_subtasks_begin_first(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        fleet.lasting = {"i2": 1}
        fleet.loads = {"i0": 1_000, "i1": 1_000}
        fleet.waves = (self._wave("i0", "i1", "i2"),)
        fleet.rounds(0.2)
        assert "w-i2" in fleet.plan.evacuate(fleet._snapshot()).workers

    def test_limit_of_machines_down_is_kept(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        fleet.waves = (self._wave("o0", "o1", "o2"),)
        for name in ("i0", "i1"):
            fleet.machines[name] = MachineState(
                name, "idle", False, "", _SIZE, True, in_maintenance=True
            )
        assert not [o for o in fleet.rounds(0.5) if isinstance(o, Maintain)]

    def test_many_long_running_machines_begin_in_time(self) -> None:
        # One after the other, the last of them missed the end of the wave.
        fleet = Fleet(busy=MIN_MACHINES, idle=8)
        fleet.lasting = {f"i{n}": 1 for n in range(8)}
        fleet.waves = (self._wave(*(f"i{n}" for n in range(8))),)
        fleet.rounds(0.2)
        # 8 machines of 6 s each in 20 s.
        assert len(fleet.plan.evacuate(fleet._snapshot()).workers) == 3

    def test_pool_full_of_long_running_subtasks_gets_a_replacement(
        self,
    ) -> None:
        # Without room elsewhere, the evacuation waited until the wave was late.
        fleet = Fleet(busy=MIN_MACHINES, idle=5)
        fleet.lasting = {f"i{n}": 1 for n in range(5)}
        fleet.waves = (self._wave("i0"),)
        orders = fleet.rounds(0.5)
        assert [o.service for o in orders if isinstance(o, Move)] == ["idle"]


class TestUnconfirmedOrders:
    """Guards against runs on a machine that a late order may still take."""

    def _release(self, fleet: Fleet) -> Move:
        """Lets a release stay unanswered; returns it."""
        fleet.loads = {"b0": 1_000, "i0": 1_000}
        for _ in range(100):
            fleet.now += 0.15
            orders = fleet.plan.decide(fleet._snapshot(), fleet.now)
            if orders:
                order = orders[0]
                assert isinstance(order, Move)
                fleet.plan.record_unconfirmed(order, fleet.now)
                return order
        raise AssertionError("no machine was released")

    def test_machine_stays_evacuated_and_the_order_is_repeated(self) -> None:
        fleet = Fleet()
        order = self._release(fleet)
        fleet.now += 0.15
        repeated = fleet.plan.decide(fleet._snapshot(), fleet.now)
        evacuated = fleet.plan.evacuate(fleet._snapshot()).workers
        assert order in repeated
        assert f"w-{order.machine}" in evacuated

    def test_returning_load_does_not_reclaim_the_machine(self) -> None:
        fleet = Fleet(off=0)
        order = self._release(fleet)
        fleet.waiting = {"idle": 400_000, "busy": 400_000}
        fleet.now += 0.15
        fleet.plan.decide(fleet._snapshot(), fleet.now)
        evacuated = fleet.plan.evacuate(fleet._snapshot()).workers
        assert f"w-{order.machine}" in evacuated
        assert fleet.plan._orders.find(order.machine) == order

    def test_machine_that_has_moved_is_used_again(self) -> None:
        fleet = Fleet()
        order = self._release(fleet)
        fleet.machines[order.machine] = fleet._machine(
            order.machine, order.service
        )
        fleet.now += 0.15
        fleet.plan.decide(fleet._snapshot(), fleet.now)
        assert order.machine not in fleet.plan._orders

    def test_machine_is_not_moved_on_while_a_late_move_may_follow(
        self,
    ) -> None:
        # The first call, carried out late, would take it from its new pool.
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES, off=1)
        fleet.waiting = {"idle": 200_000}
        (order,) = fleet.plan.decide(fleet._snapshot(), fleet.now)
        fleet.plan.record_unconfirmed(order, fleet.now)
        fleet.plan.discard_order(order.machine)
        fleet.machines["o0"] = fleet._machine("o0", "idle")
        fleet.waiting = {"busy": 200_000}
        fleet.loads = {"i0": 1_000, "i1": 1_000, "i2": 1_000}
        early = fleet.rounds(MAX_ORDER_DELAY_S - 1)
        assert not [o for o in early if o.machine == "o0"]
        assert [o for o in fleet.rounds(2) if o.machine == "o0"]

    def test_unanswered_maintenance_is_repeated_within_the_limit(self) -> None:
        fleet = Fleet(busy=MIN_MACHINES, idle=MIN_MACHINES)
        fleet.waves = (MaintenanceWave(1, ("o0", "o1"), 1, 35.0),)
        first = fleet.plan.decide(fleet._snapshot(), fleet.now)
        assert first == (Maintain("o0", 1),)
        fleet.plan.record_unconfirmed(first[0], fleet.now)
        fleet.now += 0.15
        assert fleet.plan.decide(fleet._snapshot(), fleet.now) == first
