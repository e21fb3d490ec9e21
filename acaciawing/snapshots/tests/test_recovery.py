"""Tests of recovery with faults of the log, the snapshots and the peers."""

from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from xxhash import xxh3_128_hexdigest

from acaciawing.fold import FleetState, Step, step
from acaciawing.membership import EntryJoined
from acaciawing.platform import CONTROL_STREAM
from acaciawing.records import encode
from acaciawing.snapshots import (
    SNAPSHOT_INTERVAL_RECORDS,
    SNAPSHOT_STREAM,
    NotRecovered,
    Recovered,
    RecoveredWithoutLog,
    is_snapshot_due,
    recover,
    schema_of,
    split,
)
from acaciawing.snapshots import parts as parts_module
from acaciawing.snapshots.tests.baseline import recover_unchecked
from acaciawing.snapshots.tests.fake_log import FakeLog

SCHEMA = schema_of(FleetState)
RECORDS = 300


@dataclass
class RecoveryCase:
    """A log with `RECORDS` records and the state after each of them."""

    log: FakeLog = field(default_factory=FakeLog)
    states: list[FleetState] = field(default_factory=lambda: [FleetState()])
    peers: list[FleetState] = field(default_factory=list)

    def fill(self) -> "RecoveryCase":
        for number in range(RECORDS):
            address = f"192.0.2.{number % 200}:80"
            joined = EntryJoined(f"entry-{number % 60}", number, "z", address)
            self.log.append(CONTROL_STREAM, encode(joined, "entry-0/1"))
            entry = self.log.entries(CONTROL_STREAM)[-1]
            folded = step(self.states[-1], entry.payload, entry.position)
            self.states.append(folded.state)
        return self

    def write(self, offset: int, *chosen: int, schema: str = SCHEMA) -> None:
        """Writes a snapshot, or only some parts of it."""
        written = split(self.states[offset], offset, schema)
        assert len(written) > 2
        for part in written:
            if not chosen or part.part in chosen:
                payload = encode(part, "entry-0/1")
                self.log.append(SNAPSHOT_STREAM, payload)


@pytest.fixture(autouse=True)
def _small_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parts_module, "PART_BYTES", 300)


def _incomplete_snapshot(case: RecoveryCase) -> None:
    case.write(200)
    case.write(280, 0, 1)


def _damaged_parts(case: RecoveryCase) -> None:
    case.write(200)
    for part in split(case.states[280], 280, SCHEMA):
        data = bytes([part.data[0] ^ 1]) + part.data[1:]
        payload = encode(replace(part, data=data), "entry-0/1")
        case.log.append(SNAPSHOT_STREAM, payload)


def _interleaved_writers(case: RecoveryCase) -> None:
    case.write(250)
    older = split(case.states[240], 240, SCHEMA)
    case.write(260, 0)
    case.log.append(SNAPSHOT_STREAM, encode(older[1], "entry-1/1"))
    case.write(260, 1)
    case.write(260)
    for part in older[1:]:
        case.log.append(SNAPSHOT_STREAM, encode(part, "entry-1/1"))
    case.log.append(SNAPSHOT_STREAM, encode(older[0], "entry-1/1"))


def _older_written_last(case: RecoveryCase) -> None:
    case.write(260)
    case.write(120)
    case.log.retain_from(CONTROL_STREAM, 200)


def _retention_drops_early_records(case: RecoveryCase) -> None:
    case.write(200)
    case.log.retain_from(CONTROL_STREAM, 150)
    case.log.retain_from(SNAPSHOT_STREAM, 2)
    case.write(210)


def _retention_overtakes_the_replay(case: RecoveryCase) -> None:
    case.write(200)

    def overtake(stream: str, offset: int) -> None:
        if stream == CONTROL_STREAM and offset == 200:
            case.log.before_read = lambda stream, offset: None
            case.write(280)
            case.log.retain_from(CONTROL_STREAM, 250)

    case.log.before_read = overtake
    case.log.retain_from(CONTROL_STREAM, 100)


def _peer_behind_the_snapshot(case: RecoveryCase) -> None:
    case.peers = [case.states[20], case.states[120]]
    case.write(200)
    case.write(210, 1)
    case.log.retain_from(CONTROL_STREAM, 150)


RECOVERABLE_FAULTS = (
    _incomplete_snapshot,
    _damaged_parts,
    _interleaved_writers,
    _older_written_last,
    _retention_drops_early_records,
    _retention_overtakes_the_replay,
    _peer_behind_the_snapshot,
)


