"""Enforcement of plan limits in one entry instance."""

from collections.abc import Mapping
from typing import TypeAlias

from immutables import Map
from msgspec import Struct, field
from msgspec.structs import replace

from acaciawing.admission.shares import (
    MIN_DEMAND_PER_S,
    DemandHistory,
    observe_demand,
)
from acaciawing.configuration import Plan
from acaciawing.outcomes import NotRun

# Depth of the token bucket, in seconds of this instance's share of the rate.
# Longer bursts wait in the queue.
BUCKET_DEPTH_S = 1.0
# Maximum wait in the queue for a token. Even if a plan is within its limit, its
# arrivals are spread unevenly over the entry instances, and refusing them would
# violate the plan.
MAX_TOKEN_WAIT_S = 1.0
# Initial tokens of a new instance, as a share of the bucket depth; see `_refill`.
INITIAL_FILL_SHARE = 0.25
# A retry before the next gossip round would be subject to the same share.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


class PlanUse(Struct, frozen=True):
    """Usage of this entry instance by one plan.

    Attributes:
        tokens: Requests that may start now, or None before the first request.
        refilled_at: Time of the last refill, in seconds.
        running: Requests that hold a slot.
        waiting: Requests in the queue.
        arrived: Requests since the last `sample_demand`, refused ones included.
        history: Recent demand.
    """

    tokens: float | None = None
    refilled_at: float = 0.0
    running: int = 0
    waiting: int = 0
    arrived: int = 0
    history: DemandHistory = field(default_factory=DemandHistory)


class AdmissionState(Struct, frozen=True):
    """Usage by plan.

    Attributes:
        uses: Usage by plan name.
        sampled_at: Time of the last `sample_demand`, in seconds, or None.
    """

    uses: Map[str, PlanUse] = Map()
    sampled_at: float | None = None


class Arrival(Struct, frozen=True):
    """A request to be admitted or refused.

    Attributes:
        plan: Plan of the customer.
        share: This instance's share of the plan's limits, from `shares.share`.
        can_start: Whether a slot is free, so that the request need not wait.
        wait_s: Estimated wait, from `queueing.expected_wait_s`.
        min_run_time_s: Shortest recent run time, from `queueing.RunClass`.
        remaining_s: Time until its deadline, in seconds.
        overloaded: Whether the queue of the pool is full.
    """

    plan: Plan
    share: float
    can_start: bool
    wait_s: float
    min_run_time_s: float
    remaining_s: float
    overloaded: bool = False


class Admission(Struct, frozen=True):
    """The request may start or wait for a slot.

    Attributes:
        shed: Plan whose newest waiting request must be dropped to make room for
            this one, or None; see `queueing.newest_request`.
        reasons: Reason codes for the log line.
    """

    shed: str | None = None
    reasons: tuple[str, ...] = ()


Decision: TypeAlias = Admission | NotRun


def integer_share(limit: int, share: float) -> int:
    """Computes the share of a limit, as a whole number of requests.

    The result is at least 1 for a limit above 0. Otherwise, with a limit below
    the number of entry instances, some instances would refuse a plan that is
    within its limit.

    >>> integer_share(40, 0.12), integer_share(4, 0.12), integer_share(0, 0.12)
    (4, 1, 0)
    """
    return max(1, int(limit * share + 1e-9)) if limit else 0


