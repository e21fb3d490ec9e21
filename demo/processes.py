"""Child processes of the demonstration."""

import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path


def free_ports(count: int) -> list[int]:
    """Returns ports that are free on the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for bound in sockets:
            bound.bind(("127.0.0.1", 0))
        return [int(bound.getsockname()[1]) for bound in sockets]
    finally:
        for bound in sockets:
            bound.close()


@dataclass
class Processes:
    """Child processes by name; `close` terminates all of them.

    Attributes:
        folder: Folder for the output files and other files of the processes.
    """

    folder: Path
    _running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str, *arguments: str) -> None:
        """Starts ``python -m ARGUMENTS`` and appends its output to a file."""
        output = (self.folder / f"{name}.log").open("ab")
        with output:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )

    def pid(self, name: str) -> int:
        """Returns the process id of a process."""
        return self._running[name].pid

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Returns the exit status of a process, or None after the timeout."""
        try:
            return self._running[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def close(self) -> None:
        """Terminates all processes; kills those that don't exit within 5 s."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self._running.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
