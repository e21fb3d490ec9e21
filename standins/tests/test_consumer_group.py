"""Tests of the stand-in for the store's groups.

They guard against a stand-in that is kinder than the store, with which a holder
that was cut off passes every test.
"""

import json
from typing import Any

import pytest

from acaciawing.platform.store import GroupMembership, Store, StoreUnavailable
from standins import job_store
from standins.consumer_group import ConsumerGroup, Owner
from standins.job_store import JobStore
from standins.server import serving

_TTL_S = 1.0


def _join(
    group: ConsumerGroup, member: str, generation: int, now: float
) -> tuple[int, tuple[int, ...]]:
    answer = group.join(member, generation, _TTL_S, now)
    return answer.generation, answer.partitions


class TestGeneration:
    """Guards against changes that members can't tell from a renewal."""

    def test_a_renewal_changes_nothing(self) -> None:
        group = ConsumerGroup(2)
        assert _join(group, "a", 0, 0.0) == (1, (0, 1))
        assert _join(group, "a", 1, _TTL_S) == (1, (0, 1))

    def test_each_change_raises_it(self) -> None:
        group = ConsumerGroup(2)
        _join(group, "a", 0, 0.0)
        _join(group, "b", 0, 0.0)
        assert group.generation == 2
        group.leave("b", 0.1)
        assert group.generation == 3
        group.leave("b", 0.1)
        assert group.generation == 3
        group.rebalance(0.2)
        assert group.generation == 4
        group.expire(_TTL_S + 0.1)
        assert (group.generation, group.members) == (5, ())


class TestRelease:
    """Guards against partitions with two holders after a new join."""

    def test_an_unlisted_partition_stays_until_its_owner_has_seen_so(
        self,
    ) -> None:
        group = ConsumerGroup(2)
        _join(group, "a", 0, 0.0)
        assert _join(group, "b", 0, 0.1) == (2, ())
        # This join names the generation from before the change.
        assert _join(group, "a", 1, 0.2) == (2, (0,))
        assert _join(group, "b", 2, 0.3) == (2, ())
        assert _join(group, "a", 2, 0.4) == (2, (0,))
        assert _join(group, "b", 2, 0.5) == (2, (1,))
        assert group.owners(0.5) == {0: Owner("a", 1), 1: Owner("b", 2)}

    def test_an_unlisted_partition_passes_on_when_its_owner_leaves(
        self,
    ) -> None:
        group = ConsumerGroup(2)
        _join(group, "a", 0, 0.0)
        _join(group, "b", 0, 0.1)
        group.leave("a", 0.2)
        assert _join(group, "b", 2, 0.3) == (3, (0, 1))


class TestExpiry:
    """Guards against members that are never taken for dead."""

    def test_a_member_expires_only_after_its_lifetime(self) -> None:
        group = ConsumerGroup(1)
        _join(group, "a", 0, 0.0)
        assert _join(group, "b", 0, _TTL_S) == (2, ())
        assert _join(group, "b", 2, _TTL_S + 0.1) == (3, (0,))
        assert group.owners(_TTL_S + 0.1) == {0: Owner("b", 3)}

    def test_a_member_that_expired_is_dealt_its_partition_back(self) -> None:
        group = ConsumerGroup(1)
        _join(group, "a", 0, 0.0)
        _join(group, "b", 0, 0.5)
        _join(group, "b", 2, 1.4)
        assert _join(group, "a", 1, 1.5) == (4, ())
        assert _join(group, "b", 4, 1.6) == (4, ())
        assert _join(group, "a", 4, 1.7) == (4, (0,))
        assert group.owners(1.7) == {0: Owner("a", 4)}


class TestRebalance:
    """Guards against partitions that change hands only on request."""

    def test_partitions_change_hands_without_a_request(self) -> None:
        group = ConsumerGroup(2)
        _join(group, "a", 0, 0.0)
        _join(group, "b", 0, 0.1)
        _join(group, "a", 2, 0.2)
        group.rebalance(0.3)
        assert group.owners(0.3) == {0: Owner("b", 3), 1: Owner("a", 3)}
        assert _join(group, "a", 2, 0.4) == (3, (1,))

    def test_a_partition_that_came_back_is_held_anew(self) -> None:
        group = ConsumerGroup(2)
        _join(group, "a", 0, 0.0)
        _join(group, "b", 0, 0.1)
        _join(group, "a", 2, 0.2)
        group.rebalance(0.3)
        group.rebalance(0.3)
        assert group.owners(0.3) == {0: Owner("a", 4), 1: Owner("b", 4)}
        assert not group.commit("a", 2, 0, 0, 0.4)
        assert group.commit("a", 4, 0, 0, 0.4)

    def test_the_only_member_keeps_what_it_held(self) -> None:
        group = ConsumerGroup(1)
        _join(group, "a", 0, 0.0)
        group.rebalance(0.1)
        assert group.owners(0.1) == {0: Owner("a", 1)}


