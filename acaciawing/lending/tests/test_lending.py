"""Tests of lending."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import hypothesis.strategies as st
from hypothesis import given, settings
from immutables import Map

from acaciawing.budgets import BudgetSnapshot, PlanCount, PlanCounts
from acaciawing.configuration import Plan
from acaciawing.fold import FleetState, step
from acaciawing.leases import (
    LEASE_S,
    NO_LEASE,
    Fence,
    LeaseClaimed,
    LeasesRenewed,
)
from acaciawing.lending import (
    LENDING_SUBJECT,
    DemandHistory,
    LendingDecision,
    LendingRequest,
    LendingSnapshot,
    Loan,
    LoanBegun,
    LoanClosed,
    LoanReturnBegun,
    LoanTable,
    PoolInstance,
    PoolView,
    decide,
    loans,
)
from acaciawing.lending.tests.baseline import baseline_moves
from acaciawing.outcomes import Accepted, Ignored, RecordOutcome
from acaciawing.records import LogPosition, encode
from acaciawing.snapshots import decode_state, encode_state

_PLAN = Plan("gold", 0.99, 3600.0, 5.0, 100.0, 10, 10, ("a",))
_COST_S = 10.0
_SLOTS = 8


@dataclass
class FakePools:
    """Five pools, the folded log and ownership; a move takes the move cost."""

    pool_size: int
    demand: Callable[[int, float], float]
    failed: int = 0
    moves_enabled: bool = True  # whether decided moves are carried out
    now: float = 0.0
    offset: int = 0
    controller: int = 0
    fence: Fence = Fence(LENDING_SUBJECT, -1)
    state: FleetState = FleetState()
    history: DemandHistory = DemandHistory()
    owner: dict[str, str] = field(default_factory=dict)
    epoch: Counter[str] = field(default_factory=Counter)
    moving: dict[str, tuple[float, str]] = field(default_factory=dict)
    begun_moves: list[tuple[float, str, str, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Gives each pool its instances."""
        for pool in range(5):
            for number in range(self.pool_size):
                self.owner[f"p{pool}-w{number}"] = f"p{pool}"
        self.home = dict(self.owner)

    def views(self) -> dict[str, PoolView]:
        views = {}
        for number in range(5):
            pool = f"p{number}"
            instances = tuple(
                PoolInstance(
                    i, f"z{i[-1]}", self.epoch[i], i not in self.moving
                )
                for i, owner in sorted(self.owner.items())
                if owner == pool
            )
            views[pool] = PoolView(
                pool,
                instances,
                _SLOTS,
                self.demand(number, self.now),
                spare=number == 4,
            )
        return views

    def append(self, record: object) -> RecordOutcome:
        position = LogPosition(self.offset, self.now)
        payload = encode(record, self.writer)
        folded = step(self.state, payload, position)
        self.state, self.offset = folded.state, self.offset + 1
        return folded.outcome

    @property
    def writer(self) -> str:
        return f"entry-{self.controller}/1"

    def take_over(self) -> None:
        """Starts a new controller, which claims the lease without a history."""
        self.controller += 1
        self.history = DemandHistory()
        lease = self.state.leases.leases.get(LENDING_SUBJECT)
        replaces = NO_LEASE if lease is None else lease.token
        if lease is not None:
            self.now += LEASE_S + 1.0
        self.fence = Fence(LENDING_SUBJECT, self.offset)
        claim = LeaseClaimed(LENDING_SUBJECT, self.writer, replaces, LEASE_S)
        assert self.append(claim) == Accepted()

    def decide(self) -> LendingDecision:
        budgets = BudgetSnapshot(
            self.state.budgets, {"gold": _PLAN}, frozenset({"entry-1"})
        )
        impact = {i: {"gold": 1.0} for i in self.owner}
        return decide(
            LendingSnapshot(
                self.state.loans,
                self.views(),
                self.history,
                _COST_S,
                budgets,
                impact,
            ),
            LendingRequest(self.fence),
            self.now,
        )

    def round(self, killed_after: int | None = None) -> LendingDecision:
        """Runs the next round, a second later.

        Args:
            killed_after: Number of appended records after which the controller
                ends and another one takes over, or None.
        """
        if not self.controller:
            self.take_over()
        self.now += 1.0
        self.append(LeasesRenewed(self.writer, self.offset, LEASE_S))
        count = PlanCount("gold", 10_000, self.failed)
        self.append(PlanCounts("entry-1", 1, int(self.now), (count,)))
        for instance, (ends_at, target) in list(self.moving.items()):
            if ends_at <= self.now:
                del self.moving[instance]
                self.owner[instance] = target
                self.epoch[instance] += 1
        decision = self.decide()
        self.history = decision.history
        for move in decision.moves:
            if self.moves_enabled and move.instance not in self.moving:
                self.moving[move.instance] = (self.now + _COST_S, move.target)
                self.begun_moves.append(
                    (self.now, move.instance, move.source, move.target)
                )
        for number, record in enumerate(decision.records, 1):
            self.append(record)
            if number == killed_after:
                self.take_over()
                break
        return decision

    def run(self, until: float) -> None:
        while self.now < until:
            self.round()


