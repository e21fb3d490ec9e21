"""Cost of at-most-once execution in appends and processor time."""

import heapq
import itertools
import random
import time
from dataclasses import dataclass, field

from acaciawing.idempotency import ClaimBatch, ClaimState, key_digest, step
from acaciawing.idempotency import events as e
from acaciawing.records import LogPosition

# Round trip of an append to a healthy log in the same region.
_APPEND_LATENCY_S = 0.003
_READ_INTERVAL_S = 0.5


@dataclass(frozen=True)
class GroupCommit:
    """Group commit at one load, in simulated time.

    Attributes:
        instances: Entry instances.
        requests_per_s: Requests with an idempotency key per second,
            over all instances.
        appends_per_s: Appends per second, over all instances.
        appends_per_s_per_instance: Appends per second of one instance.
        claims_per_append: Mean number of claims in one append.
        wait_mean_s: Mean time from the request to its decision, in seconds.
        wait_p50_s: Median of the same.
        wait_p99_s: 99th percentile of the same.
    """

    instances: int
    requests_per_s: float
    appends_per_s: float
    appends_per_s_per_instance: float
    claims_per_append: float
    wait_mean_s: float
    wait_p50_s: float
    wait_p99_s: float


@dataclass(frozen=True)
class DecisionRate:
    """Processor cost of claims in one instance, without log and network.

    Attributes:
        decisions: Claims decided.
        decisions_per_s: Claims decided per second of processor time.
        foreign_claims_per_s: Claims of other instances that are folded
            per second of processor time.
    """

    decisions: int
    decisions_per_s: float
    foreign_claims_per_s: float


@dataclass(frozen=True)
class AppendCost:
    """Appends per second, over all instances, of one method to claim keys."""

    method: str
    instances: int
    requests_per_s: float
    appends_per_s: float


@dataclass
class _Instance:
    state: ClaimState
    next_offset: int = 0
    requested_at: dict[int, float] = field(default_factory=dict)


class _ClaimSimulation:
    """Simulation of entry instances that share one log."""

    def __init__(self, instances: int) -> None:
        self._order = itertools.count()
        self._events: list[tuple[float, int, str, int, object]] = []
        self._log: list[ClaimBatch] = []
        self.waits_s: list[float] = []
        self.claims = 0
        names = [f"entry-{n:02}/1" for n in range(instances)]
        self._instances = [
            _Instance(
                ClaimState(
                    name,
                    predecessors=frozenset(),
                    complete=True,
                    log_up=True,
                    members=frozenset(names) - {name},
                )
            )
            for name in names
        ]

    def run(self, requests_per_s: float, seconds: float) -> None:
        """Simulates requests at exponential intervals to random instances."""
        random_source = random.Random(1)
        now, number = 0.0, 0
        while (
            now := now + random_source.expovariate(requests_per_s)
        ) < seconds:
            number += 1
            target = random_source.randrange(len(self._instances))
            self._schedule(now, "request", target, number)
        for index in range(len(self._instances)):
            self._schedule(
                random_source.random() * _READ_INTERVAL_S, "read", index, None
            )
        while self._events and self._events[0][0] < seconds:
            now, _, kind, index, value = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(now, index, value)

    @property
    def appends(self) -> int:
        """Number of appends so far."""
        return len(self._log)

    def _schedule(
        self, time_s: float, kind: str, index: int, value: object
    ) -> None:
        order = next(self._order)
        heapq.heappush(self._events, (time_s, order, kind, index, value))

    def _request(self, now: float, index: int, value: int) -> None:
        digest = key_digest("customer", str(value))
        self._instances[index].requested_at[value] = now
        request = e.ClaimRequested(value, "customer", digest, "f", now + 60)
        self._handle(now, index, request)

    def _tick(self, now: float, index: int, value: object) -> None:
        self._handle(now, index, e.Tick())

    def _append(self, now: float, index: int, value: ClaimBatch) -> None:
        self._log.append(value)
        self.claims += len(value.claims)
        self._handle(now, index, e.BatchAppended(len(self._log) - 1))
        self._read_all(now, index)

    def _read(self, now: float, index: int, value: object) -> None:
        self._read_all(now, index)
        self._schedule(now + _READ_INTERVAL_S, "read", index, None)

    def _read_all(self, now: float, index: int) -> None:
        instance = self._instances[index]
        self._handle(now, index, e.ReadStarted())
        while instance.next_offset < len(self._log):
            offset = instance.next_offset
            instance.next_offset += 1
            position = LogPosition(offset, now)
            self._handle(now, index, e.BatchRead(self._log[offset], position))
        self._handle(now, index, e.LogHeadReached())

    def _handle(self, now: float, index: int, event: object) -> None:
        instance = self._instances[index]
        instance.state, outputs = step(event, instance.state, now)
        for output in outputs:
            if isinstance(output, e.Append):
                self._schedule(
                    now + _APPEND_LATENCY_S, "append", index, output.batch
                )
                due = instance.state.append_due_at
                self._schedule(due, "tick", index, None)
            elif isinstance(output, e.SendDecision):
                self.waits_s.append(
                    now - instance.requested_at.pop(output.token)
                )


