"""Records of the queues' homes; see `queue_homes`."""

from collections.abc import Iterable

import msgspec
from xxhash import xxh3_128_hexdigest

from acaciawing.decoding import DECODE_ERRORS
from acaciawing.jobs import Queue
from acaciawing.platform.store import KeyedRecord, encode_keyed_record
from acaciawing.telemetry import Event, log_event

# Home of each queue, one key per queue.
HOMES_TOPIC = "keyed.queues"


class QueueHome(msgspec.Struct, frozen=True):
    """Where the jobs of a queue are.

    Attributes:
        host: Host name of the queue's requests.
        path_prefix: Path prefix of the queue's requests.
        partition: Partition that has its submissions; never changes.
        services: All services that it has sent jobs to.
    """

    host: str
    path_prefix: str
    partition: int
    services: tuple[str, ...]


def home_key(queue: Queue) -> str:
    """Returns the key of a queue's home.

    Clients know a queue by its host and path prefix, whatever its name.
    """
    return xxh3_128_hexdigest(f"{queue.host} {queue.path_prefix}".encode())


def encode_home(key: str, home: QueueHome) -> bytes:
    """Encodes the home of a queue as a record of the topic."""
    return encode_keyed_record(key, msgspec.msgpack.encode(home))


def decode_homes(records: Iterable[KeyedRecord]) -> dict[str, QueueHome]:
    """Decodes homes, by key; leaves out records that can't be read."""
    homes = {}
    for record in records:
        if record.value is None:
            continue
        try:
            homes[record.key] = msgspec.msgpack.decode(
                record.value, type=QueueHome
            )
        except DECODE_ERRORS as error:
            log_event(
                Event.FINDING,
                {"place": f"{HOMES_TOPIC}/{record.key}", "fault": str(error)},
            )
    return homes
