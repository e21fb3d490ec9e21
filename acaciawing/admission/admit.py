"""Limits of plans in one entry instance."""

from collections.abc import Mapping
from typing import TypeAlias

from immutables import Map
from msgspec import Struct, field
from msgspec.structs import replace

from acaciawing.admission.shares import IDLE, DemandHistory, observe_demand
from acaciawing.configuration import Plan
from acaciawing.outcomes import NotRun

# Depth of the token bucket in seconds of the share; longer bursts are what the
# queue is for.
BURST_S = 1.0
# Longest wait in the queue for a token. Arrivals of a plan within its limit vary
# from one entry instance to another, and a refusal would break its promise.
PACE_S = 1.0
# Part of the bucket that a new instance starts with.
START = 0.25
# A retry sooner than the next gossip round would meet the same share.
RETRY_LEAST_S = 0.5
RETRY_LONGEST_S = 30.0


class PlanUse(Struct, frozen=True):
    """What a plan uses of this entry instance.

    Attributes:
        tokens: Requests that may start now, or None before the first one.
        refilled_at: Time of the last refill, in seconds.
        running: Requests that hold a slot.
        waiting: Requests in the queue.
        arrived: Requests since the last `close_step`, refused ones included.
        history: Demand of the last seconds.
    """

    tokens: float | None = None
    refilled_at: float = 0.0
    running: int = 0
    waiting: int = 0
    arrived: int = 0
    history: DemandHistory = field(default_factory=DemandHistory)


class AdmissionState(Struct, frozen=True):
    """Use by plan.

    Attributes:
        uses: Use by plan name.
        step_began: Time of the last `close_step`, in seconds, or None.
    """

    uses: Map[str, PlanUse] = Map()
    step_began: float | None = None


class Arrival(Struct, frozen=True):
    """A request that asks for admission.

    Attributes:
        plan: Plan of the customer.
        share: This instance's part of the plan's limits, from `share`.
        can_start: Whether a slot is free, so that it would not wait.
        wait_s: Estimated wait, from `queueing.expected_wait_s`.
        least_s: Shortest recent run time, from `queueing.RunClass.min_run_time_s`.
        remaining_s: Time until its deadline, in seconds.
        overloaded: Whether the queue of the pool can take no more.
    """

    plan: Plan
    share: float
    can_start: bool
    wait_s: float
    min_run_time_s: float
    remaining_s: float
    overloaded: bool = False


class Admitted(Struct, frozen=True):
    """The request may wait for a slot, or start.

    Attributes:
        shed: Plan that must give up its newest waiting request for this one,
            or None; see `queueing.newest_request`.
        reasons: Codes for the log line.
    """

    shed: str | None = None
    reasons: tuple[str, ...] = ()


Decision: TypeAlias = Admitted | NotRun


def whole_share(limit: int, part: float) -> int:
    """Part of a limit that counts requests.

    A limit below the number of entry instances acts as one for each, since
    otherwise some instances would refuse a plan that is within its limit.

    >>> whole_share(40, 0.12), whole_share(4, 0.12), whole_share(0, 0.12)
    (4, 1, 0)
    """
    return max(1, int(limit * part + 1e-9)) if limit else 0


def admit(
    state: AdmissionState,
    arrival: Arrival,
    now: float,
    share_of: Mapping[str, tuple[Plan, float]] | None = None,
) -> tuple[AdmissionState, Decision]:
    """Decides whether a request is admitted.

    Checks, in this order: rate, concurrency and queue, deadline, overload. A
    request takes its token when it starts, so a refused or cancelled one takes
    none, and one that is early waits for it.

    Args:
        state: The state before.
        arrival: The request.
        now: Time in seconds.
        share_of: Plan and share by plan name; needed only under overload, to
            find the plan furthest above its allowance.

    Returns:
        The state after and the decision. An admitted request counts as waiting
        until `start` or `leave`.
    """
    plan = arrival.plan
    use = _refilled(
        state.uses.get(plan.name) or PlanUse(), plan, arrival.share, now
    )
    use = replace(use, arrived=use.arrived + 1)
    token_wait_s = _token_wait_s(use, plan, arrival.share)
    refusal = (
        _over_rate(token_wait_s, arrival)
        or _over_count(use, arrival, token_wait_s)
        or _too_late(arrival, token_wait_s)
    )
    shed = None
    if refusal is None and arrival.overloaded:
        shed = _plan_to_shed(state, arrival, share_of or {})
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
    return replace(state, uses=uses), Admitted(shed, reasons)


def _refilled(use: PlanUse, plan: Plan, part: float, now: float) -> PlanUse:
    rate = plan.rate_per_s * part
    depth = max(1.0, rate * BURST_S)
    if use.tokens is None:
        # A new instance starts with part of a bucket: replacing all instances
        # at once then adds a quarter second of the rate, and the first callers
        # of a plan within its rate are not refused.
        return replace(use, tokens=max(1.0, START * depth), refilled_at=now)
    elapsed = max(0.0, now - use.refilled_at)
    tokens = min(depth, use.tokens + rate * elapsed)
    return replace(use, tokens=tokens, refilled_at=max(now, use.refilled_at))


