"""Tests of the claim task with threads and an in-memory log."""

import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from acaciawing.idempotency.events import (
    Denied,
    Finished,
    InProgress,
    MayHaveRun,
    Run,
)
from acaciawing.idempotency.task import ClaimTask
from acaciawing.platform import (
    Appended,
    AppendOutcome,
    AppendUnknown,
    Batch,
    LogEntry,
    LogUnavailable,
    NotAppended,
    ReadOutcome,
)
from acaciawing.records import Envelope, LogPosition, decode

_MEMBERS = {f"{name}/1": f"{name}:1" for name in "abc"}
_TIMEOUT_S = 10.0


class MemoryLog:
    """Log shared by the tasks of one test."""

    def __init__(self) -> None:
        """Starts empty and reachable."""
        self._lock = threading.Lock()
        self._entries: list[LogEntry] = []
        self.up = True
        self.lose_responses = False

    def append(self, stream: str, payload: bytes) -> AppendOutcome:
        if not self.up:
            return NotAppended("down")
        with self._lock:
            offset = len(self._entries)
            position = LogPosition(offset, float(offset))
            self._entries.append(LogEntry(position, payload))
        return (
            AppendUnknown("lost") if self.lose_responses else Appended(position)
        )

    def read(self, stream: str, offset: int, limit: int) -> ReadOutcome:
        if not self.up:
            return LogUnavailable("down")
        with self._lock:
            entries = tuple(self._entries[offset : offset + limit])
            head = len(self._entries)
        return Batch(entries, offset + len(entries), head, 0)


class Fleet:
    """Three entry instances in one process."""

    def __init__(self) -> None:
        """Starts the instances and joins them to the roster one by one."""
        self.log = MemoryLog()
        self.tasks: dict[str, ClaimTask] = {}
        for member, address in _MEMBERS.items():
            task = ClaimTask(
                self.log,
                self.send,
                member=member,
                address=address,
                clock=time.monotonic,
            )
            before = tuple(self.tasks)
            self.tasks[member] = task
            task.joined(before)
            for other in self.tasks.values():
                other.set_roster({m: _MEMBERS[m] for m in self.tasks}, ())
        for task in self.tasks.values():
            assert task.wait_complete(_TIMEOUT_S)

    def send(self, instance: str, address: str, payload: bytes) -> bytes | None:
        return self.tasks[f"{instance}/1"].answer_peer(payload)

    def claim(
        self, member: str, key: str, wait_s: float = _TIMEOUT_S
    ) -> object:
        deadline = time.monotonic() + wait_s
        return self.tasks[member].claim("customer", key, "f", deadline)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    fleet = Fleet()
    yield fleet
    for task in fleet.tasks.values():
        task.stop()


class TestClaimTask:
    """Decisions must not be lost between the threads."""

    def test_concurrent_repeats_run_once(self, fleet: Fleet) -> None:
        with ThreadPoolExecutor(12) as pool:
            members = [m for m in _MEMBERS for _ in range(4)]
            decisions = list(pool.map(lambda m: fleet.claim(m, "k"), members))
        assert sum(isinstance(d, Run) for d in decisions) == 1
        assert all(
            isinstance(d, Run | InProgress | MayHaveRun) for d in decisions
        )

    def test_finished_key_gives_its_status(self, fleet: Fleet) -> None:
        run = fleet.claim("a/1", "k")
        assert isinstance(run, Run)
        fleet.tasks["a/1"].finish(run.claim, 201)
        assert fleet.claim("a/1", "k") == Finished(201)

    def test_released_key_runs_again(self, fleet: Fleet) -> None:
        run = fleet.claim("a/1", "k")
        assert isinstance(run, Run)
        fleet.tasks["a/1"].release(run.claim)
        # The release precedes this claim in the log, so instance a reads
        # it before the next claim of "k".
        fleet.claim("a/1", "other")
        assert isinstance(fleet.claim("a/1", "k"), Run)

    def test_claim_runs_although_append_responses_are_lost(
        self, fleet: Fleet
    ) -> None:
        fleet.log.lose_responses = True
        assert isinstance(fleet.claim("a/1", "k"), Run)

    def test_key_runs_once_by_agreement_in_a_log_outage(
        self, fleet: Fleet
    ) -> None:
        fleet.log.up = False
        assert isinstance(fleet.claim("b/1", "k"), Run)
        assert isinstance(fleet.claim("a/1", "k"), MayHaveRun)
        fleet.log.up = True
        assert isinstance(fleet.claim("c/1", "k"), MayHaveRun)

    def test_claim_is_released_if_its_caller_timed_out(
        self, fleet: Fleet
    ) -> None:
        decisions = [fleet.claim("a/1", f"k{n}", 0.0) for n in range(20)]
        assert all(isinstance(d, MayHaveRun) for d in decisions)
        fleet.claim("a/1", "last")
        fleet.claim("a/1", "last-of-all")
        for n in range(20):
            assert isinstance(fleet.claim("a/1", f"k{n}"), Run)

    def test_malformed_peer_request_is_denied(self, fleet: Fleet) -> None:
        envelope = decode(fleet.tasks["a/1"].answer_peer(b"{"))
        assert envelope == Envelope("a/1", Denied("not-understood"))
