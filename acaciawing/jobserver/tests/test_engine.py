"""Tests of how the engine holds cells, with an injected clock."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from acaciawing.jobs import Configuration, Pool
from acaciawing.jobs.tests.builders import SERVICE
from acaciawing.jobserver import engine as engine_module
from acaciawing.jobserver import holding as holding_module
from acaciawing.jobserver import membership as membership_module
from acaciawing.jobserver.engine import Engine
from acaciawing.jobserver.held_cell import HeldCell
from acaciawing.jobserver.holding import Holding
from acaciawing.jobserver.limits import AUTHORITY_S, MEMBER_TTL_MS
from acaciawing.jobserver.membership import (
    MembershipTask,
    StoreContact,
    cell_of,
    fleet_cell,
)
from acaciawing.jobserver.messages import (
    CellFenced,
    CellKey,
    ConfigurationRead,
    HoldingInterrupted,
    HoldingVerified,
    JobAnswer,
    JobStateQuery,
    PartitionsAssigned,
)
from acaciawing.platform.store import (
    Committed,
    GroupMembership,
    NotOwned,
    StoreLimits,
    StoreUnavailable,
)

_PARTITIONS = 8
_CELL = cell_of(SERVICE, _PARTITIONS)
_ALL = frozenset({_CELL, fleet_cell(_PARTITIONS)})


class _Clock:
    def __init__(self) -> None:
        self.now = 30.0

    def __call__(self) -> float:
        return self.now


class _FakeHeldCell:
    """Held cell without tasks."""

    def __init__(self, key: CellKey, *args: Any) -> None:
        self.key = key
        self.cell = self
        self.holding = next(a for a in args if isinstance(a, Holding))
        self.closed = False
        self.recovered = True
        self.records_current_at = 30.0
        self.retained_at = float("-inf")
        self.retained: list[tuple[int, ...]] = []
        self.states: dict[str, str] = {}

    def state(self, job: str) -> str | None:
        return self.states.get(job)

    def update(self, assignment: PartitionsAssigned, now: float) -> str | None:
        return self.holding.update(assignment, now)

    def answer(self, query: JobStateQuery, now: float) -> JobAnswer:
        held: Any = self
        return HeldCell.answer(held, query, now)

    def accept(self, verified: HoldingVerified) -> None:
        self.holding.accept(verified)

    def retain(self, *limits: int) -> None:
        self.retained.append(limits)

    def close(self) -> None:
        self.holding.revoke()
        self.closed = True

    def __getattr__(self, _: str) -> Callable[..., None]:
        return lambda *_, **__: None


@dataclass
class _Instance:
    """Membership task and engine of one instance, without threads.

    Attributes:
        engine: The engine.
        clock: Time of the instance.
        answers: Answers of the store to the next joins.
        commits: Answers of the store to commits; the last one is repeated.
        checks: Checks that were begun, not carried out yet.
        left: Number of requests to leave the group.
    """

    engine: Engine
    clock: _Clock
    task: MembershipTask
    answers: list[GroupMembership | StoreUnavailable] = field(
        default_factory=list
    )
    commits: list[Committed | NotOwned | StoreUnavailable] = field(
        default_factory=list
    )
    checks: list[Callable[[], None]] = field(default_factory=list)
    left: int = 0

    def join(
        self, now: float, generation: int, *partitions: int
    ) -> _FakeHeldCell:
        """Joins at a time; returns the cell that is held after it."""
        self.clock.now = now
        assigned = partitions or tuple(_ALL)
        self.answers.append(GroupMembership(generation, assigned))
        self.task._join()
        return self.cell()

    def cell(self) -> _FakeHeldCell:
        return cast(_FakeHeldCell, self.engine._cells.get(_CELL))

    def run_checks(self) -> None:
        checks, self.checks = self.checks, []
        for check in checks:
            check()
        while not self.engine._inbox.empty():
            message = self.engine._inbox.get()
            self.engine._receive(message, self.clock.now)


@pytest.fixture
def instance(monkeypatch: pytest.MonkeyPatch) -> _Instance:
    clock = _Clock()
    for module in (engine_module, membership_module):
        monkeypatch.setattr(module, "steady_s", clock)
    monkeypatch.setattr(engine_module, "HeldCell", _FakeHeldCell)
    engine = Engine("store:1", "me", _PARTITIONS, 20, 120, 10.0, StoreLimits())
    task = MembershipTask(
        "store:1",
        "me",
        StoreContact(),
        lambda message: engine._receive(message, clock.now),
        _PARTITIONS,
    )
    engine.set_rejoin_requester(task.request_rejoin)
    made = _Instance(engine, clock, task)

    class _FakeStore:
        def __init__(self, _: str) -> None:
            pass

        def join(self, *_: Any) -> GroupMembership | StoreUnavailable:
            return made.answers.pop(0)

        def commit(self, *_: Any) -> Committed | NotOwned | StoreUnavailable:
            return (
                made.commits.pop(0)
                if len(made.commits) > 1
                else made.commits[0]
            )

        def leave(self, *_: Any) -> bool:
            made.left += 1
            return True

    monkeypatch.setattr(holding_module, "Store", _FakeStore)
    monkeypatch.setattr(
        holding_module, "start_task", lambda _, check: made.checks.append(check)
    )
    monkeypatch.setattr(task, "_store", _FakeStore(""))
    engine._receive(
        ConfigurationRead(Configuration(1, {}, {SERVICE: Pool(SERVICE, True)})),
        clock.now,
    )
    return made


class TestReturnFromACut:
    """Guards against orders of a holder that others have replaced meanwhile."""

    def test_holder_back_from_a_cut_does_not_go_on_with_its_state(
        self, instance: _Instance
    ) -> None:
        before = instance.join(33.9, 14)
        after = instance.join(40.19, 24)
        assert before.closed
        assert (before.key.fence, after.key.fence) == (14, 24)

    def test_fleet_orders_after_a_cut_have_a_new_fence(
        self, instance: _Instance
    ) -> None:
        instance.join(33.9, 14)
        before = instance.engine.tenure()
        instance.join(40.19, 24)
        after = instance.engine.tenure()
        assert before is not None
        assert after is not None
        assert (before.fence, after.fence) == (14, 24)
        assert after.since == 40.19

    def test_unconfirmed_holder_gives_no_fleet_orders(
        self, instance: _Instance
    ) -> None:
        # The next holder orders machines half a second after its takeover.
        instance.join(33.9, 14)
        tenure = instance.engine.tenure()
        assert tenure is not None
        assert instance.engine.may_order_machines(tenure)
        instance.clock.now += MEMBER_TTL_MS / 1000
        assert not instance.engine.may_order_machines(tenure)
        instance.join(35.0, 14)
        assert instance.engine.may_order_machines(tenure)
        instance.join(40.0, 24)
        assert not instance.engine.may_order_machines(tenure)

    def test_plan_of_the_fleet_outlasts_a_short_outage_of_the_store(
        self, instance: _Instance
    ) -> None:
        instance.join(33.9, 14)
        before = instance.engine.tenure()
        instance.clock.now += 4.2
        assert instance.engine.tenure() == before
        instance.join(38.1, 14)
        assert instance.engine.tenure() == before

    def test_orders_of_the_holder_end_before_the_next_one_begins(
        self, instance: _Instance
    ) -> None:
        before = instance.join(33.9, 14)
        instance.join(34.05, 14)
        assert before.holding.is_valid(40.0)
        instance.join(40.0, 24)
        assert not before.holding.is_valid(40.0)

    def test_store_outage_without_a_change_costs_no_takeover(
        self, instance: _Instance
    ) -> None:
        before = instance.join(33.9, 14)
        after = instance.join(40.19, 14)
        assert after is before
        assert after.holding.confirmed_at == 40.19

    def test_right_to_order_ends_without_confirmation(
        self, instance: _Instance
    ) -> None:
        held = instance.join(33.9, 14)
        assert held.holding.is_valid(33.8 + AUTHORITY_S)
        assert not held.holding.is_valid(33.9 + AUTHORITY_S)


class TestStatesOfJobs:
    """Guards against a state that goes back after a takeover."""

    def _ask(self, instance: _Instance, job: str) -> JobAnswer:
        reply: Future[JobAnswer] = Future()
        query = JobStateQuery(_CELL, "next-visit", job, reply)
        instance.engine._receive(query, instance.clock.now)
        return reply.result(0)

    def test_holder_that_may_be_replaced_tells_final_states_only(
        self, instance: _Instance
    ) -> None:
        held = instance.join(33.9, 14)
        held.states = {"a": "running", "b": "completed", "c": "cancelled"}
        assert self._ask(instance, "a").current
        instance.clock.now += MEMBER_TTL_MS / 1000
        assert not self._ask(instance, "a").current
        assert self._ask(instance, "b").current
        # A later holder may have completed it before it was cancelled.
        assert not self._ask(instance, "c").current

    def test_confirmed_holder_tells_all_states(
        self, instance: _Instance
    ) -> None:
        held = instance.join(33.9, 14)
        held.states = {"a": "running"}
        instance.join(36.0, 14)
        assert self._ask(instance, "a").current


class TestExpiringRecords:
    """Guards against records that expire before a holder rewrites them."""

    def test_recovered_cell_is_retained_without_a_wait(
        self, instance: _Instance
    ) -> None:
        # The next holder, 1.4 s later, had lost 148 of 784 jobs.
        cell = instance.join(30.0, 1)
        cell.recovered = False
        for now in (30.0, 30.1):
            instance.engine._retain_cells(now)
        assert not cell.retained
        cell.recovered = True
        instance.engine._retain_cells(30.2)
        assert len(cell.retained) == 1
        instance.engine._retain_cells(30.25)
        assert len(cell.retained) == 1

    def test_cell_without_confirmation_is_retained_once_it_has_one(
        self, instance: _Instance
    ) -> None:
        cell = instance.join(30.0, 1)
        late = 30.0 + AUTHORITY_S
        instance.engine._retain_cells(late)
        assert not cell.retained
        assert instance.join(late + 0.1, 1) is cell
        instance.engine._retain_cells(late + 0.1)
        assert len(cell.retained) == 1


class TestChangeOfTheGroup:
    """Guards against a cell that went to another instance between two joins."""

    def test_cell_held_all_the_time_goes_on_once_that_is_verified(
        self, instance: _Instance
    ) -> None:
        before = instance.join(33.9, 14)
        assert instance.join(34.05, 15) is before
        assert before.holding.confirmed_at == 33.9
        instance.commits = [StoreUnavailable("status 503"), Committed()]
        instance.run_checks()
        assert before.holding.confirmed_at == 34.05
        instance.join(34.2, 15)
        assert before.holding.confirmed_at == 34.2

    def test_cell_reassigned_between_two_joins_is_acquired_anew(
        self, instance: _Instance
    ) -> None:
        before = instance.join(33.9, 14)
        instance.join(34.05, 16)
        instance.commits = [NotOwned()]
        instance.run_checks()
        assert before.closed
        assert instance.cell() is None
        assert instance.engine.tenure() is None
        assert instance.join(34.2, 16).key.fence == 16

    def test_each_change_is_verified_once(self, instance: _Instance) -> None:
        instance.join(33.9, 14)
        instance.join(34.05, 15)
        instance.join(34.2, 15)
        # One check for the cell and one for the fleet's.
        assert len(instance.checks) == 2

    def test_late_verification_does_not_confirm_a_later_fence(
        self, instance: _Instance
    ) -> None:
        instance.join(33.9, 14)
        after = instance.join(40.19, 24)
        old_key = CellKey(_CELL, 14)
        instance.engine._receive(HoldingVerified(old_key, 25, 41.0), 41.0)
        instance.engine._receive(HoldingInterrupted(old_key), 41.0)
        assert instance.cell() is after
        assert after.holding.confirmed_at == 40.19

    def test_cell_that_is_never_verified_is_acquired_anew(
        self, instance: _Instance
    ) -> None:
        # Otherwise it would have no holder while its joins are answered.
        before = instance.join(33.9, 14)
        now = 33.9
        while now < 34.1 + AUTHORITY_S:
            now += 0.15
            after = instance.join(now, 15)
        assert before.closed
        assert after.key.fence == 15
        assert after.holding.is_valid(now)
        assert instance.engine.tenure() is not None


class TestFencesAreNew:
    """Guards against run numbers and orders that two holdings share."""

    def test_cell_after_an_unanswered_leave_has_a_new_fence(
        self, instance: _Instance
    ) -> None:
        before = instance.join(33.9, 14)
        instance.join(34.05, 15, _CELL, _CELL)
        assert before.closed
        assert instance.join(34.2, 14) is None
        assert instance.task._rejoin_requested.is_set()
        assert instance.join(34.35, 17).key.fence == 17

    def test_late_answer_after_a_later_holder_gives_no_cell(
        self, instance: _Instance
    ) -> None:
        before = instance.join(33.9, 14)
        fenced = CellFenced(before.key)
        instance.engine._receive(fenced, 34.1)
        assert before.closed
        assert instance.join(34.05, 14) is None
        assert not instance.task._rejoin_requested.is_set()
        assert instance.join(34.2, 16).key.fence == 16


class TestBadAnswers:
    """Guards against cells held on answers that can't be right."""

    @pytest.mark.parametrize(
        ("generation", "partitions"),
        [(13, (_CELL,)), (15, (_CELL, _CELL)), (15, (_CELL, 8))],
    )
    def test_bad_answer_ends_the_cells_and_the_membership(
        self,
        instance: _Instance,
        generation: int,
        partitions: tuple[int, ...],
    ) -> None:
        before = instance.join(33.9, 14)
        instance.join(34.05, generation, *partitions)
        assert before.closed
        assert instance.left == 1
        assert instance.engine.tenure() is None
        assert instance.join(34.2, 17).key.fence == 17