class TestLogAvailable:
    """Guards against a wrong or missing state while the log is available."""

    @pytest.mark.parametrize("fault", RECOVERABLE_FAULTS)
    def test_recovers_the_state_at_the_head(self, fault: Any) -> None:
        case = RecoveryCase().fill()
        fault(case)
        outcome = recover(case.log, case.peers, now=5.0)
        assert isinstance(outcome, Recovered), outcome
        assert outcome.state == case.states[-1]
        assert outcome.recovered_at == 5.0

    @pytest.mark.parametrize("fault", RECOVERABLE_FAULTS)
    def test_baseline_fails(self, fault: Any) -> None:
        case = RecoveryCase().fill()
        fault(case)
        unchecked = recover_unchecked(case.log, case.peers)
        assert unchecked is None or unchecked != case.states[-1]

    @pytest.mark.parametrize(
        ("keep_digest", "start"), [(True, 280), (False, 200)]
    )
    def test_damaged_duplicate_of_a_part(
        self, keep_digest: bool, start: int
    ) -> None:
        case = RecoveryCase().fill()
        case.write(200)
        case.write(280)
        part = split(case.states[280], 280, SCHEMA)[0]
        # With a matching part digest, only the digest of the body differs.
        digest = part.digest if keep_digest else xxh3_128_hexdigest(b"x")
        payload = encode(replace(part, data=b"x", digest=digest), "entry-0/1")
        case.log.append(SNAPSHOT_STREAM, payload)
        case.log.retain_from(CONTROL_STREAM, 150)
        outcome = recover(case.log, [], now=0.0)
        assert isinstance(outcome, Recovered)
        assert outcome.state == case.states[-1]
        assert outcome.started_from == start

    def test_reads_only_the_end_of_the_snapshot_stream(self) -> None:
        case, reads = RecoveryCase().fill(), []
        for offset in range(100, 290, 10):
            case.write(offset)
        case.log.retain_from(CONTROL_STREAM, 100)
        case.log.before_read = lambda stream, offset: reads.append(stream)
        steps: list[Step] = []
        outcome = recover(case.log, [], now=0.0, replayed=steps.append)
        assert isinstance(outcome, Recovered)
        assert (outcome.started_from, outcome.replayed) == (280, 20)
        assert [s.position.offset for s in steps] == list(range(280, 300))
        assert reads.count(SNAPSHOT_STREAM) <= 3

    def test_history_lost_is_returned(self) -> None:
        case = RecoveryCase().fill()
        case.log.retain_from(CONTROL_STREAM, 100)
        outcome = recover(case.log, [case.states[50]], now=0.0)
        assert isinstance(outcome, NotRecovered)
        assert outcome.reason == "history-lost"

    def test_snapshot_of_another_release_is_used_only_as_a_fallback(
        self,
    ) -> None:
        case = RecoveryCase().fill()
        case.write(200)
        case.write(290, schema="other")
        case.log.retain_from(CONTROL_STREAM, 100)
        outcome = recover(case.log, [], now=0.0)
        assert isinstance(outcome, Recovered)
        assert outcome.started_from == 200
        case.log.retain_from(CONTROL_STREAM, 250)
        outcome = recover(case.log, [], now=0.0)
        assert isinstance(outcome, Recovered)
        assert outcome.started_from == 290


class TestLogUnavailable:
    """Guards against an outdated or missing state during a log outage."""

    def test_uses_the_peer_state_with_the_highest_offset(self) -> None:
        case = RecoveryCase().fill()
        case.log.unavailable = True
        peers = [case.states[n] for n in (40, 250, 7)]
        outcome = recover(case.log, peers, now=0.0)
        assert isinstance(outcome, RecoveredWithoutLog)
        assert outcome.state == case.states[250]
        assert recover_unchecked(case.log, peers) == case.states[40]

    def test_no_recovery_without_a_peer(self) -> None:
        outcome = recover(FakeLog(unavailable=True), [], now=0.0)
        assert outcome == NotRecovered("log-unavailable", "outage")

    def test_never_recovers_an_older_state_than_held(self) -> None:
        case = RecoveryCase().fill()
        case.write(200)
        held = case.states[300]
        log = FakeLog()  # A log that has lost its records.
        for outcome in (
            recover(case.log, [], 0.0, held),
            recover(log, [case.states[9]], 0.0, held),
            recover(FakeLog(unavailable=True), [case.states[9]], 0.0, held),
        ):
            assert isinstance(outcome, Recovered | RecoveredWithoutLog)
            assert outcome.state == held

    @pytest.mark.parametrize("reads", range(8))
    def test_log_fails_at_any_read(self, reads: int) -> None:
        case = RecoveryCase().fill()
        case.write(200)
        case.log.retain_from(CONTROL_STREAM, 100)
        remaining = [reads]

        def count(stream: str, offset: int) -> None:
            remaining[0] -= 1
            case.log.unavailable = remaining[0] < 0

        case.log.before_read = count
        outcome = recover(case.log, [case.states[150]], now=0.0)
        assert isinstance(outcome, Recovered | RecoveredWithoutLog)
        assert outcome.state.offset >= 150
        assert outcome.state == case.states[outcome.state.offset]


class TestSchedule:
    """Guards against snapshots that are written too late for retention."""

    def test_newest_snapshot_stays_within_retention(self) -> None:
        for retained in (10, 500, 4_000, 50_000):
            snapshot = 0
            for head in range(
                1, 3 * retained + 2 * SNAPSHOT_INTERVAL_RECORDS, 7
            ):
                first = max(0, head - retained)
                if is_snapshot_due(head, snapshot, first):
                    snapshot = head
                assert snapshot >= first or head <= retained + 7
                assert head - snapshot <= SNAPSHOT_INTERVAL_RECORDS
