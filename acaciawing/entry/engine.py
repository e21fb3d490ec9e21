"""State and decisions of the scheduler task.

The decisions are pure functions of `acaciawing.admission`,
`acaciawing.queueing` and `acaciawing.routing`; the engine holds their states
and applies one message at a time.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from acaciawing import admission, queueing, retries, routing
from acaciawing.configuration import ConfigurationIndex, Plan, index
from acaciawing.entry.counts import PlanCounts
from acaciawing.entry.credits import CreditTable
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.messages import (
    Completed,
    Finished,
    Granted,
    ListingUpdated,
    MembersUpdated,
    StateChanged,
    Submit,
)
from acaciawing.entry.pools import Reinstatement, reinstatements, serving_pools
from acaciawing.fold import FleetState
from acaciawing.outcomes import NotRun
from acaciawing.platform import Listing
from acaciawing.queueing import Queue, RunClass, WaitingRequest, WorkKey
from acaciawing.retries import FailureDomain, NoAttempt
from acaciawing.routing import (
    AvoidedDomains,
    Endpoint,
    EndpointStatus,
    Result,
    Route,
    RouteRequest,
)
from acaciawing.telemetry import Event

RecordDecision = Callable[[str, Event, Mapping[str, object]], None]


@dataclass
class _Attempt:
    submit: Submit
    route: Route
    key: WorkKey
    started_at: float
    long_run_observed: bool = False


@dataclass
class Engine:
    """State of the scheduler task; not thread-safe, used by that task only.

    Attributes:
        instance: Id of the entry instance.
        zone: Its availability zone.
        queue_limit: Maximum number of waiting requests in the queue of a pool;
            each one occupies a request thread.
        record_decision: Called with each routing decision about a request.
        rng: Random number generator of the decisions.
        state: Newest state of the fold.
        index: Index of the configuration in force.
        counts: Final answers by plan.
    """

    instance: str
    zone: str
    queue_limit: int = 48
    record_decision: RecordDecision = lambda request, event, reasons: None
    rng: Random = field(default_factory=lambda: Random(1))
    state: FleetState = FleetState()
    index: ConfigurationIndex = field(default_factory=ConfigurationIndex)
    counts: dict[str, PlanCounts] = field(default_factory=dict)
    _routing: routing.RoutingState = field(default_factory=routing.RoutingState)
    _admission: admission.AdmissionState = admission.AdmissionState()
    _run_times: queueing.RunTimes = queueing.RunTimes()
    _queues: dict[str, Queue] = field(default_factory=dict)
    _attempts: dict[int, _Attempt] = field(default_factory=dict)
    _waiting_submits: dict[str, Submit] = field(default_factory=dict)
    _started_requests: set[str] = field(default_factory=set)
    _share_by_plan: dict[str, float] = field(default_factory=dict)
    _plans_with_shares: dict[str, tuple[Plan, float]] = field(
        default_factory=dict
    )
    _retry_budgets: retries.RetryBudgets = retries.RetryBudgets()
    _members: MembersUpdated | None = None
    _spare_pools: tuple[str, ...] = ()
    _leave_signals: tuple[tuple[str, int], ...] = ()
    _listing: Listing | None = None
    _reinstatements: dict[str, Reinstatement] = field(default_factory=dict)
    _pool_of: Mapping[str, str] = field(default_factory=dict)
    _pool_of_source: tuple[object, object] = (None, None)
    _credits: CreditTable = field(init=False)
    _last_ticket: int = 0
    _result_counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Creates the credit table of this instance."""
        self._credits = CreditTable(self.instance)

    # Updates of the fleet state, the instance list and the members.

    def update_state(self, message: StateChanged, now: float) -> None:
        """Applies a newer state of the fold."""
        configuration, waves = self.state.configuration, self.state.waves
        self.state = message.state
        if waves.in_progress is not message.state.waves.in_progress:
            self._reinstatements |= reinstatements(waves, message.state.waves)
        self._refresh_pools(now)
        if message.state.configuration is not configuration:
            self.index = index(message.state.configuration.configuration)
            self._spare_pools = tuple(
                service.pool
                for service in self.index.services.values()
                if service.spare
            )
            self._refresh_shares(now)
            self._refresh_credits()

    def update_listing(self, message: ListingUpdated, now: float) -> None:
        """Applies a newer instance list of the platform."""
        self._listing = message.listing
        self._clear_leave_marks(message.listing)
        self._routing = routing.observe_listing(
            self._routing, message.listing, self._pool_of, now
        )
        self._refresh_credits()

    def update_members(self, message: MembersUpdated, now: float) -> None:
        """Applies a newer view of the entry instances."""
        self._members = message
        self._refresh_shares(now)
        self._refresh_credits()

    def mark_leaving(self, instance: str, incarnation: int, now: float) -> None:
        """Marks an instance as leaving, by its own signal or a peer's."""
        self._routing = routing.observe_leaving(
            self._routing, instance, incarnation, now
        )

    def _clear_leave_marks(self, listing: Listing) -> None:
        """Clears the leave marks of reinstated instances.

        An instance is reinstated once a list that is newer than the end of
        its drain shows it as live.
        """
        if not self._reinstatements:
            return
        for listed in listing.instances:
            entry = self._reinstatements.get(listed.instance)
            if entry is None or listing.as_of <= entry.since:
                continue
            if listed.state == "live":
                del self._reinstatements[listed.instance]
                self._routing = routing.observe_reinstatement(
                    self._routing, listed.instance, entry.incarnation
                )

    def _refresh_pools(self, now: float) -> None:
        """Applies changed moves and waves to the list that was read last."""
        ownership, waves = self.state.ownership, self.state.waves
        # The maps that `_pool_of` is computed from.
        source = (ownership.instances, waves.in_progress)
        if all(
            a is b for a, b in zip(source, self._pool_of_source, strict=True)
        ):
            return
        self._pool_of_source = source
        self._pool_of = serving_pools(ownership, waves)
        if self._listing is not None:
            self._routing = routing.observe_listing(
                self._routing, self._listing, self._pool_of, now
            )
            self._refresh_credits()

    def _refresh_shares(self, now: float) -> None:
        view = admission.EntryView(self.instance)
        if self._members is not None:
            view = self._members.view
        self._share_by_plan = {
            name: admission.share(
                view, name, admission.lowest_demand(self._admission, name, now)
            )
            for name in self.index.plans
        }
        self._plans_with_shares = {
            name: (self.index.plans[name], plan_share)
            for name, plan_share in self._share_by_plan.items()
        }

    def _refresh_credits(self) -> None:
        # Without a view of the members the instance assumes that it is the
        # only one. Endpoints then refuse the excess requests with "not run".
        zones: Mapping[str, str] = {self.instance: self.zone}
        loads: Mapping[str, Mapping[str, float]] = {}
        if self._members is not None:
            zones, loads = self._members.zones, self._members.loads
        credits = self._credits.changed_credits(
            self._routing, self.index.services.values(), zones, loads
        )
        self._routing = routing.set_credits(self._routing, credits)

    # Requests.

    def submit(self, message: Submit, now: float) -> None:
        """Grants, queues or refuses a request."""
        plan = self.index.plans.get(message.plan)
        service = self.index.services.get(message.service)
        if plan is None or service is None:
            detail = "the plan or the service has just been withdrawn"
            message.reply.put(NotRun("configuration-changed", detail))
            return
        key = WorkKey(message.service, message.operation, message.customer)
        run_class = queueing.classify(self._run_times, key)
        waiting = WaitingRequest(
            message.request_id,
            key,
            plan.name,
            run_class,
            now,
            message.deadline,
        )
        if message.outcome is not None:
            final = self._decide_retry(message, service.pool, run_class, now)
            if final is not None:
                message.reply.put(final)
                return
        route = None
        if not self._queue_has_precedence(service.pool, run_class.long):
            route = self._choose(message, run_class.long, now)
        if message.outcome is None:
            refusal = self._admit(plan, service.pool, waiting, route, now)
            if refusal is not None:
                message.reply.put(refusal)
                return
            self._retry_budgets = self._retry_budgets.add_request(plan.name)
        plan_share = self._share(plan.name)
        not_started = message.request_id not in self._started_requests
        if not_started and not admission.may_start(
            self._admission, plan, plan_share, now
        ):
            route = None
        if route is not None:
            self._grant(message, route, key, now)
            return
        self._waiting_submits[message.request_id] = message
        self._queues[service.pool] = queueing.enqueue(
            self._queue(service.pool), waiting
        )

    def _decide_retry(
        self, message: Submit, pool: str, run_class: RunClass, now: float
    ) -> NoAttempt | None:
        assert message.outcome is not None
        endpoint_states = self._routing.pools[pool].endpoint_states.values()
        self._retry_budgets, decision = retries.decide_retry(
            self._retry_budgets,
            retries.RetryRequest(
                message.plan,
                message.idempotent,
                message.outcome,
                message.deadline - now,
                run_class.expected_s,
                tuple(_failure_domain(endpoint) for endpoint in message.tried),
                frozenset(
                    _failure_domain(cell.endpoint)
                    for cell in endpoint_states
                    if cell.status is EndpointStatus.OPEN
                ),
            ),
        )
        return decision if isinstance(decision, NoAttempt) else None

    def _queue_has_precedence(self, pool: str, long: bool) -> bool:
        """Whether queued requests have precedence over a new one.

        Short ones precede any new request, long ones only a new long request.
        """
        queue = self._queues.get(pool)
        if queue is None or not len(queue):
            return False
        return bool(queue.short) or long

    def _admit(
        self,
        plan: Plan,
        pool: str,
        waiting: WaitingRequest,
        route: Route | None,
        now: float,
    ) -> NotRun | None:
        queue = self._queue(pool)
        arrival = admission.Arrival(
            plan,
            self._share(plan.name),
            route is not None,
            queueing.expected_wait_s(queue, waiting.run, self._slots(pool)),
            waiting.run.min_run_time_s,
            waiting.deadline - now,
            len(queue) >= self.queue_limit,
        )
        self._admission, decision = admission.admit(
            self._admission, arrival, now, self._plans_with_shares
        )
        if isinstance(decision, NotRun):
            return decision
        if decision.shed is not None:
            self._shed(decision.shed, pool)
        return None

    def _shed(self, plan: str, pool: str) -> None:
        newest = queueing.newest_request(self._queue(pool), plan)
        if newest is None:
            return
        refusal = NotRun(
            "shed", f"plan {plan} is above its allowance", 503, 1.0
        )
        self._drop(pool, newest.request, refusal)

    def _drop(self, pool: str, request_id: str, refusal: NotRun) -> None:
        self._queues[pool] = queueing.remove(self._queue(pool), request_id)
        message = self._waiting_submits.pop(request_id)
        if request_id not in self._started_requests:
            self._admission = admission.leave(self._admission, message.plan)
        message.reply.put(refusal)

    def _choose(self, message: Submit, long: bool, now: float) -> Route | None:
        service = self.index.services[message.service]
        request = RouteRequest(
            service.pool,
            self.zone,
            long,
            _domains_to_avoid(message.tried),
            self._spare_pools if service.spill and not service.spare else (),
            message.idempotent,
        )
        choice = routing.choose(self._routing, request, now, self.rng)
        return choice if isinstance(choice, Route) else None

    def _grant(
        self, message: Submit, route: Route, key: WorkKey, now: float
    ) -> None:
        self._routing = routing.reserve(self._routing, route, now)
        if message.request_id not in self._started_requests:
            self._started_requests.add(message.request_id)
            plan = self.index.plans[message.plan]
            self._admission = admission.start(
                self._admission, plan, self._share(plan.name), now
            )
        self._last_ticket += 1
        self._attempts[self._last_ticket] = _Attempt(message, route, key, now)
        message.reply.put(
            Granted(self._last_ticket, route.endpoint, message.deadline)
        )
        self.record_decision(
            message.request_id,
            Event.REQUEST_ROUTED,
            {
                "service": message.service,
                "plan": message.plan,
                "attempt": len(message.tried) + 1,
                "endpoint": route.endpoint.instance,
                "zone": route.endpoint.zone,
                "long": route.long,
                "reasons": route.reasons,
            },
        )

    def complete_attempt(self, message: Completed, now: float) -> None:
        """Releases the slot of an ended attempt and serves the queues."""
        attempt = self._attempts.pop(message.ticket)
        route = attempt.route
        result = message.result.value
        self._result_counts[result] = self._result_counts.get(result, 0) + 1
        self._routing = routing.observe_result(
            self._routing,
            route.endpoint,
            message.result,
            message.run_time_s,
            now,
        )
        self._routing = routing.release(self._routing, route, now)
        if message.leaving:
            leave = (route.endpoint.instance, route.endpoint.incarnation)
            self._leave_signals = (*self._leave_signals, leave)
            self.mark_leaving(*leave, now)
        if message.result is not Result.NOT_RUN:
            self._run_times = queueing.observe_run(
                self._run_times,
                attempt.key,
                message.run_time_s,
                message.result is Result.SUCCESS,
            )
        self.serve_queues(now)

    def finish_request(self, message: Finished) -> None:
        """Counts a final answer under its plan, unless a peer counts it."""
        if message.request_id in self._started_requests:
            self._started_requests.discard(message.request_id)
            self._admission = admission.end(self._admission, message.plan)
        if message.outcome == "forwarded":
            return
        counts = self.counts.setdefault(message.plan, PlanCounts())
        if message.outcome == "succeeded":
            counts.succeeded += 1
        elif message.outcome == "failed":
            counts.failed += 1
        else:
            counts.refused += 1
        if message.code:
            counts.codes[message.code] = counts.codes.get(message.code, 0) + 1

    # The queues.

    def serve_queues(self, now: float) -> None:
        """Grants waiting requests and refuses those past their deadline."""
        for pool, queue in self._queues.items():
            if len(queue):
                self._expire(pool, now)
                self._serve(pool, now)

    def _expire(self, pool: str, now: float) -> None:
        expires_at = queueing.next_expiry(self._queues[pool])
        if expires_at is None or expires_at >= now:
            return
        _, dropped = queueing.expire(self._queues[pool], now)
        for entry in dropped:
            self._drop(pool, entry.waiting.request, entry.refusal)

    def _serve(self, pool: str, now: float) -> None:
        long_slots_free = True
        blocked = self._blocked_plans(now)
        while True:
            waiting = queueing.next_work(
                self._queues[pool], now, long_slots_free, blocked
            )
            if waiting is None:
                return
            message = self._waiting_submits[waiting.request]
            route = self._choose(message, waiting.run.long, now)
            if route is None:
                if not waiting.run.long:
                    return
                long_slots_free = False
                continue
            self._queues[pool] = queueing.remove(
                self._queues[pool], waiting.request
            )
            del self._waiting_submits[waiting.request]
            self._grant(message, route, waiting.key, now)
            blocked = self._blocked_plans(now)

    def _blocked_plans(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for name, plan in self.index.plans.items()
            if not admission.may_start(
                self._admission, plan, self._share(name), now
            )
        )

    def tick(self, now: float) -> None:
        """Observes long-running attempts and serves the queues."""
        self._observe_long_runs(now)
        self.serve_queues(now)

    def sample_demand(self, now: float) -> None:
        """Samples the demand; called before each gossip round."""
        self._admission = admission.sample_demand(self._admission, now)
        self._refresh_shares(now)

    def take_leave_signals(self) -> tuple[tuple[str, int], ...]:
        """Returns the leave signals of endpoints since the last call."""
        leave_signals, self._leave_signals = self._leave_signals, ()
        return tuple(dict.fromkeys(leave_signals))

    def _observe_long_runs(self, now: float) -> None:
        for attempt in self._attempts.values():
            limit = queueing.long_threshold_s(
                self._run_times, attempt.submit.service
            )
            ran = now - attempt.started_at
            if (
                limit is not None
                and ran >= limit
                and not attempt.long_run_observed
            ):
                attempt.long_run_observed = True
                self._run_times = queueing.observe_run(
                    self._run_times, attempt.key, ran, finished=False
                )

    # Views.

    @property
    def busy(self) -> bool:
        """Whether any request waits or runs."""
        return bool(self._attempts or self._waiting_submits)

    @property
    def waiting(self) -> int:
        """Requests in the queues."""
        return len(self._waiting_submits)

    def view(self) -> EngineView:
        """Returns an immutable view for other tasks.

        The cost doesn't grow with the number of idle endpoints: a view is
        requested twice a second, and the target size has 1,400 endpoints.
        """
        loads: dict[str, float] = {
            pool: float(len(queue))
            for pool, queue in self._queues.items()
            if len(queue)
        }
        for attempt in self._attempts.values():
            pool = attempt.route.endpoint.pool
            loads[pool] = loads.get(pool, 0.0) + 1.0
        return EngineView(
            self.state,
            {name: counts.copy() for name, counts in self.counts.items()},
            admission.published_demand(self._admission),
            loads,
            self.waiting,
            len(self._attempts),
            {},
            self._members.view.size if self._members else 1,
            self._demand_by_pool(),
            frozenset(self._members.zones if self._members else ())
            | {self.instance},
            dict(self._result_counts),
        )

    def endpoint_statuses(self) -> dict[str, tuple[str, str]]:
        """Returns pool and status of each instance; visits all endpoints."""
        return {
            instance: (name, cell.status.value)
            for name, pool in self._routing.pools.items()
            for instance, cell in pool.endpoint_states.items()
        }

    def _demand_by_pool(self) -> dict[str, float]:
        demand = {n: float(len(q)) for n, q in self._queues.items() if len(q)}
        for attempt in self._attempts.values():
            service = self.index.services.get(attempt.submit.service)
            if service is not None:
                demand[service.pool] = demand.get(service.pool, 0.0) + 1.0
        return demand

    def _queue(self, pool: str) -> Queue:
        return self._queues.get(pool) or Queue()

    def _share(self, plan: str) -> float:
        return self._share_by_plan.get(plan, 1.0)

    def _slots(self, name: str) -> int:
        pool = self._routing.pools.get(name)
        if pool is None:
            return 0
        return sum(view.slots for view in pool.zones.values())


def _failure_domain(endpoint: Endpoint) -> FailureDomain:
    return FailureDomain(endpoint.zone, endpoint.rack)


def _domains_to_avoid(tried: tuple[Endpoint, ...]) -> AvoidedDomains:
    """Returns the domains that the next attempt should avoid.

    These are the instances and racks of earlier attempts; after two attempts
    also their zones.
    """
    if not tried:
        return AvoidedDomains()
    zones = frozenset(e.zone for e in tried) if len(tried) > 1 else frozenset()
    return AvoidedDomains(
        frozenset(e.instance for e in tried),
        frozenset((e.zone, e.rack) for e in tried),
        zones,
    )
