"""Simulation of the wait of short work behind long work in one pool.

The simulation is event-driven and deterministic. Every policy gets the same
arrivals and the same run times.
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
from bench.stragglers import (
    SLOTS,
    WORKERS,
    WORKLOADS,
    WorkItem,
    draw_work_items,
)


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
        max_long: Longest wait of a straggler.
        served: Work that ended before the last arrival, in seconds.
        refused_share: Ratio of refusals by workers without a free slot to
            requests; a request may be refused several times.
        p99_over_fifo: Ratio of `p99_short` to that of FIFO.
        served_over_fifo: Ratio of `served` to that of FIFO.
    """

    workload: str
    policy: str
    mean_short: float
    p50_short: float
    p99_short: float
    p99_long: float
    max_long: float
    served: float
    refused_share: float
    p99_over_fifo: float = 1.0
    served_over_fifo: float = 1.0


@dataclass
class _FifoQueue:
    """One queue in order of arrival that uses any free slot."""

    waiting: list[tuple[float, int, WaitingRequest]] = field(
        default_factory=list
    )

    def add(self, work: WaitingRequest, number: int) -> None:
        heappush(self.waiting, (self.rank(work), number, work))

    def rank(self, work: WaitingRequest) -> float:
        return work.enqueued

    def pop_next(self, now: float, long_free: bool) -> WaitingRequest | None:
        return heappop(self.waiting)[2] if self.waiting else None


class _ShortestFirstQueue(_FifoQueue):
    """One queue in order of expected run time that uses any free slot."""

    def rank(self, work: WaitingRequest) -> float:
        return work.run.expected_s


@dataclass
class _ClassQueue:
    """The queue of `acaciawing.queueing`."""

    queue: Queue = field(default_factory=Queue)

    def add(self, work: WaitingRequest, number: int) -> None:
        self.queue = enqueue(self.queue, work)

    def pop_next(self, now: float, long_free: bool) -> WaitingRequest | None:
        work = next_work(self.queue, now, long_free)
        if work is not None:
            self.queue = remove(self.queue, work.request)
        return work


@dataclass(frozen=True)
class _Policy:
    """A queue, the slots per worker for long work, and the entry instances.

    With several entry instances, each has its own queue, its own run times, and
    credits that follow from the demand of the previous gossip round.
    """

    queue: Callable[[], Any]
    long_slots: int
    entries: int = 1


POLICIES = {
    "fifo": _Policy(_FifoQueue, SLOTS),
    "shortest first": _Policy(_ShortestFirstQueue, SLOTS),
    "class without reserve": _Policy(_ClassQueue, SLOTS),
    "class with reserve": _Policy(_ClassQueue, 6),
    "fifo, 9 entry instances": _Policy(_FifoQueue, SLOTS, 9),
    "class with reserve, 9 entry instances": _Policy(_ClassQueue, 6, 9),
}


@dataclass(eq=False)
class _EntryInstance:
    """One entry instance of the simulation."""

    index: int
    name: str
    queue: Any
    state: RoutingState
    run_times: RunTimes = field(default_factory=RunTimes)
    running: int = 0
    waiting: int = 0


