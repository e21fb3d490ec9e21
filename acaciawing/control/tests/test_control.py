"""Tests of control rounds of several instances on one fake log."""

import threading

from acaciawing.control import (
    ControlTask,
    ListingRead,
    OperationEnded,
    StepsFolded,
    TimedCall,
    WorkerCall,
    make_call,
)
from acaciawing.control.tests.fakes import (
    POOLS,
    FakePlatform,
    count_types,
    fenced_records,
    holders,
    make_fleet,
    round_with_new_instance,
)
from acaciawing.fold import FleetState, step
from acaciawing.leases import Fence, LeasesReleased
from acaciawing.platform import CONTROL_STREAM, AppendOutcome
from acaciawing.records import Envelope, decode
from acaciawing.snapshots import SNAPSHOT_INTERVAL_RECORDS, Recovered, recover
from acaciawing.snapshots.tests.fake_log import FakeLog


class TestListedInstances:
    """Guards against instances that are never adopted or retired too early."""

    def test_every_listed_instance_is_adopted_once(self) -> None:
        fleet = make_fleet()
        fleet.run(12.0)
        state = fleet.folded()
        assert dict(state.ownership.counts) == dict.fromkeys(POOLS, 4)
        assert count_types(fleet.log)["InstanceAdopted"] == 12
        assert set(holders(state, fleet.log.time)) == {
            "snapshots",
            *(f"pool:{pool}" for pool in POOLS),
        }

    def test_retired_only_when_the_platform_does_not_know_it(self) -> None:
        fleet = make_fleet()
        fleet.run(12.0)
        fleet.platform.reboot("worker-1", "maintenance")  # Off the list.
        ended = fleet.platform.instances.pop("worker-2")
        fleet.run(9.0)
        assert "worker-2" in fleet.folded().ownership.instances
        fleet.run(21.0)
        instances = fleet.folded().ownership.instances
        assert "worker-1" in instances
        assert "worker-2" not in instances
        fleet.platform.instances["worker-2"] = ended
        fleet.platform.return_to("worker-1", "routing", "maintained")
        fleet.run(3.0)
        instances = fleet.folded().ownership.instances
        assert "worker-2" in instances
        assert instances["worker-1"].incarnation == 2
        # An earlier retirement must not retire it again while it reboots.
        fleet.platform.reboot("worker-2", "maintenance-2")
        fleet.run(20.0)
        assert "worker-2" in fleet.folded().ownership.instances

    def test_pending_record_is_not_decided_twice(self) -> None:
        fleet = make_fleet(1)
        fleet.run(12.0)
        assert len(fenced_records(round_with_new_instance(fleet))) == 1
        fleet.time += 0.5
        fleet.platform.add_instance(21, "portal")
        later_listing = fleet.platform.listing(fleet.log.time + 1.0)
        fleet.loops[0].handle(ListingRead(later_listing))
        decided = fenced_records(fleet.loops[0].round())
        assert [getattr(r, "instance", "") for r in decided] == ["worker-21"]

    def test_log_outage_delays_adoption_and_loses_no_instance(self) -> None:
        fleet = make_fleet()
        fleet.log.unavailable = True
        fleet.run(20.0)
        assert not fleet.log.entries(CONTROL_STREAM)
        fleet.log.unavailable = False
        fleet.log.lose_answers = 5
        fleet.run(15.0)
        assert sum(fleet.folded().ownership.counts.values()) == 12


class TestLeases:
    """Guards against subjects without a holder."""

    def test_steady_state_appends_one_renewal_per_three_seconds(self) -> None:
        fleet = make_fleet()
        fleet.run(12.0)
        before = count_types(fleet.log)
        fleet.run(60.0)
        added = count_types(fleet.log) - before
        assert set(added) == {"LeasesRenewed"}
        writers = set(holders(fleet.folded(), fleet.log.time).values())
        assert added["LeasesRenewed"] <= 20 * len(writers)

    def test_leases_of_an_ended_holder_are_taken_over(self) -> None:
        fleet = make_fleet()
        fleet.run(12.0)
        holder = holders(fleet.folded(), fleet.log.time)["pool:visits"]
        fleet.paused.add(int(holder[len("entry-")]))
        fleet.run(20.0)
        new_holders = holders(fleet.folded(), fleet.log.time)
        assert len(new_holders) == 4
        assert holder not in new_holders.values()

    def test_planned_stop_frees_the_leases_at_once(self) -> None:
        fleet = make_fleet(count=1)
        fleet.run(12.0)
        decided = fleet.loops[0].round(stopping=True)
        assert isinstance(decided.records[0], LeasesReleased)
        assert not holders(fleet.folded(), fleet.log.time)
        # The leases are unused even before the release is read back.
        assert not fenced_records(round_with_new_instance(fleet))

    def test_leases_in_a_snapshot_of_an_ended_fleet_are_taken_over(
        self,
    ) -> None:
        fleet = make_fleet()
        fleet.run(12.0)
        state = fleet.folded()
        fleet.run(600.0)
        fleet.loops = [fleet.make_loop(0, incarnation=2)]
        fleet.loops[0].handle(StepsFolded(state))
        fleet.log.retain_from(CONTROL_STREAM, 10_000)  # Nothing to read.
        for _ in range(200):
            fleet.time += 0.5
            fleet.loops[0].round()
        last = fleet.log.entries(CONTROL_STREAM)[-1]
        envelope = decode(last.payload)
        assert isinstance(envelope, Envelope)
        assert envelope.writer == "entry-0/2"


