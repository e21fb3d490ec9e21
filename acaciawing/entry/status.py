"""Status document of an entry instance.

All functions are pure; their inputs are the scheduler's view, which contains
the fold's state, and the time. Rates and budgets come from the fold's ledger
and so include all entry instances. The document also has the counts of the
answering instance alone.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from functools import cached_property
from typing import Any

from acaciawing.budgets import (
    UNPLANNED_BUDGET_SHARE,
    BudgetSnapshot,
    budget,
    counts_age_s,
)
from acaciawing.configuration import Plan
from acaciawing.entry.counts import PlanCounts
from acaciawing.entry.engine_view import EngineView
from acaciawing.entry.paging import PageRequest, page
from acaciawing.fold import FleetState
from acaciawing.leases import is_held, lease_end, pool_subject
from acaciawing.maintenance import Stage, Wave, exceeded_bounds
from acaciawing.ownership import LEAVING, SERVING, OwnedInstance

Entry = dict[str, Any]


@dataclass(frozen=True)
class AnsweringInstance:
    """Identity and readiness of the instance that answers.

    Attributes:
        instance: Its id.
        zone: Its availability zone.
        ready: Whether it accepts requests.
        log_up: Whether its last read of the log succeeded.
    """

    instance: str
    zone: str
    ready: bool
    log_up: bool


@dataclass(frozen=True)
class _ListContext:
    """Inputs of the functions that build the entries of the lists."""

    own: AnsweringInstance
    engine: EngineView
    now: float

    @property
    def state(self) -> FleetState:
        return self.engine.state

    @cached_property
    def snapshot(self) -> BudgetSnapshot:
        return _budget_snapshot(self.own, self.engine)


def status(
    own: AnsweringInstance,
    view: EngineView,
    now: float,
    request: PageRequest[str],
) -> Entry:
    """Builds the status document.

    Args:
        own: The instance that answers.
        view: View of its scheduler.
        now: Time on the log's clock, in seconds.
        request: Limit of each list; ``after`` is not used.

    Returns:
        The document. Its member ``more`` has the key to continue after for
        each list that is not complete.
    """
    state = view.state
    document: Entry = {
        "instance": own.instance,
        "zone": own.zone,
        "ready": own.ready,
        "log_up": own.log_up,
        "version": state.configuration.version,
        "offset": state.offset,
        "snapshot_offset": state.snapshot.offset,
        "counts_age_s": counts_age_s(_budget_snapshot(own, view), now),
        "in_flight": view.in_flight,
        "waiting": view.waiting,
        "endpoints": view.endpoints,
    }
    more = {}
    for name in LISTS:
        part = status_list(
            name, own, view, now, PageRequest[str](request.limit)
        )
        document[name] = part["entries"]
        if part["next"] is not None:
            more[name] = part["next"]
    document["more"] = more
    return document


def status_list(
    name: str,
    own: AnsweringInstance,
    view: EngineView,
    now: float,
    request: PageRequest[str],
) -> Entry:
    """Builds one page of one list of the status.

    Args:
        name: One of `LISTS`.
        own: The instance that answers.
        view: View of its scheduler.
        now: Time on the log's clock, in seconds.
        request: The requested page.

    Raises:
        KeyError: If there is no such list.
    """
    keys, entry = LISTS[name]
    context = _ListContext(own, view, now)
    part = page(keys(context), request)
    return {
        "list": name,
        "entries": [entry(context, key) for key in part.keys],
        "next": part.next,
    }


def _budget_snapshot(
    own: AnsweringInstance, view: EngineView
) -> BudgetSnapshot:
    state = view.state
    plans = {p.name: p for p in state.configuration.configuration.plans}
    return BudgetSnapshot(
        state.budgets,
        plans,
        frozenset(state.roster.members),
        _unreported_failures(own, view, plans),
    )


def _unreported_failures(
    own: AnsweringInstance, view: EngineView, plans: Mapping[str, Plan]
) -> dict[str, int]:
    """Returns the failures counted here that the log doesn't include yet."""
    member = view.state.roster.members.get(own.instance)
    sources = view.state.budgets.sources.get(own.instance)
    source = None
    if member is not None and sources is not None:
        source = sources.get(member.incarnation)
    reported = source.totals if source is not None else {}
    return {
        name: max(0, view.plans[name].failed - reported.get(name, (0, 0))[1])
        for name in plans
        if name in view.plans
    }


def _plan_keys(context: _ListContext) -> Iterable[str]:
    return (p.name for p in context.state.configuration.configuration.plans)


def _plan_entry(context: _ListContext, name: str) -> Entry:
    snapshot = context.snapshot
    plan_budget = budget(snapshot, snapshot.plans[name], context.now)
    counts = context.engine.plans.get(name, PlanCounts())
    return {
        "plan": name,
        "promised": plan_budget.promised,
        "achieved": plan_budget.achieved if plan_budget.requests else None,
        "succeeded": plan_budget.requests - plan_budget.failed,
        "failed": plan_budget.failed,
        "allowed": plan_budget.allowed,
        "kept": UNPLANNED_BUDGET_SHARE * plan_budget.allowed,
        "burn_rate": plan_budget.burn_rate,
        "reserved": plan_budget.reserved,
        "held_back": plan_budget.held_back,
        "remaining_budget": plan_budget.remaining,
        "here": {
            "succeeded": counts.succeeded,
            "failed": counts.failed,
            "refused": counts.refused,
        },
    }


def _member_keys(context: _ListContext) -> Iterable[str]:
    return set(context.state.roster.members) | set(context.engine.live)


