"""Stand-in for the users' log store, implementing its published protocol.

All data is in memory. In topics whose names begin with ``keyed.``, only the
newest record of each key counts.
"""

import base64
import errno
import json
import struct
import threading
import time
from typing import Any

from standins.consumer_group import ConsumerGroup
from standins.server import Response, json_response

# Largest record, and largest sum of the records of one append, in bytes.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152

_RECORD_LENGTH = struct.Struct(">I")
_READ_BOUNDS = struct.Struct(">QQ")


class JobStore:
    """State of the store; `handle` serves its requests.

    Args:
        partitions: Number of partitions of each topic.

    Attributes:
        unavailable: Whether every request is answered with 503.
        refused_members: Members whose joins are answered with 503, without
            effect.
        lost_members: Members whose joins take effect without an answer.
        late_answers_s: Delay of the answers to joins that have taken effect, in
            seconds, by member.
        reassigns_at_once: Whether a change of a group's members reassigns all
            partitions without waiting for those who hold them.
        calls: Path and topic of each request, in order of arrival.
    """

    def __init__(self, partitions: int = 8) -> None:
        """Starts without records and groups."""
        self._partitions = partitions
        self._changed = threading.Condition()
        self._logs: dict[tuple[str, int], list[bytes]] = {}
        self._producers: dict[tuple[str, int, str], tuple[int, int, Any]] = {}
        self._groups: dict[str, ConsumerGroup] = {}
        self.unavailable = False
        self.refused_members: set[str] = set()
        self.lost_members: set[str] = set()
        self.late_answers_s: dict[str, float] = {}
        self.reassigns_at_once = False
        self.calls: list[str] = []

    def put(self, topic: str, key: str, value: object) -> None:
        """Appends a value of a key, as an operator or a worker does.

        The value None deletes the key.
        """
        encoded_key = key.encode()
        body = b"" if value is None else json.dumps(value).encode()
        self.append(topic, 0, [bytes([len(encoded_key)]) + encoded_key + body])

    def owner(self, group: str, partition: int) -> str:
        """Returns the member that holds a partition; empty if none does."""
        with self._changed:
            owners = self._group(group).owners(time.monotonic())
        return owners[partition].member if partition in owners else ""

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        """Handles one HTTP request."""
        del method, environ
        with self._changed:
            self.calls.append(f"{path} {query.get('Topic', '')}")
        if self.unavailable:
            return json_response(503, {})
        if path == "/v1/log-append":
            return self._serve_append(query, body)
        if path == "/v1/log-read":
            return self._serve_read(query)
        if path == "/v1/log-newest":
            return self._serve_newest(query)
        if path == "/v1/log-owners":
            return self._serve_owners(query)
        if path == "/v1/log-join":
            return self._serve_join(json.loads(body))
        if path == "/v1/log-leave":
            return self._serve_leave(json.loads(body))
        if path == "/v1/log-commit":
            return self._serve_commit(json.loads(body))
        return json_response(404, {})

    def rebalance(self, group: str) -> None:
        """Deals all partitions of a group anew, as the store does at times."""
        with self._changed:
            self._group(group).rebalance(time.monotonic())

    def append(self, topic: str, partition: int, records: list[bytes]) -> int:
        """Appends records; returns the offset of the first."""
        with self._changed:
            log = self._logs.setdefault((topic, partition), [])
            offset = len(log)
            log.extend(records)
            self._changed.notify_all()
            return offset

    def _serve_append(self, query: dict[str, str], body: bytes) -> Response:
        topic, partition = query["Topic"], int(query["part"])
        records, position = [], 0
        while position < len(body):
            (size,) = _RECORD_LENGTH.unpack_from(body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        sizes = [len(record) for record in records]
        if sum(sizes) > CALL_BYTES or max(sizes, default=0) > RECORD_BYTES:
            return json_response(413, {})
        if "Producer" not in query:
            with self._changed:
                end = len(self._logs.get((topic, partition), ()))
                if int(query.get("At", end)) != end:
                    return json_response(412, {"End": end})
                offset = self.append(topic, partition, records)
            return json_response(
                200, {"Offset": offset, "End": offset + len(records)}
            )
        key = (topic, partition, query["Producer"])
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        with self._changed:
            latest = self._producers.get(key, (-1, 0, None))
            if epoch < latest[0]:
                return json_response(409, {"Reason": "fenced"})
            if epoch == latest[0] and sequence == latest[1]:
                return json_response(200, latest[2])
            if epoch == latest[0] and sequence != latest[1] + 1:
                return json_response(
                    409, {"Reason": "seq", "Sequence": latest[1] + 1}
                )
            offset = self.append(topic, partition, records)
            answer = {"Offset": offset, "End": offset + len(records)}
            self._producers[key] = (epoch, sequence, answer)
        return json_response(200, answer)

    def _serve_read(self, query: dict[str, str]) -> Response:
        key = (query["Topic"], int(query["part"]))
        start = int(query["From"])
        deadline = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        with self._changed:
            while len(self._logs.get(key, ())) <= start:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    break
                self._changed.wait(remaining_s)
            log = self._logs.get(key, [])
            content = _READ_BOUNDS.pack(len(log), 0) + b"".join(
                _RECORD_LENGTH.pack(len(r)) + r for r in log[start:]
            )
        return 200, {"Content-Type": "application/octet-stream"}, content

    def _serve_newest(self, query: dict[str, str]) -> Response:
        with self._changed:
            log = list(self._logs.get((query["Topic"], 0), ()))
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(log):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        items = [
            {"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
            for k, (v, o) in newest.items()
        ]
        return json_response(
            200, {"items": items, "HasMore": False, "End": len(log)}
        )

    def _serve_owners(self, query: dict[str, str]) -> Response:
        with self._changed:
            group = self._group(query["group"])
            rows = [
                ["jobs", partition, owner.member, group.offset(partition)]
                for partition, owner in group.owners(time.monotonic()).items()
            ]
        return json_response(200, {"parts": rows})

    def _serve_join(self, body: dict[str, Any]) -> Response:
        member = body["Member"]
        if member in self.refused_members:
            return json_response(503, {})
        with self._changed:
            group = self._group(body["group"])
            answer = group.join(
                member,
                body["Generation"],
                body["TtlMs"] / 1000,
                time.monotonic(),
            )
            rows = [
                [body["Topics"][0], partition, group.offset(partition)]
                for partition in answer.partitions
            ]
        if member in self.lost_members:
            # The server closes the connection without an answer.
            raise ConnectionResetError(errno.ECONNRESET, "the answer is lost")
        time.sleep(self.late_answers_s.get(member, 0.0))
        return json_response(
            200, {"Generation": answer.generation, "parts": rows}
        )

    def _serve_leave(self, body: dict[str, Any]) -> Response:
        with self._changed:
            group = self._group(body["group"])
            group.leave(body["Member"], time.monotonic())
        return json_response(200, {})

    def _serve_commit(self, body: dict[str, Any]) -> Response:
        with self._changed:
            held = self._group(body["group"]).commit(
                body["Member"],
                body["Generation"],
                body["part"],
                body["Offset"],
                time.monotonic(),
            )
        return json_response(200 if held else 409, {})

    def _group(self, group_name: str) -> ConsumerGroup:
        group = self._groups.setdefault(
            group_name, ConsumerGroup(self._partitions)
        )
        group.reassigns_at_once = self.reassigns_at_once
        return group
