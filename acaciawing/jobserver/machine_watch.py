"""Task that lists the platform's machines while runs are unconfirmed."""

import threading
from collections.abc import Callable

from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import TICK_INTERVAL_S
from acaciawing.jobserver.messages import MachineListRead
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.machines import MachineClient, MachineList
from acaciawing.telemetry import Event, log_event

# Minimum time between two listings, because each has a cost.
_INTERVAL_S = 0.5


class MachineWatch:
    """Reports to the engine which workers still have a machine.

    Args:
        address: ``ip:port`` of the platform's machine API.
        holder: Name of this instance.
        has_unconfirmed_runs: Returns whether the list is needed.
        send: Adds a message to the engine's inbox.
    """

    def __init__(
        self,
        address: str,
        holder: str,
        has_unconfirmed_runs: Callable[[], bool],
        send: Callable[[MachineListRead], None],
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._client = MachineClient(address, holder)
        self._has_unconfirmed_runs = has_unconfirmed_runs
        self._send = send
        self._pause = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task("machine watch", self._run, restart=True)

    def _run(self) -> None:
        while True:
            if not self._has_unconfirmed_runs():
                self._pause.wait(TICK_INTERVAL_S)
                continue
            requested_at = steady_s()
            listed = self._client.list()
            if isinstance(listed, MachineList):
                workers = frozenset(m.worker for m in listed.machines)
                self._send(MachineListRead(workers, requested_at))
            else:
                log_event(
                    Event.FINDING,
                    {"place": "machines", "fault": listed.detail},
                )
            self._pause.wait(_INTERVAL_S)
