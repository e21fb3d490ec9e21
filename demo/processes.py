"""Processes of the demonstration."""

import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path


def free_ports(count: int) -> list[int]:
    """Finds ports that are free on the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for held in sockets:
            held.bind(("127.0.0.1", 0))
        return [int(held.getsockname()[1]) for held in sockets]
    finally:
        for held in sockets:
            held.close()


@dataclass
class Processes:
    """Child processes by name; all are ended by `close`."""

    folder: Path
    _running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str, *arguments: str) -> None:
        """Starts ``python -m ARGUMENTS`` with its output in a file."""
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
        """Process id of one process."""
        return self._running[name].pid

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to one process."""
        self._running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Exit status of one process, or None if it still runs."""
        try:
            return self._running[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def close(self) -> None:
        """Ends all processes that were started."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self._running.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