def _alternating_bursts(pool_size: int) -> Callable[[int, float], float]:
    """Demand with bursts of 12 s that occur in the five pools by turns.

    A burst is 125% of the pool's capacity.
    """

    def demand(number: int, now: float) -> float:
        burst = (now - 12.5 * number) % 62.5 < 12
        return 1.25 * pool_size * _SLOTS * (1.0 if burst else 0.01)

    return demand


def _sustained_demand(number: int, now: float) -> float:
    return 80.0 if number == 0 and now < 200 else 5.0


class TestHysteresis:
    """Guards against instances that move for short bursts and back."""

    def test_alternating_bursts_cause_no_moves(self) -> None:
        for pool_size in (6, 8):
            fake = FakePools(pool_size, _alternating_bursts(pool_size))
            baseline_move_count = 0
            while fake.now < 300:
                fake.round()
                baseline_move_count += len(
                    baseline_moves(fake.views(), fake.home, {})
                )
            assert baseline_move_count > 100
            assert fake.begun_moves == []

    def test_loans_for_sustained_demand_are_returned_after_it(self) -> None:
        fake = FakePools(8, _sustained_demand)
        fake.run(200)
        lent = [i for i, owner in fake.owner.items() if owner == "p0"]
        assert len(lent) >= 12
        fake.run(600)
        assert fake.owner == fake.home
        assert not fake.state.loans.active
        assert len(fake.begun_moves) == 2 * (len(lent) - 8)
        reservations = fake.state.budgets.reservations.values()
        assert all(r.released for r in reservations)

    def test_loans_due_at_the_same_time_return_in_order_of_ids(self) -> None:
        """A `Map` is iterated in a different order in each process."""
        fake = FakePools(8, lambda n, _: 2.0)
        fake.run(30)
        names = [f"p1-w{n}" for n in range(6)]
        for name in names:
            fake.owner[name] = "p0"
        loans_of = {n: Loan(n, 0, "p1", "p0", 0.0, 99.0) for n in names}
        table = LoanTable(Map(loans_of))
        fake.state = replace(fake.state, loans=table)
        fake.run(50)
        returned = [i for _, i, _, target in fake.begun_moves if target == "p1"]
        assert returned == names[: len(returned)]
        assert len(returned) > 2

    def test_loans_are_restored_from_a_snapshot(self) -> None:
        fake = FakePools(8, _sustained_demand)
        fake.run(60)
        state = fake.state
        assert state.loans.active
        assert decode_state(encode_state(state), FleetState) == state

    def test_small_pool_waits_twice_as_long(self) -> None:
        starts = []
        for pool_size in (8, 7):
            fake = FakePools(pool_size, _sustained_demand)
            while not fake.begun_moves:
                fake.round()
            starts.append(fake.begun_moves[0][0])
        assert starts[0] >= 2 * _COST_S
        assert starts[1] - starts[0] == 2 * _COST_S

    def test_spill_over_prefers_the_spare_pool(self) -> None:
        fake = FakePools(6, _alternating_bursts(6))
        decision = fake.round()
        spill = {s.pool: s.targets for s in decision.spills}
        assert spill["p0"][0][0] == "p4"
        reasons = {p.pool: p.reason for p in decision.postponed}
        assert reasons == {"p0": "spill-over-first"}


