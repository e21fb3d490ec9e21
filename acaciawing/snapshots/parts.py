"""Parts of snapshots, the records of the stream ``snapshots``."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_128_hexdigest

from acaciawing.records import record_type
from acaciawing.snapshots.codec import encode_state

SNAPSHOT_STREAM = "snapshots"

# Size of the data in one part. Encoded in base64 and with the envelope, the
# payload stays below 256 KiB, the log's limit for one record.
PART_BYTES = 190 * 1024

# Bounds the memory that a faulty count can take: parts with a higher count are
# ignored. 2048 payloads of 256 KiB are 512 MiB.
_MAX_PARTS = 2048


@record_type("snapshot-part", version=1)
@dataclass(frozen=True)
class SnapshotPart:
    """One part of a snapshot.

    The id is derived from offset and content. Two writers of the same state
    therefore write identical parts, and the parts of one complete an unfinished
    snapshot of the other.

    Attributes:
        snapshot_id: ``offset-digest`` of the whole body.
        part: Number of the part, from 0.
        count: Number of parts.
        offset: Offset of the next control record to apply to the state.
        schema: `schema_of` the state.
        digest: xxh3_128 of ``data``, in hex.
        data: Part of the encoded state.
    """

    snapshot_id: str
    part: int
    count: int
    offset: int
    schema: str
    digest: str
    data: bytes


@dataclass(frozen=True)
class Snapshot:
    """A complete snapshot with a correct digest.

    Attributes:
        snapshot_id: Id of the snapshot.
        offset: Offset of the state in it.
        schema: `schema_of` the state.
        body: The encoded state.
    """

    snapshot_id: str
    offset: int
    schema: str
    body: bytes


def split(state: object, offset: int, schema: str) -> tuple[SnapshotPart, ...]:
    """Encodes a state and splits it into parts.

    Args:
        state: The state.
        offset: Its offset.
        schema: `schema_of` its type.
    """
    body = encode_state(state)
    snapshot_id = _make_snapshot_id(offset, body)
    count = math.ceil(len(body) / PART_BYTES)
    chunks = [body[n * PART_BYTES : (n + 1) * PART_BYTES] for n in range(count)]
    return tuple(
        SnapshotPart(
            snapshot_id,
            number,
            count,
            offset,
            schema,
            xxh3_128_hexdigest(chunk),
            chunk,
        )
        for number, chunk in enumerate(chunks)
    )


def assemble(parts: Iterable[SnapshotPart]) -> list[Snapshot]:
    """Returns the complete and undamaged snapshots, newest first.

    Args:
        parts: Parts in any order. They may be repeated or damaged, and come
            from several writers.
    """
    groups: dict[tuple[str, int, int, str], dict[int, bytes]] = {}
    for part in parts:
        if not 0 <= part.part < part.count <= _MAX_PARTS:
            continue
        if xxh3_128_hexdigest(part.data) != part.digest:
            continue
        key = (part.snapshot_id, part.count, part.offset, part.schema)
        groups.setdefault(key, {})[part.part] = part.data
    found = []
    for (snapshot_id, count, offset, schema), chunks in groups.items():
        if len(chunks) != count:
            continue
        body = b"".join(chunks[number] for number in range(count))
        if snapshot_id == _make_snapshot_id(offset, body):
            found.append(Snapshot(snapshot_id, offset, schema, body))
    return sorted(found, key=lambda s: s.offset, reverse=True)


def _make_snapshot_id(offset: int, body: bytes) -> str:
    return f"{offset}-{xxh3_128_hexdigest(body)}"