def admit(
    state: AdmissionState,
    arrival: Arrival,
    now: float,
    share_of: Mapping[str, tuple[Plan, float]] | None = None,
) -> tuple[AdmissionState, Decision]:
    """Decides whether a request is admitted.

    Checks, in this order: rate, concurrency and queue, deadline, overload. A
    token is consumed only when the request starts: a refused or cancelled request
    consumes none, and a request without a token waits for one.

    Args:
        state: The state before.
        arrival: The request.
        now: Time in seconds.
        share_of: Plan and share by plan name; needed only under overload, to
            find the plan with the highest use of its allowance.

    Returns:
        The state after and the decision. An admitted request is counted as
        waiting until `start` or `leave` is called for it.
    """
    plan = arrival.plan
    use = _refill(
        state.uses.get(plan.name) or PlanUse(), plan, arrival.share, now
    )
    use = replace(use, arrived=use.arrived + 1)
    token_wait_s = _token_wait_s(use, plan, arrival.share)
    refusal = (
        _check_rate(token_wait_s, arrival)
        or _check_queue(use, arrival, token_wait_s)
        or _check_deadline(arrival, token_wait_s)
    )
    shed = None
    if refusal is None and arrival.overloaded:
        shed = _find_plan_to_shed(state, arrival, share_of or {})
        if shed is None or shed == plan.name:
            refusal = NotRun(
                "overload",
                "the service is overloaded and the plan is above its allowance",
                503,
                _retry_after(arrival.wait_s),
            )
    if refusal is not None:
        uses = state.uses.set(plan.name, use)
        return replace(state, uses=uses), refusal
    use = replace(use, waiting=use.waiting + 1)
    reasons = ("within-limits",) if shed is None else (f"shed:{shed}",)
    uses = state.uses.set(plan.name, use)
    return replace(state, uses=uses), Admission(shed, reasons)


def _refill(use: PlanUse, plan: Plan, share: float, now: float) -> PlanUse:
    rate = plan.rate_per_s * share
    depth = max(1.0, rate * BUCKET_DEPTH_S)
    if use.tokens is None:
        # A new instance starts with a partly full bucket. With a full one,
        # replacing all instances at once would admit a burst of a whole second
        # of the rate instead of a quarter; with an empty one, the first requests
        # of a plan within its rate would be refused.
        return replace(
            use, tokens=max(1.0, INITIAL_FILL_SHARE * depth), refilled_at=now
        )
    elapsed = max(0.0, now - use.refilled_at)
    tokens = min(depth, use.tokens + rate * elapsed)
    return replace(use, tokens=tokens, refilled_at=max(now, use.refilled_at))


def _token_wait_s(use: PlanUse, plan: Plan, share: float) -> float:
    """Estimates when a new request gets its token, after those waiting."""
    missing = use.waiting + 1.0 - (use.tokens or 0.0)
    # The tolerance absorbs rounding errors of the refills.
    if missing <= 1e-6:
        return 0.0
    rate = plan.rate_per_s * share
    return missing / rate if rate else float("inf")


def _retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


def _check_rate(token_wait_s: float, arrival: Arrival) -> NotRun | None:
    if token_wait_s <= MAX_TOKEN_WAIT_S:
        return None
    return NotRun(
        "rate-limit",
        f"plan {arrival.plan.name} is above its rate",
        429,
        _retry_after(token_wait_s - MAX_TOKEN_WAIT_S),
    )


def _check_queue(
    use: PlanUse, arrival: Arrival, token_wait_s: float
) -> NotRun | None:
    plan = arrival.plan
    starts_now = (
        arrival.can_start
        and not token_wait_s
        and not use.waiting
        and use.running < integer_share(plan.concurrency, arrival.share)
    )
    if starts_now or use.waiting < integer_share(plan.queue, arrival.share):
        return None
    return NotRun(
        "queue-limit",
        f"plan {plan.name} has as many requests waiting as it may",
        429,
        _retry_after(arrival.wait_s),
    )


def _check_deadline(arrival: Arrival, token_wait_s: float) -> NotRun | None:
    wait_s = 0.0 if arrival.can_start else arrival.wait_s
    wait_s = max(wait_s, token_wait_s)
    late_s = wait_s + arrival.min_run_time_s - arrival.remaining_s
    if late_s <= 0.0:
        return None
    return NotRun(
        "deadline-unreachable",
        f"the wait is about {wait_s:.3f} s; {arrival.remaining_s:.3f} s are"
        " left",
        503,
        _retry_after(late_s),
    )


