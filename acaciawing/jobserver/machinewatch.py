"""Reads the platform's machines while workers are in doubt."""

import threading
from collections.abc import Callable

from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import TICK_S
from acaciawing.jobserver.messages import MachinesRead
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.machines import MachineClient, MachineList
from acaciawing.telemetry import Event, log_event

# Shortest time between two readings, in seconds; each has its price.
_INTERVAL_S = 0.5


class MachineWatch:
    """Tells the engine which workers still have a machine.

    Args:
        address: ``ip:port`` of the machines' interface.
        holder: Name of this instance.
        in_doubt: Whether the list is needed.
        send: Puts a message into the engine's inbox.
    """

    def __init__(
        self,
        address: str,
        holder: str,
        in_doubt: Callable[[], bool],
        send: Callable[[MachinesRead], None],
    ) -> None:
        """Keeps the arguments; `start` starts the thread."""
        self._client = MachineClient(address, holder)
        self._in_doubt = in_doubt
        self._send = send
        self._pause = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task("machine watch", self._run, restart=True)

    def _run(self) -> None:
        while True:
            if not self._in_doubt():
                self._pause.wait(TICK_S)
                continue
            asked_at = steady_s()
            listed = self._client.list()
            if isinstance(listed, MachineList):
                workers = frozenset(m.worker for m in listed.machines)
                self._send(MachinesRead(workers, asked_at))
            else:
                log_event(
                    Event.FINDING,
                    {"place": "machines", "fault": listed.detail},
                )
            self._pause.wait(_INTERVAL_S)
