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
from acaciawing.lending.tests.naive import naive_moves
from acaciawing.outcomes import Accepted, Ignored, Verdict
from acaciawing.records import LogPosition, encode
from acaciawing.snapshots import decode_state, encode_state

_PLAN = Plan("gold", 0.99, 3600.0, 5.0, 100.0, 10, 10, ("a",))
_COST_S = 10.0
_SLOTS = 8


@dataclass
class FakePools:
    """Five pools, the log's fold and ownership; moves take the move cost."""

    workers: int
    demand: Callable[[int, float], float]
    failed: int = 0
    moves: bool = True  # whether anybody carries out the moves
    now: float = 0.0
    offset: int = 0
    controller: int = 0
    fence: Fence = Fence(LENDING_SUBJECT, -1)
    state: FleetState = FleetState()
    history: DemandHistory = DemandHistory()
    owner: dict[str, str] = field(default_factory=dict)
    epoch: Counter[str] = field(default_factory=Counter)
    moving: dict[str, tuple[float, str]] = field(default_factory=dict)
    begun: list[tuple[float, str, str, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Gives each pool its workers."""
        for pool in range(5):
            for worker in range(self.workers):
                self.owner[f"p{pool}-w{worker}"] = f"p{pool}"
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

    def append(self, record: object) -> Verdict:
        position = LogPosition(self.offset, self.now)
        payload = encode(record, self.writer)
        folded = step(self.state, payload, position)
        self.state, self.offset = folded.state, self.offset + 1
        return folded.outcome

    @property
    def writer(self) -> str:
        return f"entry-{self.controller}/1"

    def take_over(self) -> None:
        """A new controller claims the lease and knows no history."""
        self.controller += 1
        self.history = DemandHistory()
        known = self.state.leases.leases.get(LENDING_SUBJECT)
        replaces = NO_LEASE if known is None else known.token
        if known is not None:
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
        """Runs a round a second; a killed controller loses its history."""
        if not self.controller:
            self.take_over()
        self.now += 1.0
        self.append(LeasesRenewed(self.writer, self.offset, LEASE_S))
        count = PlanCount("gold", 10_000, self.failed)
        self.append(PlanCounts("entry-1", 1, int(self.now), (count,)))
        for instance, (at, target) in list(self.moving.items()):
            if at <= self.now:
                del self.moving[instance]
                self.owner[instance] = target
                self.epoch[instance] += 1
        decision = self.decide()
        self.history = decision.history
        for move in decision.moves:
            if self.moves and move.instance not in self.moving:
                self.moving[move.instance] = (self.now + _COST_S, move.target)
                self.begun.append(
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


def _alternating(workers: int) -> Callable[[int, float], float]:
    """Five-fold bursts of 12 s by turns."""

    def demand(number: int, now: float) -> float:
        burst = (now - 12.5 * number) % 62.5 < 12
        return 1.25 * workers * _SLOTS * (1.0 if burst else 0.01)

    return demand


def _lasting(number: int, now: float) -> float:
    return 80.0 if number == 0 and now < 200 else 5.0


class TestHysteresis:
    """Guards against moves that follow each burst."""

    def test_alternating_bursts_move_nothing(self) -> None:
        for workers in (6, 8):
            fake = FakePools(workers, _alternating(workers))
            naive = 0
            while fake.now < 300:
                fake.round()
                naive += len(naive_moves(fake.views(), fake.home, {}))
            assert naive > 100
            assert fake.begun == []

    def test_lasting_demand_is_lent_to_and_given_back(self) -> None:
        fake = FakePools(8, _lasting)
        fake.run(200)
        lent = [i for i, owner in fake.owner.items() if owner == "p0"]
        assert len(lent) >= 12
        fake.run(600)
        assert fake.owner == fake.home
        assert not fake.state.loans.active
        assert len(fake.begun) == 2 * (len(lent) - 8)
        left = fake.state.budgets.reservations.values()
        assert all(r.released for r in left)

    def test_equal_loans_return_in_order_of_their_ids(self) -> None:
        """The order of a `Map` differs between processes."""
        fake = FakePools(8, lambda n, _: 2.0)
        fake.run(30)
        names = [f"p1-w{n}" for n in range(6)]
        for name in names:
            fake.owner[name] = "p0"
        loans_of = {n: Loan(n, 0, "p1", "p0", 0.0, 99.0) for n in names}
        table = LoanTable(Map(loans_of))
        fake.state = replace(fake.state, loans=table)
        fake.run(50)
        back = [i for _, i, _, target in fake.begun if target == "p1"]
        assert back == names[: len(back)]
        assert len(back) > 2

    def test_loans_survive_a_snapshot(self) -> None:
        fake = FakePools(8, _lasting)
        fake.run(60)
        state = fake.state
        assert state.loans.active
        assert decode_state(encode_state(state), FleetState) == state

    def test_small_pool_waits_twice_as_long(self) -> None:
        starts = []
        for workers in (8, 7):
            fake = FakePools(workers, _lasting)
            while not fake.begun:
                fake.round()
            starts.append(fake.begun[0][0])
        assert starts[0] >= 2 * _COST_S
        assert starts[1] - starts[0] == 2 * _COST_S

    def test_spills_name_the_spare_pool_first(self) -> None:
        fake = FakePools(6, _alternating(6))
        decision = fake.round()
        spill = {s.pool: s.targets for s in decision.spills}
        assert spill["p0"][0][0] == "p4"
        reasons = {p.pool: p.reason for p in decision.postponed}
        assert reasons == {"p0": "spill-over-first"}


class TestLenders:
    """Guards against lending what the lender needs or thins out a zone."""

    def test_spare_pool_lends_first_and_keeps_two(self) -> None:
        fake = FakePools(8, lambda n, _: 200.0 if n == 0 else 2.0)
        fake.run(300)
        sources = [source for _, _, source, _ in fake.begun]
        assert sources[:6] == ["p4"] * 6
        assert min(Counter(fake.owner.values()).values()) >= 2

    def test_borrower_gets_its_emptiest_zone(self) -> None:
        fake = FakePools(8, _lasting)
        for worker in (5, 6, 7):  # p0 has nothing in the zones z5 to z7
            fake.owner.pop(f"p0-w{worker}")
        while len(fake.begun) < 3:
            fake.round()
        zones = {instance[-1] for _, instance, _, _ in fake.begun}
        assert zones == {"5", "6", "7"}

    def test_home_pool_gets_its_instance_back(self) -> None:
        def demand(number: int, now: float) -> float:
            late = number == 4 and now > 120
            return 80.0 if number == 0 or late else 45.0

        fake = FakePools(8, demand)
        fake.run(100)
        lent = [i for _, i, source, _ in fake.begun if source == "p4"]
        assert len(lent) == 1
        fake.run(200)
        assert fake.owner[lent[0]] == "p4"

    def test_spent_budget_postpones(self) -> None:
        fake = FakePools(8, _lasting, failed=100)
        fake.run(100)
        assert not fake.begun
        postponed = fake.decide().postponed
        assert [p.reason for p in postponed] == ["budget"]


class TestRecords:
    """Guards against an instance lent twice or never given back."""

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(1, 60), st.integers(1, 2)), max_size=8)
    )
    def test_kills_lose_no_instance(self, kills: list[tuple[int, int]]) -> None:
        fake = FakePools(8, _lasting)
        for rounds, killed_after in kills:
            fake.run(fake.now + rounds)
            fake.round(killed_after)
        fake.run(max(fake.now, 200.0) + 500)
        assert fake.owner == fake.home
        assert not fake.state.loans.active

    def test_late_and_competing_records(self) -> None:
        fence = Fence(LENDING_SUBJECT, 7)
        wrong = Fence("pool:a", 7)
        begun = LoanBegun("w0", 3, "a", "b", 50.0, fence)
        back = LoanReturnBegun("w0", 3, "due", fence)
        records = [
            (begun, Accepted()),
            (replace(begun, borrower="c"), Ignored("lent-already", "w0")),
            (replace(back, fence=wrong), Ignored("wrong-subject", "pool:a")),
            (back, Accepted()),
            (back, Ignored("duplicate", "w0")),
            (LoanClosed("w0", 3, fence), Accepted()),
            (begun, Ignored("stale-epoch", "3, last 3")),
        ]
        table = LoanTable()
        for offset, (record, expected) in enumerate(records):
            position = LogPosition(offset, 1.0)
            table, outcome = loans.apply(record, table, position)
            assert outcome == expected, record

    def test_paused_controller_lends_nothing(self) -> None:
        fake = FakePools(8, _lasting)
        while not any(isinstance(r, LoanBegun) for r in fake.decide().records):
            fake.round()
        stale = fake.decide().records
        fake.take_over()
        verdicts = [fake.append(record) for record in stale]
        assert all(
            isinstance(v, Ignored) and v.reason == "stale-token"
            for v in verdicts
        )

    def test_loan_that_never_moves_is_given_up(self) -> None:
        def demand(number: int, now: float) -> float:
            return 80.0 if number == 0 else 5.0

        fake = FakePools(8, demand, moves=False)
        fake.run(60)
        first = set(fake.state.loans.active)
        assert first
        fake.run(320)
        assert not first & set(fake.state.loans.active)
        fake.moves = True
        fake.run(400)
        lent = [i for i, o in fake.owner.items() if o != fake.home[i]]
        assert lent
        assert all(fake.owner[i] == "p0" for i in lent)
        assert set(lent) <= set(fake.state.loans.active)

    def test_return_during_the_move_there_loses_no_instance(self) -> None:
        """The loan falls due while its instance is leaving."""
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

    def test_replaced_instance_ends_its_loan(self) -> None:
        fake = FakePools(8, _lasting)
        while not fake.state.loans.active:
            fake.round()
        name = next(iter(fake.state.loans.active))
        fake.owner.pop(name)
        fake.round()
        assert name not in fake.state.loans.active
