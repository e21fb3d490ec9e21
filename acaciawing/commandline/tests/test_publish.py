"""Tests of publishing with races, lost answers and an unavailable log."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciawing.commandline.publish_decisions import (
    IdInUse,
    LostRace,
    ObservedStream,
    Outcome,
    Progress,
    Publication,
    Published,
    PublishUnfinished,
    StateExpired,
    decide,
)
from acaciawing.commandline.publish_loop import ControlReader, run_publish
from acaciawing.configuration import (
    NO_VERSION,
    Configuration,
    ConfigurationPublished,
    Customer,
)
from acaciawing.fold import FleetState, step
from acaciawing.outcomes import Accepted
from acaciawing.platform import (
    Appended,
    AppendOutcome,
    AppendUnknown,
    Batch,
    LogEntry,
    LogUnavailable,
    NotAppended,
    OffsetExpired,
    ReadOutcome,
)
from acaciawing.records import LogPosition, encode
from acaciawing.snapshots import SNAPSHOT_STREAM, schema_of, split

CONFIGURATION = Configuration((Customer("salon", "rounds", "0" * 64),))
OURS = Publication("ours", "ana", CONFIGURATION)


class FakeLog:
    """In-memory log with a scripted fault for each call.

    Faults of appends: ``lost`` (takes effect, answer lost), ``dropped`` (no
    effect, no answer), ``late`` (takes effect with the next call),
    ``refused``, ``raced`` (another publication comes first). With the suffix
    ``-away`` the log cannot be read afterwards. Fault of reads: ``away``.
    """

    def __init__(self, appends: list[str], reads: list[str]) -> None:
        """Creates an empty log; an empty string stands for no fault."""
        self.payloads: list[bytes] = []
        self.snapshots: list[bytes] = []
        self.first = 0
        self.now = 0.0
        self._appends = appends
        self._reads = reads
        self._late: list[bytes] = []

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        fault = self._appends.pop(0) if self._appends else ""
        if fault.endswith("-away"):
            fault = fault.removesuffix("-away")
            self._reads = ["away"] * 100
        self.flush()
        if fault == "refused":
            return NotAppended("status 503")
        if fault == "dropped":
            return AppendUnknown("timed out")
        if fault == "late":
            self._late.append(payload)
            return AppendUnknown("timed out")
        if fault == "raced":
            self.publish_other()
        self.payloads.append(payload)
        if fault == "lost":
            return AppendUnknown("timed out")
        return Appended(LogPosition(len(self.payloads) - 1, self.now))

    def read(self, stream: str, offset: int, limit: int) -> ReadOutcome:
        fault = self._reads.pop(0) if self._reads else ""
        if fault == "away":
            return LogUnavailable("status 500")
        payloads = self.payloads
        first = self.first
        if stream == SNAPSHOT_STREAM:
            payloads, first = self.snapshots, 0
        if offset < first:
            return OffsetExpired(first)
        selected = payloads[offset : offset + min(limit, 2)]
        entries = tuple(
            LogEntry(LogPosition(offset + i, 0.0), payload)
            for i, payload in enumerate(selected)
        )
        head = len(payloads)
        self.flush()
        return Batch(entries, offset + len(entries), head, first)

    def flush(self) -> None:
        """Applies the delayed appends."""
        self.payloads += self._late
        self._late = []

    def expire(self, first: int) -> None:
        """Drops the records before an offset after writing a snapshot."""
        state = FleetState()
        for offset, payload in enumerate(self.payloads[:first]):
            state = step(state, payload, LogPosition(offset, 0.0)).state
        for part in split(state, state.offset, schema_of(FleetState)):
            self.snapshots.append(encode(part, "entry-1/1"))
        self.first = first

    def publish_other(self) -> None:
        """Appends another operator's publication on the version in force."""
        name = f"other-{len(self.payloads)}"
        record = ConfigurationPublished(
            name, observe(self).version, "bor", Configuration()
        )
        self.payloads.append(encode(record, "operator/0"))

    def sleep(self, seconds: float) -> None:
        assert seconds > 0
        self.now += seconds


def observe(log: FakeLog) -> ObservedStream:
    observed = ControlReader(without_faults(log), OURS).read()
    assert isinstance(observed, ObservedStream)
    return observed


def accepted_by_fold(log: FakeLog) -> list[int]:
    """Returns the offsets of own records that the fold accepts."""
    state, accepted = FleetState(), []
    for offset, payload in enumerate(log.payloads):
        result = step(state, payload, LogPosition(offset, 0.0))
        state = result.state
        ours = getattr(result.record, "publication_id", "") == "ours"
        if ours and isinstance(result.outcome, Accepted):
            accepted.append(offset)
    return accepted


def publish(log: FakeLog, publication: Publication = OURS) -> Outcome:
    return run_publish(publication, log, lambda: log.now, log.sleep)


