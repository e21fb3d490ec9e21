"""Tests of following the keyed topics of the store."""

import msgspec
import pytest

from acaciawing.jobserver.keyed_topics import WorkerListFollower
from acaciawing.jobserver.messages import Message, WorkerListRead
from acaciawing.platform.store import KeyedRecord
from acaciawing.platform.tests.builders import WORKER_ENTRY

_DEEP = b"[" * 100_000 + b"]" * 100_000
_ODD_ENTRIES = {
    "deeply nested": b'{"other":' + _DEEP + b"}",
    "large start time": msgspec.json.encode({**WORKER_ENTRY, "born": 10**30}),
    "port out of range": msgspec.json.encode(
        {**WORKER_ENTRY, "Address": "192.0.2.1:70000"}
    ),
    "port of many digits": msgspec.json.encode(
        {**WORKER_ENTRY, "Address": "192.0.2.1:" + "9" * 5000}
    ),
}


def _follow(*records: KeyedRecord) -> list[str]:
    """Returns the workers that a follower names after reading records."""
    sent: list[Message] = []
    follower = WorkerListFollower(
        "192.0.2.9:80", sent.append, in_use=lambda: True
    )
    follower.replace_all(records)
    (message,) = sent
    assert isinstance(message, WorkerListRead)
    return [w.incarnation.worker for w in message.workers]


class TestWorkerList:
    """Guards against one odd entry that hides all workers from the cells."""

    _good = msgspec.json.encode(WORKER_ENTRY)

    @pytest.mark.parametrize("kind", _ODD_ENTRIES)
    def test_odd_entry_hides_no_other(self, kind: str) -> None:
        assert _follow(
            KeyedRecord("first", self._good),
            KeyedRecord("odd", _ODD_ENTRIES[kind]),
            KeyedRecord("last", self._good),
        ) == ["first", "last"]

    @pytest.mark.parametrize("key", ["ключ", "a\r\nX: y"])
    def test_entry_under_an_odd_key_hides_no_other(self, key: str) -> None:
        assert _follow(
            KeyedRecord(key, self._good), KeyedRecord("last", self._good)
        ) == ["last"]