class _PoolSimulation:
    """Simulation of all entry instances that send requests to one pool."""

    def __init__(self, work: list[WorkItem], policy: _Policy) -> None:
        """Draws the entry instance of each request."""
        self.work = work
        self.long_slots = policy.long_slots
        self.random = Random(5)
        self.entries = [
            _EntryInstance(
                i,
                f"entry-{i}",
                policy.queue(),
                _routing_state(Credit(SLOTS, policy.long_slots)),
            )
            for i in range(policy.entries)
        ]
        self.entry_of_item = [
            self.random.choice(self.entries) for _ in range(len(work))
        ]
        self.events: list[tuple[float, int, str, int]] = [
            (item.arrival_s, number, "arrives", number)
            for number, item in enumerate(work)
        ]
        self.order = len(work)
        self.last_arrival_s = work[-1].arrival_s
        self.routes: dict[int, Route] = {}
        self.waits: dict[int, float] = {}
        self.used_slots = dict.fromkeys((f"w{i}" for i in range(WORKERS)), 0)
        self.refused = 0
        self.served = 0.0
        self.unfinished = len(work)
        if policy.entries > 1:
            self._schedule(0.0, "gossip", -1)

    def _schedule(self, time_s: float, kind: str, number: int) -> None:
        self.order += 1
        heappush(self.events, (time_s, self.order, kind, number))

    def run(self) -> None:
        """Handles all events in order of time."""
        while self.unfinished:
            now, _, kind, number = heappop(self.events)
            if kind == "gossip":
                self._gossip(now)
                continue
            if kind == "opens":
                self._start_all(self.entries[number], now)
                continue
            entry = self.entry_of_item[number]
            if kind == "arrives":
                self._arrive(entry, number, now)
            elif kind == "ends":
                self._end(entry, number, now)
            elif kind == "overruns" and number in self.routes:
                elapsed_s = (
                    now - self.work[number].arrival_s - self.waits[number]
                )
                entry.run_times = observe_run(
                    entry.run_times, self.work[number].key, elapsed_s, False
                )
            self._start_all(entry, now)

    def _arrive(self, entry: _EntryInstance, number: int, now: float) -> None:
        item = self.work[number]
        run = classify(entry.run_times, item.key, item.declared)
        entry.waiting += 1
        entry.queue.add(
            WaitingRequest(str(number), item.key, "plan", run, now, now + 1e6),
            number,
        )

    def _end(self, entry: _EntryInstance, number: int, now: float) -> None:
        item, route = self.work[number], self.routes.pop(number)
        entry.state = release(entry.state, route, now)
        entry.running -= 1
        entry.run_times = observe_run(entry.run_times, item.key, item.run_s)
        self.used_slots[route.endpoint.instance] -= 1
        self.unfinished -= 1
        if now <= self.last_arrival_s:
            self.served += item.run_s

    def _gossip(self, now: float) -> None:
        demand = {e.name: float(e.running + e.waiting) for e in self.entries}
        for entry in self.entries:
            credit_of = divide_credits(
                "proofdesk", list(self.used_slots), SLOTS, entry.name, demand
            )
            if self.long_slots == SLOTS:
                credit_of = {
                    worker: Credit(credit.slots, credit.slots)
                    for worker, credit in credit_of.items()
                }
            entry.state = set_credits(entry.state, credit_of)
            self._start_all(entry, now)
        self._schedule(now + 0.5, "gossip", -1)

    def _route(
        self, entry: _EntryInstance, now: float, long: bool
    ) -> Route | None:
        request = RouteRequest("proofdesk", "zone-1", long)
        choice = choose(entry.state, request, now, self.random)
        return choice if isinstance(choice, Route) else None

    def _start_all(self, entry: _EntryInstance, now: float) -> None:
        while (short := self._route(entry, now, False)) is not None:
            long = self._route(entry, now, True)
            work = entry.queue.pop_next(now, long is not None)
            if work is None:
                return
            # Without a reserve, a route for long work always exists here.
            route = long if work.run.long and long is not None else short
            if not self._start(entry, work, route, now):
                entry.queue.add(work, int(work.request))
                reopening_s = next_reopening_time(entry.state, "proofdesk", now)
                if reopening_s is not None:
                    self._schedule(reopening_s, "opens", entry.index)

    def _start(
        self,
        entry: _EntryInstance,
        work: WaitingRequest,
        route: Route,
        now: float,
    ) -> bool:
        """Sends a request to a worker, which refuses it if no slot is free."""
        worker, number = route.endpoint.instance, int(work.request)
        if self.used_slots[worker] >= SLOTS:
            self.refused += 1
            entry.state = observe_result(
                entry.state, route.endpoint, Result.NOT_RUN, 0.0, now
            )
            return False
        self.used_slots[worker] += 1
        entry.state = reserve(entry.state, route, now)
        entry.running += 1
        entry.waiting -= 1
        self.routes[number] = route
        self.waits[number] = now - work.enqueued
        run_s = self.work[number].run_s
        self._schedule(now + run_s, "ends", number)
        long_after_s = long_threshold_s(entry.run_times, "proofdesk")
        if long_after_s is not None and long_after_s < run_s:
            self._schedule(now + long_after_s, "overruns", number)
        return True


def _routing_state(credit: Credit) -> RoutingState:
    listed = tuple(
        ListedInstance(
            f"w{i}", 1, "proofdesk", "zone-1", f"r{i // 4}", f"192.0.2.{i}:80",
            "live",
        )
        for i in range(WORKERS)
    )  # fmt: skip
    state = observe_listing(RoutingState(), Listing(0.0, listed), {}, 0.0)
    return set_credits(state, {f"w{i}": credit for i in range(WORKERS)})


def _percentile(values: list[float], fraction: float) -> float:
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]


def _figures(
    workload: str,
    policy: str,
    simulation: _PoolSimulation,
    fifo: WaitFigures | None,
) -> WaitFigures:
    work = simulation.work
    short = [w for n, w in simulation.waits.items() if not work[n].straggler]
    long = [w for n, w in simulation.waits.items() if work[n].straggler]
    p99 = _percentile(short, 0.99)
    return WaitFigures(
        workload,
        policy,
        sum(short) / len(short),
        _percentile(short, 0.5),
        p99,
        _percentile(long, 0.99),
        max(long),
        simulation.served,
        simulation.refused / len(work),
        p99 / fifo.p99_short if fifo is not None and fifo.p99_short else 1.0,
        simulation.served / fifo.served if fifo is not None else 1.0,
    )


def run_short_behind_long(
    last_arrival_s: float = 120.0, seed: int = 11
) -> tuple[WaitFigures, ...]:
    """Simulates every workload under every policy.

    Args:
        last_arrival_s: Time of the last arrival, in seconds.
        seed: Seed of the arrivals.

    Returns:
        One row for each pair of workload and policy, FIFO first.
    """
    rows: list[WaitFigures] = []
    for workload, (load_at, separate_operation) in WORKLOADS.items():
        work = draw_work_items(
            load_at, separate_operation, last_arrival_s, seed
        )
        fifo: WaitFigures | None = None
        for policy in POLICIES:
            simulation = _PoolSimulation(work, POLICIES[policy])
            simulation.run()
            row = _figures(workload, policy, simulation, fifo)
            fifo = fifo or row
            rows.append(row)
    return tuple(rows)