class TestPublish:
    """Guards against a publication applied twice or reported wrongly."""

    def test_second_publication_replaces_the_first(self) -> None:
        log = FakeLog([], [])
        assert publish(log) == Published(0, 0)
        second = replace(OURS, publication_id="second", base=0)
        assert publish(log, second) == Published(1, 1)

    @pytest.mark.parametrize("fault", ["lost", "late", "dropped", "refused"])
    def test_unknown_outcome_is_read_back_from_the_log(
        self, fault: str
    ) -> None:
        log = FakeLog([fault], [])
        assert publish(log) == Published(0, 0)
        assert accepted_by_fold(log) == [0]
        assert len(log.payloads) == 1

    def test_lost_race_changes_nothing(self) -> None:
        log = FakeLog(["raced"], [])
        assert publish(log) == LostRace(NO_VERSION, 0)
        assert observe(log).version == 0

    def test_stale_base_appends_nothing(self) -> None:
        log = FakeLog([], [])
        log.publish_other()
        assert publish(log, replace(OURS, base=NO_VERSION)) == LostRace(-1, 0)
        assert len(log.payloads) == 1

    def test_retry_with_the_same_id_does_not_publish_twice(self) -> None:
        log = FakeLog(["lost-away"], [])
        assert publish(log) == PublishUnfinished("status 500", unconfirmed=True)
        log = without_faults(log)
        log.publish_other()
        assert publish(log) == Published(0, 1)
        assert len(log.payloads) == 2

    def test_reader_recovers_after_the_log_dropped_unread_records(self) -> None:
        log = FakeLog([], [])
        log.publish_other()
        reader = ControlReader(log, OURS)
        assert reader.read() == ObservedStream(1, 0)
        for _ in range(3):
            log.publish_other()
        log.expire(3)
        assert reader.read() == ObservedStream(4, 3)

    def test_same_id_with_another_configuration_is_refused(self) -> None:
        log = FakeLog([], [])
        publish(log)
        other = replace(OURS, configuration=Configuration())
        assert publish(log, other) == IdInUse(0)

    def test_unavailable_log_leaves_nothing_appended(self) -> None:
        log = FakeLog([], ["away"] * 100)
        assert publish(log) == PublishUnfinished(
            "status 500", unconfirmed=False
        )
        assert log.payloads == []

    def test_refused_appends_are_reported_as_unchanged(self) -> None:
        log = FakeLog(["refused"] * 100, [])
        assert publish(log) == PublishUnfinished(
            "status 503", unconfirmed=False
        )

    def test_expired_records_without_a_snapshot_refuse_the_publish(
        self,
    ) -> None:
        log = FakeLog([], [])
        for _ in range(4):
            log.publish_other()
        log.first = 2
        outcome = publish(log)
        assert isinstance(outcome, StateExpired)
        assert len(log.payloads) == 4

    def test_expired_state_after_an_append_leaves_the_outcome_unknown(
        self,
    ) -> None:
        progress = Progress(0.0, base=4, attempts=1, unconfirmed=True)
        outcome = decide(OURS, progress, StateExpired("gone"), 1.0)
        assert outcome == PublishUnfinished("gone", unconfirmed=True)

    @pytest.mark.parametrize("first", [1, 2, 3])
    def test_publishes_with_state_from_a_snapshot(self, first: int) -> None:
        log = FakeLog([], [])
        for _ in range(3):
            log.publish_other()
        log.expire(first)
        assert publish(log) == Published(3, 3)

    @pytest.mark.parametrize(
        ("first", "others"), [(0, 0), (0, 2), (1, 2), (2, 0)]
    )
    def test_earlier_publication_is_found_with_a_snapshot(
        self, first: int, others: int
    ) -> None:
        log = FakeLog([], [])
        log.publish_other()
        assert publish(log) == Published(1, 1)
        for _ in range(others):
            log.publish_other()
        log.expire(first)
        assert publish(log) == Published(1, 1 + others)
        assert len(log.payloads) == 2 + others

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.sampled_from(["", "lost", "dropped", "late", "refused", "raced"])
        ),
        st.lists(st.sampled_from(["", "", "away"]), max_size=60),
        st.integers(0, 3),
        st.integers(0, 3),
    )
    def test_outcome_agrees_with_the_fold_under_any_faults(
        self, appends: list[str], reads: list[str], others: int, first: int
    ) -> None:
        log = FakeLog(appends, reads)
        for _ in range(others):
            log.publish_other()
        if first <= others:
            log.expire(first)
        outcome = publish(log)
        log.flush()
        accepted = accepted_by_fold(log)
        if isinstance(outcome, Published):
            assert accepted == [outcome.version]
        elif isinstance(outcome, LostRace):
            assert accepted == []
        else:
            assert isinstance(outcome, PublishUnfinished)
            assert len(accepted) <= 1
            assert outcome.unconfirmed or observe(log).own_records == ()


def without_faults(log: FakeLog) -> FakeLog:
    """Returns a log with the same records and no faults."""
    healthy = FakeLog([], [])
    healthy.payloads, healthy.snapshots = log.payloads, log.snapshots
    healthy.first = log.first
    return healthy
