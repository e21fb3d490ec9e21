"""Client of the platform's log store: topics, keyed records and groups."""

import base64
import struct
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import TypeAlias
from urllib.parse import urlencode

from acaciawing.platform.http import (
    JSON_HEADERS,
    Connection,
    NotSent,
    Response,
    decode_object,
    encode_json,
    to_whole_number,
)

# An append takes 7 to 10 ms under normal conditions. The outcome of a call that
# times out is unknown.
WRITE_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 1.0

# Raised when a row or item of a response has an unexpected shape.
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, IndexError)

# Statuses that refuse an append for what it contains.
_INVALID_STATUSES = (400, 413)

# Precedes each record.
_RECORD_LENGTH = struct.Struct(">I")
RECORD_LENGTH_BYTES = _RECORD_LENGTH.size

# End offset and first offset of the partition; precedes the records of a batch.
_BATCH_HEADER = struct.Struct(">QQ")


@dataclass(frozen=True)
class StoreLimits:
    """How much the store accepts.

    Attributes:
        record_bytes: Largest record, in bytes.
        call_bytes: Largest sum of the records of one append, in bytes.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


@dataclass(frozen=True)
class Stored:
    """The records are durable.

    Attributes:
        offset: Offset of the first record.
        end: Offset of the next record to be appended.
    """

    offset: int
    end: int


@dataclass(frozen=True)
class NotStored:
    """The append has certainly not taken effect.

    Attributes:
        detail: Description of the error.
        invalid: Whether the store refused what was sent, so that it will
            refuse a repetition as well.
    """

    detail: str
    invalid: bool = False


@dataclass(frozen=True)
class MaybeStored:
    """The append may have taken effect or may still do so."""

    detail: str


@dataclass(frozen=True)
class Superseded:
    """A producer with a higher epoch has written to the partition."""


@dataclass(frozen=True)
class OutOfSequence:
    """The sequence number doesn't follow the last one of the producer.

    Attributes:
        expected: Sequence number that the store expects next.
    """

    expected: int


@dataclass(frozen=True)
class EndMoved:
    """The partition does not end at the expected offset; nothing was stored."""


AppendResult: TypeAlias = (
    Stored | NotStored | MaybeStored | Superseded | OutOfSequence | EndMoved
)


@dataclass(frozen=True)
class RecordBatch:
    """Consecutive records of a partition.

    Attributes:
        records: Payloads in offset order.
        next_offset: Offset after the last record.
        end: Offset of the next record to be appended.
    """

    records: tuple[bytes, ...]
    next_offset: int
    end: int


@dataclass(frozen=True)
class OffsetExpired:
    """The requested offset was deleted; `first` is the oldest one retained."""

    first: int


@dataclass(frozen=True)
class StoreUnavailable:
    """The store did not respond, or responded with an error.

    Attributes:
        detail: Description of the error.
        throttled: Whether the call exceeded the rate limit of the store.
    """

    detail: str
    throttled: bool = False


ReadResult: TypeAlias = RecordBatch | OffsetExpired | StoreUnavailable


@dataclass(frozen=True)
class KeyedRecord:
    """Newest value of a key; None if the key was deleted."""

    key: str
    value: bytes | None


@dataclass(frozen=True)
class NewestRecords:
    """Newest record of each key of a topic.

    Attributes:
        records: One record for each key.
        end: Offset at which a read of later records has to start.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@dataclass(frozen=True)
class GroupMembership:
    """The assignment of a member of a consumer group.

    Attributes:
        generation: Increases with each change of the group.
        partitions: Partitions assigned to the member.
    """

    generation: int
    partitions: Collection[int]


@dataclass(frozen=True)
class Committed:
    """The member has owned the partition since the generation it named."""


@dataclass(frozen=True)
class NotOwned:
    """The member does not own the partition, or owns it since later."""


@dataclass(frozen=True)
class Producer:
    """Identifies one append of a writer to a partition.

    Attributes:
        name: Name of the writer; the same for all holders of a cell.
        epoch: The holder's fence.
        sequence: Sequence number of the append, assigned by the holder.
    """

    name: str
    epoch: int
    sequence: int


