"""Stand-in for the platform's log store (PROTOCOL.md, "metadata store").

Keeps everything in memory: partitioned topics whose records expire, keyed
topics, idempotent producers and consumer groups.
"""

import base64
import struct
import threading
import time

LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")
REMEMBERED_APPENDS = 5
DEFAULT_READ_KB = 1024


class Partition:
    """Records of one partition, each with the time of its append."""

    def __init__(self):
        """Starts empty."""
        self.first = 0
        self.records = []

    @property
    def end(self):
        """Offset of the next record."""
        return self.first + len(self.records)

    def expire(self, before):
        """Deletes the records that were appended before a time."""
        keep = 0
        while keep < len(self.records) and self.records[keep][0] < before:
            keep += 1
        if keep:
            del self.records[:keep]
            self.first += keep


class Group:
    """A consumer group; partitions change hands when their member yields."""

    def __init__(self, partitions):
        """Starts without members."""
        self.partitions = partitions
        self.generation = 0
        self.seen_at = {}
        self.ttl_s = {}
        self.owners = {}
        self.targets = {}

    def expire(self, now):
        """Removes members that have sent nothing for their time to live."""
        for member, at in list(self.seen_at.items()):
            if now - at > self.ttl_s[member]:
                self.remove(member)

    def remove(self, member):
        """Removes a member; its partitions are free at once."""
        if self.seen_at.pop(member, None) is None:
            return
        self.owners = {p: m for p, m in self.owners.items() if m != member}
        self._change()

    def _change(self):
        self.generation += 1
        members = sorted(self.seen_at)
        self.targets = {
            p: members[p % len(members)]
            for p in range(self.partitions)
            if members
        }

    def join(self, member, ttl_s, generation, now):
        """Renews a membership and returns the partitions of the member."""
        is_new = member not in self.seen_at
        self.seen_at[member], self.ttl_s[member] = now, ttl_s
        if is_new:
            self._change()
        if generation >= self.generation:
            # The member has learned of the change, so it yields what it lost.
            self.owners = {
                p: m
                for p, m in self.owners.items()
                if m != member or self.targets[p] == member
            }
        for partition, target in self.targets.items():
            if target == member and partition not in self.owners:
                self.owners[partition] = member
        return sorted(
            p
            for p, owner in self.owners.items()
            if owner == member and self.targets[p] == member
        )


