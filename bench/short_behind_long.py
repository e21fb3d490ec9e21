"""Replay of one pool: how long short work waits behind long work.

The replay is event-driven and deterministic. Every policy gets the same arrivals
and the same run times.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from acaciawing.platform import ListedInstance, Listing
from acaciawing.queueing import (
    Queue,
    RunTimes,
    WaitingRequest,
    classify,
    enqueue,
    long_threshold_s,
    next_work,
    observe_run,
    remove,
)
from acaciawing.routing import (
    Credit,
    Result,
    Route,
    RouteRequest,
    RoutingState,
    choose,
    divide_credits,
    next_reopening_time,
    observe_listing,
    observe_result,
    release,
    reserve,
    set_credits,
)
from bench.stragglers import SLOTS, WORKERS, WORKLOADS, Piece, pieces


@dataclass(frozen=True)
class WaitFigures:
    """Result of one policy under one workload; times in seconds.

    Attributes:
        workload: Name of the workload.
        policy: Name of the policy.
        mean_short: Mean wait of short work.
        p50_short: Median wait of short work.
        p99_short: 99th percentile of the wait of short work.
        p99_long: 99th percentile of the wait of stragglers.
        longest_long: Longest wait of a straggler.
        served: Work in seconds that ended before the last arrival.
        pushed_back: Requests that a worker without a free slot refused, over
            all requests.
        p99_over_fifo: `p99_short` over that of FIFO.
        served_over_fifo: `served` over that of FIFO.
    """

    workload: str
    policy: str
    mean_short: float
    p50_short: float
    p99_short: float
    p99_long: float
    longest_long: float
    served: float
    pushed_back: float
    p99_over_fifo: float = 1.0
    served_over_fifo: float = 1.0


@dataclass
class _Fifo:
    """One queue in order of arrival; any free slot."""

    waiting: list[tuple[float, int, WaitingRequest]] = field(
        default_factory=list
    )

    def add(self, work: WaitingRequest, number: int) -> None:
        heappush(self.waiting, (self.rank(work), number, work))

    def rank(self, work: WaitingRequest) -> float:
        return work.enqueued

    def take(self, now: float, long_free: bool) -> WaitingRequest | None:
        return heappop(self.waiting)[2] if self.waiting else None


class _ShortestFirst(_Fifo):
    """One queue by expected run time; any free slot."""

    def rank(self, work: WaitingRequest) -> float:
        return work.run.expected_s


@dataclass
class _Classes:
    """The queue of `acaciawing.queueing`."""

    queue: Queue = field(default_factory=Queue)

    def add(self, work: WaitingRequest, number: int) -> None:
        self.queue = enqueue(self.queue, work)

    def take(self, now: float, long_free: bool) -> WaitingRequest | None:
        work = next_work(self.queue, now, long_free)
        if work is not None:
            self.queue = remove(self.queue, work.request)
        return work


@dataclass(frozen=True)
class _Policy:
    """A queue, the slots of 8 for long work, and the entry instances.

    With several entry instances each has its own queue, its own run times and
    credits by the demand of the gossip round before.
    """

    queue: Callable[[], Any]
    long: int
    entries: int = 1


POLICIES = {
    "fifo": _Policy(_Fifo, SLOTS),
    "shortest first": _Policy(_ShortestFirst, SLOTS),
    "class without reserve": _Policy(_Classes, SLOTS),
    "class with reserve": _Policy(_Classes, 6),
    "fifo, 9 entry instances": _Policy(_Fifo, SLOTS, 9),
    "class with reserve, 9 entry instances": _Policy(_Classes, 6, 9),
}


@dataclass(eq=False)
class _Entry:
    """One entry instance of the replay."""

    index: int
    name: str
    queue: Any
    state: RoutingState
    learnt: RunTimes = field(default_factory=RunTimes)
    running: int = 0
    waiting: int = 0


class _Replay:
    """All entry instances in front of one pool."""

    def __init__(self, work: list[Piece], policy: _Policy) -> None:
        """Draws the entry instance of each piece."""
        self.work = work
        self.long = policy.long
        self.random = Random(5)
        self.entries = [
            _Entry(
                i,
                f"entry-{i}",
                policy.queue(),
                _pool(Credit(SLOTS, policy.long)),
            )
            for i in range(policy.entries)
        ]
        self.entry_of = [
            self.random.choice(self.entries) for _ in range(len(work))
        ]
        self.events: list[tuple[float, int, str, int]] = [
            (piece.arrives, number, "arrives", number)
            for number, piece in enumerate(work)
        ]
        self.order = len(work)
        self.horizon = work[-1].arrives
        self.routes: dict[int, Route] = {}
        self.waits: dict[int, float] = {}
        self.taken = dict.fromkeys((f"w{i}" for i in range(WORKERS)), 0)
        self.pushed_back = 0
        self.served = 0.0
        self.left = len(work)
        if policy.entries > 1:
            self._later(0.0, "gossip", -1)

    def _later(self, at: float, what: str, number: int) -> None:
        self.order += 1
        heappush(self.events, (at, self.order, what, number))

    def run(self) -> None:
        """Handles all events in order of time."""
        while self.left:
            now, _, what, number = heappop(self.events)
            if what == "gossip":
                self._gossip(now)
                continue
            if what == "opens":
                self._start_all(self.entries[number], now)
                continue
            entry = self.entry_of[number]
            if what == "arrives":
                self._arrive(entry, number, now)
            elif what == "ends":
                self._end(entry, number, now)
            elif what == "overruns" and number in self.routes:
                ran = now - self.work[number].arrives - self.waits[number]
                entry.learnt = observe_run(
                    entry.learnt, self.work[number].key, ran, False
                )
            self._start_all(entry, now)

    def _arrive(self, entry: _Entry, number: int, now: float) -> None:
        piece = self.work[number]
        run = classify(entry.learnt, piece.key, piece.declared)
        entry.waiting += 1
        entry.queue.add(
            WaitingRequest(str(number), piece.key, "plan", run, now, now + 1e6),
            number,
        )

    def _end(self, entry: _Entry, number: int, now: float) -> None:
        piece, route = self.work[number], self.routes.pop(number)
        entry.state = release(entry.state, route, now)
        entry.running -= 1
        entry.learnt = observe_run(entry.learnt, piece.key, piece.runs)
        self.taken[route.endpoint.instance] -= 1
        self.left -= 1
        if now <= self.horizon:
            self.served += piece.runs

    def _gossip(self, now: float) -> None:
        demand = {e.name: float(e.running + e.waiting) for e in self.entries}
        for entry in self.entries:
            credit_of = divide_credits(
                "proofdesk", list(self.taken), SLOTS, entry.name, demand
            )
            if self.long == SLOTS:
                credit_of = {
                    worker: Credit(credit.slots, credit.slots)
                    for worker, credit in credit_of.items()
                }
            entry.state = set_credits(entry.state, credit_of)
            self._start_all(entry, now)
        self._later(now + 0.5, "gossip", -1)

    def _route(self, entry: _Entry, now: float, long: bool) -> Route | None:
        request = RouteRequest("proofdesk", "zone-1", long)
        choice = choose(entry.state, request, now, self.random)
        return choice if isinstance(choice, Route) else None

    def _start_all(self, entry: _Entry, now: float) -> None:
        while (short := self._route(entry, now, False)) is not None:
            long = self._route(entry, now, True)
            work = entry.queue.take(now, long is not None)
            if work is None:
                return
            # Without a reserve a route for long work always exists here.
            route = long if work.run.long and long is not None else short
            if not self._start(entry, work, route, now):
                entry.queue.add(work, int(work.request))
                opening = next_reopening_time(entry.state, "proofdesk", now)
                if opening is not None:
                    self._later(opening, "opens", entry.index)

    def _start(
        self, entry: _Entry, work: WaitingRequest, route: Route, now: float
    ) -> bool:
        """Sends a piece to a worker, which refuses it if it has no slot."""
        worker, number = route.endpoint.instance, int(work.request)
        if self.taken[worker] >= SLOTS:
            self.pushed_back += 1
            entry.state = observe_result(
                entry.state, route.endpoint, Result.NOT_RUN, 0.0, now
            )
            return False
        self.taken[worker] += 1
        entry.state = reserve(entry.state, route, now)
        entry.running += 1
        entry.waiting -= 1
        self.routes[number] = route
        self.waits[number] = now - work.enqueued
        runs = self.work[number].runs
        self._later(now + runs, "ends", number)
        limit = long_threshold_s(entry.learnt, "proofdesk")
        if limit is not None and limit < runs:
            self._later(now + limit, "overruns", number)
        return True


def _pool(credit: Credit) -> RoutingState:
    listed = tuple(
        ListedInstance(
            f"w{i}", 1, "proofdesk", "zone-1", f"r{i // 4}", f"192.0.2.{i}:80",
            "live",
        )
        for i in range(WORKERS)
    )  # fmt: skip
    state = observe_listing(RoutingState(), Listing(0.0, listed), {}, 0.0)
    return set_credits(state, {f"w{i}": credit for i in range(WORKERS)})


def _percentile(values: list[float], part: float) -> float:
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(part * len(ranked)))]


def _figures(
    workload: str, policy: str, replay: _Replay, fifo: WaitFigures | None
) -> WaitFigures:
    work = replay.work
    short = [w for n, w in replay.waits.items() if not work[n].straggler]
    long = [w for n, w in replay.waits.items() if work[n].straggler]
    p99 = _percentile(short, 0.99)
    return WaitFigures(
        workload,
        policy,
        sum(short) / len(short),
        _percentile(short, 0.5),
        p99,
        _percentile(long, 0.99),
        max(long),
        replay.served,
        replay.pushed_back / len(work),
        p99 / fifo.p99_short if fifo is not None and fifo.p99_short else 1.0,
        replay.served / fifo.served if fifo is not None else 1.0,
    )


def run_short_behind_long(
    horizon: float = 120.0, seed: int = 11
) -> tuple[WaitFigures, ...]:
    """Replays every workload under every policy.

    Args:
        horizon: Time of the last arrival, in seconds.
        seed: Seed of the arrivals.

    Returns:
        One row for each pair of workload and policy, FIFO first.
    """
    rows: list[WaitFigures] = []
    for workload, (load_at, known) in WORKLOADS.items():
        work = pieces(load_at, known, horizon, seed)
        fifo: WaitFigures | None = None
        for policy in POLICIES:
            replay = _Replay(work, POLICIES[policy])
            replay.run()
            row = _figures(workload, policy, replay, fifo)
            fifo = fifo or row
            rows.append(row)
    return tuple(rows)
