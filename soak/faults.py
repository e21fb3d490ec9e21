"""Injects overlapping faults, drawn from a seed, into a soak run."""

import random
import signal
import time
from collections.abc import Callable
from threading import Event, Thread

from soak.proxy import Fault, Proxy
from standins.platform_harness import FULL_RUNS, PlatformHarness

# Maximum duration of a fault, and maximum pause before the next one.
MAX_FAULT_DURATION_S = 3.0
MAX_PAUSE_S = 1.2

Undo = Callable[[], None]


class FaultInjector:
    """Injects faults until it is stopped, then undoes them all.

    Args:
        harness: Processes and stand-ins to inject faults into.
        stores: Proxy to the store, by instance number.
        workers: Proxies to the workers.
        seed: Determines kinds, targets and times of the faults.
        max_pause_s: Maximum pause between two faults, in seconds.

    Attributes:
        injected: Time and description of each fault, in order.
    """

    def __init__(
        self,
        harness: PlatformHarness,
        stores: dict[int, Proxy],
        workers: list[Proxy],
        seed: int,
        max_pause_s: float = MAX_PAUSE_S,
    ) -> None:
        """Prepares the thread; `start` starts it."""
        self._harness = harness
        self._stores = stores
        self._workers = workers
        self._random = random.Random(seed)
        self._max_pause_s = max_pause_s
        self._stopped = Event()
        self._pending_undos: list[tuple[float, Undo]] = []
        self._thread = Thread(target=self._run, daemon=True)
        self.injected: list[str] = []

    def start(self) -> None:
        """Starts to inject faults."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread and undoes all faults."""
        self._stopped.set()
        self._thread.join()
        for _, undo in self._pending_undos:
            undo()
        self._pending_undos.clear()

    def _run(self) -> None:
        kinds = [
            self._kill,
            self._terminate,
            self._pause,
            self._store_fault,
            self._store_fault,
            self._store_outage,
            self._worker_fault,
            self._worker_fault,
            self._worker_crash,
            self._worker_resize,
            self._worker_resize,
            self._reset_connections,
        ]
        while not self._stopped.wait(
            self._random.uniform(0.05, self._max_pause_s)
        ):
            now = time.monotonic()
            for entry in [e for e in self._pending_undos if e[0] <= now]:
                self._pending_undos.remove(entry)
                entry[1]()
            kind = self._random.choice(kinds)
            undo = kind()
            if undo is not None:
                duration_s = self._random.uniform(0.2, MAX_FAULT_DURATION_S)
                self._pending_undos.append((now + duration_s, undo))

    def record(self, text: str) -> None:
        """Records the present time and a description of a fault."""
        self.injected.append(f"{time.monotonic():.2f} {text}")

    def _choose_instance(self) -> int | None:
        running = self._harness.running_instances
        return self._random.choice(running) if running else None

    def _kill(self) -> Undo | None:
        number = self._choose_instance()
        if number is None:
            return None
        self.record(f"kill {number}")
        if not self._harness.kill_instance(number):
            return None
        return lambda: self._harness.start_instance(number)

    def _terminate(self) -> Undo | None:
        number = self._choose_instance()
        if number is None:
            return None
        self.record(f"SIGTERM {number}")
        if self._harness.signal_instance(number, signal.SIGTERM) is not None:
            self._harness.start_instance(number)
        return None

    def _pause(self) -> Undo | None:
        number = self._choose_instance()
        if number is None:
            return None
        self.record(f"pause {number}")
        return self._harness.pause_instance(number)

    def _store_fault(self) -> Undo:
        number = self._random.choice(sorted(self._stores))
        return self._inject_proxy_fault(
            self._stores[number], f"store of {number}"
        )

    def _worker_fault(self) -> Undo:
        number = self._random.randrange(len(self._workers))
        return self._inject_proxy_fault(
            self._workers[number], f"worker {number}"
        )

    def _inject_proxy_fault(self, proxy: Proxy, place: str) -> Undo:
        fault = self._random.choice(
            [Fault.DELAY, Fault.SILENT, Fault.ANSWERS_LOST]
        )
        proxy.delay_s = self._random.uniform(0.02, 0.4)
        proxy.fault = fault
        self.record(f"{fault.value} {place}")

        def undo() -> None:
            proxy.fault = Fault.NONE

        return undo

    def _store_outage(self) -> Undo:
        self.record("store away")
        self._harness.store.unavailable = True

        def undo() -> None:
            self._harness.store.unavailable = False

        return undo

    def _worker_crash(self) -> None:
        number = self._random.randrange(len(self._workers))
        self.record(f"crash of worker {number}")
        self._harness.restart_worker(number, self._workers[number].reset)

    def _worker_resize(self) -> None:
        number = self._random.randrange(len(self._workers))
        runs = self._random.randint(1, FULL_RUNS)
        self.record(f"worker {number} has room for {runs}")
        # Not undone: a larger capacity counts for longer than a fault lasts.
        self._harness.resize_worker(number, runs)

    def _reset_connections(self) -> None:
        self.record("resets")
        for proxy in (*self._stores.values(), *self._workers):
            if self._random.random() < 0.5:
                proxy.reset()
