"""Tests of the membership in the store's group."""

from collections.abc import Callable
from typing import Any

import pytest

from acaciawing.jobserver import membership
from acaciawing.jobserver.limits import (
    JOIN_TIMEOUT_S,
    SLOW_JOIN_TIMEOUT_S,
    STANDBY_DELAY_S,
)
from acaciawing.jobserver.membership import (
    CellHolders,
    MembershipTask,
    StoreContact,
)
from acaciawing.jobserver.messages import PartitionsAssigned
from acaciawing.platform.store import GroupMembership, StoreUnavailable

_PARTITIONS = 8


class _FakeGroup:
    """Store group that answers joins from a list, then ends the task."""

    def __init__(self, *answers: GroupMembership | StoreUnavailable) -> None:
        self.answers = list(answers)
        self.timeouts: list[float] = []
        self.finish: Callable[[], None] = lambda: None

    def join(self, *args: Any) -> GroupMembership | StoreUnavailable:
        self.timeouts.append(args[-1])
        answer = self.answers.pop(0)
        if not self.answers:
            self.finish()
        return answer

    def leave(self, *_: Any) -> bool:
        return True


class _FakeEvent:
    """Replaces the event that ends the task; records the pauses."""

    def __init__(self) -> None:
        self.ended = False
        self.pauses: list[float] = []

    def is_set(self) -> bool:
        return self.ended

    def set(self) -> None:
        self.ended = True

    def wait(self, seconds: float) -> bool:
        self.pauses.append(seconds)
        return self.ended


def _run_membership(
    monkeypatch: pytest.MonkeyPatch,
    *answers: GroupMembership | StoreUnavailable,
) -> tuple[_FakeGroup, _FakeEvent, list[PartitionsAssigned]]:
    group, closed = _FakeGroup(*answers), _FakeEvent()
    monkeypatch.setattr(membership, "Store", lambda address: group)
    assignments: list[PartitionsAssigned] = []
    task = MembershipTask(
        "store:1", "me", StoreContact(), assignments.append, _PARTITIONS
    )
    monkeypatch.setattr(task, "_closed", closed)
    group.finish = closed.set
    task._run()
    return group, closed, assignments


class TestMembershipTask:
    """Guards against cells without a holder during a handover."""

    def test_a_cell_assigned_to_another_instance_is_released_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store reassigns the cell only at the next join.
        _, closed, assignments = _run_membership(
            monkeypatch,
            GroupMembership(1, frozenset({1, 2})),
            GroupMembership(2, frozenset({1})),
            GroupMembership(2, frozenset({1})),
        )
        assert [a.partitions for a in assignments[:2]] == [{1, 2}, {1}]
        assert closed.pauses[1] < closed.pauses[0]

    def test_a_slow_store_gets_the_longer_timeout_until_it_answers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group, _, _ = _run_membership(
            monkeypatch,
            StoreUnavailable("timed out"),
            GroupMembership(1, frozenset()),
            GroupMembership(1, frozenset()),
        )
        assert group.timeouts == [
            JOIN_TIMEOUT_S,
            SLOW_JOIN_TIMEOUT_S,
            JOIN_TIMEOUT_S,
        ]


class TestStandby:
    """Guards against holders too weak for the load of a large pool."""

    def _holders(self, *members: str) -> CellHolders:
        holders = CellHolders("store:1")
        holders._members = dict(enumerate(members))
        holders._update_standby_only_since(10.0)
        return holders

    def test_stands_by_while_a_capable_instance_holds_cells(self) -> None:
        holders = self._holders("10.0.0.1:7060", "10.0.0.2:7060/standby")
        assert holders.standby_required(10.0 + 10 * STANDBY_DELAY_S)

    def test_takes_over_after_the_delay_when_no_capable_instance_is_left(
        self,
    ) -> None:
        holders = self._holders("10.0.0.2:7060/standby")
        assert holders.standby_required(10.0)
        assert not holders.standby_required(10.1 + STANDBY_DELAY_S)
        assert holders.member(0) == "10.0.0.2:7060"

    def test_stands_by_until_the_holders_are_known(self) -> None:
        assert CellHolders("store:1").standby_required(100.0)

    def test_releases_its_cells_to_a_capable_instance(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group, closed = (
            _FakeGroup(GroupMembership(3, frozenset({1}))),
            _FakeEvent(),
        )
        monkeypatch.setattr(membership, "Store", lambda address: group)
        assignments: list[PartitionsAssigned] = []
        holders = self._holders()
        standby_required = iter([False, True, True])

        def is_standby_required(_: float) -> bool:
            answer = next(standby_required)
            closed.ended = len(assignments) > 1
            return answer

        monkeypatch.setattr(holders, "standby_required", is_standby_required)
        task = MembershipTask(
            "s:1",
            "me",
            StoreContact(),
            assignments.append,
            _PARTITIONS,
            holders,
        )
        monkeypatch.setattr(task, "_closed", closed)
        task._run()
        assert [a.partitions for a in assignments] == [{1}, set()]