class Store:
    """State of the store; `handle` answers one request.

    Args:
        partitions: Partitions of a topic.
        keep_s: Age at which records expire, in seconds.
        record_bytes: Largest record.
        call_bytes: Largest sum of the records of a call.
    """

    def __init__(
        self,
        partitions=32,
        keep_s=300,
        record_bytes=262144,
        call_bytes=2097152,
    ):
        """Starts without records."""
        self._partitions = partitions
        self._keep_s = keep_s
        self._record_bytes = record_bytes
        self._call_bytes = call_bytes
        self._changed = threading.Condition()
        self._logs = {}
        self._newest = {}
        self._producers = {}
        self._groups = {}
        self.refuses = False
        self.oversized_appends = 0

    def put(self, topic, key, value):
        """Writes a value of a key, as an operator or a worker does."""
        name = key.encode()
        with self._changed:
            self._append((topic, 0), [bytes([len(name)]) + name + value])

    def newest(self, topic):
        """Returns the newest value of each key."""
        with self._changed:
            found = self._newest.get(topic, {})
            return {key: value for key, (value, _) in found.items()}

    def holder(self, group, partition):
        """Returns the member that holds a partition; None for none."""
        with self._changed:
            found = self._groups.get(group)
            return found.owners.get(partition) if found else None

    def filled_partitions(self, prefix):
        """Returns partitions with records of topics with a name prefix."""
        with self._changed:
            return sorted(
                {
                    partition
                    for (topic, partition), log in self._logs.items()
                    if topic.startswith(prefix) and log.end
                }
            )

    def handle(self, method, path, query, body, headers):
        """Answers one request with a status and a body."""
        if self.refuses:
            return 503, {}
        calls = {
            "/v1/log-append": lambda: self._serve_append(query, body),
            "/v1/log-read": lambda: self._serve_read(query),
            "/v1/log-newest": lambda: self._serve_newest(query),
            "/v1/log-owners": lambda: self._serve_owners(query),
            "/v1/log-join": lambda: self._serve_join(body),
            "/v1/log-leave": lambda: self._serve_leave(body),
        }
        call = calls.get(path)
        return call() if call else (404, {})

    def _log(self, key):
        log = self._logs.setdefault(key, Partition())
        log.expire(time.monotonic() - self._keep_s)
        return log

    def _append(self, key, records):
        log = self._log(key)
        offset = log.end
        now = time.monotonic()
        log.records += [(now, record) for record in records]
        topic = key[0]
        if topic.startswith("keyed."):
            newest = self._newest.setdefault(topic, {})
            for number, record in enumerate(records, offset):
                name = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                newest.pop(name, None)
                if value:
                    newest[name] = (value, number)
        self._changed.notify_all()
        return {"Offset": offset, "End": log.end}

    def _serve_append(self, query, body):
        records = split_records(body)
        if any(len(r) > self._record_bytes for r in records) or (
            sum(map(len, records)) > self._call_bytes
        ):
            self.oversized_appends += 1
            return 413, {}
        key = (query["Topic"], int(query["part"]))
        with self._changed:
            if "Producer" not in query:
                return 200, self._append(key, records)
            return self._append_in_sequence(key, records, query)

    def _append_in_sequence(self, key, records, query):
        producer = (*key, query["Producer"])
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        known_epoch, answers = self._producers.get(producer, (-1, {}))
        if epoch < known_epoch:
            return 409, {"Reason": "fenced"}
        if epoch > known_epoch:
            answers = {}
        elif sequence in answers:
            return 200, answers[sequence]
        elif sequence != max(answers) + 1:
            return 409, {"Reason": "seq", "Sequence": max(answers) + 1}
        answers[sequence] = self._append(key, records)
        for old in sorted(answers)[:-REMEMBERED_APPENDS]:
            del answers[old]
        self._producers[producer] = (epoch, answers)
        return 200, answers[sequence]

    def _serve_read(self, query):
        key = (query["Topic"], int(query["part"]))
        start = int(query["From"])
        limit = 1024 * int(query.get("MaxKb", DEFAULT_READ_KB))
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        with self._changed:
            while True:
                log = self._log(key)
                if start < log.first:
                    return 410, {"First": log.first}
                left_s = until - time.monotonic()
                if log.end > start or left_s <= 0:
                    break
                self._changed.wait(left_s)
            parts = [BOUNDS.pack(log.end, log.first)]
            size = 0
            for _, record in log.records[max(0, start - log.first) :]:
                size += len(record) + LENGTH.size
                if size > limit and len(parts) > 1:
                    break
                parts.append(LENGTH.pack(len(record)) + record)
        return 200, b"".join(parts)

    def _serve_newest(self, query):
        with self._changed:
            found = self._newest.get(query["Topic"], {})
            items = [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
                for key, (value, offset) in found.items()
            ]
            end = self._log((query["Topic"], 0)).end
        return 200, {"items": items, "HasMore": False, "End": end}

    def _group(self, name):
        group = self._groups.setdefault(name, Group(self._partitions))
        group.expire(time.monotonic())
        return group

    def _serve_join(self, body):
        with self._changed:
            group = self._group(body["group"])
            held = group.join(
                body["Member"],
                body["TtlMs"] / 1000,
                body["Generation"],
                time.monotonic(),
            )
            rows = [[body["Topics"][0], p, 0] for p in held]
            return 200, {"Generation": group.generation, "parts": rows}

    def _serve_leave(self, body):
        with self._changed:
            self._group(body["group"]).remove(body["Member"])
        return 200, {}

    def _serve_owners(self, query):
        with self._changed:
            group = self._group(query["group"])
            rows = [["jobs", p, m, 0] for p, m in sorted(group.owners.items())]
        return 200, {"parts": rows}


def split_records(body):
    """Splits the body of an append into its records."""
    records, position = [], 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records