def _allowance(plan: Plan, share: float) -> float:
    return max(1e-6, plan.concurrency * share)


def _find_plan_to_shed(
    state: AdmissionState,
    arrival: Arrival,
    share_of: Mapping[str, tuple[Plan, float]],
) -> str | None:
    """Finds the plan with the highest use relative to its allowance.

    The use of the arrival's own plan includes the new request. Other plans are
    considered only if they have a waiting request that can be dropped.
    """
    name = arrival.plan.name
    own = state.uses.get(name) or PlanUse()
    allowed = _allowance(arrival.plan, arrival.share)
    shed_plan, highest_use = name, (own.running + own.waiting + 1) / allowed
    for other, use in state.uses.items():
        known = share_of.get(other)
        if other == name or not use.waiting or known is None:
            continue
        use_ratio = (use.running + use.waiting) / _allowance(*known)
        if use_ratio > highest_use:
            shed_plan, highest_use = other, use_ratio
    return shed_plan


def may_start(
    state: AdmissionState, plan: Plan, share: float, now: float
) -> bool:
    """Returns whether the plan has a token and is below its concurrency limit.

    Args:
        state: The state.
        plan: The plan.
        share: This instance's share of the plan's limits.
        now: Time in seconds.
    """
    use = _refill(state.uses.get(plan.name) or PlanUse(), plan, share, now)
    # The tolerance absorbs rounding errors of the refills.
    if (use.tokens or 0.0) < 1.0 - 1e-6:
        return False
    return use.running < integer_share(plan.concurrency, share)


def start(
    state: AdmissionState, plan: Plan, share: float, now: float
) -> AdmissionState:
    """Moves a request from waiting to running and consumes its token.

    Args:
        state: The state before, for which `may_start` is true.
        plan: The plan.
        share: This instance's share of the plan's limits.
        now: Time in seconds.
    """
    use = _refill(state.uses[plan.name], plan, share, now)
    changed = replace(
        use,
        tokens=max(0.0, (use.tokens or 0.0) - 1.0),
        waiting=max(0, use.waiting - 1),
        running=use.running + 1,
    )
    return replace(state, uses=state.uses.set(plan.name, changed))


def leave(state: AdmissionState, plan: str) -> AdmissionState:
    """Removes a waiting request that left the queue without running."""
    use = state.uses[plan]
    changed = replace(use, waiting=max(0, use.waiting - 1))
    return replace(state, uses=state.uses.set(plan, changed))


def end(state: AdmissionState, plan: str) -> AdmissionState:
    """Removes a running request that has ended."""
    use = state.uses[plan]
    changed = replace(use, running=max(0, use.running - 1))
    return replace(state, uses=state.uses.set(plan, changed))


def sample_demand(state: AdmissionState, now: float) -> AdmissionState:
    """Adds a demand sample from the arrivals since the last call.

    Call this before each gossip round, every 0.5 s.

    Args:
        state: The state before.
        now: Time in seconds.

    Returns:
        The state after. Costs some microseconds for each plan in use.
    """
    if state.sampled_at is None or now <= state.sampled_at:
        return replace(state, sampled_at=now)
    elapsed = now - state.sampled_at
    uses = state.uses
    for plan, use in state.uses.items():
        history = observe_demand(use.history, use.arrived / elapsed, now)
        uses = uses.set(plan, replace(use, arrived=0, history=history))
    return AdmissionState(uses, now)


def published_demand(state: AdmissionState) -> dict[str, float]:
    """Returns the demand by plan to gossip, without idle plans."""
    demand = {p: u.history.highest() for p, u in state.uses.items()}
    return {plan: d for plan, d in demand.items() if d > MIN_DEMAND_PER_S}


def lowest_demand(state: AdmissionState, plan: str, now: float) -> float | None:
    """Returns this instance's demand for `share`, or None if not yet known."""
    use = state.uses.get(plan)
    return use.history.lowest(now) if use is not None else None
