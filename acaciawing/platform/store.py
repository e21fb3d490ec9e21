"""Client of the users' log store: topics, keyed records and groups."""

import base64
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias
from urllib.parse import urlencode

from acaciawing.platform.http import (
    JSON_HEADERS,
    Answered,
    Connection,
    NotSent,
    decode_object,
    encode_json,
    whole_number,
)

# An undisturbed append takes 7 to 10 ms; a call that takes longer than this
# is given up and counts as unknown, in seconds.
WRITE_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 1.0

# What a row or item of another shape raises.
_MALFORMED = (KeyError, TypeError, ValueError, IndexError)

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")


@dataclass(frozen=True)
class Stored:
    """The records are durable."""

    offset: int
    end: int


@dataclass(frozen=True)
class NotStored:
    """The store has certainly not taken the call into effect."""

    detail: str


@dataclass(frozen=True)
class MaybeStored:
    """The call may have taken effect, or may do so later."""

    detail: str


@dataclass(frozen=True)
class Superseded:
    """A producer with a higher epoch has written to the partition."""


@dataclass(frozen=True)
class OutOfSequence:
    """The producer's sequence number does not follow the last one."""

    expected: int


AppendResult: TypeAlias = (
    Stored | NotStored | MaybeStored | Superseded | OutOfSequence
)


@dataclass(frozen=True)
class RecordBatch:
    """Records from an offset on.

    Attributes:
        records: Payloads in order.
        next_offset: Offset after the last of them.
        end: Offset that the next append gets.
    """

    records: tuple[bytes, ...]
    next_offset: int
    end: int


@dataclass(frozen=True)
class OffsetExpired:
    """The records at the offset were deleted; `first` is the oldest kept."""

    first: int


@dataclass(frozen=True)
class StoreUnavailable:
    """The store did not answer, or answered with an error.

    Attributes:
        detail: What was seen.
        throttled: Whether too many calls were made.
    """

    detail: str
    throttled: bool = False


ReadResult: TypeAlias = RecordBatch | OffsetExpired | StoreUnavailable


@dataclass(frozen=True)
class KeyedRecord:
    """Newest value of a key; None where the key was dropped."""

    key: str
    value: bytes | None


