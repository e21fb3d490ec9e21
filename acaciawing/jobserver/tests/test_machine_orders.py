"""Tests of sending machine orders."""

from acaciawing.jobs.fleet import FleetOrder, Maintain, Move
from acaciawing.jobserver.machine_orders import MachineOrderExecutor
from acaciawing.platform.machines import MachineOrderOutcome
from standins.job_machines import JobMachines
from standins.server import serving


class TestMachineOrderExecutor:
    """Guards against ordering the machines for a peak one by one."""

    def test_orders_are_sent_concurrently(self) -> None:
        with serving(
            JobMachines(concurrent_moves=4).handle, threads=16
        ) as address:
            executor = MachineOrderExecutor(address, "entry-1")
            orders: list[FleetOrder] = [
                Move(f"m{n}", "visits") for n in range(4)
            ]
            assert (
                executor.carry_out(orders, 1) == [MachineOrderOutcome.DONE] * 4
            )

    def test_outcomes_are_returned_in_order(self) -> None:
        with serving(
            JobMachines(concurrent_moves=1).handle, threads=16
        ) as address:
            executor = MachineOrderExecutor(address, "entry-1")
            orders: list[FleetOrder] = [Move("m0", "visits"), Maintain("m1", 1)]
            assert executor.carry_out(orders, 1) == [
                MachineOrderOutcome.DONE,
                MachineOrderOutcome.NOT_IN_WAVE,
            ]
