"""Tests of leases under pauses, slow appends and drifting clocks."""

from collections.abc import Callable
from dataclasses import dataclass, field

from hypothesis import Phase, find, given, settings
from hypothesis import strategies as st

from acaciawing.fold import FleetState, step
from acaciawing.leases import (
    LEASE_S,
    Confirmation,
    Fence,
    HeldLease,
    LeaseClaimed,
    LeasesReleased,
    LeasesRenewed,
    held_leases,
    is_held,
    may_act,
    ranking,
    renewal_due,
    should_claim,
    update_confirmation,
)
from acaciawing.outcomes import Accepted
from acaciawing.ownership import MoveBegun
from acaciawing.records import LogPosition, encode

SUBJECT = "pool:visits"
SUBJECTS = (SUBJECT, "snapshots")
Step = tuple[str, int, float]
SCHEDULES = st.lists(
    st.tuples(
        st.sampled_from(("send", "send", "arrive", "arrive", "read", "wait")),
        st.integers(0, 1),
        st.sampled_from((0.1, 0.5, 2.0, 7.0, 11.0)),
    ),
    min_size=10,
    max_size=40,
)


@dataclass
class Holder:
    """A process with its own clock and its own position in the log."""

    name: str
    rate: float
    state: FleetState = FleetState()
    confirmation: Confirmation | None = None
    sent: dict[bytes, float] = field(default_factory=dict)

    def clock(self, time: float) -> float:
        return 1000.0 + time * self.rate

    def next_record(self, subject: str) -> LeaseClaimed | LeasesRenewed:
        lease = self.state.leases.leases.get(subject)
        if lease is not None and lease.holder == self.name:
            return LeasesRenewed(self.name, len(self.sent), LEASE_S)
        token = -1 if lease is None else lease.token
        return LeaseClaimed(subject, self.name, token, LEASE_S)


@dataclass
class Simulation:
    """Two holders, appends in flight, and the log.

    Attributes:
        count_from_read_back: Whether holders count leases, unsafely, from when
            they read their record back instead of from its send.
    """

    count_from_read_back: bool = False
    time: float = 0.0
    log: list[tuple[bytes, LogPosition]] = field(default_factory=list)
    in_flight: list[bytes] = field(default_factory=list)
    holders: tuple[Holder, Holder] = field(
        default_factory=lambda: (Holder("a/1", 0.96), Holder("b/1", 1.04))
    )

    def perform(self, kind: str, which: int, seconds: float) -> None:
        holder = self.holders[which]
        if kind == "wait":
            self.time += seconds
        elif kind == "send":
            # The drawn duration also selects the subject.
            subject = SUBJECTS[seconds > 1.0]
            payload = encode(holder.next_record(subject), holder.name)
            holder.sent.setdefault(payload, holder.clock(self.time))
            self.in_flight.append(payload)
        elif kind == "arrive" and self.in_flight:
            index = which % len(self.in_flight)
            payload = self.in_flight.pop(index)
            self.log.append((payload, LogPosition(len(self.log), self.time)))
        elif kind == "read":
            self._read(holder)

    def _read(self, holder: Holder) -> None:
        for payload, position in self.log[holder.state.offset :]:
            folded = step(holder.state, payload, position)
            holder.state = folded.state
            sent = holder.sent.get(payload)
            if sent is None or not isinstance(folded.outcome, Accepted):
                continue
            if self.count_from_read_back:
                sent = holder.clock(self.time)
            holder.confirmation = update_confirmation(
                holder.confirmation,
                holder.state.leases,
                holder.name,
                sent,
                LEASE_S,
            )

    def acting_holders(self) -> list[tuple[str, str]]:
        """Returns subject and name of each holder that may act by its clock."""
        found = []
        for holder in self.holders:
            held = held_leases(
                holder.state.leases, holder.name, holder.confirmation
            )
            now = holder.clock(self.time)
            found += [(s, holder.name) for s in held if may_act(held[s], now)]
        return found

    def is_unsafe(self) -> bool:
        """Returns whether a holder acts whose lease has ended in the fold."""
        state = FleetState()
        for payload, position in self.log:
            state = step(state, payload, position).state
        table = state.leases
        return any(
            not is_held(table, subject, self.time)
            or table.leases[subject].holder != name
            for subject, name in self.acting_holders()
        )


def _run(schedule: list[Step], count_from_read_back: bool) -> tuple[bool, bool]:
    """Returns whether a holder acted, and whether one acted unsafely."""
    simulation, acted = Simulation(count_from_read_back), False
    for kind, which, seconds in schedule:
        simulation.perform(kind, which, seconds)
        acted = acted or bool(simulation.acting_holders())
        if simulation.is_unsafe():
            return acted, True
    return acted, False


def _find_schedule(condition: Callable[[list[Step]], bool]) -> list[Step]:
    phases = [Phase.generate]
    fixed = settings(derandomize=True, max_examples=2000, phases=phases)
    return find(SCHEDULES, condition, settings=fixed)


