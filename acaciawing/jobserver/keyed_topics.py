"""Tasks that follow keyed topics of the store.

They read the operators' configuration and waves and the platform's worker list.
"""

import threading
from collections.abc import Callable

from acaciawing.jobs import Configuration, Worker
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.limits import (
    IDLE_WORKER_READ_INTERVAL_S,
    MAX_RETRY_PAUSE_S,
    READ_WAIT_MS,
    RETRY_PAUSE_S,
    WORKER_READ_INTERVAL_S,
)
from acaciawing.jobserver.membership import StoreContact
from acaciawing.jobserver.messages import (
    ConfigurationRead,
    Message,
    WorkerListConfirmed,
    WorkerListRead,
)
from acaciawing.jobserver.tasks import start_task
from acaciawing.platform.store import (
    KeyedRecord,
    NewestRecords,
    OffsetExpired,
    RecordBatch,
    Store,
    parse_keyed_record,
)
from acaciawing.platform.wire import (
    Finding,
    Wave,
    decode_configuration,
    decode_wave,
    decode_worker,
)
from acaciawing.telemetry import Event, log_event

_OPERATOR_TOPIC = "keyed.op"
_WORKERS_TOPIC = "keyed.servers"
_CONFIGURATION_KEY = "config"
_WAVE_PREFIX = "wave/"


def _log_finding(finding: Finding) -> None:
    log_event(Event.FINDING, {"place": finding.place, "fault": finding.fault})


class KeyedTopicFollower:
    """Reads the newest record of every key, then follows changes.

    Subclasses handle the records.

    Args:
        address: ``ip:port`` of the store.
        topic: Name of the topic.
        interval_s: Returns the minimum time between two reads, in seconds.
    """

    def __init__(
        self, address: str, topic: str, interval_s: Callable[[], float]
    ) -> None:
        """Stores the arguments; `start` starts the thread."""
        self._store = Store(address)
        self._topic = topic
        self._interval_s = interval_s
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        start_task(self._topic, self._run, restart=True)

    def close(self) -> None:
        """Stops the thread when its current call returns."""
        self._closed.set()

    def record_answer(self) -> None:
        """Records that the store has answered a read."""

    def record_current(self, at: float) -> None:
        """Records that all changes up to a time, in seconds, were applied."""

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Handles the newest record of every key, read from the whole topic."""
        raise NotImplementedError

    def apply_changes(self, records: tuple[KeyedRecord, ...]) -> None:
        """Applies changed records in order."""
        raise NotImplementedError

    def _run(self) -> None:
        offset: int | None = None
        pause = RETRY_PAUSE_S
        while not self._closed.is_set():
            if offset is None:
                newest = self._store.newest(self._topic)
                if isinstance(newest, NewestRecords):
                    self.replace_all(newest.records)
                    offset, pause = newest.end, RETRY_PAUSE_S
                    continue
            else:
                requested_at = steady_s()
                result = self._store.read(self._topic, 0, offset, READ_WAIT_MS)
                if isinstance(result, OffsetExpired):
                    offset = None
                    continue
                if isinstance(result, RecordBatch):
                    self.record_answer()
                    pause = RETRY_PAUSE_S
                    offset = result.next_offset
                    self._apply_payloads(result.records)
                    if offset >= result.end:
                        self.record_current(requested_at)
                    self._closed.wait(self._interval_s())
                    continue
            self._closed.wait(pause)
            pause = min(2 * pause, MAX_RETRY_PAUSE_S)

    def _apply_payloads(self, payloads: tuple[bytes, ...]) -> None:
        records = [parse_keyed_record(payload) for payload in payloads]
        known = tuple(r for r in records if r is not None)
        if len(known) < len(records):
            _log_finding(Finding(self._topic, "a record has no key"))
        if known:
            self.apply_changes(known)


class ConfigurationFollower(KeyedTopicFollower):
    """Follows the operators' configuration and waves.

    Attributes:
        configuration: Newest valid version; None until one was read.
        waves: Maintenance waves by number.

    Args:
        address: ``ip:port`` of the store.
        send: Adds a message to the engine's inbox.
        contact: Records that the store answers.
    """

    def __init__(
        self,
        address: str,
        send: Callable[[Message], None],
        contact: StoreContact,
    ) -> None:
        """Stores the arguments."""
        super().__init__(address, _OPERATOR_TOPIC, lambda: 0.0)
        self._send = send
        self._contact = contact
        self.configuration: Configuration | None = None
        self.waves: dict[int, Wave] = {}

    def record_answer(self) -> None:
        """Records that the store has answered a read."""
        self._contact.record_answer(steady_s())

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Applies the newest configuration and waves; known waves stay."""
        self.apply_changes(records)

    def apply_changes(self, records: tuple[KeyedRecord, ...]) -> None:
        """Applies waves and newer versions of the configuration."""
        for record in records:
            if record.value is None:
                continue
            if record.key == _CONFIGURATION_KEY:
                self._configure(record.value)
            elif record.key.startswith(_WAVE_PREFIX):
                wave = decode_wave(record.key, record.value)
                if isinstance(wave, Finding):
                    _log_finding(wave)
                else:
                    self.waves = {**self.waves, wave.number: wave}

    def _configure(self, value: bytes) -> None:
        decoded = decode_configuration(value)
        if isinstance(decoded, Finding):
            _log_finding(decoded)
            return
        known = self.configuration
        if known is not None and decoded.version <= known.version:
            return
        self.configuration = decoded
        self._send(ConfigurationRead(decoded))
        log_event(
            Event.QUEUES_IN_FORCE,
            {"version": decoded.version, "queues": len(decoded.queues)},
        )


class WorkerListFollower(KeyedTopicFollower):
    """Follows the platform's list of workers.

    Args:
        address: ``ip:port`` of the store.
        send: Adds a message to the engine's inbox.
        in_use: Returns whether a cell of this instance needs the list.
    """

    def __init__(
        self,
        address: str,
        send: Callable[[Message], None],
        in_use: Callable[[], bool],
    ) -> None:
        """Stores the arguments."""
        super().__init__(
            address,
            _WORKERS_TOPIC,
            lambda: (
                WORKER_READ_INTERVAL_S
                if in_use()
                else IDLE_WORKER_READ_INTERVAL_S
            ),
        )
        self._send = send
        self._workers: dict[str, Worker] = {}
        self._unreadable: set[str] = set()

    def record_current(self, at: float) -> None:
        """Reports that the list is current."""
        self._send(WorkerListConfirmed(at))

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replaces the whole list."""
        self._workers = {}
        self.apply_changes(records)

    def apply_changes(self, records: tuple[KeyedRecord, ...]) -> None:
        """Applies changed entries; an unreadable entry removes its worker.

        An unreadable entry is logged once until it can be read again.
        """
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
                _log_finding(worker)
        self._send(WorkerListRead(tuple(self._workers.values())))
