"""Tests of following the keyed topics of the store."""

import msgspec
import pytest

from acaciawing.jobserver.keyed_topics import WorkerListFollower
from acaciawing.jobserver.messages import Message, WorkerListRead
from acaciawing.platform.store import KeyedRecord

_ENTRY: dict[str, object] = {
    "Service": "s",
    "Address": "192.0.2.1:80",
    "Zone": "a",
    "State": "ready",
    "Capacity": {"Cpu": 1},
    "Labels": ["a", "r1-1"],
    "born": 5,
}
_DEEP = b"[" * 100_000 + b"]" * 100_000
_ODD_ENTRIES = {
    "deeply nested": b'{"other":' + _DEEP + b"}",
    "large start time": msgspec.json.encode({**_ENTRY, "born": 10**30}),
    "port out of range": msgspec.json.encode(
        {**_ENTRY, "Address": "192.0.2.1:70000"}
    ),
    "port of many digits": msgspec.json.encode(
        {**_ENTRY, "Address": "192.0.2.1:" + "9" * 5000}
    ),
}


class TestWorkerList:
    """Guards against one odd entry that hides all workers from the cells."""

    @pytest.mark.parametrize("kind", _ODD_ENTRIES)
    def test_odd_entry_hides_no_other(self, kind: str) -> None:
        sent: list[Message] = []
        follower = WorkerListFollower(
            "192.0.2.9:80", sent.append, in_use=lambda: True
        )
        good = msgspec.json.encode(_ENTRY)
        follower.replace_all(
            (
                KeyedRecord("first", good),
                KeyedRecord("odd", _ODD_ENTRIES[kind]),
                KeyedRecord("last", good),
            )
        )
        (message,) = sent
        assert isinstance(message, WorkerListRead)
        workers = [w.incarnation.worker for w in message.workers]
        assert workers == ["first", "last"]

    @pytest.mark.parametrize("key", ["ключ", "a\r\nX: y"])
    def test_entry_under_an_odd_key_hides_no_other(self, key: str) -> None:
        sent: list[Message] = []
        follower = WorkerListFollower(
            "192.0.2.9:80", sent.append, in_use=lambda: True
        )
        good = msgspec.json.encode(_ENTRY)
        follower.apply_changes(
            (KeyedRecord(key, good), KeyedRecord("last", good))
        )
        (message,) = sent
        assert isinstance(message, WorkerListRead)
        workers = [w.incarnation.worker for w in message.workers]
        assert workers == ["last"]
