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
    Waiting,
    WorkKey,
    classify,
    enqueue,
    long_after_s,
    next_work,
    observe_run,
    remove,
)
from acaciawing.routing import (
    Credit,
    Route,
    RouteRequest,
    RoutingState,
    choose,
    observe_listing,
    release,
    reserve,
    set_credits,
)

WORKERS = 6
SLOTS = 8
SHORT_S = 0.05
STRAGGLER_FACTOR = 100.0
STRAGGLERS = 0.05
_MEAN_S = SHORT_S * (1 - STRAGGLERS + STRAGGLERS * STRAGGLER_FACTOR)


@dataclass(frozen=True)
class Piece:
    """One piece of work of the replay; times in seconds."""

    arrives: float
    runs: float
    straggler: bool
    key: WorkKey
    declared: float | None


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
    p99_over_fifo: float = 1.0
    served_over_fifo: float = 1.0


def _steady(load: float) -> Callable[[float], float]:
    return lambda now: load


def _peaks(now: float) -> float:
    """Peaks of 6 s each minute at five times the mean load of 0.4.

    The load between the peaks makes up the mean.
    """
    return 2.0 if now % 60.0 < 6.0 else (0.4 - 2.0 * 0.1) / 0.9


def pieces(
    load_at: Callable[[float], float],
    known: bool,
    horizon: float = 180.0,
    seed: int = 11,
) -> list[Piece]:
    """Draws the arrivals.

    Args:
        load_at: Offered work over the pool's capacity at a time.
        known: Whether stragglers are an operation of their own. If not, each
            request may be one, and nothing tells before it runs.
        horizon: Time of the last arrival, in seconds.
        seed: Seed of the random numbers.

    Returns:
        Pieces by time of arrival. Declared times are off by a factor of up to
        100 in either direction; a third declares nothing.
    """
    random = Random(seed)
    capacity = WORKERS * SLOTS / _MEAN_S
    drawn: list[Piece] = []
    now = 0.0
    while True:
        now += random.expovariate(capacity * load_at(now))
        if now >= horizon:
            return drawn
        straggler = random.random() < STRAGGLERS
        runs = SHORT_S * random.uniform(0.5, 1.5)
        runs *= STRAGGLER_FACTOR if straggler else 1.0
        operation = "batch" if straggler and known else "render"
        customer = f"customer-{random.randrange(20)}"
        declared = runs * 10 ** random.uniform(-2, 2)
        drawn.append(
            Piece(
                now,
                runs,
                straggler,
                WorkKey("proofdesk", operation, customer),
                declared if random.random() < 2 / 3 else None,
            )
        )


@dataclass
class _Fifo:
    """One queue in order of arrival; any free slot."""

    waiting: list[tuple[float, int, Waiting]] = field(default_factory=list)

    def add(self, work: Waiting, number: int) -> None:
        heappush(self.waiting, (self.rank(work), number, work))

    def rank(self, work: Waiting) -> float:
        return work.enqueued

    def take(self, now: float, long_free: bool) -> Waiting | None:
        return heappop(self.waiting)[2] if self.waiting else None


class _ShortestFirst(_Fifo):
    """One queue by expected run time; any free slot."""

    def rank(self, work: Waiting) -> float:
        return work.run.expected_s


@dataclass
class _Classes:
    """The queue of `acaciawing.queueing`."""

    queue: Queue = field(default_factory=Queue)

    def add(self, work: Waiting, number: int) -> None:
        self.queue = enqueue(self.queue, work)

    def take(self, now: float, long_free: bool) -> Waiting | None:
        work = next_work(self.queue, now, long_free)
        if work is not None:
            self.queue = remove(self.queue, work.request)
        return work


# Policy: its queue, and how many of 8 slots long work may hold.
POLICIES: dict[str, tuple[Callable[[], Any], int]] = {
    "fifo": (_Fifo, SLOTS),
    "shortest first": (_ShortestFirst, SLOTS),
    "class without reserve": (_Classes, SLOTS),
    "class with reserve": (_Classes, 6),
}


class _Replay:
    def __init__(self, work: list[Piece], policy: str) -> None:
        queue, long_slots = POLICIES[policy]
        self.work = work
        self.queue = queue()
        self.learnt = RunTimes()
        self.random = Random(5)
        self.state = _pool(Credit(SLOTS, long_slots))
        self.events: list[tuple[float, int, str, int]] = [
            (piece.arrives, number, "arrives", number)
            for number, piece in enumerate(work)
        ]
        self.routes: dict[int, Route] = {}
        self.waits: dict[int, float] = {}
        self.served = 0.0

    def run(self) -> None:
        """Handles all events in order of time."""
        order = len(self.events)
        horizon = self.work[-1].arrives
        while self.events:
            now, _, what, number = heappop(self.events)
            piece = self.work[number]
            if what == "arrives":
                run = classify(self.learnt, piece.key, piece.declared)
                self.queue.add(
                    Waiting(
                        str(number), piece.key, "plan", run, now, now + 1e6
                    ),
                    number,
                )
            elif what == "ends":
                self.state = release(self.state, self.routes.pop(number), now)
                self.learnt = observe_run(self.learnt, piece.key, piece.runs)
                if now <= horizon:
                    self.served += piece.runs
            elif number in self.routes:
                self.learnt = observe_run(
                    self.learnt, piece.key, now - self._start(number), False
                )
            for started in self._start_all(now):
                order += 1
                runs = self.work[started].runs
                heappush(self.events, (now + runs, order, "ends", started))
                limit = long_after_s(self.learnt, "proofdesk")
                if limit is not None and limit < runs:
                    order += 1
                    heappush(
                        self.events, (now + limit, order, "overruns", started)
                    )

    def _start(self, number: int) -> float:
        return self.work[number].arrives + self.waits[number]

    def _route(self, now: float, long: bool) -> Route | None:
        request = RouteRequest("proofdesk", "zone-1", long)
        choice = choose(self.state, request, now, self.random)
        return choice if isinstance(choice, Route) else None

    def _start_all(self, now: float) -> list[int]:
        started = []
        while (short := self._route(now, False)) is not None:
            long = self._route(now, True)
            work = self.queue.take(now, long is not None)
            if work is None:
                break
            # Without a reserve a route for long work always exists here.
            route = long if work.run.long and long is not None else short
            number = int(work.request)
            self.state = reserve(self.state, route, now)
            self.routes[number] = route
            self.waits[number] = now - work.enqueued
            started.append(number)
        return started


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
        p99 / fifo.p99_short if fifo is not None and fifo.p99_short else 1.0,
        replay.served / fifo.served if fifo is not None else 1.0,
    )


WORKLOADS: dict[str, tuple[Callable[[float], float], bool]] = {
    "steady load 0.8, stragglers an operation": (_steady(0.8), True),
    "steady load 0.9, stragglers an operation": (_steady(0.9), True),
    "five-fold peaks, stragglers an operation": (_peaks, True),
    "steady load 0.8, stragglers anywhere": (_steady(0.8), False),
    "five-fold peaks, stragglers anywhere": (_peaks, False),
}


def run_short_behind_long(
    horizon: float = 180.0, seed: int = 11
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
            replay = _Replay(work, policy)
            replay.run()
            row = _figures(workload, policy, replay, fifo)
            fifo = fifo or row
            rows.append(row)
    return tuple(rows)
