"""Tests of sending machine orders."""

import math

from acaciawing.jobs.fleet import FleetOrder, Maintain, Move
from acaciawing.jobserver.machine_orders import MachineOrderExecutor
from acaciawing.platform.machines import MachineOrderOutcome
from standins.job_machines import JobMachines
from standins.server import serving


def _holds_cell() -> bool:
    return True


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
                executor.carry_out(orders, 1, math.inf, _holds_cell)
                == [MachineOrderOutcome.DONE] * 4
            )

    def test_outcomes_are_returned_in_order(self) -> None:
        with serving(
            JobMachines(concurrent_moves=1).handle, threads=16
        ) as address:
            executor = MachineOrderExecutor(address, "entry-1")
            orders: list[FleetOrder] = [Move("m0", "visits"), Maintain("m1", 1)]
            assert executor.carry_out(orders, 1, math.inf, _holds_cell) == [
                MachineOrderOutcome.DONE,
                MachineOrderOutcome.NOT_IN_WAVE,
            ]

    def test_outdated_order_is_not_sent(self) -> None:
        # After a freeze, the machine may have runs that the order would end.
        machines = JobMachines(concurrent_moves=1)
        with serving(machines.handle, threads=16) as address:
            executor = MachineOrderExecutor(address, "entry-1")
            outcomes = executor.carry_out(
                [Move("m0", "visits")], 1, -math.inf, _holds_cell
            )
            assert outcomes == [MachineOrderOutcome.NOT_DONE]

    def test_orders_in_hand_are_not_sent_after_the_cell_was_lost(self) -> None:
        machines = JobMachines(concurrent_moves=1)
        holds_cell = iter([True, False, False])
        with serving(machines.handle, threads=16) as address:
            executor = MachineOrderExecutor(address, "entry-1")
            orders: list[FleetOrder] = [
                Move(f"m{n}", "visits") for n in range(3)
            ]
            outcomes = executor.carry_out(
                orders, 1, math.inf, lambda: next(holds_cell)
            )
            assert outcomes.count(MachineOrderOutcome.DONE) == 1
            assert outcomes.count(MachineOrderOutcome.NOT_DONE) == 2
