"""Tests of orders for machines."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from acaciawing.jobs.fleet import FleetOrder, Maintain, Move
from acaciawing.jobserver.ordering import MachineOrders
from acaciawing.platform.machines import MachineOrder
from standins.server import Answer, json_answer, serving

_WAIT_S = 10.0


@contextmanager
def machines(together: int) -> Iterator[str]:
    """Answers moves only when some are in flight at the same time."""
    meeting = threading.Barrier(together)

    def handle(
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, str],
    ) -> Answer:
        del method, query, body, environ
        if path == "/v1/machine-upkeep":
            return json_answer(409, {"Reason": "wave"})
        meeting.wait(_WAIT_S)
        return json_answer(200, {})

    with serving(handle, threads=16) as address:
        yield address


class TestMachineOrders:
    """Guards against a peak whose machines are asked for one by one."""

    def test_orders_are_in_flight_together(self) -> None:
        with machines(together=4) as address:
            orders = MachineOrders(address, "entry-1")
            given: list[FleetOrder] = [
                Move(f"m{n}", "visits") for n in range(4)
            ]
            assert orders.carry_out(given, 1) == [MachineOrder.DONE] * 4

    def test_each_outcome_belongs_to_its_order(self) -> None:
        with machines(together=1) as address:
            orders = MachineOrders(address, "entry-1")
            given: list[FleetOrder] = [Move("m0", "visits"), Maintain("m1", 1)]
            assert orders.carry_out(given, 1) == [
                MachineOrder.DONE,
                MachineOrder.NOT_OF_WAVE,
            ]
