"""Tasks that follow the operators' orders and the platform's worker list."""

import threading
from collections.abc import Callable

from acaciawing.jobs import Configuration, Worker
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import (
    IDLE_READ_INTERVAL_S,
    MAX_RETRY_PAUSE_S,
    READ_WAIT_MS,
    RETRY_PAUSE_S,
    WORKER_READ_INTERVAL_S,
)
from acaciawing.jobserver.membership import StoreContact
from acaciawing.jobserver.messages import (
    ConfigurationRead,
    Message,
    WorkerListRead,
)
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.store import (
    Expired,
    KeyedRecord,
    Newest,
    Read,
    Store,
    parse_keyed,
)
from acaciawing.platform.wire import (
    Finding,
    Wave,
    decode_configuration,
    decode_wave,
    decode_worker,
)
from acaciawing.telemetry import Event, log_event

_ORDERS_TOPIC = "keyed.op"
_WORKERS_TOPIC = "keyed.servers"
_CONFIGURATION_KEY = "config"
_WAVE_PREFIX = "wave/"


def _report(finding: Finding) -> None:
    log_event(Event.FINDING, {"place": finding.place, "fault": finding.fault})


class KeyedFollower:
    """Reads the newest records of a keyed topic, then follows changes.

    Args:
        address: ``ip:port`` of the store.
        topic: Name of the topic.
        interval_s: Returns the shortest time between two reads, in seconds.
    """

    def __init__(
        self, address: str, topic: str, interval_s: Callable[[], float]
    ) -> None:
        """Keeps the arguments; `start` starts the thread."""
        self._store = Store(address)
        self._topic = topic
        self._interval_s = interval_s
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task(self._topic, self._run, restart=True)

    def close(self) -> None:
        """Ends the thread after its present call."""
        self._closed.set()

    def record_answer(self) -> None:
        """Takes note of an answer of the store."""

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Takes the newest record of every key."""
        raise NotImplementedError

    def change(self, records: tuple[KeyedRecord, ...]) -> None:
        """Takes changes in order."""
        raise NotImplementedError

    def _run(self) -> None:
        offset: int | None = None
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            if offset is None:
                newest = self._store.newest(self._topic)
                if isinstance(newest, Newest):
                    self.replace(newest.records)
                    offset, pause = newest.end, RETRY_PAUSE_S
                    continue
            else:
                result = self._store.read(self._topic, 0, offset, READ_WAIT_MS)
                if isinstance(result, Expired):
                    offset = None
                    continue
                if isinstance(result, Read):
                    self.record_answer()
                    pause = RETRY_PAUSE_S
                    offset = result.next_offset
                    self._take(result.records)
                    self._closed.wait(self._interval_s())
                    continue
            self._closed.wait(pause)
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)

    def _take(self, payloads: tuple[bytes, ...]) -> None:
        records = [parse_keyed(payload) for payload in payloads]
        known = tuple(r for r in records if r is not None)
        if len(known) < len(records):
            _report(Finding(self._topic, "a record has no key"))
        if known:
            self.change(known)


class ConfigurationFollower(KeyedFollower):
    """Follows configurations and waves.

    Attributes:
        configuration: Version in force at this instance; None before one.
        waves: Orders for waves by number.

    Args:
        address: ``ip:port`` of the store.
        send: Puts a message into the engine's inbox.
        contact: Receives when the store answers.
    """

    def __init__(
        self,
        address: str,
        send: Callable[[Message], None],
        contact: StoreContact,
    ) -> None:
        """Keeps the arguments."""
        super().__init__(address, _ORDERS_TOPIC, lambda: 0.0)
        self._send = send
        self._contact = contact
        self.configuration: Configuration | None = None
        self.waves: dict[int, Wave] = {}

    def record_answer(self) -> None:
        """Takes note of an answer of the store."""
        self._contact.record_answer(steady_s())

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Takes the newest orders."""
        self.change(records)

    def change(self, records: tuple[KeyedRecord, ...]) -> None:
        """Takes orders that are newer than the known ones."""
        for record in records:
            if record.value is None:
                continue
            if record.key == _CONFIGURATION_KEY:
                self._configure(record.value)
            elif record.key.startswith(_WAVE_PREFIX):
                wave = decode_wave(record.key, record.value)
                if isinstance(wave, Finding):
                    _report(wave)
                else:
                    self.waves = {**self.waves, wave.number: wave}

    def _configure(self, value: bytes) -> None:
        read = decode_configuration(value)
        if isinstance(read, Finding):
            _report(read)
            return
        known = self.configuration
        if known is not None and read.version <= known.version:
            return
        self.configuration = read
        self._send(ConfigurationRead(read))
        log_event(
            Event.QUEUES_IN_FORCE,
            {"version": read.version, "queues": len(read.queues)},
        )


class WorkerListFollower(KeyedFollower):
    """Follows the platform's list of workers.

    Args:
        address: ``ip:port`` of the store.
        send: Puts a message into the engine's inbox.
        in_use: Whether a cell of this instance uses the list.
    """

    def __init__(
        self,
        address: str,
        send: Callable[[Message], None],
        in_use: Callable[[], bool],
    ) -> None:
        """Keeps the arguments."""
        super().__init__(
            address,
            _WORKERS_TOPIC,
            lambda: (
                WORKER_READ_INTERVAL_S if in_use() else IDLE_READ_INTERVAL_S
            ),
        )
        self._send = send
        self._workers: dict[str, Worker] = {}
        self._unreadable: set[str] = set()

    def replace(self, records: tuple[KeyedRecord, ...]) -> None:
        """Takes the whole list."""
        self._workers = {}
        self.change(records)

    def change(self, records: tuple[KeyedRecord, ...]) -> None:
        """Takes changed entries; an unreadable one names no worker."""
        for record in records:
            self._workers.pop(record.key, None)
            if record.value is None:
                continue
            worker = decode_worker(record.key, record.value)
            if isinstance(worker, Worker):
                self._workers[record.key] = worker
                self._unreadable.discard(record.key)
            elif record.key not in self._unreadable:
                self._unreadable.add(record.key)
                _report(worker)
        self._send(WorkerListRead(tuple(self._workers.values())))