def _token_wait_s(use: PlanUse, plan: Plan, part: float) -> float:
    """Time until a new request would get its token, behind those waiting."""
    missing = use.waiting + 1.0 - (use.tokens or 0.0)
    # Refills add up in floating point; a millionth of a token is no wait.
    if missing <= 1e-6:
        return 0.0
    rate = plan.rate_per_s * part
    return missing / rate if rate else float("inf")


def _retry_after(seconds: float) -> float:
    return min(RETRY_LONGEST_S, max(RETRY_LEAST_S, seconds))


def _over_rate(token_wait_s: float, arrival: Arrival) -> NotRun | None:
    if token_wait_s <= PACE_S:
        return None
    return NotRun(
        "rate-limit",
        f"plan {arrival.plan.name} is above its rate",
        429,
        _retry_after(token_wait_s - PACE_S),
    )


def _over_count(
    use: PlanUse, arrival: Arrival, token_wait_s: float
) -> NotRun | None:
    plan = arrival.plan
    starts = (
        arrival.can_start
        and not token_wait_s
        and not use.waiting
        and use.running < whole_share(plan.concurrency, arrival.share)
    )
    if starts or use.waiting < whole_share(plan.queue, arrival.share):
        return None
    return NotRun(
        "queue-limit",
        f"plan {plan.name} has as many requests waiting as it may",
        429,
        _retry_after(arrival.wait_s),
    )


def _too_late(arrival: Arrival, token_wait_s: float) -> NotRun | None:
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


def _allowance(plan: Plan, part: float) -> float:
    return max(1e-6, plan.concurrency * part)


def _plan_to_shed(
    state: AdmissionState,
    arrival: Arrival,
    share_of: Mapping[str, tuple[Plan, float]],
) -> str | None:
    """Finds the plan whose use is the highest part of its allowance.

    The new request counts for its own plan. Other plans count only if they have
    a waiting request to give up.
    """
    name = arrival.plan.name
    own = state.uses.get(name) or PlanUse()
    allowed = _allowance(arrival.plan, arrival.share)
    worst, worst_part = name, (own.running + own.waiting + 1) / allowed
    for other, use in state.uses.items():
        known = share_of.get(other)
        if other == name or not use.waiting or known is None:
            continue
        part = (use.running + use.waiting) / _allowance(*known)
        if part > worst_part:
            worst, worst_part = other, part
    return worst


def may_start(
    state: AdmissionState, plan: Plan, part: float, now: float
) -> bool:
    """Whether the plan has a token and is below its limit of concurrency.

    Args:
        state: The state.
        plan: The plan.
        part: This instance's part of the plan's limits.
        now: Time in seconds.
    """
    use = _refilled(state.uses.get(plan.name) or PlanUse(), plan, part, now)
    # Refills add up in floating point; see `_token_wait_s`.
    if (use.tokens or 0.0) < 1.0 - 1e-6:
        return False
    return use.running < whole_share(plan.concurrency, part)


def start(
    state: AdmissionState, plan: Plan, part: float, now: float
) -> AdmissionState:
    """Counts a waiting request as running and takes its token.

    Args:
        state: The state before; `may_start` held for it.
        plan: The plan.
        part: This instance's part of the plan's limits.
        now: Time in seconds.
    """
    use = _refilled(state.uses[plan.name], plan, part, now)
    changed = replace(
        use,
        tokens=max(0.0, (use.tokens or 0.0) - 1.0),
        waiting=max(0, use.waiting - 1),
        running=use.running + 1,
    )
    return replace(state, uses=state.uses.set(plan.name, changed))


def leave(state: AdmissionState, plan: str) -> AdmissionState:
    """Counts out a request that left the queue without running."""
    use = state.uses[plan]
    changed = replace(use, waiting=max(0, use.waiting - 1))
    return replace(state, uses=state.uses.set(plan, changed))


def end(state: AdmissionState, plan: str) -> AdmissionState:
    """Counts out a request that ran."""
    use = state.uses[plan]
    changed = replace(use, running=max(0, use.running - 1))
    return replace(state, uses=state.uses.set(plan, changed))


def close_step(state: AdmissionState, now: float) -> AdmissionState:
    """Turns the arrivals since the last call into a demand sample.

    Args:
        state: The state before.
        now: Time in seconds; call it before each gossip round (0.5 s).

    Returns:
        The state after. Costs some microseconds for each plan that was used.
    """
    if state.step_began is None or now <= state.step_began:
        return replace(state, step_began=now)
    elapsed = now - state.step_began
    uses = state.uses
    for plan, use in state.uses.items():
        history = observe_demand(use.history, use.arrived / elapsed, now)
        uses = uses.set(plan, replace(use, arrived=0, history=history))
    return AdmissionState(uses, now)


def published_demand(state: AdmissionState) -> dict[str, float]:
    """Demand by plan to gossip; plans without demand are left out."""
    demand = {p: u.history.highest() for p, u in state.uses.items()}
    return {plan: d for plan, d in demand.items() if d > IDLE}


def lowest_demand(state: AdmissionState, plan: str, now: float) -> float | None:
    """Own demand to count on in `share`; None if it is not known yet."""
    use = state.uses.get(plan)
    return use.history.lowest(now) if use is not None else None
