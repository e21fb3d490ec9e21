"""Tests of decisions and changes in folded records, and their retention."""

from acaciawing.configuration import (
    Configuration,
    ConfigurationIndex,
    ConfigurationPublished,
)
from acaciawing.entry.caller_application import ServingState
from acaciawing.entry.decision_recorder import (
    Change,
    Decision,
    DecisionRecorder,
)
from acaciawing.entry.history import change_of, decisions_of
from acaciawing.entry.log_clock import LogClock
from acaciawing.entry.update_distributor import UpdateDistributor
from acaciawing.fold import FleetState, Step, step
from acaciawing.leases import Fence, LeasesRenewed
from acaciawing.maintenance import (
    Bounds,
    Place,
    WavePlanned,
    WaveResumed,
    WaveStopped,
)
from acaciawing.membership import EntryJoined
from acaciawing.outcomes import Ignored
from acaciawing.placement import TaskRefused, TasksCancelled
from acaciawing.records import LogPosition, encode
from acaciawing.telemetry import Event

WRITER = "entry-a/1"


def fold(record: object, state: FleetState | None = None) -> Step:
    before = state or FleetState(offset=5)
    return step(before, encode(record, WRITER), LogPosition(before.offset, 9.5))


class TestDecisions:
    """Guards against records that are missing from explanations."""

    def test_decision_for_every_instance_of_a_record(self) -> None:
        places = tuple(Place(f"visits-{n}", 1, "a", "r") for n in (1, 2))
        planned = WavePlanned(
            "visits", 0, places, Bounds(1, 1, 1), Fence("pool:visits", 3)
        )
        record, *subjects = decisions_of(fold(planned), WRITER)
        assert [(d.kind, d.subject) for d in subjects] == [
            ("instance", "visits-1"),
            ("instance", "visits-2"),
        ]
        assert record.reasons["verdict"] == "ignored"
        assert record.reasons["reason"] == "stale-token"
        assert record.reasons["token"] == 3
        assert record.time == 9.5

    def test_decision_for_every_cancelled_task(self) -> None:
        decisions = decisions_of(fold(TasksCancelled(("t1", "t2"))), "b/1")
        assert [d.subject for d in decisions[1:]] == ["t1", "t2"]

    def test_decision_of_refused_task_has_all_reasons(self) -> None:
        refused = TaskRefused("t1", ("memory: 2 workers", "zone: 1 workers"))
        task = decisions_of(fold(refused), "b/1")[1]
        assert (task.kind, task.subject) == ("task", "t1")
        expected = "memory: 2 workers; zone: 1 workers"
        assert task.reasons["reasons"] == expected

    def test_one_log_line_for_an_accepted_own_record(self) -> None:
        """One line per reading instance would multiply the log volume."""
        stopped = fold(WaveStopped("visits", "ana", "fair"))
        own, other = decisions_of(stopped, WRITER), decisions_of(stopped, "b/1")
        assert [d.logged for d in own] == [True]
        assert [d.logged for d in other] == [False]
        repeated = fold(WaveStopped("visits", "ana", "fair"), stopped.state)
        assert not any(d.logged for d in decisions_of(repeated, WRITER))

    def test_lease_renewal_has_no_decision(self) -> None:
        renewed = LeasesRenewed(WRITER, 1, 10.0)
        assert decisions_of(fold(renewed), WRITER) == ()


class TestChanges:
    """Guards against an audit that hides who changed what."""

    def test_changes_of_accepted_and_refused_publications(self) -> None:
        won = fold(ConfigurationPublished("p1", -1, "ana", Configuration()))
        lost = fold(
            ConfigurationPublished("p2", -1, "bor", Configuration()), won.state
        )
        first, second = change_of(won), change_of(lost)
        assert first is not None and second is not None
        assert (first.author, first.verdict, first.time) == (
            "ana",
            "accepted",
            9.5,
        )
        assert (second.author, second.verdict, second.reason) == (
            "bor",
            "refused",
            "lost-race",
        )

    def test_changes_of_stopped_and_resumed_waves(self) -> None:
        stopped = fold(WaveStopped("visits", "ana", "fair"))
        resumed = fold(WaveResumed("visits", "bor", 4), stopped.state)
        first, second = change_of(stopped), change_of(resumed)
        assert first is not None and second is not None
        assert (first.subject, first.detail) == ("visits", "fair")
        assert isinstance(resumed.outcome, Ignored)
        assert (second.author, second.verdict) == ("bor", "refused")

    def test_configuration_is_not_copied(self) -> None:
        """It contains digests of credentials and may be large."""
        won = fold(ConfigurationPublished("p1", -1, "ana", Configuration()))
        (record,) = decisions_of(won, WRITER)
        assert "configuration" not in record.reasons


class TestUpdateDistributor:
    """Guards against records counted twice after a recovery."""

    def test_record_that_is_read_twice_is_counted_once(self) -> None:
        posted: list[object] = []
        recorder = DecisionRecorder()
        recorder.post = (  # type: ignore[method-assign]
            lambda entry: posted.append(entry)
        )
        distributor = UpdateDistributor(
            EntryJoined("entry-a", 1, "a", ""),
            ServingState(ConfigurationIndex()),
            None,  # type: ignore[arg-type]
            recorder,
        )
        stopped = fold(WaveStopped("visits", "ana", "fair"))
        for _ in range(2):
            distributor.record_step(stopped)
        assert distributor.record_counts == {("accepted", ""): 1}
        assert [type(entry) for entry in posted] == [Decision, Change]
        assert 9.5 <= distributor.log_now() < 3600.0


class TestRecorder:
    """Guards against memory that grows with the traffic."""

    def test_requests_do_not_evict_instances(self) -> None:
        recorder = DecisionRecorder()
        recorder.start()

        def post(kind: str, subject: str) -> None:
            recorder.post(
                Decision(kind, subject, 0.0, Event.CONTROL_DECIDED, {}, False)
            )

        post("instance", "visits-1")
        for number in range(5000):
            post("request", f"r-{number}")
            post("request", "often")
        assert len(recorder.explain("instance", "visits-1")) == 1
        assert recorder.explain("request", "r-0") == []
        assert len(recorder.explain("request", "r-4999")) == 1
        assert len(recorder.explain("request", "often")) == 10
        recorder.stop()


class TestLogClock:
    """Guards against leases that seem expired because two clocks differ."""

    def test_clock_follows_the_newest_record(self) -> None:
        monotonic = [50.0]
        clock = LogClock(lambda: monotonic[0], lambda: 7.0)
        assert clock.now() == 7.0
        clock.observe(1000.0)
        monotonic[0] = 53.0
        assert clock.now() == 1003.0
        clock.observe(1001.0)  # read late, for example after an outage
        assert clock.now() == 1003.0
        clock.observe(1005.0)
        assert clock.now() == 1005.0
