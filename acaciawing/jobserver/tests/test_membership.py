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
from acaciawing.platform.store import Membership, Unavailable


class _Group:
    """Answers joins from a list, then ends the task."""

    def __init__(self, *answers: Membership | Unavailable) -> None:
        self.answers = list(answers)
        self.timeouts: list[float] = []
        self.finish: Callable[[], None] = lambda: None

    def join(self, *args: Any) -> Membership | Unavailable:
        self.timeouts.append(args[-1])
        answer = self.answers.pop(0)
        if not self.answers:
            self.finish()
        return answer

    def leave(self, *_: Any) -> bool:
        return True


class _Pauses:
    """Stands for the event that ends the task; notes the pauses."""

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


def _play(
    monkeypatch: pytest.MonkeyPatch, *answers: Membership | Unavailable
) -> tuple[_Group, _Pauses, list[PartitionsAssigned]]:
    group, pauses = _Group(*answers), _Pauses()
    monkeypatch.setattr(membership, "Store", lambda address: group)
    joined: list[PartitionsAssigned] = []
    task = MembershipTask("store:1", "me", StoreContact(), joined.append)
    monkeypatch.setattr(task, "_closed", pauses)
    group.finish = pauses.set
    task._run()
    return group, pauses, joined


class TestMembershipTask:
    """Guards against cells that stand still while they change hands."""

    def test_a_cell_that_was_dealt_away_is_released_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store hands it on only with the next join.
        _, pauses, joined = _play(
            monkeypatch,
            Membership(1, frozenset({1, 2})),
            Membership(2, frozenset({1})),
            Membership(2, frozenset({1})),
        )
        assert [j.partitions for j in joined[:2]] == [{1, 2}, {1}]
        assert pauses.pauses[1] < pauses.pauses[0]

    def test_a_slow_store_gets_more_time_until_it_answers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group, _, _ = _play(
            monkeypatch,
            Unavailable("timed out"),
            Membership(1, frozenset()),
            Membership(1, frozenset()),
        )
        assert group.timeouts == [
            JOIN_TIMEOUT_S,
            SLOW_JOIN_TIMEOUT_S,
            JOIN_TIMEOUT_S,
        ]


class TestStandby:
    """Guards against holders that can't carry the work of a large pool."""

    def _holders(self, *owners: str) -> CellHolders:
        holders = CellHolders("store:1")
        holders._members = dict(enumerate(owners))
        holders._update_alone_since(10.0)
        return holders

    def test_stays_out_while_a_capable_instance_holds_cells(self) -> None:
        holders = self._holders("10.0.0.1:7060", "10.0.0.2:7060/standby")
        assert holders.standby_required(10.0 + 10 * STANDBY_DELAY_S)

    def test_takes_over_when_none_is_left(self) -> None:
        holders = self._holders("10.0.0.2:7060/standby")
        assert holders.standby_required(10.0)
        assert not holders.standby_required(10.1 + STANDBY_DELAY_S)
        assert holders.member(0) == "10.0.0.2:7060"

    def test_waits_until_the_owners_were_read(self) -> None:
        assert CellHolders("store:1").standby_required(100.0)

    def test_hands_its_cells_over_to_a_capable_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group, pauses = _Group(Membership(3, frozenset({1}))), _Pauses()
        monkeypatch.setattr(membership, "Store", lambda address: group)
        joined: list[PartitionsAssigned] = []
        holders = self._holders()
        standby_required = iter([False, True, True])

        def is_standby_required(_: float) -> bool:
            answer = next(standby_required)
            pauses.ended = len(joined) > 1
            return answer

        monkeypatch.setattr(holders, "standby_required", is_standby_required)
        task = MembershipTask(
            "s:1", "me", StoreContact(), joined.append, holders
        )
        monkeypatch.setattr(task, "_closed", pauses)
        task._run()
        assert [j.partitions for j in joined] == [{1}, set()]
