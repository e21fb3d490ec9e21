"""Starts the threads of the job server."""

import os
import threading
import traceback
from collections.abc import Callable

from acaciawing.telemetry import Event, log_event

# Pause before a failed task is restarted.
_RESTART_DELAY_S = 0.5

# Exit status after the failure of a task that can't be restarted. The platform
# then starts a new process, which recovers from the store and the workers.
_FAILED_EXIT_STATUS = 70


def start_task(
    name: str, target: Callable[[], None], *, restart: bool = False
) -> None:
    """Starts a task in its own thread.

    Args:
        name: Name of the thread and of the task in the log.
        target: Function that the thread runs.
        restart: Whether to restart the task after an unexpected error. Without
            it, the process exits, because the task's state may be wrong.
    """

    def run() -> None:
        while True:
            try:
                target()
                return
            except Exception as error:
                log_event(
                    Event.TASK_FAILED,
                    {
                        "task": name,
                        "error": repr(error),
                        "trace": traceback.format_exc(limit=-4),
                        "restart": restart,
                    },
                )
                if not restart:
                    os._exit(_FAILED_EXIT_STATUS)
            threading.Event().wait(_RESTART_DELAY_S)

    threading.Thread(target=run, name=name, daemon=True).start()