class TestHolder:
    """Guards against two processes that act on one subject at once."""

    def test_counting_from_the_read_back_is_unsafe(self) -> None:
        found = _find_schedule(lambda s: _run(s, count_from_read_back=True)[1])
        assert not _run(found, count_from_read_back=False)[1]

    def test_some_schedule_lets_a_holder_act(self) -> None:
        _find_schedule(lambda s: _run(s, count_from_read_back=False)[0])

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(SCHEDULES)
    def test_holder_stops_before_a_takeover(self, schedule: list[Step]) -> None:
        assert not _run(schedule, count_from_read_back=False)[1]

    def test_renewal_is_due_after_three_seconds(self) -> None:
        assert not renewal_due(10.0, 12.9)
        assert renewal_due(10.0, 13.0)


def _outcomes(*entries: tuple[object, str, float]) -> list[str]:
    state, found = FleetState(), []
    for offset, (record, writer, at) in enumerate(entries):
        folded = step(state, encode(record, writer), LogPosition(offset, at))
        state = folded.state
        found.append(getattr(folded.outcome, "reason", "accepted"))
    return found


class TestPausedHolder:
    """Guards against a process that is paused past its lease and then acts."""

    def test_holder_stops_acting_and_its_late_records_are_ignored(self) -> None:
        lease = HeldLease(Fence(SUBJECT, 0), counted_from=50.0, duration_s=10.0)
        assert may_act(lease, 58.0)
        assert not may_act(lease, 75.0)
        late = MoveBegun("worker-1", 4, "portal", "lent", lease.fence)
        assert _outcomes(
            (LeaseClaimed(SUBJECT, "a/1", -1, 10.0), "a/1", 0.0),
            (LeaseClaimed(SUBJECT, "b/1", 0, 10.0), "b/1", 10.0),
            (late, "a/1", 10.5),
            (LeaseClaimed(SUBJECT, "b/1", 0, 10.0), "b/1", 10.6),
            (late, "a/1", 11.0),
            (LeasesRenewed("a/1", 3, 10.0), "a/1", 11.1),
            (LeaseClaimed(SUBJECT, "a/1", 0, 10.0), "a/1", 11.2),
        ) == [
            *("accepted", "held", "lease-ended", "accepted"),
            *("stale-token", "lease-ended", "lost-race"),
        ]

    def test_lapsed_lease_is_not_revived_by_a_new_session(self) -> None:
        late = MoveBegun("worker-1", 4, "portal", "lent", Fence(SUBJECT, 0))
        assert _outcomes(
            (LeaseClaimed(SUBJECT, "a/1", -1, 10.0), "a/1", 0.0),
            (LeaseClaimed("snapshots", "a/1", -1, 10.0), "a/1", 20.0),
            (LeasesRenewed("a/1", 4, 10.0), "a/1", 20.5),
            (late, "a/1", 21.0),
        ) == ["accepted", "accepted", "accepted", "stale-token"]


class TestRelease:
    """Guards against a delayed release, and a repeat that ends a newer lease.

    A subject would stay without a holder, or get two of them.
    """

    def test_released_subject_is_free_at_once_and_late_repeat_is_ignored(
        self,
    ) -> None:
        release = LeasesReleased("a/1", (Fence(SUBJECT, 0),))
        assert _outcomes(
            (LeaseClaimed(SUBJECT, "a/1", -1, 10.0), "a/1", 0.0),
            (release, "b/1", 0.5),
            (release, "a/1", 1.0),
            (LeaseClaimed(SUBJECT, "a/1", -1, 10.0), "a/1", 1.5),
            (release, "a/1", 2.0),
            (LeaseClaimed(SUBJECT, "b/1", 3, 10.0), "b/1", 2.5),
        ) == [
            *("accepted", "not-holder", "accepted"),
            *("accepted", "stale-token", "held"),
        ]

    def test_claim_longer_than_the_maximum_is_ignored(self) -> None:
        assert _outcomes(
            (LeaseClaimed(SUBJECT, "a/1", -1, 1e9), "a/1", 0.0),
            (LeaseClaimed(SUBJECT, "b/1", -1, 10.0), "b/1", 0.1),
        ) == ["malformed", "accepted"]


class TestRanking:
    """Guards against an instance that gets too many subjects, or too few."""

    def test_subjects_spread_evenly_and_move_only_from_an_ended_instance(
        self,
    ) -> None:
        live = [f"entry-{number}" for number in range(9)]
        subjects = [f"pool:p{number}" for number in range(349)]
        before = {s: ranking(s, live)[0] for s in subjects}
        shares = [list(before.values()).count(i) for i in live]
        assert min(shares) > 349 / 9 / 2
        assert max(shares) < 349 / 9 * 2
        after = {s: ranking(s, live[:-1])[0] for s in subjects}
        assert all(
            after[s] == first
            for s, first in before.items()
            if first != live[-1]
        )

    def test_each_rank_claims_two_seconds_after_the_one_before(self) -> None:
        live = ["a", "b", "c"]
        order = ranking(SUBJECT, live)
        for rank, instance in enumerate(order):
            assert should_claim(SUBJECT, instance, live, 2.0 * rank)
            assert not should_claim(SUBJECT, instance, live, 2.0 * rank - 0.1)