def _member_entry(context: _ListContext, name: str) -> Entry:
    roster = context.state.roster
    known = roster.members.get(name)
    entry: Entry = {
        "instance": name,
        "live": name in context.engine.live,
        "on_roster": known is not None,
    }
    if known is not None:
        entry |= asdict(known)
        entry["joined_at"] = roster.joined_at.get(name)
    return entry


def _move_keys(context: _ListContext) -> Iterable[str]:
    instances = context.state.ownership.instances.values()
    return (i.instance for i in instances if i.phase != SERVING)


def _move_entry(context: _ListContext, name: str) -> Entry:
    owned = context.state.ownership.instances[name]
    return {
        "instance": name,
        "pool": owned.pool,
        "to": owned.to_pool,
        "phase": owned.phase,
        "since": owned.changed_at,
        "waits_for": _move_waits_for(owned, context),
    }


def _move_waits_for(owned: OwnedInstance, context: _ListContext) -> str:
    """Returns what the next step of a move waits for.

    One of ``log`` (the log is unavailable), ``lease`` (no entry instance holds
    the pool's lease), ``drain`` (requests are still in flight) and ``return``
    (the worker is not in service yet).
    """
    if not context.own.log_up:
        return "log"
    if not is_held(context.state.leases, pool_subject(owned.pool), context.now):
        return "lease"
    return "drain" if owned.phase == LEAVING else "return"


def _wave_keys(context: _ListContext) -> Iterable[str]:
    waves = context.state.waves
    return set(waves.active) | set(waves.stopped)


def _wave_entry(context: _ListContext, pool: str) -> Entry:
    waves = context.state.waves
    entry: Entry = {
        "pool": pool,
        "stopped": waves.is_stopped(pool),
        "stopped_at": waves.stopped.get(pool),
    }
    wave = waves.active.get(pool)
    return entry | (_wave_progress(wave, context) if wave is not None else {})


def _wave_progress(wave: Wave, context: _ListContext) -> Entry:
    stages = Counter(m.stage.value for m in wave.members.values())
    held = (
        {"instance": name, "stage": member.stage.value, "since": member.since}
        for name, member in sorted(wave.members.items())
        if member.stage.in_progress
    )
    return {
        "wave": wave.number,
        "bounds": asdict(wave.bounds),
        "stages": dict(sorted(stages.items())),
        "held": list(held),
        "waits_for": _wave_waits_for(wave, context),
    }


def _wave_waits_for(wave: Wave, context: _ListContext) -> list[str]:
    """Returns what prevents the wave from draining its next instance.

    These are ``stopped``, ``log``, ``lease``, ``budget`` (a plan that uses the
    pool has no budget left for reboots), and, if each waiting instance would
    exceed at least one bound, the names of these bounds. Empty if nothing
    prevents it, or if no instance waits.
    """
    waiting = [
        member.place
        for member in wave.members.values()
        if member.stage is Stage.WAITING
    ]
    if not waiting:
        return []
    waves, leases = context.state.waves, context.state.leases
    exceeded = [
        exceeded_bounds(waves, wave.pool, p, wave.bounds) for p in waiting
    ]
    causes = {
        "stopped": waves.is_stopped(wave.pool),
        "log": not context.own.log_up,
        "lease": not is_held(leases, pool_subject(wave.pool), context.now),
        "budget": any(
            _is_budget_spent(context, plan)
            for plan in _plans_using(context, wave)
        ),
    }
    bounds = sorted({b for e in exceeded for b in e}) if all(exceeded) else []
    return [code for code, holds in causes.items() if holds] + bounds


def _plans_using(context: _ListContext, wave: Wave) -> Iterable[Plan]:
    """Returns the plans with a service on the wave's pool."""
    document = context.state.configuration.configuration
    names = {s.name for s in document.services if s.pool == wave.pool}
    return (p for p in document.plans if names.intersection(p.services))


def _is_budget_spent(context: _ListContext, plan: Plan) -> bool:
    """Whether a plan that has requests has no budget left for reboots."""
    plan_budget = budget(context.snapshot, plan, context.now)
    unreserved = (
        plan_budget.remaining - UNPLANNED_BUDGET_SHARE * plan_budget.allowed
    )
    return plan_budget.requests > 0 and unreserved <= 0


def _loan_keys(context: _ListContext) -> Iterable[str]:
    return context.state.loans.active


def _loan_entry(context: _ListContext, name: str) -> Entry:
    loan = context.state.loans.active[name]
    return {
        "instance": name,
        "home": loan.home,
        "borrower": loan.borrower,
        "begun_at": loan.begun_at,
        "due_at": loan.due_at,
        "returning": loan.returning,
    }


def _lease_keys(context: _ListContext) -> Iterable[str]:
    return context.state.leases.leases


def _lease_entry(context: _ListContext, subject: str) -> Entry:
    leases = context.state.leases
    lease = leases.leases[subject]
    return {
        "subject": subject,
        "holder": lease.holder,
        "token": lease.token,
        "ends_at": lease_end(leases, subject),
        "held": is_held(leases, subject, context.now),
    }


# Functions that return the keys and build an entry of each list.
LISTS: Mapping[
    str,
    tuple[
        Callable[[_ListContext], Iterable[str]],
        Callable[[_ListContext, str], Entry],
    ],
] = {
    "plans": (_plan_keys, _plan_entry),
    "members": (_member_keys, _member_entry),
    "moves": (_move_keys, _move_entry),
    "waves": (_wave_keys, _wave_entry),
    "loans": (_loan_keys, _loan_entry),
    "leases": (_lease_keys, _lease_entry),
}