class TestCommit:
    """Guards against holders that can't tell that they lost a partition."""

    def test_only_the_owner_commits_and_in_a_generation_in_which_it_held(
        self,
    ) -> None:
        group = ConsumerGroup(2)
        _join(group, "a", 0, 0.0)
        _join(group, "b", 0, 0.1)
        # It holds the partition until it joins, although it is not listed.
        assert group.commit("a", 1, 1, 7, 0.2)
        _join(group, "a", 2, 0.3)
        assert not group.commit("a", 2, 1, 8, 0.4)
        assert not group.commit("b", 1, 1, 8, 0.4)
        assert group.offset(1) == 7
        assert group.commit("b", 2, 1, 9, 0.4)
        assert group.commit("a", 1, 0, 3, 0.4)
        assert (group.offset(0), group.offset(1)) == (3, 9)

    def test_a_member_that_expired_holds_nothing(self) -> None:
        group = ConsumerGroup(1)
        _join(group, "a", 0, 0.0)
        assert not group.commit("a", 1, 0, 1, _TTL_S + 0.1)

    def test_no_member_holds_a_partition_that_does_not_exist(self) -> None:
        group = ConsumerGroup(1)
        _join(group, "a", 0, 0.0)
        assert not group.commit("a", 1, 1, 0, 0.1)
        assert not group.commit("a", 1, -1, 0, 0.1)


class _Clock:
    """Replaces the clock of the store; a pause advances it."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    replaced = _Clock()
    monkeypatch.setattr(job_store, "time", replaced)
    return replaced


def _call(store: JobStore, path: str, **body: Any) -> tuple[int, Any]:
    content = json.dumps({"group": "cells", **body}).encode()
    status, _, answer = store.handle("POST", path, {}, content, {})
    return status, json.loads(answer)


def _join_store(
    store: JobStore, member: str, generation: int = 0
) -> tuple[int, Any]:
    return _call(
        store,
        "/v1/log-join",
        Member=member,
        Topics=["jobs"],
        TtlMs=1000,
        Generation=generation,
    )


class TestGroupsOfTheStore:
    """Guards against joins that always get their answer in time."""

    def test_a_commit_is_answered_and_listed(self, clock: _Clock) -> None:
        store = JobStore(1)
        _join_store(store, "a")
        position = {"Topic": "jobs", "part": 0, "Offset": 5}
        commit = {"Member": "a", "Generation": 1, **position}
        assert _call(store, "/v1/log-commit", **commit) == (200, {})
        assert _join_store(store, "a", 1) == (
            200,
            {"Generation": 1, "parts": [["jobs", 0, 5]]},
        )
        _, _, owners = store.handle(
            "GET", "/v1/log-owners", {"group": "cells"}, b"", {}
        )
        assert json.loads(owners) == {"parts": [["jobs", 0, "a", 5]]}
        clock.now += 1.1
        assert _call(store, "/v1/log-commit", **commit)[0] == 409

    def test_a_rebalance_needs_no_request(self, clock: _Clock) -> None:
        store = JobStore(2)
        _join_store(store, "a")
        _join_store(store, "b")
        _join_store(store, "a", 2)
        store.rebalance("cells")
        assert _join_store(store, "a", 2) == (
            200,
            {"Generation": 3, "parts": [["jobs", 1, 0]]},
        )

    def test_a_refused_join_has_no_effect(self, clock: _Clock) -> None:
        store = JobStore(1)
        store.refused_members.add("a")
        assert _join_store(store, "a")[0] == 503
        assert _join_store(store, "b")[1]["parts"] == [["jobs", 0, 0]]

    def test_a_late_answer_tells_of_the_time_of_the_join(
        self, clock: _Clock
    ) -> None:
        store = JobStore(1)
        store.late_answers_s["a"] = 1.5
        assert _join_store(store, "a")[1]["parts"] == [["jobs", 0, 0]]
        assert clock.now == 101.5
        # The member expired before it was answered.
        assert _join_store(store, "b")[1]["parts"] == [["jobs", 0, 0]]

    def test_a_join_whose_answer_is_lost_takes_effect(self) -> None:
        store = JobStore(1)
        store.lost_members.add("a")
        with serving(store.handle) as address:
            client = Store(address)
            lost = client.join("cells", "a", "jobs", 60_000, 0)
            other = client.join("cells", "b", "jobs", 60_000, 0)
        assert isinstance(lost, StoreUnavailable)
        assert other == GroupMembership(2, ())
