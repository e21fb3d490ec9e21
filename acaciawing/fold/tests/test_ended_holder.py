"""Tests of the leases of an entry instance that has left the roster."""

from acaciawing.fold import FleetState, Step, step
from acaciawing.leases import NO_LEASE, Fence, LeaseClaimed, LeasesRenewed
from acaciawing.membership import EntryJoined, EntryLeft
from acaciawing.outcomes import Accepted, Ignored
from acaciawing.ownership import InstanceAdopted
from acaciawing.records import LogPosition, encode

_SUBJECT = "pool:visits"


class ControlStream:
    """A control stream with one record per second."""

    def __init__(self) -> None:
        """Starts with two members; ``a/1`` holds a lease of 10 s."""
        self.state = FleetState()
        for name in ("a", "b"):
            self.append(EntryJoined(name, 1, "z", "192.0.2.1:1"), f"{name}/1")
        self.claim("a/1")

    def append(self, record: object, writer: str) -> Step:
        offset = self.state.offset
        result = step(
            self.state,
            encode(record, writer),
            LogPosition(offset, float(offset)),
        )
        self.state = result.state
        return result

    def claim(self, holder: str) -> Step:
        lease = self.state.leases.leases.get(_SUBJECT)
        token = NO_LEASE if lease is None else lease.token
        return self.append(LeaseClaimed(_SUBJECT, holder, token, 10.0), holder)


class TestEndedHolder:
    """Guards against leases that stay with a process after it has ended."""

    def test_lease_is_free_after_its_holder_left(self) -> None:
        control = ControlStream()
        held = control.claim("b/1")
        assert isinstance(held.outcome, Ignored)
        assert control.append(EntryLeft("a", 1), "b/1").outcome == Accepted()
        assert control.claim("b/1").outcome == Accepted()

    def test_late_records_of_the_ended_holder_are_ignored(self) -> None:
        control = ControlStream()
        fence = Fence(_SUBJECT, control.state.leases.leases[_SUBJECT].token)
        control.append(EntryLeft("a", 1), "b/1")
        adopted = InstanceAdopted(
            "visits-1", 1, "visits", "z", "r", "192.0.2.9:1", 0.0, fence
        )
        for record in (adopted, LeasesRenewed("a/1", 1, 10.0)):
            outcome = control.append(record, "a/1").outcome
            assert isinstance(outcome, Ignored)
        assert control.claim("b/1").outcome == Accepted()
        assert isinstance(control.append(adopted, "a/1").outcome, Ignored)

    def test_leave_of_another_incarnation_keeps_the_lease(self) -> None:
        control = ControlStream()
        control.append(EntryLeft("a", 7), "b/1")
        assert isinstance(control.claim("b/1").outcome, Ignored)
