"""Stored progress of waves and last machine orders.

The operator reads the state of the waves; the next holder reads everything.
"""

from collections.abc import Sequence, Set

import msgspec

from acaciawing.decoding import DECODE_ERRORS, parse_digits
from acaciawing.jobs.order_history import LastMachineOrder
from acaciawing.platform.http import decode_object, encode_json
from acaciawing.platform.store import (
    NewestRecords,
    Store,
    Stored,
    encode_keyed_record,
)
from acaciawing.platform.wire import Finding
from acaciawing.telemetry import Event, log_event

# State of each wave, one key per wave; read by the operator.
_STATUS_TOPIC = "keyed.status"

# Machines of each wave whose maintenance has started; read by the next holder.
_PROGRESS_TOPIC = "keyed.waves"

# Last order for each machine; read by the next holder.
_ORDERS_TOPIC = "keyed.orders"


class WaveStatusStore:
    """Reads and writes the progress of waves; not thread-safe.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Initializes the client; the first call opens the connection."""
        self._store = Store(address)
        self._stored_states: dict[int, str] = {}
        self._maintenance_started: dict[int, set[str]] = {}
        self._unwritten_waves: set[int] = set()
        self._waves_read: frozenset[int] | None = None

    def read(self, waves: Set[int]) -> bool | None:
        """Reads the stored progress if any of the waves was not read yet.

        If all of them were read, it stores machines whose maintenance has
        started and that were not stored yet.

        Returns:
            True, or None if the store did not respond.
        """
        if self._waves_read is not None and waves <= self._waves_read:
            self.save_maintenance_started()
            return True
        states = self._store.newest(_STATUS_TOPIC)
        progress = self._store.newest(_PROGRESS_TOPIC)
        if not isinstance(states, NewestRecords) or not isinstance(
            progress, NewestRecords
        ):
            return None
        for record in states.records:
            wave = _parse_wave_number(record.key)
            if wave is not None and record.value is not None:
                state = decode_object(record.value).get("State")
                self._stored_states[wave] = (
                    state if isinstance(state, str) else ""
                )
        for record in progress.records:
            wave = _parse_wave_number(record.key)
            if wave is not None and record.value is not None:
                machines = _decode_machine_ids(record.value)
                self._maintenance_started.setdefault(wave, set()).update(
                    machines
                )
        self._waves_read = frozenset(waves)
        return True

    def invalidate(self) -> None:
        """Makes the next `read` read everything; another holder may have written.

        What was recorded and not stored yet is kept.
        """
        self._waves_read = None

    def completed(self, wave: int) -> bool:
        """Whether the operator was notified that a wave is completed."""
        return self._stored_states.get(wave) == "completed"

    def maintenance_started(self, wave: int) -> Set[str]:
        """Returns the machines of a wave whose maintenance has started."""
        return self._maintenance_started.get(wave, set())

    def record_maintenance_started(self, wave: int, machine: str) -> None:
        """Records that the maintenance of a machine has started.

        `save_maintenance_started` stores it.
        """
        self._maintenance_started.setdefault(wave, set()).add(machine)
        self._unwritten_waves.add(wave)

    def save_maintenance_started(self) -> None:
        """Stores what was recorded since the last call, in one append."""
        waves = sorted(self._unwritten_waves)
        if not waves:
            return
        records = [
            encode_keyed_record(
                f"wave/{wave}",
                msgspec.json.encode(
                    sorted(self._maintenance_started.get(wave, ()))
                ),
            )
            for wave in waves
        ]
        result = self._store.append(_PROGRESS_TOPIC, 0, records)
        if isinstance(result, Stored):
            self._unwritten_waves.clear()

    def write(self, wave: int, *, completed: bool) -> None:
        """Writes the state of a wave for the operator, if it has changed."""
        state = "completed" if completed else "running"
        if self._stored_states.get(wave) == state:
            return
        result = self._store.append_keyed(
            _STATUS_TOPIC,
            f"wave/{wave}",
            encode_json({"Wave": wave, "State": state}),
        )
        if isinstance(result, Stored):
            self._stored_states[wave] = state


def _parse_wave_number(key: str) -> int | None:
    prefix, _, number = key.rpartition("/")
    return parse_digits(number) if prefix == "wave" else None


def _decode_machine_ids(value: bytes) -> list[str]:
    try:
        return msgspec.json.decode(value, type=list[str])
    except DECODE_ERRORS:
        return []


class MachineOrderStore:
    """Reads and writes the last order for each machine; not thread-safe.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Initializes the client; the first call opens the connection."""
        self._store = Store(address)

    def read(self) -> tuple[LastMachineOrder, ...] | None:
        """Reads the orders; returns None if the store did not respond."""
        newest = self._store.newest(_ORDERS_TOPIC)
        if not isinstance(newest, NewestRecords):
            return None
        orders = []
        for record in newest.records:
            try:
                orders.append(
                    msgspec.json.decode(
                        record.value or b"", type=LastMachineOrder
                    )
                )
            except DECODE_ERRORS as error:
                finding = Finding(f"{_ORDERS_TOPIC}/{record.key}", str(error))
                log_event(
                    Event.FINDING,
                    {"place": finding.place, "fault": finding.fault},
                )
        return tuple(orders)

    def write(self, orders: Sequence[LastMachineOrder]) -> bool:
        """Writes orders in one append; returns whether they are durable."""
        result = self._store.append(
            _ORDERS_TOPIC,
            0,
            [
                encode_keyed_record(order.machine, msgspec.json.encode(order))
                for order in orders
            ],
        )
        return isinstance(result, Stored)