@dataclass(frozen=True)
class NewestRecords:
    """Newest record of each key, and where to read on."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclass(frozen=True)
class GroupMembership:
    """Answer to a join.

    Attributes:
        generation: Rises with each change of the group.
        partitions: Partitions that belong to the member.
    """

    generation: int
    partitions: frozenset[int]


@dataclass(frozen=True)
class Producer:
    """Identity of a writer at one partition.

    Attributes:
        name: The same for all holders of a cell.
        epoch: The holder's fence.
        sequence: Number of the append, counted by the holder.
    """

    name: str
    epoch: int
    sequence: int


class Store:
    """Calls to the store over one connection; for one thread at a time.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Keeps the address; connects on first use."""
        self._connection = Connection(address)

    def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        producer: Producer | None = None,
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> AppendResult:
        """Appends records, all or none."""
        query: dict[str, str | int] = {"Topic": topic, "part": partition}
        if producer is not None:
            query["Producer"] = producer.name
            query["epoch"] = producer.epoch
            query["Sequence"] = producer.sequence
        body = b"".join(_LENGTH.pack(len(r)) + r for r in records)
        outcome = self._connection.call(
            "POST",
            f"/v1/log-append?{urlencode(query)}",
            body=body,
            headers={"Content-Type": "application/octet-stream"},
            timeout_s=timeout_s,
        )
        if isinstance(outcome, NotSent):
            return NotStored(outcome.detail)
        if not isinstance(outcome, Answered):
            return MaybeStored(outcome.detail)
        return _append_result(outcome)

    def append_keyed(self, topic: str, key: str, value: bytes) -> AppendResult:
        """Appends the newest value of a key to partition 0 of a topic."""
        return self.append(topic, 0, [keyed_record(key, value)])

    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int
    ) -> ReadResult:
        """Reads records, waiting up to `wait_ms` for the first one."""
        query = urlencode(
            {
                "Topic": topic,
                "part": partition,
                "From": offset,
                "WaitMs": wait_ms,
            }
        )
        outcome = self._connection.call(
            "GET",
            f"/v1/log-read?{query}",
            timeout_s=READ_TIMEOUT_S + wait_ms / 1000,
        )
        if not isinstance(outcome, Answered):
            return StoreUnavailable(outcome.detail)
        if outcome.status == 410:
            first = whole_number(decode_object(outcome.body).get("First"))
            return OffsetExpired(first if first is not None else offset)
        if outcome.status != 200:
            return _unavailable(outcome)
        return _parse_batch(outcome.body, offset)

    def newest(self, topic: str) -> NewestRecords | StoreUnavailable:
        """Reads the newest record of each key of a topic."""
        records: list[KeyedRecord] = []
        after = ""
        end: int | None = None
        while True:
            query: dict[str, str | int] = {"Topic": topic, "part": 0}
            if after:
                query["DependsOn"] = after  # The page's name for a cursor.
            outcome = self._connection.call(
                "GET",
                f"/v1/log-newest?{urlencode(query)}",
                timeout_s=READ_TIMEOUT_S,
            )
            if not isinstance(outcome, Answered):
                return StoreUnavailable(outcome.detail)
            if outcome.status != 200:
                return _unavailable(outcome)
            answer = decode_object(outcome.body)
            items = answer.get("items")
            page_end = whole_number(answer.get("End"))
            if not isinstance(items, list) or page_end is None:
                return StoreUnavailable("answer not understood")
            # Pages are no snapshot: read on from the end of the first one.
            end = page_end if end is None else end
            try:
                for item in items:
                    after = str(item["Key"])
                    value = base64.b64decode(item["Value"])
                    records.append(KeyedRecord(after, value))
            except _MALFORMED as error:
                return StoreUnavailable(f"answer not understood: {error!r}")
            if not answer.get("HasMore") or not items:
                return NewestRecords(tuple(records), end)

    def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_ms: int,
        generation: int,
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> GroupMembership | StoreUnavailable:
        """Joins a group, or keeps the member in it."""
        outcome = self._post(
            "/v1/log-join",
            {
                "group": group,
                "Member": member,
                "Topics": [topic],
                "TtlMs": ttl_ms,
                "Generation": generation,
            },
            timeout_s,
        )
        if isinstance(outcome, StoreUnavailable):
            return outcome
        answer = decode_object(outcome.body)
        number = whole_number(answer.get("Generation"))
        rows = answer.get("parts")
        if number is None or not isinstance(rows, list):
            return StoreUnavailable("answer not understood")
        try:
            mine = frozenset(int(r[1]) for r in rows if r[0] == topic)
        except _MALFORMED as error:
            return StoreUnavailable(f"answer not understood: {error!r}")
        return GroupMembership(number, mine)

    def leave(self, group: str, member: str) -> bool:
        """Leaves a group; returns whether the store has said so."""
        outcome = self._post(
            "/v1/log-leave", {"group": group, "Member": member}
        )
        return isinstance(outcome, Answered)

    def owners(
        self, group: str, topic: str
    ) -> dict[int, str] | StoreUnavailable:
        """Reads which member each partition belongs to."""
        outcome = self._connection.call(
            "GET",
            f"/v1/log-owners?{urlencode({'group': group})}",
            timeout_s=READ_TIMEOUT_S,
        )
        if not isinstance(outcome, Answered):
            return StoreUnavailable(outcome.detail)
        if outcome.status != 200:
            return _unavailable(outcome)
        answer = decode_object(outcome.body)
        rows = answer.get("parts")
        if not isinstance(rows, list):
            return StoreUnavailable(
                f"answer not understood: {outcome.body[:200]!r}"
            )
        try:
            return {
                int(row[1]): str(row[2])
                for row in rows
                if row[0] == topic and row[2]
            }
        except _MALFORMED as error:
            return StoreUnavailable(f"answer not understood: {error!r}")

    def _post(
        self,
        path: str,
        body: dict[str, object],
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> Answered | StoreUnavailable:
        outcome = self._connection.call(
            "POST",
            path,
            body=encode_json(body),
            headers=JSON_HEADERS,
            timeout_s=timeout_s,
        )
        if not isinstance(outcome, Answered):
            return StoreUnavailable(outcome.detail)
        return outcome if outcome.status == 200 else _unavailable(outcome)


def _unavailable(answer: Answered) -> StoreUnavailable:
    return StoreUnavailable(
        f"status {answer.status}", throttled=answer.status == 429
    )


def _append_result(answer: Answered) -> AppendResult:
    values = decode_object(answer.body)
    if answer.status == 200:
        offset = whole_number(values.get("Offset"))
        end = whole_number(values.get("End"))
        return Stored(offset or 0, end or 0)
    if answer.status == 409 and values.get("Reason") == "fenced":
        return Superseded()
    if answer.status == 409:
        expected = [
            n
            for key, value in values.items()
            if key != "Reason" and (n := whole_number(value)) is not None
        ]
        return OutOfSequence(expected[0] if expected else 0)
    return NotStored(f"status {answer.status}")


def _parse_batch(body: bytes, offset: int) -> RecordBatch | StoreUnavailable:
    if len(body) < _BOUNDS.size:
        return StoreUnavailable("answer is too short")
    end, _ = _BOUNDS.unpack_from(body)
    records = []
    at = _BOUNDS.size
    while at + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + size > len(body):
            return StoreUnavailable("answer ends within a record")
        records.append(body[at : at + size])
        at += size
    return RecordBatch(tuple(records), offset + len(records), end)


def keyed_record(key: str, value: bytes) -> bytes:
    """Returns the payload of a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def parse_keyed_record(payload: bytes) -> KeyedRecord | None:
    r"""Splits a record of a keyed topic.

    Returns:
        None where the bytes are no such record.

    >>> parse_keyed_record(b"\x03op1value")
    KeyedRecord(key='op1', value=b'value')
    """
    if not payload or len(payload) < 1 + payload[0]:
        return None
    size = payload[0]
    try:
        key = payload[1 : 1 + size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, payload[1 + size :] or None)