class Store:
    """Client of the store over one connection; not thread-safe.

    Args:
        address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        """Initializes the client; the first call opens the connection."""
        self._connection = Connection(address)

    def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        producer: Producer | None = None,
        timeout_s: float = WRITE_TIMEOUT_S,
        at_end: int | None = None,
    ) -> AppendResult:
        """Appends records atomically.

        Args:
            topic: Name of the topic.
            partition: Number of the partition.
            records: Payloads of the records.
            producer: Identifies the append, so that it can be repeated.
            timeout_s: Timeout of the call, in seconds.
            at_end: Appends only if the partition ends at this offset.
        """
        query: dict[str, str | int] = {"Topic": topic, "part": partition}
        if producer is not None:
            query["Producer"] = producer.name
            query["epoch"] = producer.epoch
            query["Sequence"] = producer.sequence
        if at_end is not None:
            query["At"] = at_end
        body = b"".join(_RECORD_LENGTH.pack(len(r)) + r for r in records)
        outcome = self._connection.call(
            "POST",
            f"/v1/log-append?{urlencode(query)}",
            body=body,
            headers={"Content-Type": "application/octet-stream"},
            timeout_s=timeout_s,
        )
        if isinstance(outcome, NotSent):
            return NotStored(outcome.detail)
        if not isinstance(outcome, Response):
            return MaybeStored(outcome.detail)
        return _parse_append_result(outcome)

    def append_keyed(self, topic: str, key: str, value: bytes) -> AppendResult:
        """Appends a new value of a key to partition 0 of a topic."""
        return self.append(topic, 0, [encode_keyed_record(key, value)])

    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int
    ) -> ReadResult:
        """Reads records from `offset` on; waits up to `wait_ms` for one."""
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
        if not isinstance(outcome, Response):
            return StoreUnavailable(outcome.detail)
        if outcome.status == 410:
            first = to_whole_number(decode_object(outcome.body).get("First"))
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
                query["DependsOn"] = after  # Wire name of the cursor.
            outcome = self._connection.call(
                "GET",
                f"/v1/log-newest?{urlencode(query)}",
                timeout_s=READ_TIMEOUT_S,
            )
            if not isinstance(outcome, Response):
                return StoreUnavailable(outcome.detail)
            if outcome.status != 200:
                return _unavailable(outcome)
            values = decode_object(outcome.body)
            items = values.get("items")
            page_end = to_whole_number(values.get("End"))
            if not isinstance(items, list) or page_end is None:
                return StoreUnavailable("malformed response")
            # The pages aren't a consistent snapshot, so later records have to
            # be read from the end offset of the first page.
            end = page_end if end is None else end
            try:
                for item in items:
                    after = _parse_text(item["Key"])
                    value = base64.b64decode(item["Value"])
                    records.append(KeyedRecord(after, value))
            except _MALFORMED_ERRORS as error:
                return StoreUnavailable(f"malformed response: {error!r}")
            if not values.get("HasMore") or not items:
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
        """Joins a group, or renews the membership.

        Args:
            group: Name of the group.
            member: Name of the member.
            topic: Topic whose partitions are assigned.
            ttl_ms: Time after which the membership ends without a renewal.
            generation: Generation that the member received last; 0 at first.
            timeout_s: Timeout of the call.
        """
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
        values = decode_object(outcome.body)
        new_generation = to_whole_number(values.get("Generation"))
        rows = values.get("parts")
        if new_generation is None or not isinstance(rows, list):
            return StoreUnavailable("malformed response")
        try:
            partitions = tuple(int(r[1]) for r in rows if r[0] == topic)
        except _MALFORMED_ERRORS as error:
            return StoreUnavailable(f"malformed response: {error!r}")
        return GroupMembership(new_generation, partitions)

    def commit(
        self,
        group: str,
        member: str,
        topic: str,
        partition: int,
        generation: int,
    ) -> Committed | NotOwned | StoreUnavailable:
        """Commits offset 0 of a partition, to learn whether it was kept.

        Args:
            group: Name of the group.
            member: Name of the member.
            topic: Topic of the partition.
            partition: Number of the partition.
            generation: Generation since which the member may have owned it.
        """
        outcome = self._connection.call(
            "POST",
            "/v1/log-commit",
            body=encode_json(
                {
                    "group": group,
                    "Member": member,
                    "Generation": generation,
                    "Topic": topic,
                    "part": partition,
                    "Offset": 0,
                }
            ),
            headers=JSON_HEADERS,
            timeout_s=WRITE_TIMEOUT_S,
        )
        if not isinstance(outcome, Response):
            return StoreUnavailable(outcome.detail)
        if outcome.status == 409:
            return NotOwned()
        return Committed() if outcome.status == 200 else _unavailable(outcome)

    def leave(self, group: str, member: str) -> bool:
        """Leaves a group; returns whether the store confirmed it."""
        outcome = self._post(
            "/v1/log-leave", {"group": group, "Member": member}
        )
        return isinstance(outcome, Response)

    def owners(
        self, group: str, topic: str
    ) -> dict[int, str] | StoreUnavailable:
        """Reads the member that each partition is assigned to."""
        outcome = self._connection.call(
            "GET",
            f"/v1/log-owners?{urlencode({'group': group})}",
            timeout_s=READ_TIMEOUT_S,
        )
        if not isinstance(outcome, Response):
            return StoreUnavailable(outcome.detail)
        if outcome.status != 200:
            return _unavailable(outcome)
        values = decode_object(outcome.body)
        rows = values.get("parts")
        if not isinstance(rows, list):
            return StoreUnavailable(
                f"malformed response: {outcome.body[:200]!r}"
            )
        try:
            return {
                int(row[1]): _parse_text(row[2])
                for row in rows
                if row[0] == topic and row[2]
            }
        except _MALFORMED_ERRORS as error:
            return StoreUnavailable(f"malformed response: {error!r}")

    def _post(
        self,
        path: str,
        body: dict[str, object],
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> Response | StoreUnavailable:
        outcome = self._connection.call(
            "POST",
            path,
            body=encode_json(body),
            headers=JSON_HEADERS,
            timeout_s=timeout_s,
        )
        if not isinstance(outcome, Response):
            return StoreUnavailable(outcome.detail)
        return outcome if outcome.status == 200 else _unavailable(outcome)


def _parse_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got a {type(value).__name__}")
    return value


def _unavailable(response: Response) -> StoreUnavailable:
    return StoreUnavailable(
        f"status {response.status}", throttled=response.status == 429
    )


def _parse_append_result(response: Response) -> AppendResult:
    values = decode_object(response.body)
    if response.status == 200:
        offset = to_whole_number(values.get("Offset"))
        end = to_whole_number(values.get("End"))
        return Stored(offset or 0, end or 0)
    if response.status == 412:
        return EndMoved()
    if response.status == 409 and values.get("Reason") == "fenced":
        return Superseded()
    if response.status == 409:
        # Any numeric field is accepted as the expected sequence number.
        expected = [
            n
            for key, value in values.items()
            if key != "Reason" and (n := to_whole_number(value)) is not None
        ]
        return OutOfSequence(expected[0] if expected else 0)
    return NotStored(
        f"status {response.status}",
        invalid=response.status in _INVALID_STATUSES,
    )


def _parse_batch(body: bytes, offset: int) -> RecordBatch | StoreUnavailable:
    if len(body) < _BATCH_HEADER.size:
        return StoreUnavailable("response is too short")
    end, _ = _BATCH_HEADER.unpack_from(body)
    records = []
    position = _BATCH_HEADER.size
    while position + _RECORD_LENGTH.size <= len(body):
        (size,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        if position + size > len(body):
            return StoreUnavailable("response ends within a record")
        records.append(body[position : position + size])
        position += size
    return RecordBatch(tuple(records), offset + len(records), end)


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic: key length in a byte, key, value."""
    encoded_key = key.encode()
    return bytes([len(encoded_key)]) + encoded_key + value


def parse_keyed_record(payload: bytes) -> KeyedRecord | None:
    r"""Decodes a record of a keyed topic.

    Returns:
        The record, or None if the bytes aren't a valid one.

    >>> parse_keyed_record(b"\x03op1value")
    KeyedRecord(key='op1', value=b'value')
    """
    if not payload or len(payload) < 1 + payload[0]:
        return None
    key_size = payload[0]
    try:
        key = payload[1 : 1 + key_size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, payload[1 + key_size :] or None)
