"""Faults of a soak, drawn from a seed; they come in series and overlap."""

import random
import signal
import time
from collections.abc import Callable
from threading import Event, Thread

from soak.proxy import Fault, Proxy
from standins.platform_harness import PlatformHarness

# Longest fault, and longest pause before the next one, in seconds.
LONGEST_FAULT_S = 3.0
LONGEST_PAUSE_S = 1.2

Undo = Callable[[], None]


class Faults:
    """Plays faults until it is stopped, then undoes them all.

    Args:
        rig: Processes and stand-ins.
        stores: Proxy to the store, by instance.
        workers: Proxies to the workers.
        seed: Decides kinds, places and times.
    """

    def __init__(
        self,
        rig: PlatformHarness,
        stores: dict[int, Proxy],
        workers: list[Proxy],
        seed: int,
    ) -> None:
        """Keeps the arguments; `start` starts the thread."""
        self._rig = rig
        self._stores = stores
        self._workers = workers
        self._random = random.Random(seed)
        self._stopped = Event()
        self._undo: list[tuple[float, Undo]] = []
        self._thread = Thread(target=self._run, daemon=True)
        self.played: list[str] = []

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends all faults."""
        self._stopped.set()
        self._thread.join()
        for _, undo in self._undo:
            undo()
        self._undo.clear()

    def _run(self) -> None:
        kinds = [
            self._kill,
            self._stop_process,
            self._pause,
            self._store_fault,
            self._store_fault,
            self._store_away,
            self._worker_fault,
            self._worker_fault,
            self._worker_crash,
            self._resets,
        ]
        while not self._stopped.wait(
            self._random.uniform(0.05, LONGEST_PAUSE_S)
        ):
            now = time.monotonic()
            for entry in [e for e in self._undo if e[0] <= now]:
                self._undo.remove(entry)
                entry[1]()
            kind = self._random.choice(kinds)
            undo = kind()
            if undo is not None:
                lasts = self._random.uniform(0.2, LONGEST_FAULT_S)
                self._undo.append((now + lasts, undo))

    def _note(self, text: str) -> None:
        self.played.append(f"{time.monotonic():.2f} {text}")

    def _instance(self) -> int | None:
        running = self._rig.running_instances
        return self._random.choice(running) if running else None

    def _kill(self) -> Undo | None:
        number = self._instance()
        if number is None:
            return None
        self._note(f"kill {number}")
        self._rig.kill_instance(number)
        return lambda: self._rig.start_instance(number)

    def _stop_process(self) -> Undo | None:
        number = self._instance()
        if number is None:
            return None
        self._note(f"SIGTERM {number}")
        self._rig.signal_instance(number, signal.SIGTERM)
        self._rig.start_instance(number)
        return None

    def _pause(self) -> Undo | None:
        number = self._instance()
        if number is None:
            return None
        self._note(f"pause {number}")
        return self._rig.pause_instance(number)

    def _store_fault(self) -> Undo:
        number = self._random.choice(sorted(self._stores))
        return self._harm(self._stores[number], f"store of {number}")

    def _worker_fault(self) -> Undo:
        number = self._random.randrange(len(self._workers))
        return self._harm(self._workers[number], f"worker {number}")

    def _harm(self, proxy: Proxy, place: str) -> Undo:
        fault = self._random.choice(
            [Fault.DELAY, Fault.SILENT, Fault.ANSWERS_LOST]
        )
        proxy.delay_s = self._random.uniform(0.02, 0.4)
        proxy.fault = fault
        self._note(f"{fault.value} {place}")

        def undo() -> None:
            proxy.fault = Fault.NONE

        return undo

    def _store_away(self) -> Undo:
        self._note("store away")
        self._rig.store.unavailable = True

        def undo() -> None:
            self._rig.store.unavailable = False

        return undo

    def _worker_crash(self) -> None:
        number = self._random.randrange(len(self._workers))
        self._note(f"crash of worker {number}")
        self._rig.restart_worker(number, self._workers[number].reset)

    def _resets(self) -> None:
        self._note("resets")
        for proxy in (*self._stores.values(), *self._workers):
            if self._random.random() < 0.5:
                proxy.reset()