class TestLenders:
    """Guards against loans that overload a lender or concentrate in a zone."""

    def test_spare_pool_lends_first_and_holds_two_instances(self) -> None:
        fake = FakePools(8, lambda n, _: 200.0 if n == 0 else 2.0)
        fake.run(300)
        sources = [source for _, _, source, _ in fake.begun_moves]
        assert sources[:6] == ["p4"] * 6
        assert min(Counter(fake.owner.values()).values()) >= 2

    def test_borrower_gets_instances_of_its_smallest_zones(self) -> None:
        fake = FakePools(8, _sustained_demand)
        for number in (5, 6, 7):  # p0 has no instance in the zones z5 to z7
            fake.owner.pop(f"p0-w{number}")
        while len(fake.begun_moves) < 3:
            fake.round()
        zones = {instance[-1] for _, instance, _, _ in fake.begun_moves}
        assert zones == {"5", "6", "7"}

    def test_instance_returns_when_its_home_pool_is_overloaded(self) -> None:
        def demand(number: int, now: float) -> float:
            late = number == 4 and now > 120
            return 80.0 if number == 0 or late else 45.0

        fake = FakePools(8, demand)
        fake.run(100)
        lent = [i for _, i, source, _ in fake.begun_moves if source == "p4"]
        assert len(lent) == 1
        fake.run(200)
        assert fake.owner[lent[0]] == "p4"

    def test_spent_budget_postpones_a_loan(self) -> None:
        fake = FakePools(8, _sustained_demand, failed=100)
        fake.run(100)
        assert not fake.begun_moves
        postponed = fake.decide().postponed
        assert [p.reason for p in postponed] == ["budget"]


class TestRecords:
    """Guards against an instance that is lent twice or never returned."""

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(1, 60), st.integers(1, 2)), max_size=8)
    )
    def test_killed_controllers_lose_no_instance(
        self, kills: list[tuple[int, int]]
    ) -> None:
        fake = FakePools(8, _sustained_demand)
        for rounds, killed_after in kills:
            fake.run(fake.now + rounds)
            fake.round(killed_after)
        fake.run(max(fake.now, 200.0) + 500)
        assert fake.owner == fake.home
        assert not fake.state.loans.active

    def test_late_and_competing_records_are_ignored(self) -> None:
        fence = Fence(LENDING_SUBJECT, 7)
        other_fence = Fence("pool:a", 7)
        begun = LoanBegun("w0", 3, "a", "b", 50.0, fence)
        return_begun = LoanReturnBegun("w0", 3, "due", fence)
        records = [
            (begun, Accepted()),
            (replace(begun, borrower="c"), Ignored("lent-already", "w0")),
            (
                replace(return_begun, fence=other_fence),
                Ignored("wrong-subject", "pool:a"),
            ),
            (return_begun, Accepted()),
            (return_begun, Ignored("duplicate", "w0")),
            (LoanClosed("w0", 3, fence), Accepted()),
            (begun, Ignored("stale-epoch", "3, last 3")),
        ]
        table = LoanTable()
        for offset, (record, expected) in enumerate(records):
            position = LogPosition(offset, 1.0)
            table, outcome = loans.apply(record, table, position)
            assert outcome == expected, record

    def test_records_of_a_paused_controller_are_ignored(self) -> None:
        fake = FakePools(8, _sustained_demand)
        while not any(isinstance(r, LoanBegun) for r in fake.decide().records):
            fake.round()
        stale = fake.decide().records
        fake.take_over()
        outcomes = [fake.append(record) for record in stale]
        assert all(
            isinstance(o, Ignored) and o.reason == "stale-token"
            for o in outcomes
        )

    def test_loan_whose_move_never_takes_place_is_closed(self) -> None:
        def demand(number: int, now: float) -> float:
            return 80.0 if number == 0 else 5.0

        fake = FakePools(8, demand, moves_enabled=False)
        fake.run(60)
        unmoved = set(fake.state.loans.active)
        assert unmoved
        fake.run(320)
        assert not unmoved & set(fake.state.loans.active)
        fake.moves_enabled = True
        fake.run(400)
        lent = [i for i, o in fake.owner.items() if o != fake.home[i]]
        assert lent
        assert all(fake.owner[i] == "p0" for i in lent)
        assert set(lent) <= set(fake.state.loans.active)

    def test_loan_due_during_the_move_loses_no_instance(self) -> None:
        """The loan is due while its instance still moves to the borrower."""
        fake = FakePools(8, lambda n, _: 2.0)
        fake.run(30)
        loan = Loan("p1-w0", 0, "p1", "p0", 0.0, 31.0)
        table = LoanTable(Map({"p1-w0": loan}))
        fake.state = replace(fake.state, loans=table)
        fake.moving["p1-w0"] = (45.0, "p0")
        fake.run(40)
        assert "p1-w0" in fake.state.loans.active
        fake.run(120)
        assert fake.owner == fake.home
        assert not fake.state.loans.active

    def test_loan_of_a_replaced_instance_is_closed(self) -> None:
        fake = FakePools(8, _sustained_demand)
        while not fake.state.loans.active:
            fake.round()
        name = next(iter(fake.state.loans.active))
        fake.owner.pop(name)
        fake.round()
        assert name not in fake.state.loans.active
