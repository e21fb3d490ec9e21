"""Decisions of the scheduler task on one message at a time.

Thin first version: even shares of plan limits, least loaded endpoint in the
own zone first.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from acaciawing.configuration import ConfigurationIndex, index
from acaciawing.entry.messages import (
    Completed,
    Finished,
    Granted,
    ListingSeen,
    StateChanged,
    Submit,
)
from acaciawing.entry.recorder import Decision
from acaciawing.fold import FleetState
from acaciawing.outcomes import NotRun
from acaciawing.platform import ListedInstance


@dataclass
class PlanCounts:
    """Counts of one plan since the start of the daemon."""

    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    in_flight: int = 0


@dataclass(frozen=True)
class _Attempt:
    submit: Submit
    instance: str
    pool: str


@dataclass
class EngineView:
    """State shown by the administration API."""

    state: FleetState
    plans: dict[str, PlanCounts]
    waiting: int
    in_flight: int
    instances: int = 0


@dataclass
class Engine:
    """State of the scheduler task; used by that task only.

    Attributes:
        zone: Zone of the entry instance.
        record: Receives each decision.
        source: Random source of the decisions.
    """

    zone: str
    record: "deque[Decision] | None" = None
    source: Random = field(default_factory=lambda: Random(1))
    state: FleetState = FleetState()
    index: ConfigurationIndex = field(default_factory=ConfigurationIndex)
    plans: dict[str, PlanCounts] = field(default_factory=dict)
    members: int = 1
    _instances: dict[str, ListedInstance] = field(default_factory=dict)
    _pools: dict[str, list[str]] = field(default_factory=dict)
    _leaving: set[tuple[str, int]] = field(default_factory=set)
    _load: dict[str, int] = field(default_factory=dict)
    _attempts: dict[int, _Attempt] = field(default_factory=dict)
    _waiting: deque[Submit] = field(default_factory=deque)
    _tickets: int = 0
    _as_of: float = 0.0

    @property
    def in_flight(self) -> int:
        """Number of granted attempts that have not ended."""
        return len(self._attempts)

    def view(self) -> EngineView:
        """A copy for other tasks."""
        plans = {name: PlanCounts(**vars(c)) for name, c in self.plans.items()}
        return EngineView(
            self.state,
            plans,
            len(self._waiting),
            len(self._attempts),
            len(self._instances),
        )

    def state_changed(self, message: StateChanged) -> None:
        """Takes a newer state of the fold."""
        old = self.state.configuration
        self.state = message.state
        if message.state.configuration is not old:
            self.index = index(message.state.configuration.configuration)

    def listing_seen(self, message: ListingSeen) -> None:
        """Takes a newer instance list; a leave is sticky per incarnation."""
        if message.listing.as_of < self._as_of:
            return
        self._as_of = message.listing.as_of
        self._instances = {i.instance: i for i in message.listing.instances}
        self._pools = {}
        for listed in message.listing.instances:
            if listed.state != "live":
                self._leaving.add((listed.instance, listed.incarnation))
            self._pools.setdefault(listed.pool, []).append(listed.instance)

    def submit(self, message: Submit, now: float) -> None:
        """Grants, queues or refuses a request."""
        counts = self.plans.setdefault(message.plan, PlanCounts())
        plan = self.index.plans[message.plan]
        limit = max(1, plan.concurrency // self.members)
        if message.attempt == 1 and counts.in_flight >= limit:
            refusal = NotRun("concurrency-limit", "", 429, 1.0)
            message.reply.put(refusal)
            return
        if not self._grant(message, now):
            self._waiting.append(message)

    def _grant(self, message: Submit, now: float) -> bool:
        service = self.index.services[message.service]
        candidates = [
            name
            for name in self._pools.get(service.pool, ())
            if self._usable(name, service.slots) and name not in message.avoid
        ]
        if not candidates:
            return False
        chosen = min(candidates, key=self._cost)
        listed = self._instances[chosen]
        self._tickets += 1
        self._attempts[self._tickets] = _Attempt(message, chosen, service.pool)
        self._load[chosen] = self._load.get(chosen, 0) + 1
        self.plans[message.plan].in_flight += 1
        message.reply.put(
            Granted(
                self._tickets,
                chosen,
                listed.incarnation,
                listed.address,
                message.plan,
                message.deadline,
            )
        )
        return True

    def _usable(self, name: str, slots: int) -> bool:
        listed = self._instances[name]
        if (name, listed.incarnation) in self._leaving:
            return False
        return self._load.get(name, 0) < slots

    def _cost(self, name: str) -> tuple[bool, int, float]:
        away = self._instances[name].zone != self.zone
        return away, self._load.get(name, 0), self.source.random()

    def completed(self, message: Completed, now: float) -> None:
        """Frees the slot of an attempt and serves the queue."""
        attempt = self._attempts.pop(message.ticket)
        self._load[attempt.instance] -= 1
        self.plans[attempt.submit.plan].in_flight -= 1
        if message.leaving:
            listed = self._instances.get(attempt.instance)
            if listed is not None:
                self._leaving.add((listed.instance, listed.incarnation))
        self.serve_queue(now)

    def serve_queue(self, now: float) -> None:
        """Grants waiting requests in order; drops those past the deadline."""
        for _ in range(len(self._waiting)):
            message = self._waiting.popleft()
            if message.deadline <= now:
                message.reply.put(NotRun("deadline", "", 503, 1.0))
            elif not self._grant(message, now):
                self._waiting.append(message)

    def finished(self, message: Finished) -> None:
        """Counts the final answer of a request."""
        counts = self.plans.setdefault(message.plan, PlanCounts())
        if message.verdict == "succeeded":
            counts.succeeded += 1
        elif message.verdict == "failed":
            counts.failed += 1
        else:
            counts.refused += 1