class TestPausedHolder:
    """Guards against actions after a pause beyond the end of the lease."""

    def test_queued_call_is_not_made_after_the_lease(self) -> None:
        platform = FakePlatform()
        platform.add_instance(0, "visits")
        call = WorkerCall(
            "drain", "worker-0", "worker-0/1/drain", Fence("x", 0)
        )
        timed = TimedCall(call, deadline=9.0)
        assert make_call(timed, platform, lambda: 9.0) == OperationEnded(
            call, None
        )
        assert not platform.effects
        assert make_call(timed, platform, lambda: 8.9).outcome is not None

    def test_lease_term_starts_before_a_slow_append(self) -> None:
        fleet = make_fleet(1)
        append = fleet.log.append

        def slow(stream: str, payload: bytes) -> AppendOutcome:
            fleet.time += 3.0  # Four claims take 12 s.
            fleet.log.time = 100.0 + fleet.time
            return append(stream, payload)

        fleet.log.append = slow  # type: ignore[method-assign]
        fleet.run(0.5)
        fleet.log.append = append  # type: ignore[method-assign]
        fleet.read(fleet.loops[0])
        assert fenced_records(round_with_new_instance(fleet))
        fleet.time += 6.5  # 9.5 s after the newest claim was sent.
        assert not fenced_records(fleet.loops[0].round())

    def test_renewal_appended_after_the_lease_ended_has_no_effect(self) -> None:
        fleet = make_fleet(1)
        fleet.run(12.0)
        append = fleet.log.append

        def late(stream: str, payload: bytes) -> AppendOutcome:
            fleet.log.time += 11.0
            return append(stream, payload)

        fleet.log.append = late  # type: ignore[method-assign]
        fleet.time += 3.5
        fleet.loops[0].round()
        fleet.time += 6.0
        fleet.read(fleet.loops[0])
        assert not fenced_records(round_with_new_instance(fleet))

    def test_no_fenced_record_or_call_after_the_lease_ended(self) -> None:
        fleet = make_fleet(1)
        fleet.run(12.0)
        paused = fleet.loops[0]
        fleet.time += 30.0  # Its state is not updated meanwhile.
        fleet.platform.add_instance(20, "visits")
        paused.handle(ListingRead(fleet.platform.listing(200.0)))
        decided = paused.round()
        assert not decided.calls
        assert {type(r).__name__ for r in decided.records} <= {
            "LeaseClaimed",
            "LeasesRenewed",
        }


class TestSnapshots:
    """Guards against a log whose retention passes the newest snapshot."""

    def test_snapshot_is_written_when_due_and_recovered_from(self) -> None:
        fleet = make_fleet()
        fleet.run(12.0)
        garbage = [b"{"] * SNAPSHOT_INTERVAL_RECORDS
        for payload in garbage:
            fleet.log.append(CONTROL_STREAM, payload)
        fleet.run(5.0)
        assert count_types(fleet.log)["SnapshotWritten"] == 1
        fleet.log.retain_from(CONTROL_STREAM, SNAPSHOT_INTERVAL_RECORDS)
        outcome = recover(fleet.log, [], now=0.0)
        assert isinstance(outcome, Recovered)
        assert outcome.state == fleet.folded()


class TestThreads:
    """Guards against a task that doesn't end or keeps its leases."""

    def test_runs_a_round_and_releases_its_leases_at_the_stop(self) -> None:
        log, platform = FakeLog(), FakePlatform()
        platform.add_instance(0, "visits")
        appended = threading.Event()
        task = ControlTask("entry-0/1", log, platform, appended.set)
        task.post(ListingRead(platform.listing(100.0)))
        task.start()
        assert appended.wait(10.0)
        state, steps = FleetState(), []
        for entry in list(log.entries(CONTROL_STREAM)):
            steps.append(step(state, entry.payload, entry.position))
            state = steps[-1].state
        task.post(StepsFolded(state, tuple(steps)))
        task.stop()
        task.join(10.0)
        assert not task.is_alive()
        assert count_types(log)["LeasesReleased"] == 1
