"""Tests of the stand-in store as one instance sees it."""

import json
from typing import Any

from acaciawing.platform.store import (
    GroupMembership,
    NewestRecords,
    RecordBatch,
    Store,
    parse_keyed_record,
)
from standins.job_store import JobStore
from standins.server import serving
from standins.store_view import StoreView


def _localize(address: str) -> str:
    return f"link-to-{address}"


def _address(value: bytes | None) -> Any:
    return json.loads(value or b"{}")["Address"]


class TestReassignment:
    """Guards against a store that is kinder than the users'."""

    def test_cells_may_come_back_before_their_next_holder_released_them(
        self,
    ) -> None:
        store = JobStore()
        store.reassigns_at_once = True
        with serving(store.handle) as address:
            first, second = Store(address), Store(address)
            held = first.join("cells", "m1", "jobs", 60_000, 0, 1.0)
            second.join("cells", "m2", "jobs", 60_000, 0, 1.0)
            second.leave("cells", "m2")
            again = first.join("cells", "m1", "jobs", 60_000, 1, 1.0)
        assert isinstance(held, GroupMembership)
        assert isinstance(again, GroupMembership)
        assert set(held.partitions) == set(again.partitions) == set(range(8))
        assert again.generation > held.generation

    def test_a_member_takes_cells_that_another_has_not_released(self) -> None:
        store = JobStore()
        store.reassigns_at_once = True
        with serving(store.handle) as address:
            Store(address).join("cells", "m2", "jobs", 60_000, 0, 1.0)
            answer = Store(address).join("cells", "m1", "jobs", 60_000, 0, 1.0)
        assert isinstance(answer, GroupMembership)
        assert set(answer.partitions) == {0, 2, 4, 6}


class TestStoreView:
    """Guards against cuts that reach other instances than they are meant for."""

    def test_an_instance_reaches_workers_over_links_of_its_own(self) -> None:
        store = JobStore()
        store.put("keyed.servers", "w-0", {"Address": "a:1"})
        store.put("keyed.servers", "w-1", {"Address": "b:2"})
        store.put("keyed.servers", "w-1", None)
        view = StoreView(store, _localize)
        with serving(view.handle) as address:
            newest = Store(address).newest("keyed.servers")
            read = Store(address).read("keyed.servers", 0, 0, 0)
        assert isinstance(newest, NewestRecords)
        assert [_address(r.value) for r in newest.records] == ["link-to-a:1"]
        assert isinstance(read, RecordBatch)
        records = [parse_keyed_record(payload) for payload in read.records]
        assert [r.key for r in records if r] == ["w-0", "w-1", "w-1"]
        assert [_address(r.value) for r in records[:2] if r] == [
            "link-to-a:1",
            "link-to-b:2",
        ]
        assert records[2] is not None and records[2].value is None

    def test_only_joins_of_one_instance_are_refused(self) -> None:
        store = JobStore()
        first, second = (StoreView(store, _localize) for _ in range(2))
        first.refuses_joins = True
        with serving(first.handle) as one, serving(second.handle) as other:
            refused = Store(one).join("cells", "m1", "jobs", 60_000, 0, 1.0)
            joined = Store(other).join("cells", "m2", "jobs", 60_000, 0, 1.0)
            read = Store(one).read("jobs", 0, 0, 0)
        assert not isinstance(refused, GroupMembership)
        assert isinstance(joined, GroupMembership)
        assert isinstance(read, RecordBatch)
        assert store.owner("cells", 0) == "m2"
