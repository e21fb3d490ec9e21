"""States of waves in the store: for the operator, and for the next holder."""

from collections.abc import Sequence, Set

import msgspec

from acaciawing.jobs.order_history import LastMachineOrder
from acaciawing.platform.http import decode_object, encode_json
from acaciawing.platform.store import Newest, Store, Stored, keyed_record
from acaciawing.platform.wire import Finding
from acaciawing.telemetry import Event, log_event

# The operator reads this topic; one key a wave.
_STATUS_TOPIC = "keyed.status"

# Machines of each wave whose upkeep has begun; read by the next holder.
_PROGRESS_TOPIC = "keyed.waves"

# Last order for each machine.
_ORDERS_TOPIC = "keyed.orders"


class WaveStatuses:
    """Reads and writes the progress of waves; for one thread.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Keeps the address; connects on first use."""
        self._store = Store(address)
        self._states: dict[int, str] = {}
        self._done: dict[int, set[str]] = {}
        self._unwritten: set[int] = set()
        self._read_for: frozenset[int] | None = None

    def read(self, waves: Set[int]) -> bool | None:
        """Reads what is stored, if waves came that were not read yet.

        Returns:
            None where the store did not answer.
        """
        if self._read_for is not None and waves <= self._read_for:
            for number in list(self._unwritten):
                self._write_done(number)
            return True
        states = self._store.newest(_STATUS_TOPIC)
        progress = self._store.newest(_PROGRESS_TOPIC)
        if not isinstance(states, Newest) or not isinstance(progress, Newest):
            return None
        for record in states.records:
            wave = _number(record.key)
            if wave is not None and record.value is not None:
                state = decode_object(record.value).get("State")
                self._states[wave] = str(state)
        for record in progress.records:
            wave = _number(record.key)
            if wave is not None and record.value is not None:
                machines = _machines(record.value)
                self._done.setdefault(wave, set()).update(machines)
        self._read_for = frozenset(waves)
        return True

    def completed(self, wave: int) -> bool:
        """Whether the operator was told that a wave is completed."""
        return self._states.get(wave) == "completed"

    def done(self, wave: int) -> Set[str]:
        """Returns the machines of a wave whose upkeep has begun."""
        return self._done.get(wave, set())

    def note_done(self, wave: int, machine: str) -> None:
        """Notes that the upkeep of a machine has begun."""
        self._done.setdefault(wave, set()).add(machine)
        self._write_done(wave)

    def write(self, wave: int, *, completed: bool) -> None:
        """Tells the operator the state of a wave, if it has changed."""
        state = "completed" if completed else "running"
        if self._states.get(wave) == state:
            return
        result = self._store.append_keyed(
            _STATUS_TOPIC,
            f"wave/{wave}",
            encode_json({"Wave": wave, "State": state}),
        )
        if isinstance(result, Stored):
            self._states[wave] = state

    def _write_done(self, wave: int) -> None:
        value = msgspec.json.encode(sorted(self._done.get(wave, ())))
        result = self._store.append_keyed(
            _PROGRESS_TOPIC, f"wave/{wave}", value
        )
        if isinstance(result, Stored):
            self._unwritten.discard(wave)
        else:
            self._unwritten.add(wave)


def _number(key: str) -> int | None:
    prefix, _, number = key.rpartition("/")
    return int(number) if prefix == "wave" and number.isdecimal() else None


def _machines(value: bytes) -> list[str]:
    try:
        return msgspec.json.decode(value, type=list[str])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return []


class OrderNotes:
    """Last order for each machine, for the next holder; for one thread.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Keeps the address; connects on first use."""
        self._store = Store(address)

    def read(self) -> tuple[LastMachineOrder, ...] | None:
        """Reads the notes; None where the store did not answer."""
        newest = self._store.newest(_ORDERS_TOPIC)
        if not isinstance(newest, Newest):
            return None
        notes = []
        for record in newest.records:
            try:
                notes.append(
                    msgspec.json.decode(
                        record.value or b"", type=LastMachineOrder
                    )
                )
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                finding = Finding(f"{_ORDERS_TOPIC}/{record.key}", str(error))
                log_event(
                    Event.FINDING,
                    {"place": finding.place, "fault": finding.fault},
                )
        return tuple(notes)

    def write(self, notes: Sequence[LastMachineOrder]) -> bool:
        """Writes notes in one call; returns whether they are durable."""
        result = self._store.append(
            _ORDERS_TOPIC,
            0,
            [
                keyed_record(note.machine, msgspec.json.encode(note))
                for note in notes
            ],
        )
        return isinstance(result, Stored)