def group_commit(
    instances: int, requests_per_s: float, seconds: float = 10.0
) -> GroupCommit:
    """Simulates group commit at one load."""
    simulation = _ClaimSimulation(instances)
    simulation.run(requests_per_s, seconds)
    waits_s = sorted(simulation.waits_s)
    appends = simulation.appends
    return GroupCommit(
        instances,
        requests_per_s,
        appends / seconds,
        appends / seconds / instances,
        simulation.claims / appends,
        sum(waits_s) / len(waits_s),
        waits_s[len(waits_s) // 2],
        waits_s[int(len(waits_s) * 0.99)],
    )


def decision_rate(decisions: int = 20_000, batch: int = 50) -> DecisionRate:
    """Measures the decisions of one instance with a log that never fails."""
    state = ClaimState(
        "entry-00/1", predecessors=frozenset(), complete=True, log_up=True
    )
    foreign = ClaimState(
        "entry-01/1", predecessors=frozenset(), complete=True, log_up=True
    )
    batches: list[ClaimBatch] = []
    now, started = 0.0, time.process_time()
    for first in range(0, decisions, batch):
        now += 1.0
        state = _process_batch(state, first, batch, now, batches)
    own_s = time.process_time() - started
    started = time.process_time()
    for offset, read in enumerate(batches):
        event = e.BatchRead(read, LogPosition(offset, float(offset)))
        foreign, _ = step(event, foreign, now)
    foreign_s = time.process_time() - started
    claims = sum(len(read.claims) for read in batches)
    return DecisionRate(decisions, decisions / own_s, claims / foreign_s)


def _process_batch(
    state: ClaimState,
    first: int,
    size: int,
    now: float,
    batches: list[ClaimBatch],
) -> ClaimState:
    for number in range(first, first + size):
        digest = key_digest("customer", str(number))
        request = e.ClaimRequested(number, "customer", digest, "f", now + 60)
        state, outputs = step(request, state, now)
        state = _append_batches(state, outputs, now, batches)
    state, outputs = step(e.Tick(), state, now + 0.5)
    return _append_batches(state, outputs, now, batches)


def _append_batches(
    state: ClaimState,
    outputs: tuple[e.Output, ...],
    now: float,
    batches: list[ClaimBatch],
) -> ClaimState:
    for output in outputs:
        if isinstance(output, e.Append):
            offset = len(batches)
            batches.append(output.batch)
            state, _ = step(e.BatchAppended(offset), state, now)
            read = e.BatchRead(output.batch, LogPosition(offset, now))
            state, _ = step(read, state, now)
    return state


def append_costs(
    instances: int, requests_per_s: float
) -> tuple[AppendCost, ...]:
    """Compares the appends per second of each method in the design.

    They are computed or, for group commit, simulated. Each holder of leased key
    ranges renews all its leases in one record every 3 s.
    """
    grouped = group_commit(instances, requests_per_s)
    methods = (
        ("one append per claim", requests_per_s),
        ("group commit", grouped.appends_per_s),
        ("key owner in the zone", 0.0),
        ("leased key ranges", instances / 3.0),
    )
    return tuple(
        AppendCost(method, instances, requests_per_s, appends)
        for method, appends in methods
    )
